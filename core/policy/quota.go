package policy

import "time"

// quotaParts is how many parts a quota's window is counted in.
const quotaParts = 20

// Quota bounds extra work within a sliding window as a share of the window's first attempts; the
// zero value has seen nothing.
//
// Because it is a ratio, quotas that hold at every instance hold for the fleet. Unlike a Budget, it
// lets a failure of many servers at once use what a calm window has left.
type Quota struct {
	parts [quotaParts]quotaPart
	// newest numbers the latest part since the zero time.
	newest int64
}

type quotaPart struct {
	first, extra, optional uint32
}

// QuotaConfig sets the bounds of a Quota.
type QuotaConfig struct {
	// Window is the time that the bounds hold for.
	Window time.Duration
	// Ratio is how much extra work each first attempt allows, and Allowance how much is allowed besides.
	Ratio     float64
	Allowance float64
	// Optional is the part of the ratio's extra work that optional work may use.
	Optional float64
}

// WithFirst returns a quota that has counted a first attempt.
func (q Quota) WithFirst(c QuotaConfig, at time.Time) Quota {
	q = q.movedTo(c, at)
	q.parts[q.newest%quotaParts].first++
	return q
}

// WithExtra returns a quota that has paid for one extra run, and whether it could.
func (q Quota) WithExtra(c QuotaConfig, at time.Time) (Quota, bool) {
	q = q.movedTo(c, at)
	sum := q.sum()
	if float64(sum.extra+1) > c.Ratio*float64(sum.first)+c.Allowance {
		return q, false
	}
	q.parts[q.newest%quotaParts].extra++
	return q, true
}

// WithOptional returns a quota that has paid for one optional extra run, and whether it could.
func (q Quota) WithOptional(c QuotaConfig, at time.Time) (Quota, bool) {
	q = q.movedTo(c, at)
	if sum := q.sum(); float64(sum.optional+1) > c.Optional*(c.Ratio*float64(sum.first)+c.Allowance) {
		return q, false
	}
	q, ok := q.WithExtra(c, at)
	if ok {
		q.parts[q.newest%quotaParts].optional++
	}
	return q, ok
}

// movedTo returns a quota without the parts that have left the window.
func (q Quota) movedTo(c QuotaConfig, at time.Time) Quota {
	// The window is longer than asked by one part, as the newest part isn't whole.
	part := max(1, int64(c.Window)/(quotaParts-1))
	now := at.UnixNano() / part
	if now <= q.newest {
		return q
	}
	for i := max(q.newest+1, now-quotaParts+1); i <= now; i++ {
		q.parts[i%quotaParts] = quotaPart{}
	}
	q.newest = now
	return q
}

func (q Quota) sum() quotaPart {
	var all quotaPart
	for _, p := range q.parts {
		all.first += p.first
		all.extra += p.extra
		all.optional += p.optional
	}
	return all
}
