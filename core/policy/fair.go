package policy

import (
	"cmp"
	"slices"
)

// FairQueue is a two-level weighted fair queue: weighted groups, each of weighted lanes, served in the
// order of their virtual start times.
//
// Groups with items are served in proportion to their weights, and so are the lanes inside a group;
// service that one does not use goes to the others. The zero value is empty and ready for use.
type FairQueue[G, K comparable, V any] struct {
	groups []group[G, K, V]
	// clock is the virtual time: the highest start time of a group that has been served.
	clock float64
	size  int
}

// lookAhead is how many items of a lane are tried in turn, so that an item that can't be served yet
// does not block those behind it.
const lookAhead = 4

// Entry is an item with its group, lane and weights in a FairQueue.
type Entry[G, K comparable, V any] struct {
	Group       G
	GroupWeight float64
	Lane        K
	LaneWeight  float64
	// Cost is how much service the item takes; it has the same unit for all items of a queue.
	Cost float64
	Item V
}

type group[G, K comparable, V any] struct {
	key G
	// tag is the virtual start time of the group's next item; clock is the virtual time of its lanes.
	tag   float64
	clock float64
	size  int
	lanes []lane[G, K, V]
}

type lane[G, K comparable, V any] struct {
	key K
	// tag is the virtual start time of the lane's next item.
	tag   float64
	items []Entry[G, K, V]
}

// Len returns how many items wait.
func (f FairQueue[G, K, V]) Len() int {
	return f.size
}

// GroupLen returns how many items of the group wait.
func (f FairQueue[G, K, V]) GroupLen(g G) int {
	i := f.find(g)
	if i < 0 {
		return 0
	}
	return f.groups[i].size
}

// Count returns how many of the group's items wait in lanes that match.
func (f FairQueue[G, K, V]) Count(g G, match func(K) bool) int {
	i := f.find(g)
	if i < 0 {
		return 0
	}
	n := 0
	for _, l := range f.groups[i].lanes {
		if match(l.key) {
			n += len(l.items)
		}
	}
	return n
}

// HasWaiting reports whether any lane that matches has an item.
func (f FairQueue[G, K, V]) HasWaiting(match func(K) bool) bool {
	for _, g := range f.groups {
		for _, l := range g.lanes {
			if len(l.items) > 0 && match(l.key) {
				return true
			}
		}
	}
	return false
}

// Groups returns the groups that have items, in no particular order.
func (f FairQueue[G, K, V]) Groups() []G {
	var keys []G
	for _, g := range f.groups {
		if g.size > 0 {
			keys = append(keys, g.key)
		}
	}
	return keys
}

// With returns a queue to which the entry is added.
func (f FairQueue[G, K, V]) With(e Entry[G, K, V]) FairQueue[G, K, V] {
	f.groups = slices.Clone(f.groups)
	i := f.find(e.Group)
	if i < 0 {
		i = len(f.groups)
		f.groups = append(f.groups, group[G, K, V]{key: e.Group})
	}
	g := f.groups[i]
	if g.size == 0 {
		g.tag = max(g.tag, f.clock)
	}
	f.groups[i] = g.with(e)
	f.size++
	return f
}

// Next returns the first item in the order of service for which fits returns true, and the queue
// without it; the last result is false when there is none.
func (f FairQueue[G, K, V]) Next(fits func(V) bool) (V, FairQueue[G, K, V], bool) {
	for _, i := range indicesByTag(f.groups, func(g group[G, K, V]) float64 { return g.tag }) {
		g := f.groups[i]
		e, rest, ok := g.next(fits)
		if !ok {
			continue
		}
		f.clock = max(f.clock, g.tag)
		rest.tag = g.tag + e.Cost/e.GroupWeight
		f.groups = slices.Clone(f.groups)
		f.groups[i] = rest
		f.size--
		return e.Item, f.withoutIdleGroups(), true
	}
	var none V
	return none, f, false
}

// Without returns a queue without the first item of the group that matches, and whether there was one.
func (f FairQueue[G, K, V]) Without(key G, match func(V) bool) (FairQueue[G, K, V], bool) {
	i := f.find(key)
	if i < 0 {
		return f, false
	}
	for j, l := range f.groups[i].lanes {
		index := slices.IndexFunc(l.items, func(e Entry[G, K, V]) bool { return match(e.Item) })
		if index < 0 {
			continue
		}
		l.items = slices.Delete(slices.Clone(l.items), index, index+1)
		g := f.groups[i]
		g.lanes = slices.Clone(g.lanes)
		g.lanes[j] = l
		g.size--
		f.groups = slices.Clone(f.groups)
		f.groups[i] = g
		f.size--
		return f, true
	}
	return f, false
}

func (f FairQueue[G, K, V]) find(key G) int {
	return slices.IndexFunc(f.groups, func(g group[G, K, V]) bool { return g.key == key })
}

// withoutIdleGroups drops groups that have no items and whose tag has been reached by the clock. A
// group whose tag is ahead of the clock has had service in advance; it is retained, since a new group
// would start at the clock and be served too soon.
func (f FairQueue[G, K, V]) withoutIdleGroups() FairQueue[G, K, V] {
	f.groups = slices.DeleteFunc(f.groups, func(g group[G, K, V]) bool {
		return g.size == 0 && g.tag <= f.clock
	})
	return f
}

func (g group[G, K, V]) with(e Entry[G, K, V]) group[G, K, V] {
	g.lanes = slices.Clone(g.lanes)
	i := slices.IndexFunc(g.lanes, func(l lane[G, K, V]) bool { return l.key == e.Lane })
	if i < 0 {
		i = len(g.lanes)
		g.lanes = append(g.lanes, lane[G, K, V]{key: e.Lane})
	}
	l := g.lanes[i]
	if len(l.items) == 0 {
		l.tag = max(l.tag, g.clock)
	}
	l.items = append(slices.Clip(l.items), e)
	g.lanes[i] = l
	g.size++
	return g
}

func (g group[G, K, V]) next(fits func(V) bool) (Entry[G, K, V], group[G, K, V], bool) {
	for _, i := range indicesByTag(g.lanes, func(l lane[G, K, V]) float64 { return l.tag }) {
		l := g.lanes[i]
		index := slices.IndexFunc(l.items[:min(lookAhead, len(l.items))], func(e Entry[G, K, V]) bool { return fits(e.Item) })
		if index < 0 {
			continue
		}
		e := l.items[index]
		g.clock = max(g.clock, l.tag)
		l.tag += e.Cost / e.LaneWeight
		l.items = withoutIndex(l.items, index)
		g.lanes = slices.Clone(g.lanes)
		g.lanes[i] = l
		g.lanes = slices.DeleteFunc(g.lanes, func(l lane[G, K, V]) bool {
			return len(l.items) == 0 && l.tag <= g.clock
		})
		g.size--
		return e, g, true
	}
	var none Entry[G, K, V]
	return none, g, false
}

// withoutIndex returns the items without the one at the index; removing the first copies nothing.
func withoutIndex[T any](items []T, index int) []T {
	if index == 0 {
		return items[1:]
	}
	return slices.Delete(slices.Clone(items), index, index+1)
}

// indicesByTag returns the list's indices in ascending order of the tags; equal tags keep their order.
func indicesByTag[T any](list []T, tag func(T) float64) []int {
	indices := make([]int, len(list))
	for i := range indices {
		indices[i] = i
	}
	slices.SortStableFunc(indices, func(a, b int) int { return cmp.Compare(tag(list[a]), tag(list[b])) })
	return indices
}
