package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	drafting = "drafting-llm"
	reorder  = "reorder-desk"
)

// replica is a stand-in backend server.
type replica struct {
	id      string
	service string
	release string
	zone    string
	slots   int
	record  *record
	// behave answers a request that the replica has read whole and expects; it counts the run itself.
	behave func(r *replica, w http.ResponseWriter, q *http.Request, body []byte)

	mu       sync.Mutex
	listener net.Listener
	server   *http.Server
	address  string
	born     int64
	runs     map[string]int
	crashed  bool
}

// newReplica starts a replica and registers it as ready.
func (w *world) newReplica(id, service, release string, behave func(*replica, http.ResponseWriter, *http.Request, []byte)) (*replica, error) {
	r := &replica{
		id: id, service: service, release: release, zone: zoneNames[w.replicaCount()%len(zoneNames)], slots: 64, record: w.record,
		behave: behave, runs: make(map[string]int),
	}
	if err := r.listen("127.0.0.1:0"); err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.replicas = append(w.replicas, r)
	w.mu.Unlock()
	w.store.put("servers/"+id, r.entry("ready"))
	return r, nil
}

func (w *world) replicaCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.replicas)
}

func (r *replica) listen(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("start replica: %w", err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listener, r.address, r.born = l, l.Addr().String(), time.Now().UnixMilli()
	server := &http.Server{Handler: r, ReadHeaderTimeout: time.Minute}
	r.server = server
	go func() { _ = server.Serve(l) }()
	return nil
}

// entry returns what the replica writes to the store.
func (r *replica) entry(state string) map[string]any {
	return map[string]any{
		"backend": r.service, "address": r.address, "zone": r.zone, "version": r.release, "capacitySlots": r.slots,
		"state": state, "coldRemainingMs": 0, "sequence": 1, "born": r.born,
	}
}

func (r *replica) stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.server.Close()
}

// addRun records that the replica begins to work on the request.
func (r *replica) addRun(id string) {
	r.mu.Lock()
	r.runs[id]++
	r.mu.Unlock()
	r.record.add("%s runs %s", r.id, id)
}

func (r *replica) runsOf(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	w.Header().Set(attemptID, q.Header.Get(attemptID))
	if expected := q.Header.Get(word.ExpectedReplica); expected != "" && expected != r.id {
		w.Header().Set(word.ReplicaID, r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.behave(r, w, q, body)
}

// answerPlain runs a request and answers it.
func answerPlain(r *replica, w http.ResponseWriter, q *http.Request, _ []byte) {
	id := q.Header.Get(attemptID)
	r.addRun(id)
	pause(5 * time.Millisecond)
	w.Header().Set(signature, "sig."+r.id)
	_, _ = io.WriteString(w, "answer to "+id+" of "+r.id)
}
