package share

import (
	"cmp"
	"time"

	"endivehitch/core/policy"
)

const (
	// defaultObjective is assumed for a route that states none.
	defaultObjective = 5 * time.Second
	// pressureUnit is the duration that stands for a wait equal to the objective in a mean of durations.
	pressureUnit = time.Second
	// startPressure is the pressure below which nothing is refused, and steadyPressure that at which as much is admitted
	// as was lately. Callers that come back raise the pressure that establishes itself to about twice that, and the rest of
	// the objective is for reading the prompt.
	startPressure  = 0.25
	steadyPressure = 0.4
	// rankFactor lowers both for each rank below the most urgent one, up to maxFactorRank.
	rankFactor    = 0.9
	maxFactorRank = 5
	// minFactor bounds the reduction at once, so that the engines aren't left without work while their queues shrink. At
	// 0.5 or more, the callers that come back keep the queues longer than the objective.
	minFactor = 0.2
)

// maxPressure bounds a single request's wait in objectives, so that the mean falls soon after a long queue is gone.
const maxPressure = 2

// pressureConfig smooths over the servers that single requests happened to draw.
var pressureConfig = policy.DecayingMeanConfig{HalfLife: 300 * time.Millisecond, MaxWeight: 10}

// Pressure is the mean wait in the queues of a service's engines relative to the objectives of the requests; the zero value
// is none. It is one for all requests of the service, so that neither long prompts nor short objectives are refused first.
type Pressure struct {
	mean policy.DecayingMean
}

// With returns the pressure after a request whose expected wait in a queue is known.
func (p Pressure) With(wait, objective time.Duration, at time.Time) Pressure {
	ratio := min(maxPressure, float64(max(0, wait))/float64(cmp.Or(objective, defaultObjective)))
	p.mean = p.mean.With(pressureConfig, time.Duration(ratio*float64(pressureUnit)), at)
	return p
}

// Value returns the mean wait as a multiple of the objective.
func (p Pressure) Value() float64 {
	return float64(p.mean.Mean) / float64(pressureUnit)
}

// factor returns the multiple of the recently admitted use that may be admitted at the rank, and false if there is no limit.
// It falls smoothly from no limit at startPressure to 1 at steadyPressure and less above.
func (p Pressure) factor(rank int) (float64, bool) {
	scale := 1.0
	for range min(max(0, rank), maxFactorRank) {
		scale *= rankFactor
	}
	above := p.Value()/scale - startPressure
	if above <= 0 {
		return 0, false
	}
	return max(minFactor, (steadyPressure-startPressure)/above), true
}
