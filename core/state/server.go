package state

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"endivehitch/core/policy"
	"endivehitch/core/value"
)

// WithServer returns a state that knows the backend server as given.
func (s State) WithServer(b value.BackendServer) State {
	return s.WithServers([]value.BackendServer{b}, nil)
}

// WithoutServer returns a state that has forgotten the backend server.
func (s State) WithoutServer(id value.ServerID) State {
	return s.WithServers(nil, []value.ServerID{id})
}

// WithServers returns a state that knows the changed backend servers as given and has forgotten the gone ones.
//
// Each list of servers is rebuilt at most once, and unchanged servers cost nothing.
func (s State) WithServers(changed []value.BackendServer, gone []value.ServerID) State {
	members := newChanges[value.PoolName]()
	carriers := newChanges[value.VersionKey]()
	next := make(map[value.ServerID]value.BackendServer, len(changed))
	for _, id := range gone {
		if old, ok := s.servers.Get(id); ok {
			members.drop(old, old.Pool)
			carriers.drop(old, old.Versions...)
		}
	}
	for _, b := range changed {
		old, known := s.servers.Get(b.ID)
		// A list may name a server more than once; the last entry holds.
		if _, edited := next[b.ID]; !edited && known && same(old, b) {
			continue
		}
		if known {
			members.drop(old, old.Pool)
			carriers.drop(old, old.Versions...)
		}
		next[b.ID] = b
	}
	for _, b := range next {
		if b.State == value.ServerLive {
			members.add(b, b.Pool)
			carriers.add(b, b.Versions...)
		}
	}
	s.servers = s.servers.Edit(next, gone)
	s.members = members.apply(s.members)
	s.carriers = carriers.apply(s.carriers)
	return s
}

// Position returns the index in a list of servers at which the search for a hash's home starts.
//
// The lists stand in the order of the hashes of identifiers, so that a server
// which comes or goes moves only its neighbours' part of the hashes.
func Position(list []value.BackendServer, hash uint64) int {
	i, _ := slices.BinarySearchFunc(list, hash, func(b value.BackendServer, h uint64) int {
		return cmp.Compare(hashOf(b.ID), h)
	})
	if i == len(list) {
		return 0
	}
	return i
}

// changes collects what becomes of several lists of servers.
type changes[K ~string] struct {
	added   map[K][]value.BackendServer
	dropped map[K]map[value.ServerID]bool
}

func newChanges[K ~string]() changes[K] {
	return changes[K]{
		added:   make(map[K][]value.BackendServer),
		dropped: make(map[K]map[value.ServerID]bool),
	}
}

func (c changes[K]) add(b value.BackendServer, keys ...K) {
	for _, k := range keys {
		c.added[k] = append(c.added[k], b)
	}
}

func (c changes[K]) drop(b value.BackendServer, keys ...K) {
	for _, k := range keys {
		if c.dropped[k] == nil {
			c.dropped[k] = make(map[value.ServerID]bool)
		}
		c.dropped[k][b.ID] = true
	}
}

func (c changes[K]) apply(t policy.Table[K, []value.BackendServer]) policy.Table[K, []value.BackendServer] {
	next := make(map[K][]value.BackendServer, len(c.added))
	for k := range c.dropped {
		next[k] = c.list(t, k)
	}
	for k := range c.added {
		next[k] = c.list(t, k)
	}
	return t.Edit(next, nil)
}

func (c changes[K]) list(t policy.Table[K, []value.BackendServer], k K) []value.BackendServer {
	old, _ := t.Get(k)
	list := make([]value.BackendServer, 0, len(old)+len(c.added[k]))
	for _, b := range old {
		if !c.dropped[k][b.ID] {
			list = append(list, b)
		}
	}
	if len(c.added[k]) == 0 {
		return list
	}
	list = append(list, c.added[k]...)
	slices.SortFunc(list, compareHash)
	return list
}

func same(a, b value.BackendServer) bool {
	return a.Address == b.Address && a.Pool == b.Pool && a.FailureDomain == b.FailureDomain &&
		a.State == b.State && a.Since.Equal(b.Since) && slices.Equal(a.Versions, b.Versions)
}

func compareHash(a, b value.BackendServer) int {
	return cmp.Or(cmp.Compare(hashOf(a.ID), hashOf(b.ID)), cmp.Compare(a.ID, b.ID))
}

func hashOf(id value.ServerID) uint64 {
	return xxhash.Sum64String(string(id))
}
