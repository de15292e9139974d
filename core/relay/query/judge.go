package query

import (
	"fmt"
	"math"
	"time"

	"endivehitch/core/relay"
	"endivehitch/core/relay/place"
)

// evidence is how clear it must be that a release is worse than the one before for it to be reverted.
type evidence struct {
	// minBad is the least number of bad answers, failed or slow, and deviations the number of standard deviations by which
	// they must exceed the number expected at the baseline's share.
	minBad     int
	deviations float64
	// minBadUnderLoad and deviationsUnderLoad are the same for runs under load, of which there are fewer: fewer bad ones must
	// do, and what they show must be clearer.
	minBadUnderLoad     int
	deviationsUnderLoad float64
}

var (
	// underWay is for the many judgements of a roll-out, any of which may revert a good release by chance.
	underWay = evidence{minBad: 4, deviations: 3, minBadUnderLoad: 3, deviationsUnderLoad: 3.5}
	// beforeCompletion is for the last judgement. There is but one, and a release can't be reverted after it.
	beforeCompletion = evidence{minBad: 3, deviations: 2, minBadUnderLoad: 3, deviationsUnderLoad: 2}
)

const (
	// minRuns is the number of answered attempts of a release below which its roll-out is not completed,
	// unless the baseline has no answered attempts.
	minRuns = 20
	// minBaselineShare is the least share of bad answers assumed for the baseline.
	minBaselineShare = 0.02
)

// Judge returns the roll-out's next phase, from the tallies of all instances together, and the
// counts that it is based on. A release is reverted when its share of failed or of slow answers is
// significantly higher than that of the previous release, the baseline. Otherwise its roll-out is
// completed once the time of its plan has come and minRuns is reached, unless it seems to fail more often.
func Judge(state relay.State, rollOut relay.RollOutState, tallies []relay.Tally, now time.Time) (relay.Phase, string) {
	if rollOut.Phase().IsFinal() {
		return rollOut.Phase(), ""
	}
	// Answers of a release count also if its servers are evacuated now.
	previous, hasTarget := releases(state, rollOut.Order.Service, rollOut.Order.Target, place.Filter{})
	candidate, baseline := totalOf(tallies, rollOut.Order.Service, rollOut.Order.Target), totalOf(tallies, rollOut.Order.Service, previous)
	detail := "new " + describe(candidate) + ", before " + describe(baseline)
	if fails(candidate, baseline, underWay) || isSlower(candidate, baseline) {
		return relay.PhaseReverted, detail
	}
	isDue := elapsedShare(rollOut, now) >= planOf(state, rollOut.Order.Service).completeAt
	switch {
	case !hasTarget || !isDue || (candidate.Runs < minRuns && baseline.Runs > 0):
		return relay.PhaseUnderWay, detail
	case fails(candidate, baseline, beforeCompletion):
		return relay.PhaseReverted, detail
	}
	return relay.PhaseCompleted, detail
}

// fails reports whether the candidate's share of failed answers is larger than the baseline's, in all or under load.
func fails(candidate, baseline relay.Tally, needed evidence) bool {
	return isWorse(candidate.Failed, candidate.Runs, baseline.Failed, baseline.Runs, needed) || failsUnderLoad(candidate, baseline, needed)
}

func describe(t relay.Tally) string {
	return fmt.Sprintf("%d runs %d failed %d slow, under load %d runs %d failed", t.Runs, t.Failed, t.Slow, t.UnderLoad.Runs, t.UnderLoad.Failed)
}

// minSlowExcess is the least difference of the shares of slow answers for which a release is reverted. A smaller one
// may come of the load, which grows at the servers of a release that is brought in.
const minSlowExcess = 0.15

// isSlower reports whether the candidate's share of slow answers is larger than the baseline's, significantly and by
// more than its load explains.
func isSlower(candidate, baseline relay.Tally) bool {
	excess := float64(candidate.Slow)/float64(max(1, candidate.Runs)) - float64(baseline.Slow)/float64(max(1, baseline.Runs))
	return excess >= minSlowExcess && isWorse(candidate.Slow, candidate.Runs, baseline.Slow, baseline.Runs, underWay)
}

// priorRuns is the number of runs at the baseline's total share of failed ones that are added to its runs under load, as
// there may be few.
const priorRuns = 20

// failsUnderLoad reports whether the candidate's share of failed answers at loaded servers is significantly larger than the
// baseline's.
func failsUnderLoad(candidate, baseline relay.Tally, needed evidence) bool {
	prior := priorRuns * float64(baseline.Failed) / float64(max(1, baseline.Runs))
	share := (float64(baseline.UnderLoad.Failed) + prior) / float64(baseline.UnderLoad.Runs+priorRuns)
	return candidate.UnderLoad.Failed >= needed.minBadUnderLoad &&
		exceedsShare(candidate.UnderLoad.Failed, candidate.UnderLoad.Runs, max(minBaselineShare, share), needed.deviationsUnderLoad)
}

// totalOf returns the sum of the tallies of one release of the service.
func totalOf(tallies []relay.Tally, service relay.ServiceName, r relay.Release) relay.Tally {
	var sum relay.Tally
	for _, t := range tallies {
		if t.Service == service && t.Release == r {
			sum = sum.Plus(t)
		}
	}
	return sum
}

// isWorse reports whether bad of runs is a significantly larger share than baselineBad of
// baselineRuns.
func isWorse(bad, runs, baselineBad, baselineRuns int, needed evidence) bool {
	if bad < needed.minBad {
		return false
	}
	baselineShare := max(minBaselineShare, (float64(baselineBad)+1)/(float64(baselineRuns)+2))
	if baselineRuns == 0 {
		baselineShare = minBaselineShare
	}
	return exceedsShare(bad, runs, baselineShare, needed.deviations)
}

// exceedsShare reports whether bad of runs is more than the share by the number of standard deviations.
func exceedsShare(bad, runs int, share, deviations float64) bool {
	n := float64(runs)
	return float64(bad)-n*share > deviations*math.Sqrt(n*share*(1-share))
}
