package policy

import "time"

// quotaBuckets is the number of buckets that a quota's window is divided into.
const quotaBuckets = 20

// Quota bounds extra attempts within a sliding window as a share of the window's first attempts; the
// zero value has counted none.
//
// Because the bound is a ratio, a quota that holds at every instance also holds for the fleet. A
// Budget caps a burst at a fixed number; a quota allows all extra attempts of a window in one burst,
// because many requests need one at the same time when many servers fail at once.
type Quota struct {
	buckets [quotaBuckets]quotaBucket
	// newest is the number of the latest bucket, counted from the Unix epoch.
	newest int64
}

type quotaBucket struct {
	first, extra, optional uint32
}

// QuotaConfig configures a Quota.
type QuotaConfig struct {
	// Window is the length of the sliding window.
	Window time.Duration
	// Ratio is how many extra attempts each first attempt allows; Allowance is added to that.
	Ratio     float64
	Allowance float64
	// OptionalShare is the share, from 0 to 1, of the allowed extra attempts that optional ones may use.
	OptionalShare float64
}

// WithFirst returns the quota after a first attempt.
func (q Quota) WithFirst(c QuotaConfig, at time.Time) Quota {
	q = q.advancedTo(c, at)
	q.buckets[q.newest%quotaBuckets].first++
	return q
}

// WithExtra reports whether one more extra attempt is allowed; the quota returned counts it if it is.
func (q Quota) WithExtra(c QuotaConfig, at time.Time) (Quota, bool) {
	q = q.advancedTo(c, at)
	total := q.totals()
	if float64(total.extra+1) > c.Ratio*float64(total.first)+c.Allowance {
		return q, false
	}
	q.buckets[q.newest%quotaBuckets].extra++
	return q, true
}

// WithOptional is WithExtra for an optional extra attempt, which OptionalShare bounds as well.
func (q Quota) WithOptional(c QuotaConfig, at time.Time) (Quota, bool) {
	q = q.advancedTo(c, at)
	if total := q.totals(); float64(total.optional+1) > c.OptionalShare*(c.Ratio*float64(total.first)+c.Allowance) {
		return q, false
	}
	q, ok := q.WithExtra(c, at)
	if ok {
		q.buckets[q.newest%quotaBuckets].optional++
	}
	return q, ok
}

// advancedTo returns a quota without the buckets that have left the window at the given time.
func (q Quota) advancedTo(c QuotaConfig, at time.Time) Quota {
	// The newest bucket is still filling, so the buckets together cover one bucket more than the window.
	width := max(1, int64(c.Window)/(quotaBuckets-1))
	current := at.UnixNano() / width
	if current <= q.newest {
		return q
	}
	for i := max(q.newest+1, current-quotaBuckets+1); i <= current; i++ {
		q.buckets[i%quotaBuckets] = quotaBucket{}
	}
	q.newest = current
	return q
}

func (q Quota) totals() quotaBucket {
	var all quotaBucket
	for _, b := range q.buckets {
		all.first += b.first
		all.extra += b.extra
		all.optional += b.optional
	}
	return all
}
