package flow

import (
	"sync"
	"time"

	"endivehitch/core/policy"
	"endivehitch/core/query"
	"endivehitch/core/value"
)

// trafficStats holds the instance's measurements of earlier requests, from which estimates and
// budgets are derived.
type trafficStats struct {
	// histories holds a query.History for each query.Class.
	histories sync.Map
	// throughputs holds a query.Throughput for each throughputKey.
	throughputs sync.Map
	// inFlight counts the requests in flight of each client account.
	inFlight sync.Map
	median   policy.Cell[query.MedianDuration]
	retries  policy.Cell[policy.Budget]
	hedges   policy.Cell[policy.Budget]
}

// throughputKey identifies the target of a throughput: a version, or a plain service.
type throughputKey struct {
	version value.VersionKey
	service value.ServiceName
}

// cellOf returns the cell of the key, which it adds if there is none.
func cellOf[T any](m *sync.Map, key any) *policy.Cell[T] {
	c, ok := m.Load(key)
	if !ok {
		c, _ = m.LoadOrStore(key, new(policy.Cell[T]))
	}
	return c.(*policy.Cell[T])
}

func (s *trafficStats) history(r value.Request) query.History {
	return cellOf[query.History](&s.histories, query.ClassOf(r)).Get()
}

func (s *trafficStats) estimate(r value.Request) query.DurationEstimate {
	return query.EstimateDuration(s.history(r), s.median.Get())
}

func (s *trafficStats) observeFirstToken(r value.Request, elapsed time.Duration) {
	cellOf[query.History](&s.histories, query.ClassOf(r)).Update(func(h query.History) query.History {
		return h.WithFirstToken(elapsed)
	})
}

func (s *trafficStats) observeCompletion(r value.Request, duration time.Duration, at time.Time) {
	cellOf[query.History](&s.histories, query.ClassOf(r)).Update(func(h query.History) query.History {
		return h.WithAttempt(duration, at)
	})
	s.median.Update(func(m query.MedianDuration) query.MedianDuration { return m.WithAttempt(duration) })
}

func (s *trafficStats) throughput(t query.Target) *policy.Cell[query.Throughput] {
	return cellOf[query.Throughput](&s.throughputs, throughputKey{t.Version, t.Service})
}

// addInFlight adds one to the client account's requests in flight; it returns a refusal if the
// account is at its limit.
func (s *trafficStats) addInFlight(a value.ClientAccount) error {
	var refused error
	cellOf[int](&s.inFlight, a.Name).TryUpdate(func(n int) (int, bool) {
		refused = query.CheckInFlightLimit(a, n)
		return n + 1, refused == nil
	})
	return refused
}

// removeInFlight subtracts one from the client account's requests in flight.
func (s *trafficStats) removeInFlight(a value.ClientAccount) {
	cellOf[int](&s.inFlight, a.Name).Update(func(n int) int { return n - 1 })
}

// countFirstAttempt adds a first attempt to both budgets.
func (s *trafficStats) countFirstAttempt(retry, hedge policy.BudgetConfig) {
	s.retries.Update(func(b policy.Budget) policy.Budget { return b.WithFirst(retry) })
	s.hedges.Update(func(b policy.Budget) policy.Budget { return b.WithFirst(hedge) })
}

// spendBudget takes one attempt from the budget and reports whether there was one left.
func spendBudget(c *policy.Cell[policy.Budget], bounds policy.BudgetConfig) bool {
	return c.TryUpdate(func(b policy.Budget) (policy.Budget, bool) { return b.WithExtra(bounds) })
}
