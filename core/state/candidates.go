package state

import (
	"cmp"
	"slices"
	"time"

	"endivehitch/core/policy"
	"endivehitch/core/value"
)

// CandidateSet holds the candidate versions and cascades for one kind of request. It is computed when
// the control state changes, not for each request.
type CandidateSet struct {
	// Candidates are the candidate versions in the order of their reference cost; the slice must not be
	// changed.
	Candidates []Candidate
	// Cascades are the cheapest cascades that meet the target; the slice must not be changed.
	Cascades []Cascade
	// RatingsExpectedUntil is when the last of the kind's estimates loses its full confidence; zero means
	// that no estimate has had a rating.
	RatingsExpectedUntil time.Time
}

// Candidate is a candidate version for one kind of request.
type Candidate struct {
	Key     value.VersionKey
	Version value.Version
	// SinglePlan is the plan that consists of this version only; it must not be changed.
	SinglePlan []value.VersionKey
	// RollOutOnly is set for a version that receives new sessions only through its roll-out.
	RollOutOnly bool
	// Replacement is the roll-out that replaces the version, if any.
	Replacement Replacement

	estimate policy.Estimate
	// freshBound is the estimate's bound until freshUntil, or at any time if that is zero.
	freshBound policy.Bound
	freshUntil time.Time
}

// Replacement is the roll-out that replaces a version by another one.
type Replacement struct {
	RollOut value.RollOutName
	// Candidate is the new version's index in CandidateSet.Candidates.
	Candidate int
	// Percent is the share of new sessions that use the new version; zero means none.
	Percent int
}

// Cascade is a plan of two versions: the second one answers if the judge rejects the first one's answer.
type Cascade struct {
	// First and Second are the indexes of the two versions in CandidateSet.Candidates.
	First  int
	Second int
	// Versions is the plan that consists of both versions; it must not be changed.
	Versions []value.VersionKey
}

// maxCascades bounds the number of cascades that are compared for each request.
const maxCascades = 8

// Bound returns the estimated quality of the version for the kind, as of the given time.
func (c *Candidate) Bound(now time.Time) policy.Bound {
	if c.freshUntil.IsZero() || !now.After(c.freshUntil) {
		return c.freshBound
	}
	return c.estimate.Bound(now)
}

// ExpectsRatings reports whether new ratings of the kind are to be expected. It is false once all
// estimates that have had ratings are stale, since the rating service then counts as unreachable.
func (c CandidateSet) ExpectsRatings(now time.Time) bool {
	return c.RatingsExpectedUntil.IsZero() || !now.After(c.RatingsExpectedUntil)
}

// Find returns the index of the version in Candidates, or -1.
func (c CandidateSet) Find(k value.VersionKey) int {
	for i := range c.Candidates {
		if c.Candidates[i].Key == k {
			return i
		}
	}
	return -1
}

func (s State) candidateSetOf(k value.Kind) CandidateSet {
	set := CandidateSet{Candidates: s.candidatesOf(k)}
	s.linkRollOuts(set)
	set.Cascades = cascadesOf(k, set.Candidates)
	for i := range set.Candidates {
		if until := set.Candidates[i].freshUntil; until.After(set.RatingsExpectedUntil) {
			set.RatingsExpectedUntil = until
		}
	}
	return set
}

func (s State) candidatesOf(k value.Kind) []Candidate {
	var candidates []Candidate
	for _, model := range s.Config.Document.Models {
		if model.Name != k.Model {
			continue
		}
		for _, v := range model.Versions {
			key := model.Key(v.Name)
			if s.IsWithdrawn(key) {
				continue
			}
			candidates = append(candidates, s.newCandidate(k, key, v))
		}
	}
	slices.SortStableFunc(candidates, func(a, b Candidate) int { return cmp.Compare(a.referenceCost(k), b.referenceCost(k)) })
	return candidates
}

