package proxy

import (
	"errors"
	"math"
	"time"

	"endivehitch/core/policy"
	"endivehitch/core/relay/query"
	"endivehitch/io/clock"
)

// recentEventLifetime is the half-life of what is remembered of first events while there are no new ones.
const recentEventLifetime = 5 * time.Second

// recentEventConfig follows a slowdown of all servers within seconds, so that requests aren't moved from one slow server to
// another.
var recentEventConfig = policy.DecayingMeanConfig{HalfLife: 2 * time.Second, MaxWeight: 20}

// errOverdueStart means that the answer is long overdue and that another server is expected to begin one sooner.
var errOverdueStart = errors.New("no answer begun, and another server is expected to be faster")

// moveDelay returns what is left until an attempt without an answer should be moved, or the longest time where no
// expectation is known.
func (a *attemptHandler[H]) moveDelay(now time.Time) time.Duration {
	usual := a.dispatcher.tallies.slowLimit(a.kind)
	if a.verdict == nil || usual == math.MaxInt64 {
		return math.MaxInt64
	}
	usual /= slowFactor
	read := time.Duration(a.prefillTokens) * a.dispatcher.prefillRates.timePerToken(a.kind.model)
	recent := a.dispatcher.admission.firstEvents.Get(a.kind).MeanAt(recentEventLifetime, now)
	waiting := query.Waiting{
		Expected: max(expectedTime(a.choice), usual+read, recent), Waited: now.Sub(a.started), ServerSilent: a.load.silence(now), Sole: a.load.isOnlyAttempt(),
	}
	if delay := query.MoveDelay(a.admitted.Route, waiting); delay > 0 {
		return delay
	}
	state := a.dispatcher.config.Snapshot()
	choice, ok := query.SelectServer(state, a.moveCriteria(state, now), a.dispatcher.loads.Get, clock.Random{}, now)
	if !ok {
		return blockedPause
	}
	waiting.Elsewhere = max(expectedTime(choice), recent)
	return query.MoveDelay(a.admitted.Route, waiting)
}

// recordFirstByte records the time to the answer's first byte, for its server and for its kind of request.
func (a *attemptHandler[H]) recordFirstByte() {
	now := a.dispatcher.config.Now()
	if a.verdict != nil && !a.load.firstByteReceived {
		a.dispatcher.admission.firstEvents.Cell(a.kind).Update(func(m policy.DecayingMean) policy.DecayingMean {
			return m.With(recentEventConfig, now.Sub(a.started), now)
		})
	}
	a.load.recordFirstByte(now)
}

// expectedTime returns the expected time to the first event at an engine that was chosen.
func expectedTime(choice query.Choice) time.Duration {
	return choice.Estimate.FirstEvent()
}
