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
	// IndirectProbes is how many other instances are asked to probe one that did not answer.
	IndirectProbes int
	// ViewSize is the number of instances in an instance's view, which are those that it sends probes and
	// messages to.
	ViewSize int
	// Rotation is the time after which an instance chooses another view.
	Rotation time.Duration
	// Retention is how long an instance is remembered after it has departed.
	Retention time.Duration
	// MaxUpdates is the highest number of instances that one message has updates on.
	MaxUpdates int
	// ProbesPerReconnect makes one probe in so many, on average, go to a departed instance that is still
	// listed, so that the parts of a partitioned fleet find each other again.
	ProbesPerReconnect int
	// Fanout is how many instances are notified at once of a new configuration.
	Fanout int
	// Readers is how many instances of each failure domain watch the key-value service.
	Readers int
}

// DefaultTiming returns the pace that the calculations on the capacity page are based on.
func DefaultTiming() Timing {
	return Timing{
		Period:             time.Second,
		Timeout:            300 * time.Millisecond,
		IndirectProbes:     3,
		ViewSize:           16,
		Rotation:           10 * time.Minute,
		Retention:          10 * time.Minute,
		MaxUpdates:         16,
		ProbesPerReconnect: 10,
		Fanout:             4,
		Readers:            2,
	}
}

// suspicionPeriods is how many probe periods a suspicion lasts for each power of ten in the fleet's
// size.
const suspicionPeriods = 4

// SuspicionTimeout returns how long a suspected instance has to refute the suspicion. It grows with the
// logarithm of the fleet's size, as does the time in which updates reach every instance.
func (t Timing) SuspicionTimeout(instances int) time.Duration {
	decades := max(1, math.Log10(float64(max(1, instances))))
	return time.Duration(suspicionPeriods * decades * float64(t.Period))
}

// WasPaused reports whether the time between two successive checks is so long that this instance's own
// process must have been paused.
func (t Timing) WasPaused(last, now time.Time) bool {
	const missedPeriods = 3
	return !last.IsZero() && now.Sub(last) > missedPeriods*t.Period
}

// WasPausedDuringProbe reports whether a probe, with its direct and its indirect attempt, took so much
// longer than its timeouts that the probing instance must have been paused. Such a probe says nothing
// about the probed instance.
func (t Timing) WasPausedDuringProbe(begun, now time.Time) bool {
	const timeouts = 2
	return now.Sub(begun) > timeouts*t.Timeout+t.Period
}

// retransmitFactor is how many times an update is transmitted for each power of two in the fleet's size;
// with it, an update is likely to reach every instance.
const retransmitFactor = 3

// TransmitCount returns how many times an instance transmits an update in a fleet of the given size.
func TransmitCount(instances int) int {
	return retransmitFactor * bits.Len(uint(instances))
}

// Supersedes reports whether an update of an instance's state replaces the known state.
//
// Only the instance itself raises its incarnation. At the same incarnation the more severe state wins.
func Supersedes(update, known value.Instance) bool {
	if update.Incarnation != known.Incarnation {
		return update.Incarnation > known.Incarnation
	}
	return severity(update.State) > severity(known.State)
}

// Refutes reports whether the instance must refute the update that another one has sent about it.
func Refutes(self, update value.Instance) bool {
	return update.Incarnation >= self.Incarnation && severity(update.State) > severity(self.State)
}

// severity orders the states from live to departed.
func severity(s value.InstanceState) int {
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

// Merge returns the known instance with the state and incarnation of the update; everything else in it
// stays, and the state counts from now if it has changed.
func Merge(known, update value.Instance, now time.Time) value.Instance {
	if update.State != known.State {
		known = known.WithState(update.State).WithSince(now)
	}
	return known.WithIncarnation(update.Incarnation)
}

// Expired returns the state that an instance passes into by time alone, and whether that time has come.
func (t Timing) Expired(instance value.Instance, instances int, now time.Time) (value.InstanceState, bool) {
	age := now.Sub(instance.Since)
	switch instance.State {
	case value.InstanceSuspected:
		return value.InstanceGone, age >= t.SuspicionTimeout(instances)
	case value.InstanceLeaving:
		return value.InstanceGone, !instance.Listed && age >= t.Retention
	}
	return instance.State, false
}

// IsRemovable reports whether the instance may be removed from the membership list.
func (t Timing) IsRemovable(instance value.Instance, now time.Time) bool {
	return instance.State == value.InstanceGone && !instance.Listed && now.Sub(instance.Since) >= t.Retention
}
