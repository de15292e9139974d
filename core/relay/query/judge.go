package query

import (
	"fmt"
	"math"
	"time"

	"endivehitch/core/relay"
)

const (
	// leastBad is how many bad answers it takes at least to revert a release.
	leastBad = 4
	// sureBad is how many standard deviations the share of bad answers lies above the other release's.
	sureBad = 3.0
	// leastRuns is how many answers of a release must be known before it is completed.
	leastRuns = 20
	// floorShare is the share of bad answers that is taken for normal at least.
	floorShare = 0.02
)

// Judge says where the roll-out stands, from the tallies of all instances together, and why.
func Judge(s relay.State, p relay.Plan, seen []relay.Tally, now time.Time) (relay.Phase, string) {
	if p.Phase().Final() {
		return p.Phase(), ""
	}
	previous, newer := releases(s, p.Order.Service, p.Order.Target)
	next, usual := tallyOf(seen, p.Order.Service, p.Order.Target), tallyOf(seen, p.Order.Service, previous)
	detail := fmt.Sprintf("new %d runs %d failed %d slow, before %d runs %d failed %d slow",
		next.Runs, next.Failed, next.Slow, usual.Runs, usual.Failed, usual.Slow)
	if worse(next.Failed, next.Runs, usual.Failed, usual.Runs) || worse(next.Slow, next.Runs, usual.Slow, usual.Runs) {
		return relay.PhaseReverted, detail
	}
	done := now.Sub(p.Seen).Seconds() / max(p.Order.Within.Seconds(), 1)
	if newer && done >= doneAt && (next.Runs >= leastRuns || usual.Runs == 0) {
		return relay.PhaseCompleted, detail
	}
	return relay.PhaseUnderWay, detail
}

func tallyOf(seen []relay.Tally, n relay.ServiceName, r relay.Release) relay.Tally {
	var sum relay.Tally
	for _, t := range seen {
		if t.Service == n && t.Release == r {
			sum = sum.Plus(t)
		}
	}
	return sum
}

// worse reports whether bad of runs is surely a larger share than usualBad of usualRuns.
func worse(bad, runs, usualBad, usualRuns int) bool {
	if bad < leastBad || runs == 0 {
		return false
	}
	usual := max(floorShare, (float64(usualBad)+1)/(float64(usualRuns)+2))
	if usualRuns == 0 {
		usual = floorShare
	}
	n := float64(runs)
	return float64(bad)-n*usual > sureBad*math.Sqrt(n*usual*(1-usual))
}
