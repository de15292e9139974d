package policy

import (
	"cmp"
	"errors"
	"iter"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// RendezvousConfig configures a Rendezvous.
type RendezvousConfig struct {
	// Slots is how many slots there are to own.
	Slots int
}

// Rendezvous assigns slots to members by rendezvous hashing: each slot is owned by the member with the
// highest weight for it.
//
// It is immutable and stores the owner of every slot, so that a lookup is one slice access. When a member
// is added or removed, only the slots that it gains or loses change their owner.
type Rendezvous[K ~string] struct {
	slots   int
	members []hashedKey[K]
	owners  []hashedKey[K]
}

type hashedKey[K ~string] struct {
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
	member := hashedKey[K]{key: k, hash: xxhash.Sum64String(string(k))}
	owners := make([]hashedKey[K], r.slots)
	for slot := range owners {
		owners[slot] = member
		if slot < len(r.owners) && hasHigherWeight(r.owners[slot], member, uint64(slot)) {
			owners[slot] = r.owners[slot]
		}
	}
	r.members = slices.Insert(slices.Clone(r.members), i, member)
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
			r.owners[slot] = memberWithHighestWeight(r.members, uint64(slot))
		}
	}
	return r
}

func (r Rendezvous[K]) find(k K) (int, bool) {
	return slices.BinarySearchFunc(r.members, k, func(m hashedKey[K], k K) int { return cmp.Compare(m.key, k) })
}

// Top returns the n members with the highest weights for the subject, in descending order of weight.
func (r Rendezvous[K]) Top(subject string, n int) []K {
	top := NewTop[K](subject, n)
	for _, m := range r.members {
		top.add(m)
	}
	return top.Keys()
}

// Top collects the keys with the highest rendezvous weights for a subject. It gives the same result as
// Rendezvous.Top where the members are offered one by one.
type Top[K ~string] struct {
	subjectHash uint64
	limit       int
	best        []hashedKey[K]
}

// NewTop returns an empty Top that keeps at most n keys for the subject.
func NewTop[K ~string](subject string, n int) *Top[K] {
	return &Top[K]{subjectHash: xxhash.Sum64String(subject), limit: n, best: make([]hashedKey[K], 0, n+1)}
}

// Offer adds the key if its weight is among the highest so far.
func (t *Top[K]) Offer(k K) {
	t.add(hashedKey[K]{key: k, hash: xxhash.Sum64String(string(k))})
}

func (t *Top[K]) add(m hashedKey[K]) {
	if len(t.best) == t.limit && (t.limit == 0 || !hasHigherWeight(m, t.best[t.limit-1], t.subjectHash)) {
		return
	}
	i, _ := slices.BinarySearchFunc(t.best, m, func(other, m hashedKey[K]) int {
		if hasHigherWeight(other, m, t.subjectHash) {
			return -1
		}
		return 1
	})
	t.best = slices.Insert(t.best, i, m)
	t.best = t.best[:min(t.limit, len(t.best))]
}

// Keys returns the collected keys, in descending order of their weights.
func (t *Top[K]) Keys() []K {
	keys := make([]K, len(t.best))
	for i, m := range t.best {
		keys[i] = m.key
	}
	return keys
}

func memberWithHighestWeight[K ~string](members []hashedKey[K], seed uint64) hashedKey[K] {
	best := members[0]
	for _, m := range members[1:] {
		if hasHigherWeight(m, best, seed) {
			best = m
		}
	}
	return best
}

func hasHigherWeight[K ~string](a, b hashedKey[K], seed uint64) bool {
	wa, wb := mixBits(a.hash^mixBits(seed)), mixBits(b.hash^mixBits(seed))
	if wa != wb {
		return wa > wb
	}
	return a.key > b.key
}

// mixBits is the SplitMix64 step: every input bit affects the whole word, so that the weights of
// neighbouring slots are unrelated.
func mixBits(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
