package state

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"endivehitch/core/policy"
	"endivehitch/core/value"
)

// WithServer returns a state in which the backend server is added or replaced.
func (s State) WithServer(b value.BackendServer) State {
	return s.WithServers([]value.BackendServer{b}, nil)
}

// WithoutServer returns a state from which the backend server is removed.
func (s State) WithoutServer(id value.ServerID) State {
	return s.WithServers(nil, []value.ServerID{id})
}

// WithServers returns a state in which some backend servers are added or replaced and others removed.
//
// Each list of servers is rebuilt at most once, and not at all for servers that have not changed.
func (s State) WithServers(changed []value.BackendServer, removed []value.ServerID) State {
	byPool := newListChanges[value.PoolName]()
	byVersion := newListChanges[value.VersionKey]()
	next := make(map[value.ServerID]value.BackendServer, len(changed))
	for _, id := range removed {
		if old, ok := s.servers.Get(id); ok {
			byPool.remove(old, old.Pool)
			byVersion.remove(old, old.Versions...)
		}
	}
	for _, b := range changed {
		old, known := s.servers.Get(b.ID)
		// The argument may contain a server more than once; the last entry wins.
		if _, alreadyChanged := next[b.ID]; !alreadyChanged && known && isSameServer(old, b) {
			continue
		}
		if known {
			byPool.remove(old, old.Pool)
			byVersion.remove(old, old.Versions...)
		}
		next[b.ID] = b
	}
	for _, b := range next {
		if b.State == value.ServerLive {
			byPool.add(b, b.Pool)
			byVersion.add(b, b.Versions...)
		}
	}
	s.servers = s.servers.Edit(next, removed)
	s.poolServers = byPool.apply(s.poolServers)
	s.versionServers = byVersion.apply(s.versionServers)
	return s
}

// RingIndex returns the index in a list of servers at which the search for the server of a hash starts.
//
// The lists are sorted by the hashes of the servers' identifiers, as on a consistent-hashing ring, so
// that adding or removing a server moves only the hashes between it and its neighbour.
func RingIndex(list []value.BackendServer, hash uint64) int {
	i, _ := slices.BinarySearchFunc(list, hash, func(b value.BackendServer, h uint64) int {
		return cmp.Compare(hashOf(b.ID), h)
	})
	if i == len(list) {
		return 0
	}
	return i
}

// listChanges collects servers to add to and to remove from several lists, each with a key.
type listChanges[K ~string] struct {
	added   map[K][]value.BackendServer
	removed map[K]map[value.ServerID]bool
}

func newListChanges[K ~string]() listChanges[K] {
	return listChanges[K]{
		added:   make(map[K][]value.BackendServer),
		removed: make(map[K]map[value.ServerID]bool),
	}
}

func (c listChanges[K]) add(b value.BackendServer, keys ...K) {
	for _, k := range keys {
		c.added[k] = append(c.added[k], b)
	}
}

func (c listChanges[K]) remove(b value.BackendServer, keys ...K) {
	for _, k := range keys {
		if c.removed[k] == nil {
			c.removed[k] = make(map[value.ServerID]bool)
		}
		c.removed[k][b.ID] = true
	}
}

func (c listChanges[K]) apply(t policy.Table[K, []value.BackendServer]) policy.Table[K, []value.BackendServer] {
	next := make(map[K][]value.BackendServer, len(c.added))
	for k := range c.removed {
		next[k] = c.rebuild(t, k)
	}
	for k := range c.added {
		next[k] = c.rebuild(t, k)
	}
	return t.Edit(next, nil)
}

func (c listChanges[K]) rebuild(t policy.Table[K, []value.BackendServer], k K) []value.BackendServer {
	old, _ := t.Get(k)
	list := make([]value.BackendServer, 0, len(old)+len(c.added[k]))
	for _, b := range old {
		if !c.removed[k][b.ID] {
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

func isSameServer(a, b value.BackendServer) bool {
	return a.Address == b.Address && a.Pool == b.Pool && a.FailureDomain == b.FailureDomain &&
		a.State == b.State && a.Since.Equal(b.Since) && slices.Equal(a.Versions, b.Versions)
}

func compareHash(a, b value.BackendServer) int {
	return cmp.Or(cmp.Compare(hashOf(a.ID), hashOf(b.ID)), cmp.Compare(a.ID, b.ID))
}

func hashOf(id value.ServerID) uint64 {
	return xxhash.Sum64String(string(id))
}
