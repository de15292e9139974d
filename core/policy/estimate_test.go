package policy_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/policy"
)

var (
	start          = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)
	estimateConfig = policy.EstimateConfig{
		PriorWeight:   200,
		HalfLife:      24 * time.Hour,
		StaleAfter:    time.Hour,
		StaleHalfLife: 6 * time.Hour,
		Deviation:     1.2816,
		MaxWeight:     50,
	}
)

// withRatings adds ratings of answers of the given quality; bad answers are sampled four times as
// often as good ones. Unless known is set, the ratings don't state their sampling rates.
func withRatings(e policy.Estimate, rnd *rand.Rand, quality float64, answers int, known bool) policy.Estimate {
	for i := range answers {
		good := rnd.Float64() < quality
		rate := 0.4
		if good {
			rate = 0.1
		}
		if rnd.Float64() >= rate {
			continue
		}
		rating := policy.Rating{Good: good, At: start.Add(time.Duration(i) * time.Second)}
		if known {
			rating.Rate = rate
		}
		e = e.With(rating)
	}
	return e
}

func TestKnownSamplingRatesRemoveBias(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	known := withRatings(estimateConfig.NewEstimate(0.9, 0), rnd, 0.9, 20000, true).Bound(start.Add(6 * time.Hour))
	unknown := withRatings(estimateConfig.NewEstimate(0.9, 0), rnd, 0.9, 20000, false).Bound(start.Add(6 * time.Hour))
	assert.Assert(t, known.Lower > 0.87 && known.Upper < 0.93, "%+v", known)
	assert.Assert(t, unknown.Mean < 0.8, "unknown sampling must err towards caution: %+v", unknown)
}

func TestLowerBoundHasStatedConfidence(t *testing.T) {
	above := 0
	const trials = 400
	for i := range trials {
		rnd := rand.New(rand.NewPCG(2, uint64(i)))
		e := withRatings(estimateConfig.NewEstimate(0.85, 1), rnd, 0.85, 3000, true)
		if e.Bound(start.Add(time.Hour)).Lower > 0.85 {
			above++
		}
	}
	// The deviation of 1.2816 stands for a one-sided confidence of 90 %, so about 10 % of the lower
	// bounds are above the true share; the limit leaves room for chance.
	assert.Assert(t, above < trials*14/100, "bound above the truth in %d of %d", above, trials)
}

func TestRatingsOverrideWrongPrior(t *testing.T) {
	rnd := rand.New(rand.NewPCG(3, 3))
	e := withRatings(estimateConfig.NewEstimate(0.97, 0), rnd, 0.7, 500, true)
	assert.Assert(t, e.Bound(start.Add(time.Hour)).Mean < 0.8, "%+v", e.Bound(start))
}

func TestStaleEstimateWidensAndKeepsItsMean(t *testing.T) {
	rnd := rand.New(rand.NewPCG(4, 4))
	e := withRatings(estimateConfig.NewEstimate(0.97, 0), rnd, 0.7, 2000, true)
	previous := e.Bound(e.FreshUntil())
	for h := 1; h < 200; h++ {
		current := e.Bound(e.FreshUntil().Add(time.Duration(h) * time.Hour))
		assert.Assert(t, current.Lower <= previous.Lower && current.Upper >= previous.Upper, "hour %d: %+v after %+v", h, current, previous)
		assert.Equal(t, current.Mean, previous.Mean)
		previous = current
	}
	later := e.With(policy.Rating{Good: true, At: start.Add(1000 * time.Hour)})
	assert.Assert(t, later.Bound(start.Add(1000*time.Hour)).Lower < 0.7, "one late rating restored the prior")
}

func TestRatingOutOfOrderGivesTheSameEstimate(t *testing.T) {
	e := estimateConfig.NewEstimate(0.5, 10).With(policy.Rating{Good: true, At: start})
	a := policy.Rating{Good: true, At: start.Add(10 * time.Hour)}
	b := policy.Rating{At: start.Add(30 * time.Hour)}
	inTime, late := e.With(a).With(b).Bound(b.At), e.With(b).With(a).Bound(b.At)
	assert.Assert(t, math.Abs(inTime.Mean-late.Mean) < 1e-9, "%v and %v", inTime, late)
	assert.Assert(t, math.Abs(inTime.Lower-late.Lower) < 1e-9, "%v and %v", inTime, late)
}
