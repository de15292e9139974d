package state

import (
	"slices"
	"time"

	"endivehitch/core/policy"
	"endivehitch/core/value"
)

// estimateConfig sets how ratings become estimates of quality.
var estimateConfig = policy.EstimateConfig{
	PriorWeight:   200,
	HalfLife:      168 * time.Hour,
	StaleAfter:    2 * time.Hour,
	StaleHalfLife: 6 * time.Hour,
	// The 90 % quantile of the normal distribution, so that each bound holds in nine of ten cases.
	Deviation: 1.2816,
	MaxWeight: 100,
}

// quality holds the estimates of the versions' quality and what is derived from them.
type quality struct {
	estimates  policy.Table[estimateKey, policy.Estimate]
	candidates policy.Table[value.KindName, CandidateSet]
	// allowed holds for each of the kind's candidates whether the account may use it.
	allowed      map[allowedKey][]bool
	rollOutOnly  map[value.VersionKey]bool
	withdrawn    policy.Table[value.VersionKey, value.Withdrawal]
	rollOutTests policy.Table[value.RollOutName, RollOutTests]
}

// estimateKey joins the names of a kind of request and of a version.
type estimateKey string

func estimateKeyOf(k value.KindName, v value.VersionKey) estimateKey {
	return estimateKey(string(k) + "\x00" + string(v))
}

// allowedKey is a client account and a kind of request.
type allowedKey struct {
	account value.AccountName
	kind    value.KindName
}

// Candidates returns the candidate versions and cascades for the kind of request.
func (s State) Candidates(k value.KindName) (CandidateSet, bool) {
	return s.quality.candidates.Get(k)
}

// AllowedCandidates returns for each of the kind's candidates whether the account may use it; the slice
// must not be changed.
func (s State) AllowedCandidates(a value.AccountName, k value.KindName) []bool {
	return s.quality.allowed[allowedKey{account: a, kind: k}]
}

// Estimate returns the estimated quality of the version for the kind.
func (s State) Estimate(k value.KindName, v value.VersionKey) (policy.Estimate, bool) {
	return s.quality.estimates.Get(estimateKeyOf(k, v))
}

// IsWithdrawn reports whether the version is withdrawn, by the document or by a command.
func (s State) IsWithdrawn(k value.VersionKey) bool {
	v, known := s.versions.Get(k)
	return known && v.Withdrawn
}

// Withdrawal returns the withdrawal of the version by a command, if there is one.
func (s State) Withdrawal(k value.VersionKey) (value.Withdrawal, bool) {
	return s.quality.withdrawn.Get(k)
}

// WithWithdrawal returns a state in which the version is withdrawn, whatever the document says.
func (s State) WithWithdrawal(w value.Withdrawal) State {
	s.quality.withdrawn = s.quality.withdrawn.With(w.Version, w)
	if v, ok := s.versions.Get(w.Version); ok {
		s.versions = s.versions.With(w.Version, v.WithWithdrawn(true))
	}
	return s.withAllCandidates()
}

// WithRating returns a state whose estimates include the rating; the rating of an unknown kind or
// version is ignored. The kind's candidates change only with WithCandidates.
func (s State) WithRating(r value.Rating) State {
	key := estimateKeyOf(r.Kind, r.Version)
	e, ok := s.quality.estimates.Get(key)
	if !ok {
		return s
	}
	e = e.With(policy.Rating{Good: r.Accepted, Rate: r.Rate, At: r.At})
	s.quality.estimates = s.quality.estimates.With(key, e)
	return s
}

// WithCandidates returns a state in which the kind's candidates are computed from the present estimates.
func (s State) WithCandidates(name value.KindName) State {
	k, ok := s.kinds.Get(name)
	if !ok || k.Model == "" {
		return s
	}
	s.quality.candidates = s.quality.candidates.With(name, s.candidateSetOf(k))
	return s
}

// withDocumentQuality adapts the estimates to a new document: versions that it still has keep their
// ratings, and versions that a command has withdrawn stay withdrawn.
func (s State) withDocumentQuality() State {
	estimates := make(map[estimateKey]policy.Estimate)
	for _, k := range s.Config.Document.Kinds {
		for _, m := range s.Config.Document.Models {
			if m.Name != k.Model {
				continue
			}
			for _, v := range m.Versions {
				key := estimateKeyOf(k.Name, m.Key(v.Name))
				estimates[key] = s.estimateFor(key, v)
			}
		}
	}
	s.quality.estimates = policy.NewTable(estimates)
	s.quality.allowed = nil
	for k := range s.quality.withdrawn.All() {
		if v, ok := s.versions.Get(k); ok {
			s.versions = s.versions.With(k, v.WithWithdrawn(true))
		}
	}
	return s.withAllCandidates()
}

// estimateFor returns the version's estimate, with the quality that the document states as its prior.
func (s State) estimateFor(key estimateKey, v value.Version) policy.Estimate {
	weight := float64(v.QualityWeight)
	if e, ok := s.quality.estimates.Get(key); ok {
		return e.WithStated(v.Quality, weight)
	}
	return estimateConfig.NewEstimate(v.Quality, weight)
}

// withAllCandidates computes the candidates of all kinds. Which of them the accounts may use is computed
// again only for a new document or where a kind's list of versions has changed.
func (s State) withAllCandidates() State {
	s.quality.rollOutOnly = s.rollOutOnlyVersions()
	sets := make(map[value.KindName]CandidateSet)
	unchanged := s.quality.allowed != nil
	for _, k := range s.Config.Document.Kinds {
		if k.Model == "" {
			continue
		}
		set := s.candidateSetOf(k)
		old, _ := s.quality.candidates.Get(k.Name)
		unchanged = unchanged && slices.EqualFunc(old.Candidates, set.Candidates, func(a, b Candidate) bool { return a.Key == b.Key })
		sets[k.Name] = set
	}
	s.quality.candidates = policy.NewTable(sets)
	if unchanged {
		return s
	}
	return s.withAllowed()
}

func (s State) withAllowed() State {
	s.quality.allowed = make(map[allowedKey][]bool)
	for k, set := range s.quality.candidates.All() {
		for _, a := range s.Config.Document.ClientAccounts {
			if a.MaySend(k) {
				s.quality.allowed[allowedKey{account: a.Name, kind: k}] = allowedCandidates(a, set)
			}
		}
	}
	return s
}

func allowedCandidates(a value.ClientAccount, set CandidateSet) []bool {
	list := make([]bool, len(set.Candidates))
	for i := range set.Candidates {
		list[i] = slices.Contains(a.Versions, set.Candidates[i].Key)
	}
	return list
}
