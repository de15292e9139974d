package policy

import (
	"cmp"
	"errors"
	"iter"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// RendezvousConfig sets up a Rendezvous.
type RendezvousConfig struct {
	// Slots is how many slots there are to own.
	Slots int
}

// Rendezvous assigns each slot to the member with the highest weight for it.
//
// It is immutable, and holds the owner of every slot, so that a lookup costs nothing; a change
// moves only the slots that the changed member gains or loses.
type Rendezvous[K ~string] struct {
	slots   int
	members []weighted[K]
	owners  []weighted[K]
}

type weighted[K ~string] struct {
	key  K
	hash uint64
}

// NewRendezvous returns an assignment without members, or an error when there are no slots.
func NewRendezvous[K ~string](c RendezvousConfig) (Rendezvous[K], error) {
	if c.Slots < 1 {
		return Rendezvous[K]{}, errors.New("rendezvous: no slots")
	}
	return Rendezvous[K]{slots: c.Slots}, nil
}

// Slots returns the number of slots.
func (r Rendezvous[K]) Slots() int {
	return r.slots
}

// Len returns the number of members.
func (r Rendezvous[K]) Len() int {
	return len(r.members)
}

// Has reports whether the key is a member.
func (r Rendezvous[K]) Has(k K) bool {
	_, ok := r.find(k)
	return ok
}

// Members yields the members in the order of their keys.
func (r Rendezvous[K]) Members() iter.Seq[K] {
	return func(yield func(K) bool) {
		for _, m := range r.members {
			if !yield(m.key) {
				return
			}
		}
	}
}

// Owner returns the member that owns the slot, and false where there is no member or no such slot.
func (r Rendezvous[K]) Owner(slot int) (K, bool) {
	if slot < 0 || slot >= len(r.owners) {
		var none K
		return none, false
	}
	return r.owners[slot].key, true
}

// With returns an assignment that has the member.
func (r Rendezvous[K]) With(k K) Rendezvous[K] {
	i, ok := r.find(k)
	if ok {
		return r
	}
	m := weighted[K]{key: k, hash: xxhash.Sum64String(string(k))}
	owners := make([]weighted[K], r.slots)
	for slot := range owners {
		owners[slot] = m
		if slot < len(r.owners) && heavier(r.owners[slot], m, uint64(slot)) {
			owners[slot] = r.owners[slot]
		}
	}
	r.members = slices.Insert(slices.Clone(r.members), i, m)
	r.owners = owners
	return r
}

// Without returns an assignment that lacks the member.
func (r Rendezvous[K]) Without(k K) Rendezvous[K] {
	i, ok := r.find(k)
	if !ok {
		return r
	}
	r.members = slices.Delete(slices.Clone(r.members), i, i+1)
	if len(r.members) == 0 {
		r.owners = nil
		return r
	}
	r.owners = slices.Clone(r.owners)
	for slot, owner := range r.owners {
		if owner.key == k {
			r.owners[slot] = heaviest(r.members, uint64(slot))
		}
	}
	return r
}

func (r Rendezvous[K]) find(k K) (int, bool) {
	return slices.BinarySearchFunc(r.members, k, func(m weighted[K], k K) int { return cmp.Compare(m.key, k) })
}

// Top returns the n members that have the highest weights for the subject, heaviest first.
func (r Rendezvous[K]) Top(subject string, n int) []K {
	top := NewTop[K](subject, n)
	for _, m := range r.members {
		top.add(m)
	}
	return top.Keys()
}

// Top gathers the keys that have the highest weights for a subject, as a Rendezvous would choose them
// among members that are only known one by one.
type Top[K ~string] struct {
	seed uint64
	most int
	best []weighted[K]
}

// NewTop returns an empty choice of at most n keys for the subject.
func NewTop[K ~string](subject string, n int) *Top[K] {
	return &Top[K]{seed: xxhash.Sum64String(subject), most: n, best: make([]weighted[K], 0, n+1)}
}

// Offer takes the key in if it is among the heaviest so far.
func (t *Top[K]) Offer(k K) {
	t.add(weighted[K]{key: k, hash: xxhash.Sum64String(string(k))})
}

func (t *Top[K]) add(m weighted[K]) {
	if len(t.best) == t.most && (t.most == 0 || !heavier(m, t.best[t.most-1], t.seed)) {
		return
	}
	i, _ := slices.BinarySearchFunc(t.best, m, func(have, m weighted[K]) int {
		if heavier(have, m, t.seed) {
			return -1
		}
		return 1
	})
	t.best = slices.Insert(t.best, i, m)
	t.best = t.best[:min(t.most, len(t.best))]
}

// Keys returns the chosen keys, heaviest first.
func (t *Top[K]) Keys() []K {
	keys := make([]K, len(t.best))
	for i, m := range t.best {
		keys[i] = m.key
	}
	return keys
}

func heaviest[K ~string](members []weighted[K], seed uint64) weighted[K] {
	best := members[0]
	for _, m := range members[1:] {
		if heavier(m, best, seed) {
			best = m
		}
	}
	return best
}

func heavier[K ~string](a, b weighted[K], seed uint64) bool {
	wa, wb := mix(a.hash^mix(seed)), mix(b.hash^mix(seed))
	if wa != wb {
		return wa > wb
	}
	return a.key > b.key
}

// mix spreads every bit of the input over the whole word, so that weights of neighbouring slots are unrelated.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
