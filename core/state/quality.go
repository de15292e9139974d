package state

import (
	"slices"
	"time"

	"endivehitch/core/policy"
	"endivehitch/core/value"
)

// estimateConfig is how ratings become estimates of quality.
var estimateConfig = policy.EstimateConfig{
	PriorWeight:   200,
	HalfLife:      168 * time.Hour,
	StaleAfter:    2 * time.Hour,
	StaleHalfLife: 6 * time.Hour,
	// Nine in ten bounds hold.
	Deviation: 1.2816,
	MaxWeight: 100,
}

// quality is what the control state knows of how good the versions are.
type quality struct {
	estimates policy.Table[gradeKey, policy.Estimate]
	menus     policy.Table[value.KindName, Menu]
	grants    map[grant][]bool
	held      map[value.VersionKey]bool
	withdrawn policy.Table[value.VersionKey, value.Withdrawal]
	watches   policy.Table[value.RollOutName, Watch]
}

// gradeKey joins a kind of request and a version.
type gradeKey string

func gradeOf(k value.KindName, v value.VersionKey) gradeKey {
	return gradeKey(string(k) + "\x00" + string(v))
}

type grant struct {
	account value.AccountName
	kind    value.KindName
}

// Menu returns what may answer the kind of request.
func (s State) Menu(k value.KindName) (Menu, bool) {
	return s.quality.menus.Get(k)
}

// Granted returns for each offer of the kind's menu whether the account may use it; the slice must not be changed.
func (s State) Granted(a value.AccountName, k value.KindName) []bool {
	return s.quality.grants[grant{account: a, kind: k}]
}

// Estimate returns the estimate of the version's quality for the kind.
func (s State) Estimate(k value.KindName, v value.VersionKey) (policy.Estimate, bool) {
	return s.quality.estimates.Get(gradeOf(k, v))
}

// Withdrawn reports whether the version receives no new work, by the document or by a command.
func (s State) Withdrawn(k value.VersionKey) bool {
	v, known := s.versions.Get(k)
	return known && v.Withdrawn
}

// Withdrawal returns the command's withdrawal of the version, if there is one.
func (s State) Withdrawal(k value.VersionKey) (value.Withdrawal, bool) {
	return s.quality.withdrawn.Get(k)
}

// WithWithdrawal returns a state in which the version receives no new work, whatever a document says.
func (s State) WithWithdrawal(w value.Withdrawal) State {
	s.quality.withdrawn = s.quality.withdrawn.With(w.Version, w)
	if v, ok := s.versions.Get(w.Version); ok {
		s.versions = s.versions.With(w.Version, v.WithWithdrawn(true))
	}
	return s.withMenus()
}

// WithRating returns a state that has taken in the rating; one of an unknown kind or version changes nothing.
func (s State) WithRating(r value.Rating) State {
	key := gradeOf(r.Kind, r.Version)
	e, ok := s.quality.estimates.Get(key)
	if !ok {
		return s
	}
	e = e.With(policy.Rating{Good: r.Accepted, Rate: r.Rate, At: r.At})
	s.quality.estimates = s.quality.estimates.With(key, e)
	return s
}

// WithMenu returns a state whose menu of the kind follows the latest ratings.
func (s State) WithMenu(name value.KindName) State {
	k, ok := s.kinds.Get(name)
	if !ok || k.Model == "" {
		return s
	}
	s.quality.menus = s.quality.menus.With(name, s.menuOf(k))
	return s
}

// withQuality keeps the ratings of what a new document still has.
func (s State) withQuality() State {
	estimates := make(map[gradeKey]policy.Estimate)
	for _, k := range s.Config.Document.Kinds {
		for _, m := range s.Config.Document.Models {
			if m.Name != k.Model {
				continue
			}
			for _, v := range m.Versions {
				key := gradeOf(k.Name, m.Key(v.Name))
				estimates[key] = s.restated(key, v)
			}
		}
	}
	s.quality.estimates = policy.NewTable(estimates)
	s.quality.grants = nil
	for k := range s.quality.withdrawn.All() {
		if v, ok := s.versions.Get(k); ok {
			s.versions = s.versions.With(k, v.WithWithdrawn(true))
		}
	}
	return s.withMenus()
}

func (s State) restated(key gradeKey, v value.Version) policy.Estimate {
	weight := float64(v.QualityWeight)
	if e, ok := s.quality.estimates.Get(key); ok {
		return e.WithStated(v.Quality, weight)
	}
	return estimateConfig.NewEstimate(v.Quality, weight)
}

// withMenus works out the menus, and the grants only where the offers are others than before.
func (s State) withMenus() State {
	s.quality.held = s.heldVersions()
	menus := make(map[value.KindName]Menu)
	same := s.quality.grants != nil
	for _, k := range s.Config.Document.Kinds {
		if k.Model == "" {
			continue
		}
		m := s.menuOf(k)
		old, _ := s.quality.menus.Get(k.Name)
		same = same && slices.EqualFunc(old.Offers, m.Offers, func(a, b Offer) bool { return a.Key == b.Key })
		menus[k.Name] = m
	}
	s.quality.menus = policy.NewTable(menus)
	if same {
		return s
	}
	return s.withGrants()
}

func (s State) withGrants() State {
	s.quality.grants = make(map[grant][]bool)
	for k, m := range s.quality.menus.All() {
		for _, a := range s.Config.Document.ClientAccounts {
			if a.MaySend(k) {
				s.quality.grants[grant{account: a.Name, kind: k}] = granted(a, m)
			}
		}
	}
	return s
}

func granted(a value.ClientAccount, m Menu) []bool {
	list := make([]bool, len(m.Offers))
	for i := range m.Offers {
		list[i] = slices.Contains(a.Versions, m.Offers[i].Key)
	}
	return list
}
