package policy_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/policy"
)

var quota = policy.QuotaConfig{Window: 10 * time.Second, Ratio: 0.8, Allowance: 4, OptionalShare: 0.5}

func TestQuotaAllowsBurstOfRetries(t *testing.T) {
	at := time.Unix(1000, 0)
	var q policy.Quota
	for i := range 100 {
		q = q.WithFirst(quota, at.Add(time.Duration(i)*90*time.Millisecond))
	}
	retries := 0
	for ok := true; ok; retries++ {
		q, ok = q.WithExtra(quota, at.Add(9*time.Second))
	}
	assert.Equal(t, retries-1, 84)
}

func TestQuotaHoldsInEverySlidingWindow(t *testing.T) {
	at := time.Unix(1000, 0)
	var q policy.Quota
	var firsts, extras []time.Time
	for i := range 4000 {
		now := at.Add(time.Duration(i) * 10 * time.Millisecond)
		if (i/500)%2 == 0 {
			q = q.WithFirst(quota, now)
			firsts = append(firsts, now)
		}
		var ok bool
		if q, ok = q.WithExtra(quota, now); ok {
			extras = append(extras, now)
		}
	}
	within := func(list []time.Time, from, to time.Time) int {
		n := 0
		for _, v := range list {
			if !v.Before(from) && v.Before(to) {
				n++
			}
		}
		return n
	}
	for from := at; from.Before(at.Add(30 * time.Second)); from = from.Add(50 * time.Millisecond) {
		to := from.Add(quota.Window)
		// Requests are counted in the window or the half window before it, whichever has more.
		most := max(within(firsts, from, to), within(firsts, from.Add(-quota.Window/2), to.Add(-quota.Window/2)))
		assert.Assert(t, float64(within(extras, from, to)) <= quota.Ratio*float64(most)+quota.Allowance+0.1*float64(most))
	}
}

func TestOptionalWorkUsesOnlyItsShareOfTheQuota(t *testing.T) {
	at := time.Unix(1000, 0)
	var q policy.Quota
	for range 100 {
		q = q.WithFirst(quota, at)
	}
	count := func(next func(policy.Quota) (policy.Quota, bool)) int {
		n := 0
		for ok := true; ok; n++ {
			q, ok = next(q)
		}
		return n - 1
	}
	assert.Equal(t, count(func(q policy.Quota) (policy.Quota, bool) { return q.WithOptional(quota, at) }), 42)
	assert.Equal(t, count(func(q policy.Quota) (policy.Quota, bool) { return q.WithExtra(quota, at) }), 42)
	later := at.Add(11 * time.Second)
	assert.Equal(t, count(func(q policy.Quota) (policy.Quota, bool) { return q.WithExtra(quota, later) }), 4)
}