// referenceCost returns the cost of the longest answer of the kind to a prompt of the same length.
func (c *Candidate) referenceCost(k value.Kind) int64 {
	return c.Version.Cost(k.MaxTokens, k.MaxTokens)
}

func (s State) newCandidate(k value.Kind, key value.VersionKey, v value.Version) Candidate {
	e, ok := s.quality.estimates.Get(estimateKeyOf(k.Name, key))
	if !ok {
		e = estimateConfig.NewEstimate(v.Quality, float64(v.QualityWeight))
	}
	return Candidate{
		Key:         key,
		Version:     v,
		SinglePlan:  []value.VersionKey{key},
		RollOutOnly: s.quality.rollOutOnly[key],
		estimate:    e,
		freshBound:  e.Bound(e.FreshUntil()),
		freshUntil:  e.FreshUntil(),
	}
}

// linkRollOuts sets the Replacement of each candidate that a roll-out replaces.
func (s State) linkRollOuts(set CandidateSet) {
	for _, r := range s.Config.Document.RollOuts {
		from, to := set.Find(r.FromKey()), set.Find(r.ToKey())
		if from < 0 || to < 0 {
			continue
		}
		set.Candidates[from].Replacement = Replacement{RollOut: r.Name, Candidate: to, Percent: newVersionPercent(r, s.Position(r))}
	}
}

func newVersionPercent(r value.RollOut, p value.Progress) int {
	switch {
	case p.Phase == value.PhaseDone:
		return fullPercent
	case p.Phase == value.PhaseStaged && p.Stage < len(r.Stages):
		return r.Stages[p.Stage].Percent
	}
	return 0
}

const fullPercent = 100

// pricedCascade is a cascade with its expected cost, from the reference costs of its versions.
type pricedCascade struct {
	Cascade
	cost int64
}

// cascadesOf returns the cheapest cascades that meet the kind's quality target, cheapest first. There are
// none without a usable judge, or for requests that must not be executed more than once.
func cascadesOf(k value.Kind, candidates []Candidate) []Cascade {
	if !k.Idempotent || !k.Judge.IsUsable() {
		return nil
	}
	costs := make([]int64, len(candidates))
	for i := range candidates {
		costs[i] = candidates[i].referenceCost(k)
	}
	best := make([]pricedCascade, 0, maxCascades+1)
	for i := range candidates {
		for j := range candidates {
			if i == j || candidates[i].RollOutOnly || candidates[j].RollOutOnly {
				continue
			}
			priced := pricedCascade{Cascade: Cascade{First: i, Second: j}, cost: k.Judge.Cost(costs[i], costs[j], candidates[i].freshBound.Mean)}
			best = insertCascade(best, priced, k, candidates)
		}
	}
	cascades := make([]Cascade, len(best))
	for i, priced := range best {
		cascades[i] = priced.Cascade
		cascades[i].Versions = []value.VersionKey{candidates[priced.First].Key, candidates[priced.Second].Key}
	}
	return cascades
}

// insertCascade inserts the cascade into the sorted list if it is among the cheapest and the lower bound
// of its quality meets the target.
func insertCascade(best []pricedCascade, priced pricedCascade, k value.Kind, candidates []Candidate) []pricedCascade {
	index, _ := slices.BinarySearchFunc(best, priced.cost, func(other pricedCascade, cost int64) int {
		if other.cost <= cost {
			return -1
		}
		return 1
	})
	if index == maxCascades || CascadeLowerBound(k.Judge, candidates[priced.First].freshBound, candidates[priced.Second].freshBound) < k.QualityTarget {
		return best
	}
	best = slices.Insert(best, index, priced)
	return best[:min(len(best), maxCascades)]
}

// CascadeLowerBound returns the lower bound of a cascade's quality, from the estimates of its two
// versions.
func CascadeLowerBound(j value.Judge, first, second policy.Bound) float64 {
	return j.Quality(first.Mean, second.Mean) -
		j.QualityMargin(first.Mean, second.Mean, first.Mean-first.Lower, second.Mean-second.Lower)
}
