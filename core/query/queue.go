package query

import (
	"fmt"
	"time"

	"endivehitch/core/policy"
	"endivehitch/core/state"
	"endivehitch/core/value"
)

// Lane identifies one of the queues of a client account. Fair queueing serves the lanes of an account in
// proportion to their weights, which depend on the priority.
type Lane struct {
	Priority value.Priority
	Version  value.VersionKey
	Service  value.ServiceName
	// Long separates long requests, so that short ones can overtake them.
	Long bool
}

// Serves reports whether the requests in the lane wait for the target.
func (l Lane) Serves(t Target) bool {
	return l.Version == t.Version && l.Service == t.Service && l.Long == t.Long
}

// The weights of the priorities inside a client account: requests of a lower priority are served
// less often but never starve.
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

// NewQueueEntry returns the queue entry of a request, with the item that represents it there.
func NewQueueEntry[V any](a Admitted, t Target, estimate DurationEstimate, item V) policy.Entry[value.AccountName, Lane, V] {
	return policy.Entry[value.AccountName, Lane, V]{
		Group:       a.Account.Name,
		GroupWeight: accountWeight(a.Account),
		Lane:        Lane{Priority: a.Kind.Priority, Version: t.Version, Service: t.Service, Long: t.Long},
		LaneWeight:  laneWeight(a.Kind.Priority),
		Cost:        estimate.Cost,
		Item:        item,
	}
}

func accountWeight(a value.ClientAccount) float64 {
	return float64(max(1, a.Share))
}

// QueueState is the state of the queue as CheckWait needs it for one request.
type QueueState struct {
	// Waiting counts the client account's waiting requests.
	Waiting int
	// Ahead counts those of them that have the same or a higher priority.
	Ahead int
	// CompetingWeight is the sum of the weights of the other client accounts with waiting requests.
	CompetingWeight float64
	// PerSecond is the target's throughput in attempts per second; zero means that it is not known.
	PerSecond float64
}

// QueueStateOf returns the state of the queue for a request with the given throughput of its target.
func QueueStateOf[V any](s state.State, q policy.FairQueue[value.AccountName, Lane, V], a Admitted, perSecond float64) QueueState {
	rank := a.Kind.Priority.Rank()
	queue := QueueState{
		Waiting:   q.GroupLen(a.Account.Name),
		Ahead:     q.Count(a.Account.Name, func(l Lane) bool { return l.Priority.Rank() <= rank }),
		PerSecond: perSecond,
	}
	for _, g := range q.Groups() {
		if other, ok := s.Account(g); ok && g != a.Account.Name {
			queue.CompetingWeight += accountWeight(other)
		}
	}
	return queue
}

// CheckWait decides whether the request may wait for capacity: not if the client account's part of the
// queue is full or the request would miss its deadline. The error is a value.Refusal with NotRun set.
//
// Each client account has a part of the queue in proportion to its share, so that one account's
// demand cannot fill the part of another. The servers' capacity is not divided: it is always used
// in full.
func CheckWait(s state.State, a Admitted, r value.Request, estimate DurationEstimate, queue QueueState, now time.Time) error {
	wait := queue.expectedWait(accountWeight(a.Account))
	if queue.Waiting >= queueLimit(s, a.Account) {
		return refuseWithRetryAfter(value.ReasonQueueFull, "queue of the client account is full", wait)
	}
	if remaining := r.Deadline.Sub(now); wait+estimate.Duration > remaining {
		detail := fmt.Sprintf("expected wait of %s and run of %s pass the deadline in %s", wait, estimate.Duration, remaining)
		return refuseWithRetryAfter(value.ReasonOverloaded, detail, wait+estimate.Duration-remaining)
	}
	return nil
}

// CheckDeadline checks whether an attempt that starts now can end before the request's deadline; the
// error is a value.Refusal.
func CheckDeadline(r value.Request, estimate DurationEstimate, now time.Time) error {
	if remaining := r.Deadline.Sub(now); estimate.Duration > remaining {
		return refuseWithRetryAfter(value.ReasonOverloaded, "deadline is too near for a run", estimate.Duration)
	}
	return nil
}

// expectedWait returns the time until a new request is served, if the client account gets a part of the
// target's throughput in proportion to its weight; zero means that the throughput is not known.
func (q QueueState) expectedWait(ownWeight float64) time.Duration {
	if q.PerSecond <= 0 {
		return 0
	}
	share := ownWeight / (ownWeight + q.CompetingWeight)
	return time.Duration(float64(q.Ahead+1) / (q.PerSecond * share) * float64(time.Second))
}

// queueLimit returns how many requests of the client account may wait.
func queueLimit(s state.State, a value.ClientAccount) int {
	length := s.Config.Document.Limits.QueueLength
	if length <= 0 {
		return 0
	}
	return max(1, int(float64(length)*accountWeight(a)/max(1, s.TotalShares())))
}

const minRetryAfter = time.Second

func refuseWithRetryAfter(reason value.Reason, detail string, retryAfter time.Duration) value.Refusal {
	r := refuse(reason, detail)
	r.RetryAfter = max(retryAfter, minRetryAfter)
	return r
}
