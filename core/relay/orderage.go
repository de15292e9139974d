package relay

import (
	"slices"
	"time"
)

// OrderAge is the age of a roll-out's order as one instance reports it to another.
type OrderAge struct {
	Service ServiceName
	// Revision is the store revision of the order.
	Revision int64
	// Age is the time since the order was given, by the monotonic clock of the reporting instance.
	Age time.Duration
}

// OrderAges returns the ages of the orders whose age is known rather than estimated.
func (s State) OrderAges(now time.Time) []OrderAge {
	var known []OrderAge
	for _, r := range s.rollOuts {
		if r.AgeKnown {
			known = append(known, OrderAge{Service: r.Order.Service, Revision: r.Order.Revision, Age: now.Sub(r.OrderedAt)})
		}
	}
	return known
}

// HasUnknownOrderAge reports whether the age of some unfinished roll-out's order is only estimated,
// because the instance was not running, or not connected to the store, when the order was given.
func (s State) HasUnknownOrderAge() bool {
	for _, r := range s.rollOuts {
		if r.Order.Target != "" && !r.AgeKnown && !r.Phase().IsFinal() {
			return true
		}
	}
	return false
}

// WithOrderAges returns a state in which orders of unknown age have the ages that other instances
// reported at the given time.
func (s State) WithOrderAges(reported []OrderAge, at time.Time) State {
	rollOuts := make(map[ServiceName]RollOutState, len(s.rollOuts))
	for name, r := range s.rollOuts {
		for _, age := range reported {
			if age.Service == name && age.Revision == r.Order.Revision && !r.AgeKnown {
				r = r.withOrderTime(at.Add(-age.Age), true)
			}
		}
		rollOuts[name] = r
	}
	s.rollOuts = rollOuts
	return s
}

func (r RollOutState) withOrderTime(at time.Time, known bool) RollOutState {
	r.OrderedAt, r.AgeKnown = at, known
	return r
}

// estimatedOrderTime estimates when the order was given by the median start time of the servers
// that run its target release: they were started for the order, and the median is little affected
// by single ones that have restarted since. The start times come from the wall clocks of several
// machines, so ages reported by other instances replace the estimate. It is never later than the
// given time, and never earlier by more than the order's Within.
func (r RollOutState) estimatedOrderTime(servers []Server, at time.Time) time.Time {
	var startTimes []time.Time
	for _, server := range servers {
		if server.Release == r.Order.Target && !server.Born.IsZero() {
			startTimes = append(startTimes, server.Born)
		}
	}
	if len(startTimes) == 0 {
		return at
	}
	slices.SortFunc(startTimes, time.Time.Compare)
	age := at.Sub(startTimes[len(startTimes)/2])
	return at.Add(-max(0, min(age, r.Order.Within)))
}
