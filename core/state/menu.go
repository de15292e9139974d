package state

import (
	"cmp"
	"slices"
	"time"

	"endivehitch/core/policy"
	"endivehitch/core/value"
)

// Menu holds the candidate versions and cascades for one kind of request. It is computed when the
// control state changes, not for each request.
type Menu struct {
	// Offers are the candidate versions in the order of their reference cost; the slice must not be
	// changed.
	Offers []Offer
	// Pairs are the cheapest cascades that meet the target; the slice must not be changed.
	Pairs []Pair
	// RatingsExpectedUntil is the latest time until which an estimate of the kind counts as fresh; zero
	// means that no estimate has had a rating.
	RatingsExpectedUntil time.Time
}

// Offer is a candidate version for one kind of request.
type Offer struct {
	Key     value.VersionKey
	Version value.Version
	// Alone is the plan that consists of this version only; it must not be changed.
	Alone []value.VersionKey
	// Held is set for a version that receives new sessions through its roll-out only.
	Held bool
	// Next is the roll-out that replaces the version, if any.
	Next Replacement

	estimate   policy.Estimate
	freshBound policy.Bound
	freshUntil time.Time
}

// Replacement is the roll-out that replaces a version by another one.
type Replacement struct {
	RollOut value.RollOutName
	// Offer is the new version's index in Menu.Offers.
	Offer int
	// Percent is the share of new sessions that use the new version; zero means none.
	Percent int
}

// Pair is a cascade of two versions.
type Pair struct {
	// First and Second are the indexes of the two versions in Menu.Offers.
	First  int
	Second int
	// Versions is the plan that consists of both versions; it must not be changed.
	Versions []value.VersionKey
}

// maxPairs bounds the number of cascades that each request has to compare.
const maxPairs = 8

// Bound returns the estimated quality of the version for the kind, as of the given time.
func (o *Offer) Bound(now time.Time) policy.Bound {
	if o.freshUntil.IsZero() || !now.After(o.freshUntil) {
		return o.freshBound
	}
	return o.estimate.Bound(now)
}

// Rated reports whether ratings of the kind may be expected. Once an estimate has had ratings and all
// estimates have gone stale, the rating service counts as unreachable and none are expected.
func (m Menu) Rated(now time.Time) bool {
	return m.RatingsExpectedUntil.IsZero() || !now.After(m.RatingsExpectedUntil)
}

// Find returns the index of the version in Offers, or -1.
func (m Menu) Find(k value.VersionKey) int {
	for i := range m.Offers {
		if m.Offers[i].Key == k {
			return i
		}
	}
	return -1
}

func (s State) menuOf(k value.Kind) Menu {
	m := Menu{Offers: s.offersOf(k)}
	s.linkRollOuts(m)
	m.Pairs = pairsOf(k, m.Offers)
	for i := range m.Offers {
		if until := m.Offers[i].freshUntil; until.After(m.RatingsExpectedUntil) {
			m.RatingsExpectedUntil = until
		}
	}
	return m
}

func (s State) offersOf(k value.Kind) []Offer {
	var offers []Offer
	for _, model := range s.Config.Document.Models {
		if model.Name != k.Model {
			continue
		}
		for _, v := range model.Versions {
			key := model.Key(v.Name)
			if s.Withdrawn(key) {
				continue
			}
			offers = append(offers, s.offer(k, key, v))
		}
	}
	slices.SortStableFunc(offers, func(a, b Offer) int { return cmp.Compare(a.referenceCost(k), b.referenceCost(k)) })
	return offers
}

// referenceCost returns the cost of the longest answer of the kind to a prompt of the same length.
func (o *Offer) referenceCost(k value.Kind) int64 {
	return o.Version.Cost(k.MaxTokens, k.MaxTokens)
}

func (s State) offer(k value.Kind, key value.VersionKey, v value.Version) Offer {
	e, ok := s.quality.estimates.Get(estimateKeyOf(k.Name, key))
	if !ok {
		e = estimateConfig.NewEstimate(v.Quality, float64(v.QualityWeight))
	}
	return Offer{
		Key:        key,
		Version:    v,
		Alone:      []value.VersionKey{key},
		Held:       s.quality.rollOutOnly[key],
		estimate:   e,
		freshBound: e.Bound(e.Fresh()),
		freshUntil: e.Fresh(),
	}
}

// linkRollOuts sets Next of each offer that a roll-out replaces.
func (s State) linkRollOuts(m Menu) {
	for _, r := range s.Config.Document.RollOuts {
		from, to := m.Find(r.FromKey()), m.Find(r.ToKey())
		if from < 0 || to < 0 {
			continue
		}
		m.Offers[from].Next = Replacement{RollOut: r.Name, Offer: to, Percent: newVersionPercent(r, s.Position(r))}
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

// pricedPair is a cascade with its expected cost, from the reference costs of its versions.
type pricedPair struct {
	Pair
	cost int64
}

// pairsOf returns the cheapest cascades that meet the kind's quality target, cheapest first.
func pairsOf(k value.Kind, offers []Offer) []Pair {
	if !k.Idempotent || !k.Judge.Present() {
		return nil
	}
	costs := make([]int64, len(offers))
	for i := range offers {
		costs[i] = offers[i].referenceCost(k)
	}
	best := make([]pricedPair, 0, maxPairs+1)
	for i := range offers {
		for j := range offers {
			if i == j || offers[i].Held || offers[j].Held {
				continue
			}
			p := pricedPair{Pair: Pair{First: i, Second: j}, cost: k.Judge.Cost(costs[i], costs[j], offers[i].freshBound.Mean)}
			best = insertPair(best, p, k, offers)
		}
	}
	pairs := make([]Pair, len(best))
	for i, p := range best {
		pairs[i] = p.Pair
		pairs[i].Versions = []value.VersionKey{offers[p.First].Key, offers[p.Second].Key}
	}
	return pairs
}

// insertPair inserts the cascade into the sorted list if it is among the cheapest and meets the target.
func insertPair(best []pricedPair, pair pricedPair, k value.Kind, offers []Offer) []pricedPair {
	at, _ := slices.BinarySearchFunc(best, pair.cost, func(q pricedPair, cost int64) int {
		if q.cost <= cost {
			return -1
		}
		return 1
	})
	if at == maxPairs || CascadeLower(k.Judge, offers[pair.First].freshBound, offers[pair.Second].freshBound) < k.QualityTarget {
		return best
	}
	best = slices.Insert(best, at, pair)
	return best[:min(len(best), maxPairs)]
}

// CascadeLower returns the lower bound of a cascade's quality, from the estimates of its steps.
func CascadeLower(j value.Judge, first, second policy.Bound) float64 {
	return j.Quality(first.Mean, second.Mean) -
		j.Spread(first.Mean, second.Mean, first.Mean-first.Lower, second.Mean-second.Lower)
}
