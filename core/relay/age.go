package relay

import (
	"slices"
	"time"
)

// OrderAge is what one instance tells another of how old a roll-out's order is.
type OrderAge struct {
	Service ServiceName
	// Revision is the order's own revision.
	Revision int64
	// Age is the time since the order was given, by the steady clock of the instance that tells.
	Age time.Duration
}

// OrderAges returns the ages of the orders whose start the instance knows.
func (s State) OrderAges(now time.Time) []OrderAge {
	var known []OrderAge
	for _, p := range s.rollOuts {
		if p.AgeKnown {
			known = append(known, OrderAge{Service: p.Order.Service, Revision: p.Order.Revision, Age: now.Sub(p.Seen)})
		}
	}
	return known
}

// AgeUnknown reports whether there is an open roll-out whose order was given while the instance
// was not there to see it.
func (s State) AgeUnknown() bool {
	for _, p := range s.rollOuts {
		if p.Order.Target != "" && !p.AgeKnown && !p.Phase().Final() {
			return true
		}
	}
	return false
}

// WithOrderAges returns a state in which orders that the instance did not see being given are as old
// as others tell.
func (s State) WithOrderAges(told []OrderAge, at time.Time) State {
	plans := make(map[ServiceName]Plan, len(s.rollOuts))
	for n, p := range s.rollOuts {
		for _, t := range told {
			if t.Service == n && t.Revision == p.Order.Revision && !p.AgeKnown {
				p = p.withSeen(at.Add(-t.Age), true)
			}
		}
		plans[n] = p
	}
	s.rollOuts = plans
	return s
}

func (p Plan) withSeen(at time.Time, known bool) Plan {
	p.Seen, p.AgeKnown = at, known
	return p
}

// presumed returns when the order was given as far as the start of the target's servers tells, which
// are started for it: the median, as single servers may have started anew since. It rests on the time
// of day, so what other instances tell goes first.
func (p Plan) presumed(servers []Server, at time.Time) time.Time {
	var born []time.Time
	for _, v := range servers {
		if v.Release == p.Order.Target && !v.Born.IsZero() {
			born = append(born, v.Born)
		}
	}
	if len(born) == 0 {
		return at
	}
	slices.SortFunc(born, time.Time.Compare)
	age := at.Sub(born[len(born)/2])
	return at.Add(-max(0, min(age, p.Order.Within)))
}
