package state

import (
	"cmp"
	"slices"
	"time"

	"endivehitch/core/policy"
	"endivehitch/core/value"
)

// CandidateSet holds the candidate versions and cascades for one kind of request. It is computed when the
// control state changes, not for each request.
type CandidateSet struct {
	// Candidates are the candidate versions in the order of their reference cost; the slice must not be
	// changed.
	Candidates []Candidate
	// Cascades are the cheapest cascades that meet the target; the slice must not be changed.
	Cascades []Cascade
	// RatingsExpectedUntil is the latest time until which an estimate of the kind counts as fresh; zero
	// means that no estimate has had a rating.
	RatingsExpectedUntil time.Time
}

// Candidate is a candidate version for one kind of request.
type Candidate struct {
	Key     value.VersionKey
	Version value.Version
	// SinglePlan is the plan that consists of this version only; it must not be changed.
	SinglePlan []value.VersionKey
	// RollOutOnly is set for a version that receives new sessions through its roll-out only.
	RollOutOnly bool
	// Replacement is the roll-out that replaces the version, if any.
	Replacement Replacement

	estimate   policy.Estimate
	freshBound policy.Bound
	freshUntil time.Time
}

// Replacement is the roll-out that replaces a version by another one.
type Replacement struct {
	RollOut value.RollOutName
	// Candidate is the new version's index in Menu.Offers.
	Candidate int
	// Percent is the share of new sessions that use the new version; zero means none.
	Percent int
}

// Cascade is a cascade of two versions.
type Cascade struct {
	// First and Second are the indexes of the two versions in Menu.Offers.
	First  int
	Second int
	// Versions is the plan that consists of both versions; it must not be changed.
	Versions []value.VersionKey
}

// maxCascades bounds the number of cascades that each request has to compare.
const maxCascades = 8

// Bound returns the estimated quality of the version for the kind, as of the given time.
func (o *Candidate) Bound(now time.Time) policy.Bound {
	if o.freshUntil.IsZero() || !now.After(o.freshUntil) {
		return o.freshBound
	}
	return o.estimate.Bound(now)
}

// ExpectsRatings reports whether ratings of the kind may be expected. Once an estimate has had ratings and all
// estimates have gone stale, the rating service counts as unreachable and none are expected.
func (m CandidateSet) ExpectsRatings(now time.Time) bool {
	return m.RatingsExpectedUntil.IsZero() || !now.After(m.RatingsExpectedUntil)
}

// Find returns the index of the version in Offers, or -1.
func (m CandidateSet) Find(k value.VersionKey) int {
	for i := range m.Candidates {
		if m.Candidates[i].Key == k {
			return i
		}
	}
	return -1
}

func (s State) candidateSetOf(k value.Kind) CandidateSet {
	m := CandidateSet{Candidates: s.candidatesOf(k)}
	s.linkRollOuts(m)
	m.Cascades = cascadesOf(k, m.Candidates)
	for i := range m.Candidates {
		if until := m.Candidates[i].freshUntil; until.After(m.RatingsExpectedUntil) {
			m.RatingsExpectedUntil = until
		}
	}
	return m
}

func (s State) candidatesOf(k value.Kind) []Candidate {
	var offers []Candidate
	for _, model := range s.Config.Document.Models {
		if model.Name != k.Model {
			continue
		}
		for _, v := range model.Versions {
			key := model.Key(v.Name)
			if s.Withdrawn(key) {
				continue
			}
			offers = append(offers, s.newCandidate(k, key, v))
		}
	}
	slices.SortStableFunc(offers, func(a, b Candidate) int { return cmp.Compare(a.referenceCost(k), b.referenceCost(k)) })
	return offers
}

// referenceCost returns the cost of the longest answer of the kind to a prompt of the same length.
func (o *Candidate) referenceCost(k value.Kind) int64 {
	return o.Version.Cost(k.MaxTokens, k.MaxTokens)
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

// linkRollOuts sets Next of each offer that a roll-out replaces.
func (s State) linkRollOuts(m CandidateSet) {
	for _, r := range s.Config.Document.RollOuts {
		from, to := m.Find(r.FromKey()), m.Find(r.ToKey())
		if from < 0 || to < 0 {
			continue
		}
		m.Candidates[from].Replacement = Replacement{RollOut: r.Name, Candidate: to, Percent: newVersionPercent(r, s.Position(r))}
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

// cascadesOf returns the cheapest cascades that meet the kind's quality target, cheapest first.
func cascadesOf(k value.Kind, offers []Candidate) []Cascade {
	if !k.Idempotent || !k.Judge.IsUsable() {
		return nil
	}
	costs := make([]int64, len(offers))
	for i := range offers {
		costs[i] = offers[i].referenceCost(k)
	}
	best := make([]pricedCascade, 0, maxCascades+1)
	for i := range offers {
		for j := range offers {
			if i == j || offers[i].RollOutOnly || offers[j].RollOutOnly {
				continue
			}
			p := pricedCascade{Cascade: Cascade{First: i, Second: j}, cost: k.Judge.Cost(costs[i], costs[j], offers[i].freshBound.Mean)}
			best = insertCascade(best, p, k, offers)
		}
	}
	pairs := make([]Cascade, len(best))
	for i, p := range best {
		pairs[i] = p.Cascade
		pairs[i].Versions = []value.VersionKey{offers[p.First].Key, offers[p.Second].Key}
	}
	return pairs
}

// insertCascade inserts the cascade into the sorted list if it is among the cheapest and meets the target.
func insertCascade(best []pricedCascade, pair pricedCascade, k value.Kind, offers []Candidate) []pricedCascade {
	at, _ := slices.BinarySearchFunc(best, pair.cost, func(q pricedCascade, cost int64) int {
		if q.cost <= cost {
			return -1
		}
		return 1
	})
	if at == maxCascades || CascadeLower(k.Judge, offers[pair.First].freshBound, offers[pair.Second].freshBound) < k.QualityTarget {
		return best
	}
	best = slices.Insert(best, at, pair)
	return best[:min(len(best), maxCascades)]
}

// CascadeLower returns the lower bound of a cascade's quality, from the estimates of its steps.
func CascadeLower(j value.Judge, first, second policy.Bound) float64 {
	return j.Quality(first.Mean, second.Mean) -
		j.QualityMargin(first.Mean, second.Mean, first.Mean-first.Lower, second.Mean-second.Lower)
}
