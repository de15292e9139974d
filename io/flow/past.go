package flow

import (
	"sync"
	"time"

	"endivehitch/core/policy"
	"endivehitch/core/query"
	"endivehitch/core/value"
)

// past keeps what the instance has seen of earlier runs, for estimates and budgets.
type past struct {
	classes sync.Map
	paces   sync.Map
	// accounts counts the requests in flight of each client account.
	accounts sync.Map
	typical  policy.Cell[query.MedianDuration]
	retries  policy.Cell[policy.Budget]
	hedges   policy.Cell[policy.Budget]
}

// served identifies what a pace is kept for.
type served struct {
	version value.VersionKey
	service value.ServiceName
}

func cellOf[T any](m *sync.Map, key any) *policy.Cell[T] {
	c, ok := m.Load(key)
	if !ok {
		c, _ = m.LoadOrStore(key, new(policy.Cell[T]))
	}
	return c.(*policy.Cell[T])
}

func (p *past) history(r value.Request) query.History {
	return cellOf[query.History](&p.classes, query.ClassOf(r)).Get()
}

func (p *past) expect(r value.Request) query.DurationEstimate {
	return query.EstimateDuration(p.history(r), p.typical.Get())
}

func (p *past) sawFirst(r value.Request, after time.Duration) {
	cellOf[query.History](&p.classes, query.ClassOf(r)).Update(func(h query.History) query.History {
		return h.WithFirstToken(after)
	})
}

func (p *past) sawRun(r value.Request, took time.Duration, at time.Time) {
	cellOf[query.History](&p.classes, query.ClassOf(r)).Update(func(h query.History) query.History {
		return h.WithAttempt(took, at)
	})
	p.typical.Update(func(t query.MedianDuration) query.MedianDuration { return t.WithAttempt(took) })
}

func (p *past) pace(t query.Target) *policy.Cell[query.Throughput] {
	return cellOf[query.Throughput](&p.paces, served{t.Version, t.Service})
}

// enter counts a request of the client account in flight, unless the account has its most.
func (p *past) enter(a value.ClientAccount) error {
	var refused error
	cellOf[int](&p.accounts, a.Name).TryUpdate(func(n int) (int, bool) {
		refused = query.CheckInFlightLimit(a, n)
		return n + 1, refused == nil
	})
	return refused
}

// leave counts the request off again.
func (p *past) leave(a value.ClientAccount) {
	cellOf[int](&p.accounts, a.Name).Update(func(n int) int { return n - 1 })
}

// countFirst feeds both budgets with a first attempt.
func (p *past) countFirst(retry, hedge policy.BudgetConfig) {
	p.retries.Update(func(b policy.Budget) policy.Budget { return b.WithFirst(retry) })
	p.hedges.Update(func(b policy.Budget) policy.Budget { return b.WithFirst(hedge) })
}

func spend(c *policy.Cell[policy.Budget], bounds policy.BudgetConfig) bool {
	return c.TryUpdate(func(b policy.Budget) (policy.Budget, bool) { return b.WithExtra(bounds) })
}
