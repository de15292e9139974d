package query

import (
	"cmp"
	"slices"

	"endivehitch/core/state"
	"endivehitch/core/value"
)

// Plan is the versions to try, in order, and why the first one leads.
type Plan struct {
	Versions   []value.VersionKey
	Reason     value.Reason
	Candidates int
}

type offer struct {
	key     value.VersionKey
	version value.Version
	cost    int64
}

// Choose returns the cheapest allowed version that meets the kind's quality target; the error is a value.Refusal.
func Choose(s state.State, a Admitted, r value.Request) (Plan, error) {
	offers := offersFor(s, a, r)
	if len(offers) == 0 {
		return Plan{}, refuse(value.ReasonNoVersion, "client account is allowed no version in service of model "+string(a.Kind.Model))
	}
	if pinned(offers, r.Pinned) {
		return Plan{Versions: []value.VersionKey{r.Pinned}, Reason: value.ReasonPinned, Candidates: len(offers)}, nil
	}
	slices.SortFunc(offers, func(x, y offer) int {
		return cmp.Or(cmp.Compare(x.cost, y.cost), cmp.Compare(x.key, y.key))
	})
	for _, o := range offers {
		if o.version.Quality >= a.Kind.QualityTarget {
			return Plan{Versions: []value.VersionKey{o.key}, Reason: value.ReasonCheapest, Candidates: len(offers)}, nil
		}
	}
	best := slices.MaxFunc(offers, func(x, y offer) int {
		return cmp.Compare(x.version.Quality, y.version.Quality)
	})
	return Plan{Versions: []value.VersionKey{best.key}, Reason: value.ReasonBestEffort, Candidates: len(offers)}, nil
}

func offersFor(s state.State, a Admitted, r value.Request) []offer {
	var offers []offer
	for _, k := range a.Account.Versions {
		v, ok := s.Version(k)
		if !ok || v.Withdrawn || k.Model() != a.Kind.Model {
			continue
		}
		offers = append(offers, offer{key: k, version: v, cost: v.Cost(r.InputTokens, r.MaxTokens)})
	}
	return offers
}

func pinned(offers []offer, pin value.VersionKey) bool {
	return slices.ContainsFunc(offers, func(o offer) bool { return o.key == pin })
}
