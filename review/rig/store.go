package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's store.
type store struct {
	mu       sync.Mutex
	items    map[string]item
	events   []item
	revision int64
	leases   map[int64]*lease
	lastID   int64
	changed  chan struct{}
	// isDown makes it answer each call with 503, which says that nothing was done.
	isDown bool
	server *http.Server
	// address is where it listens.
	address string
}

type item struct {
	Key     string `json:"key"`
	Data    []byte `json:"data"`
	Rev     int64  `json:"revision"`
	Created int64  `json:"createdRevision"`
	Lease   int64  `json:"leaseId"`
	Deleted bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl   time.Duration
	until time.Time
}

func startStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for the store: %w", err)
	}
	s := &store{items: make(map[string]item), leases: make(map[int64]*lease), changed: make(chan struct{}), revision: 100, address: l.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc(words.StoreKey, s.handleKey)
	mux.HandleFunc(words.StoreRange, s.handleRange)
	mux.HandleFunc(words.StoreWatch, s.handleWatch)
	mux.HandleFunc(words.StoreTransaction, s.handleTxn)
	mux.HandleFunc(words.StoreLease, s.handleLease)
	mux.HandleFunc(words.StoreKeep, s.handleKeep)
	mux.HandleFunc(words.StoreLeaseEnd, s.handleLeaseEnd)
	s.server = &http.Server{Handler: s.guard(mux), ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(l) }()
	go s.expireLeases()
	return s, nil
}

func (s *store) close() { _ = s.server.Close() }

func (s *store) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		isDown := s.isDown
		s.mu.Unlock()
		if isDown {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// setDown takes the store down or brings it back; with lapse all leases have run out meanwhile.
func (s *store) setDown(isDown, lapse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDown = isDown
	if !lapse {
		return
	}
	for id := range s.leases {
		s.endLease(id)
	}
	s.wake()
}

func (s *store) put(key string, value any) int64 {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, data, 0)
	s.wake()
	return s.revision
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(key)
	s.wake()
}

// value returns the data under the key, or nothing.
func (s *store) value(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.items[key].Data)
}

func (s *store) countWithPrefix(prefix string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			n++
		}
	}
	return n
}

func (s *store) write(key string, data []byte, leaseID int64) {
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	it := item{Key: key, Data: data, Rev: s.revision, Created: created, Lease: leaseID}
	s.items[key] = it
	s.events = append(s.events, it)
}

func (s *store) drop(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.events = append(s.events, item{Key: key, Rev: s.revision, Deleted: true})
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.drop(key)
		}
	}
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expireLeases() {
	for range time.Tick(100 * time.Millisecond) {
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.until) {
				s.endLease(id)
				s.wake()
			}
		}
		s.mu.Unlock()
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) handleKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		answer(w, http.StatusNotFound, map[string]any{"at": s.revision})
		return
	}
	answer(w, http.StatusOK, it)
}

func (s *store) handleRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	entries := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			entries = append(entries, it)
		}
	}
	slices.SortFunc(entries, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	answer(w, http.StatusOK, map[string]any{"entries": entries, "truncated": false, "at": s.revision})
}

func (s *store) handleWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	waitMs, _ := strconv.Atoi(q.Get("waitMs"))
	timeout := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []item{}
		for _, e := range s.events {
			if e.Rev > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				events = append(events, e)
			}
		}
		at, changed, isDown := s.revision, s.changed, s.isDown
		s.mu.Unlock()
		if isDown {
			// A watch that waits may be cut.
			panic(http.ErrAbortHandler)
		}
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			answer(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) handleTxn(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Expected []struct {
			Key string `json:"key"`
			Rev int64  `json:"revision"`
		} `json:"expectedRevision"`
		Write []struct {
			Key   string `json:"key"`
			Data  []byte `json:"data"`
			Lease int64  `json:"leaseId"`
		} `json:"write"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		answer(w, http.StatusBadRequest, map[string]any{"errorMessage": err.Error()})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range call.Expected {
		if s.items[c.Key].Rev != c.Rev {
			answer(w, http.StatusPreconditionFailed, map[string]any{"entries": []item{s.items[c.Key]}})
			return
		}
	}
	for _, op := range call.Write {
		if _, ok := s.leases[op.Lease]; op.Lease != 0 && !ok {
			answer(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	for _, op := range call.Write {
		s.write(op.Key, op.Data, op.Lease)
	}
	for _, key := range call.Remove {
		s.drop(key)
	}
	s.wake()
	answer(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) handleLease(w http.ResponseWriter, r *http.Request) {
	var call struct {
		TTL int64 `json:"ttlMs"`
	}
	_ = json.NewDecoder(r.Body).Decode(&call)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	ttl := time.Duration(call.TTL) * time.Millisecond
	s.leases[s.lastID] = &lease{ttl: ttl, until: time.Now().Add(ttl)}
	answer(w, http.StatusOK, map[string]any{"leaseId": s.lastID, "ttlMs": call.TTL})
}

func (s *store) handleKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		answer(w, http.StatusNotFound, map[string]any{})
		return
	}
	l.until = time.Now().Add(l.ttl)
	answer(w, http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()})
}

func (s *store) handleLeaseEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		answer(w, http.StatusNotFound, map[string]any{})
		return
	}
	s.endLease(id)
	s.wake()
	answer(w, http.StatusOK, map[string]any{})
}
