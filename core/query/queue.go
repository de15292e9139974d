package query

import (
	"fmt"
	"time"

	"endivehitch/core/policy"
	"endivehitch/core/state"
	"endivehitch/core/value"
)

// Lane is where inside its client account's part of the queue a request waits.
type Lane struct {
	Priority value.Priority
	Version  value.VersionKey
	Service  value.ServiceName
	// Long requests wait apart, so that short ones pass them.
	Long bool
}

// Serves reports whether requests of the lane want the target.
func (l Lane) Serves(t Target) bool {
	return l.Version == t.Version && l.Service == t.Service && l.Long == t.Long
}

// The weights of priorities inside a client account: a lower one is served more rarely, never not at all.
const (
	statusWeight      = 16
	interactiveWeight = 4
	draftWeight       = 1
)

func laneWeight(p value.Priority) float64 {
	switch p {
	case value.PriorityStatus:
		return statusWeight
	case value.PriorityInteractive:
		return interactiveWeight
	}
	return draftWeight
}

// Entry returns the place of a request in the queue, with the item that stands for it there.
func Entry[V any](a Admitted, t Target, l Length, item V) policy.Entry[value.AccountName, Lane, V] {
	return policy.Entry[value.AccountName, Lane, V]{
		Group:       a.Account.Name,
		GroupWeight: weight(a.Account),
		Lane:        Lane{Priority: a.Kind.Priority, Version: t.Version, Service: t.Service, Long: t.Long},
		LaneWeight:  laneWeight(a.Kind.Priority),
		Cost:        l.Cost,
		Item:        item,
	}
}

func weight(a value.ClientAccount) float64 {
	return float64(max(1, a.Share))
}

// Line is what the decision to let a request wait needs to know of the queue.
type Line struct {
	// Waiting counts the account's waiting requests.
	Waiting int
	// Ahead counts those that are served before the new one.
	Ahead int
	// Competing is the sum of the weights of the client accounts that wait, the request's own left out.
	Competing float64
	// PerSecond is how many runs the target gets done a second; zero means that it isn't known.
	PerSecond float64
}

// LineOf reads what the decision needs from the queue.
func LineOf[V any](s state.State, q policy.Fair[value.AccountName, Lane, V], a Admitted, perSecond float64) Line {
	rank := a.Kind.Priority.Rank()
	line := Line{
		Waiting:   q.GroupLen(a.Account.Name),
		Ahead:     q.Count(a.Account.Name, func(l Lane) bool { return l.Priority.Rank() <= rank }),
		PerSecond: perSecond,
	}
	for _, g := range q.Groups() {
		if other, ok := s.Account(g); ok && g != a.Account.Name {
			line.Competing += weight(other)
		}
	}
	return line
}

// Wait decides whether the request may wait for capacity; the error is a value.Refusal with NotRun set.
//
// A client account has the part of the queue that its share is of all shares, so that no account's
// demand takes the places of another; the servers themselves are always used in full.
func Wait(s state.State, a Admitted, r value.Request, l Length, line Line, now time.Time) error {
	expected := line.wait(weight(a.Account))
	if line.Waiting >= places(s, a.Account) {
		return busy(value.ReasonQueueFull, "queue of the client account is full", expected)
	}
	if left := r.Deadline.Sub(now); expected+l.Run > left {
		detail := fmt.Sprintf("expected wait of %s and run of %s pass the deadline in %s", expected, l.Run, left)
		return busy(value.ReasonOverloaded, detail, expected+l.Run-left)
	}
	return nil
}

// StillUseful reports whether a request that has waited can still be answered in time; the error is a value.Refusal.
func StillUseful(r value.Request, l Length, now time.Time) error {
	if left := r.Deadline.Sub(now); l.Run > left {
		return busy(value.ReasonOverloaded, "deadline is too near for a run", l.Run)
	}
	return nil
}

func (l Line) wait(own float64) time.Duration {
	if l.PerSecond <= 0 {
		return 0
	}
	part := own / (own + l.Competing)
	return time.Duration(float64(l.Ahead+1) / (l.PerSecond * part) * float64(time.Second))
}

func places(s state.State, a value.ClientAccount) int {
	length := s.Config.Document.Limits.QueueLength
	if length <= 0 {
		return 0
	}
	return max(1, int(float64(length)*weight(a)/max(1, s.TotalShares())))
}

const leastRetryAfter = time.Second

func busy(why value.Reason, detail string, after time.Duration) value.Refusal {
	r := refuse(why, detail)
	r.RetryAfter = max(after, leastRetryAfter)
	return r
}
