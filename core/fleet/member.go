package fleet

import (
	"math"
	"math/bits"
	"time"

	"endivehitch/core/value"
)

// Timing sets the pace of the membership protocol.
type Timing struct {
	// Period is the time between an instance's probes.
	Period time.Duration
	// Timeout is how long a direct or an indirect probe waits for its answer.
	Timeout time.Duration
	// Helpers is how many other instances probe one that did not answer.
	Helpers int
	// View is how many instances one probes and pushes to; the choice rotates.
	View int
	// Rotation is how long a view lasts.
	Rotation time.Duration
	// Forget is how long an instance that is gone is remembered.
	Forget time.Duration
	// Batch is how many instances one message brings news of, at most.
	Batch int
	// Reconnect is how many probes pass, on average, between probes of instances that are gone but still listed.
	Reconnect int
	// Fanout is how many instances are told at once of a new configuration.
	Fanout int
	// Readers is how many instances of each failure domain watch the key-value service.
	Readers int
}

// DefaultTiming returns the pace that the capacity page is worked out for.
func DefaultTiming() Timing {
	return Timing{
		Period:    time.Second,
		Timeout:   300 * time.Millisecond,
		Helpers:   3,
		View:      16,
		Rotation:  10 * time.Minute,
		Forget:    10 * time.Minute,
		Batch:     16,
		Reconnect: 10,
		Fanout:    4,
		Readers:   2,
	}
}

// suspicionPeriods is how many periods a suspicion lasts for each tenfold of the fleet's size.
const suspicionPeriods = 4

// Suspicion returns how long a suspected instance has to refute; it grows with the time that news takes.
func (t Timing) Suspicion(instances int) time.Duration {
	tenfolds := max(1, math.Log10(float64(max(1, instances))))
	return time.Duration(suspicionPeriods * tenfolds * float64(t.Period))
}

// Paused reports whether so much time passed between two looks that the instance itself must have stood still.
func (t Timing) Paused(last, now time.Time) bool {
	const missedPeriods = 3
	return !last.IsZero() && now.Sub(last) > missedPeriods*t.Period
}

// Overslept reports whether a probe's result came so late that the prober, not the probed, stood still.
func (t Timing) Overslept(begun, now time.Time) bool {
	const probes = 2
	return now.Sub(begun) > probes*t.Timeout+t.Period
}

// rumourFactor makes it likely that news reaches every instance.
const rumourFactor = 3

// RumourTimes returns how often an instance passes on a piece of news in a fleet of that size.
func RumourTimes(instances int) int {
	return rumourFactor * bits.Len(uint(instances))
}

// Supersedes reports whether the news of an instance replaces what is known of it.
//
// Only the instance itself raises its incarnation; at the same incarnation the worse news wins.
func Supersedes(news, known value.Instance) bool {
	if news.Incarnation != known.Incarnation {
		return news.Incarnation > known.Incarnation
	}
	return rank(news.State) > rank(known.State)
}

// Refutes reports whether the instance must contradict what others say of it.
func Refutes(self, news value.Instance) bool {
	return news.Incarnation >= self.Incarnation && rank(news.State) > rank(self.State)
}

func rank(s value.InstanceState) int {
	switch s {
	case value.InstanceSuspected:
		return 1
	case value.InstanceLeaving:
		return 2
	case value.InstanceGone:
		return 3
	}
	return 0
}

// Merge returns what is known of the instance after the news: the statement of
// the news with this process's own observations.
func Merge(known, news value.Instance, now time.Time) value.Instance {
	if news.State != known.State {
		known = known.WithState(news.State).WithSince(now)
	}
	return known.WithIncarnation(news.Incarnation)
}

// Expired returns the state that an instance passes into by time alone, and whether it does.
func (t Timing) Expired(i value.Instance, instances int, now time.Time) (value.InstanceState, bool) {
	age := now.Sub(i.Since)
	switch i.State {
	case value.InstanceSuspected:
		return value.InstanceGone, age >= t.Suspicion(instances)
	case value.InstanceLeaving:
		return value.InstanceGone, !i.Listed && age >= t.Forget
	}
	return i.State, false
}

// Forgets reports whether an instance need not be remembered any longer.
func (t Timing) Forgets(i value.Instance, now time.Time) bool {
	return i.State == value.InstanceGone && !i.Listed && now.Sub(i.Since) >= t.Forget
}
