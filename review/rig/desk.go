package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// arrival is a request that reached a server.
type arrival struct {
	id     string
	method string
	at     time.Time
}

// deskServer is a stand-in for a server of the plain service. It answers each request after its work time.
type deskServer struct {
	id, zone, address string
	born              time.Time
	work              time.Duration
	// limit, if it is not empty, is named in each answer as the server's limit.
	limit string
	// isLeaving is set once the server shuts down, which it says in each answer.
	isLeaving atomic.Bool

	server   *http.Server
	record   *record
	store    *store
	mu       sync.Mutex
	arrivals []arrival
	sequence int
	// registered is set while the server writes its entry.
	registered bool
	stopBeats  chan struct{}
}

func startDesk(p *play, s *store, id, zone string, work time.Duration, limit string) (*deskServer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for a server: %w", err)
	}
	d := &deskServer{id: id, zone: zone, address: l.Addr().String(), born: time.Now(), work: work, limit: limit, record: p.record, store: s, registered: true, stopBeats: make(chan struct{})}
	d.server = &http.Server{Handler: d, ReadHeaderTimeout: time.Minute}
	go func() { _ = d.server.Serve(l) }()
	s.put("servers/"+id, d.nextEntry())
	go d.beat()
	return d, nil
}

// nextEntry returns the entry of the next heartbeat.
func (d *deskServer) nextEntry() object {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sequence++
	return serverEntry(desk, d.address, d.zone, plainSlots, d.born, d.sequence)
}

func (d *deskServer) beat() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-d.stopBeats:
			return
		case <-ticker.C:
			d.store.put("servers/"+d.id, d.nextEntry())
		}
	}
}

func (d *deskServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(words.AttemptID)
	if id != "" {
		w.Header().Set(words.AttemptID, id)
	}
	if expected := r.Header.Get(words.ExpectedServer); expected != "" && expected != d.id {
		w.Header().Set(words.ServerID, d.id)
		w.Header().Set(words.NotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	d.mu.Lock()
	d.arrivals = append(d.arrivals, arrival{id: id, method: r.Method, at: time.Now()})
	d.mu.Unlock()
	d.record.note("server %s runs %s", d.id, id)
	select {
	case <-time.After(d.work):
	case <-r.Context().Done():
		return
	}
	w.Header().Set(words.Signature, "sig."+d.id+"."+id)
	w.Header().Set(words.ServerID, d.id)
	if d.limit != "" {
		w.Header().Set("Server-Limit", d.limit)
	}
	if d.isLeaving.Load() {
		w.Header().Set("Server-Leaving", "1")
	}
	_, _ = fmt.Fprintf(w, "answer of %s to %s\n", d.id, id)
}

// received returns the requests that have reached the server.
func (d *deskServer) received() []arrival {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]arrival(nil), d.arrivals...)
}

// exit ends the server as the end of its process does.
func (d *deskServer) exit() {
	_ = d.server.Close()
}
