package state

import (
	"cmp"
	"slices"
	"time"

	"endivehitch/core/policy"
	"endivehitch/core/value"
)

// Menu is what may answer one kind of request, worked out once for each change of the control state.
type Menu struct {
	// Offers are the versions of the kind's model by their usual cost; the slice must not be changed.
	Offers []Offer
	// Pairs are the cheapest cascades that meet the target; the slice must not be changed.
	Pairs []Pair
	// RatedUntil is until when ratings of the kind count as coming in; zero means that none was ever due.
	RatedUntil time.Time
}

// Offer is one version as an answer to one kind of request.
type Offer struct {
	Key     value.VersionKey
	Version value.Version
	// Alone is the plan that runs this version only; it must not be changed.
	Alone []value.VersionKey
	// Held versions receive new sessions through their roll-out only.
	Held bool
	// Next is the roll-out that replaces the version, if any.
	Next Succession

	estimate policy.Estimate
	fresh    policy.Bound
	until    time.Time
}

// Succession is how a roll-out replaces a version.
type Succession struct {
	RollOut value.RollOutName
	// Offer is the new version's place in the menu.
	Offer int
	// Percent is the share of new sessions that use the new version; zero means none.
	Percent int
}

// Pair is a cascade: places in the menu of the first and the second version.
type Pair struct {
	First  int
	Second int
	// Versions is the plan that runs both; it must not be changed.
	Versions []value.VersionKey
}

// maxPairs bounds the cascades that each request compares.
const maxPairs = 8

// Bound returns the estimate of the version's quality for the kind at the time.
func (o *Offer) Bound(now time.Time) policy.Bound {
	if o.until.IsZero() || !now.After(o.until) {
		return o.fresh
	}
	return o.estimate.Bound(now)
}

// Rated reports whether ratings of the kind may be expected, as none are while the rating service is away.
func (m Menu) Rated(now time.Time) bool {
	return m.RatedUntil.IsZero() || !now.After(m.RatedUntil)
}

// Find returns the place of the version in the menu, or -1.
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
		if until := m.Offers[i].until; until.After(m.RatedUntil) {
			m.RatedUntil = until
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
	slices.SortStableFunc(offers, func(a, b Offer) int { return cmp.Compare(a.usual(k), b.usual(k)) })
	return offers
}

// usual returns the cost of the kind's longest answer to a prompt of the same length.
func (o *Offer) usual(k value.Kind) int64 {
	return o.Version.Cost(k.MaxTokens, k.MaxTokens)
}

func (s State) offer(k value.Kind, key value.VersionKey, v value.Version) Offer {
	e, ok := s.quality.estimates.Get(gradeOf(k.Name, key))
	if !ok {
		e = estimateConfig.NewEstimate(v.Quality, float64(v.QualityWeight))
	}
	return Offer{
		Key:      key,
		Version:  v,
		Alone:    []value.VersionKey{key},
		Held:     s.quality.held[key],
		estimate: e,
		fresh:    e.Bound(e.Fresh()),
		until:    e.Fresh(),
	}
}

// linkRollOuts lets each version know the one that replaces it.
func (s State) linkRollOuts(m Menu) {
	for _, r := range s.Config.Document.RollOuts {
		from, to := m.Find(r.FromKey()), m.Find(r.ToKey())
		if from < 0 || to < 0 {
			continue
		}
		m.Offers[from].Next = Succession{RollOut: r.Name, Offer: to, Percent: percentOf(r, s.Position(r))}
	}
}

func percentOf(r value.RollOut, p value.Progress) int {
	switch {
	case p.Phase == value.PhaseDone:
		return wholeShare
	case p.Phase == value.PhaseStaged && p.Stage < len(r.Stages):
		return r.Stages[p.Stage].Percent
	}
	return 0
}

const wholeShare = 100

// priced is a cascade with its cost at the kind's usual size.
type priced struct {
	Pair
	cost int64
}

// pairsOf returns the cascades that meet the kind's target, cheapest first at the kind's usual size.
func pairsOf(k value.Kind, offers []Offer) []Pair {
	if !k.Idempotent || !k.Judge.Present() {
		return nil
	}
	costs := make([]int64, len(offers))
	for i := range offers {
		costs[i] = offers[i].usual(k)
	}
	best := make([]priced, 0, maxPairs+1)
	for i := range offers {
		for j := range offers {
			if i == j || offers[i].Held || offers[j].Held {
				continue
			}
			p := priced{Pair: Pair{First: i, Second: j}, cost: k.Judge.Cost(costs[i], costs[j], offers[i].fresh.Mean)}
			best = withPair(best, p, k, offers)
		}
	}
	pairs := make([]Pair, len(best))
	for i, p := range best {
		pairs[i] = p.Pair
		pairs[i].Versions = []value.VersionKey{offers[p.First].Key, offers[p.Second].Key}
	}
	return pairs
}

// withPair puts the cascade in its place among the cheapest, if it is one of them and meets the target.
func withPair(best []priced, p priced, k value.Kind, offers []Offer) []priced {
	at, _ := slices.BinarySearchFunc(best, p.cost, func(q priced, cost int64) int {
		if q.cost <= cost {
			return -1
		}
		return 1
	})
	if at == maxPairs || CascadeLower(k.Judge, offers[p.First].fresh, offers[p.Second].fresh) < k.QualityTarget {
		return best
	}
	best = slices.Insert(best, at, p)
	return best[:min(len(best), maxPairs)]
}

// CascadeLower returns the lower bound of a cascade's quality from the estimates of its steps.
func CascadeLower(j value.Judge, first, second policy.Bound) float64 {
	return j.Quality(first.Mean, second.Mean) -
		j.Spread(first.Mean, second.Mean, first.Mean-first.Lower, second.Mean-second.Lower)
}
