package policy

import (
	"iter"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// tableShardCount is the number of shards. A change copies one shard and the array of shards, so it
// copies a small part of a large table.
const tableShardCount = 256

// Table is an immutable sharded map; the zero value is empty and ready for use.
type Table[K ~string, V any] struct {
	shards *[tableShardCount]map[K]V
	size   int
}

// NewTable returns a table that holds a copy of the entries.
func NewTable[K ~string, V any](entries map[K]V) Table[K, V] {
	shards := new([tableShardCount]map[K]V)
	for k, v := range entries {
		i := shardOf(k)
		if shards[i] == nil {
			shards[i] = make(map[K]V)
		}
		shards[i][k] = v
	}
	return Table[K, V]{shards: shards, size: len(entries)}
}

// Len returns the number of entries.
func (t Table[K, V]) Len() int {
	return t.size
}

// Get returns the key's value and whether there is one.
func (t Table[K, V]) Get(k K) (V, bool) {
	if t.shards == nil {
		var zero V
		return zero, false
	}
	v, ok := t.shards[shardOf(k)][k]
	return v, ok
}

// With returns a table in which the key has the value.
func (t Table[K, V]) With(k K, v V) Table[K, V] {
	next, shard := t.withCopiedShard(k)
	if _, ok := shard[k]; !ok {
		next.size++
	}
	shard[k] = v
	return next
}

// Without returns a table without the key.
func (t Table[K, V]) Without(k K) Table[K, V] {
	if _, ok := t.Get(k); !ok {
		return t
	}
	next, shard := t.withCopiedShard(k)
	delete(shard, k)
	next.size--
	return next
}

// Edit returns a table without the given keys and with the entries of the map; for a key in both,
// the map takes precedence. It copies each shard at most once.
func (t Table[K, V]) Edit(entries map[K]V, without []K) Table[K, V] {
	if len(entries) == 0 && len(without) == 0 {
		return t
	}
	next := Table[K, V]{shards: new([tableShardCount]map[K]V), size: t.size}
	if t.shards != nil {
		*next.shards = *t.shards
	}
	var copied [tableShardCount]bool
	ownShard := func(k K) map[K]V {
		i := shardOf(k)
		if !copied[i] {
			next.shards[i] = cloneShard(next.shards[i])
			copied[i] = true
		}
		return next.shards[i]
	}
	for _, k := range without {
		shard := ownShard(k)
		next.size -= entryCount(shard, k)
		delete(shard, k)
	}
	for k, v := range entries {
		shard := ownShard(k)
		next.size += 1 - entryCount(shard, k)
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

// Unordered yields the entries in any order, which takes less time than All.
func (t Table[K, V]) Unordered() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		if t.shards == nil {
			return
		}
		for _, shard := range t.shards {
			for k, v := range shard {
				if !yield(k, v) {
					return
				}
			}
		}
	}
}

// Keys returns the keys in order.
func (t Table[K, V]) Keys() []K {
	if t.shards == nil {
		return nil
	}
	keys := make([]K, 0, t.size)
	for _, shard := range t.shards {
		keys = slices.AppendSeq(keys, maps.Keys(shard))
	}
	slices.Sort(keys)
	return keys
}

// withCopiedShard returns a copy of the table that has its own copy of the key's shard, and that shard.
func (t Table[K, V]) withCopiedShard(k K) (Table[K, V], map[K]V) {
	shards := new([tableShardCount]map[K]V)
	if t.shards != nil {
		*shards = *t.shards
	}
	i := shardOf(k)
	shard := cloneShard(shards[i])
	shards[i] = shard
	return Table[K, V]{shards: shards, size: t.size}, shard
}

func cloneShard[K ~string, V any](shard map[K]V) map[K]V {
	if shard == nil {
		return make(map[K]V)
	}
	return maps.Clone(shard)
}

// entryCount returns 1 if the shard has the key, and 0 otherwise.
func entryCount[K ~string, V any](shard map[K]V, k K) int {
	if _, ok := shard[k]; ok {
		return 1
	}
	return 0
}

func shardOf[K ~string](k K) int {
	return int(xxhash.Sum64String(string(k)) % tableShardCount)
}
