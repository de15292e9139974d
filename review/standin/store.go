package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const maxPageEntries = 500

// storeItem is one key as the store's calls show it.
type storeItem struct {
	Key             string `json:"key"`
	Data            []byte `json:"data,omitempty"`
	Revision        int64  `json:"revision"`
	CreatedRevision int64  `json:"createdRevision,omitempty"`
	LeaseID         int64  `json:"leaseId"`
	Deleted         bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl   time.Duration
	until time.Time
}

// store is a stand-in of the platform's metadata store.
type store struct {
	mu       sync.Mutex
	items    map[string]storeItem
	events   []storeItem
	revision int64
	leases   map[int64]lease
	lastID   int64
	changed  chan struct{}
	down     bool
	server   *http.Server
	address  string
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("start store: %w", err)
	}
	s := &store{
		items: make(map[string]storeItem), leases: make(map[int64]lease), changed: make(chan struct{}), revision: 7,
		address: l.Addr().String(),
	}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *store) stop() {
	_ = s.server.Close()
}

// setDown makes the store answer 503, or ends that.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// put writes as the operator or a backend server does, and returns the revision.
func (s *store) put(key string, value any) int64 {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(storeItem{Key: key, Data: data})
	return s.revision
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; ok {
		s.write(storeItem{Key: key, Deleted: true})
	}
}

func (s *store) get(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.items[key].Data)
}

// write applies a change; the caller holds the lock.
func (s *store) write(i storeItem) {
	s.revision++
	i.Revision, i.CreatedRevision = s.revision, s.revision
	if old, ok := s.items[i.Key]; ok {
		i.CreatedRevision = old.CreatedRevision
	}
	if i.Deleted {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.events = append(s.events, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends the leases whose time is over; the caller holds the lock.
func (s *store) expire() {
	for id, l := range s.leases {
		if time.Now().After(l.until) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if s.items[key].LeaseID == id {
			s.write(storeItem{Key: key, Deleted: true})
		}
	}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	down := s.down
	s.expire()
	s.mu.Unlock()
	id, _ := strconv.ParseInt(r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:], 10, 64)
	switch path := r.URL.Path; {
	case down:
		reply(w, http.StatusServiceUnavailable, nil)
	case path == word.StoreKey:
		s.answerKey(w, r)
	case path == word.StoreRange:
		s.answerRange(w, r)
	case path == word.StoreWatch:
		s.answerWatch(w, r)
	case path == word.StoreTransaction:
		s.answerTransaction(w, r)
	case path == word.StoreLease:
		s.answerLease(w, r)
	case strings.HasPrefix(path, word.StoreKeep):
		s.answerKeep(w, id)
	case strings.HasPrefix(path, word.StoreLeaseEnd):
		s.mu.Lock()
		s.endLease(id)
		s.mu.Unlock()
		reply(w, http.StatusOK, struct{}{})
	default:
		reply(w, http.StatusNotFound, nil)
	}
}

func (s *store) answerKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		reply(w, http.StatusNotFound, nil)
		return
	}
	reply(w, http.StatusOK, struct {
		storeItem
		At int64 `json:"at"`
	}{i, s.revision})
}

func (s *store) answerRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	entries, truncated := []storeItem{}, false
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if !strings.HasPrefix(key, prefix) || key <= after {
			continue
		}
		if truncated = len(entries) == maxPageEntries; truncated {
			break
		}
		entries = append(entries, s.items[key])
	}
	reply(w, http.StatusOK, map[string]any{"entries": entries, "truncated": truncated, "at": s.revision})
}

func (s *store) answerWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for isLast := false; ; {
		s.mu.Lock()
		s.expire()
		events := []storeItem{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				events = append(events, e)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || isLast {
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			isLast = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) answerTransaction(w http.ResponseWriter, r *http.Request) {
	var call struct {
		ExpectedRevision []storeItem `json:"expectedRevision"`
		Write            []storeItem `json:"write"`
		Remove           []string    `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	holds, current := true, []storeItem{}
	for _, e := range call.ExpectedRevision {
		holds = holds && s.items[e.Key].Revision == e.Revision
		if i, ok := s.items[e.Key]; ok {
			current = append(current, i)
		}
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, map[string]any{"entries": current})
		return
	}
	for _, i := range call.Write {
		if strings.HasPrefix(i.Key, "op/") || strings.HasPrefix(i.Key, "servers/") {
			reply(w, http.StatusForbidden, nil)
			return
		}
		if _, ok := s.leases[i.LeaseID]; i.LeaseID != 0 && !ok {
			reply(w, http.StatusNotFound, nil)
			return
		}
	}
	for _, i := range call.Write {
		s.write(storeItem{Key: i.Key, Data: i.Data, LeaseID: i.LeaseID})
	}
	for _, key := range call.Remove {
		if _, ok := s.items[key]; ok {
			s.write(storeItem{Key: key, Deleted: true})
		}
	}
	reply(w, http.StatusOK, map[string]int64{"revision": s.revision})
}

func (s *store) answerLease(w http.ResponseWriter, r *http.Request) {
	var call struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	ttl := time.Duration(call.TTLMs) * time.Millisecond
	s.leases[s.lastID] = lease{ttl: ttl, until: time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]int64{"leaseId": s.lastID, "ttlMs": call.TTLMs})
}

func (s *store) answerKeep(w http.ResponseWriter, id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		reply(w, http.StatusNotFound, nil)
		return
	}
	s.leases[id] = lease{ttl: l.ttl, until: time.Now().Add(l.ttl)}
	reply(w, http.StatusOK, map[string]int64{"ttlMs": l.ttl.Milliseconds()})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the instance has gone.
	_ = json.NewEncoder(w).Encode(body)
}
