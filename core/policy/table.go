package policy

import (
	"iter"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// A change copies one shard and the spine, so its cost grows with the square
// root of the table's size rather than with the size.
const tableShards = 256

// Table is an immutable map; the zero value is empty and ready for use.
type Table[K ~string, V any] struct {
	spine *[tableShards]map[K]V
	size  int
}

// NewTable returns a table that holds a copy of the entries.
func NewTable[K ~string, V any](entries map[K]V) Table[K, V] {
	spine := new([tableShards]map[K]V)
	for k, v := range entries {
		i := shardOf(k)
		if spine[i] == nil {
			spine[i] = make(map[K]V)
		}
		spine[i][k] = v
	}
	return Table[K, V]{spine: spine, size: len(entries)}
}

// Len returns the number of entries.
func (t Table[K, V]) Len() int {
	return t.size
}

// Get returns the entry of the key and whether there is one.
func (t Table[K, V]) Get(k K) (V, bool) {
	if t.spine == nil {
		var zero V
		return zero, false
	}
	v, ok := t.spine[shardOf(k)][k]
	return v, ok
}

// With returns a table in which the key has the value.
func (t Table[K, V]) With(k K, v V) Table[K, V] {
	next, shard := t.open(k)
	if _, ok := shard[k]; !ok {
		next.size++
	}
	shard[k] = v
	return next
}

// Without returns a table that lacks the key.
func (t Table[K, V]) Without(k K) Table[K, V] {
	if _, ok := t.Get(k); !ok {
		return t
	}
	next, shard := t.open(k)
	delete(shard, k)
	next.size--
	return next
}

// Edit returns a table that has the entries of the map and lacks the given keys; it copies each
// shard at most once.
func (t Table[K, V]) Edit(entries map[K]V, without []K) Table[K, V] {
	if len(entries) == 0 && len(without) == 0 {
		return t
	}
	next := Table[K, V]{spine: new([tableShards]map[K]V), size: t.size}
	if t.spine != nil {
		*next.spine = *t.spine
	}
	var copied [tableShards]bool
	own := func(k K) map[K]V {
		i := shardOf(k)
		if !copied[i] {
			next.spine[i] = cloned(next.spine[i])
			copied[i] = true
		}
		return next.spine[i]
	}
	for _, k := range without {
		shard := own(k)
		next.size -= held(shard, k)
		delete(shard, k)
	}
	for k, v := range entries {
		shard := own(k)
		next.size += 1 - held(shard, k)
		shard[k] = v
	}
	return next
}

// All yields the entries in the order of their keys.
func (t Table[K, V]) All() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for _, k := range t.Keys() {
			v, _ := t.Get(k)
			if !yield(k, v) {
				return
			}
		}
	}
}

// Keys returns the keys in order.
func (t Table[K, V]) Keys() []K {
	if t.spine == nil {
		return nil
	}
	keys := make([]K, 0, t.size)
	for _, shard := range t.spine {
		keys = slices.AppendSeq(keys, maps.Keys(shard))
	}
	slices.Sort(keys)
	return keys
}

// open copies the spine and the key's shard, so that the shard may be written.
func (t Table[K, V]) open(k K) (Table[K, V], map[K]V) {
	spine := new([tableShards]map[K]V)
	if t.spine != nil {
		*spine = *t.spine
	}
	i := shardOf(k)
	shard := cloned(spine[i])
	spine[i] = shard
	return Table[K, V]{spine: spine, size: t.size}, shard
}

func cloned[K ~string, V any](shard map[K]V) map[K]V {
	if shard == nil {
		return make(map[K]V)
	}
	return maps.Clone(shard)
}

// held counts the key's entries: one or none.
func held[K ~string, V any](shard map[K]V, k K) int {
	if _, ok := shard[k]; ok {
		return 1
	}
	return 0
}

func shardOf[K ~string](k K) int {
	return int(xxhash.Sum64String(string(k)) % tableShards)
}
