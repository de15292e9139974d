package query

import (
	"cmp"
	"slices"
	"time"

	"endivehitch/core/policy"
	"endivehitch/core/relay"
	"endivehitch/core/relay/cold"
	"endivehitch/core/relay/engine"
	"endivehitch/core/relay/place"
)

// Exclusion says why a server may not take a request.
type Exclusion string

// The reasons why a server may not take a request.
const (
	ExclusionNone     Exclusion = ""
	ExclusionDraining Exclusion = "Draining"
	// ExclusionLeaving is for a server that has said in an answer that it shuts down.
	ExclusionLeaving Exclusion = "Leaving"
	ExclusionPaused  Exclusion = "Paused"
	// ExclusionLimit is for a server whose limit leaves this instance nothing for now.
	ExclusionLimit Exclusion = "LimitUsedUp"
	// ExclusionCold is for a cold server whose rate leaves this instance nothing for now.
	ExclusionCold Exclusion = "ColdRateUsedUp"
	// ExclusionEvacuated is for a server in an evacuated failure domain, and ExclusionRegion for one in a region that the
	// request may not reach.
	ExclusionEvacuated Exclusion = "Evacuated"
	ExclusionRegion    Exclusion = "RegionNotAllowed"
	ExclusionRelease   Exclusion = "OtherRelease"
	// ExclusionCanary is for a server of the right release to which its canary period or burst is not confined.
	ExclusionCanary Exclusion = "OutsideCanary"
	// ExclusionOther is for a server that SelectServer leaves out for another reason.
	ExclusionOther Exclusion = "Excluded"
)

// Considered is one server of a service, as SelectServer sees it for a request.
type Considered struct {
	Server relay.Server
	// Exclusion says why it may not take the request.
	Exclusion Exclusion
	// IsEjected is set while the server gets requests only if no other can take them.
	IsEjected bool
	// HasCacheAffinity is set if it is expected to hold the shared part of the prompt.
	HasCacheAffinity bool
	// Requests is how many requests it is assumed to have, and Work the time until those of this instance have
	// their first byte.
	Requests float64
	Work     time.Duration
	// FirstByteTime is the smoothed time that its answers took to begin; zero means unknown.
	FirstByteTime time.Duration
	// Slowdown is the factor by which its failures, its warm-up and its own report raise its score.
	Slowdown float64
	// Score is what servers are compared by; lower is better. For engines it is in milliseconds.
	Score float64
	// Estimate is what the request is expected to cost there, which is the score's basis where servers differ in speed, and Held the probability, from 0 to 1, that it holds the shared
	// part. They are zero unless it is an engine whose service states its costs.
	Estimate engine.Estimate
	Held     float64
	// Rank is its place among those expected to hold the shared part.
	Rank engine.Rank
	// Cold is the period for which it counts as cold.
	Cold cold.Period
	// Restriction is what it has asked of those who send requests.
	Restriction relay.Restriction
	// Chance is the share of the draws in which SelectServer chose it, from 0 to 1: it compares a few random
	// servers with those that are expected to hold the shared part.
	Chance float64
}

const (
	// maxTrials and minTrials bound how often the selection is tried, and trialServers is the number of servers that
	// are looked at in all trials together. A trial at 10,000 servers takes a millisecond or less.
	maxTrials    = 200
	minTrials    = 10
	trialServers = 200_000
)

// ExplainServers returns all servers of the service, the likeliest and best first. Chance is zero for each if
// SelectServer finds no server.
func ExplainServers(state relay.State, criteria Criteria, loads LoadLookup, rnd policy.Rand, now time.Time) []Considered {
	s, _ := eligibleSelector(state, criteria, loads, now)
	if s.eligible > 0 {
		// The servers with affinity are found among the candidates.
		s.candidates(rnd)
	}
	chances := selectionChances(state, criteria, loads, rnd, now)
	servers := state.Servers(criteria.Service)
	all := make([]Considered, 0, len(servers))
	for _, server := range servers {
		all = append(all, s.consider(server, chances[server.ID]))
	}
	slices.SortStableFunc(all, func(a, b Considered) int {
		return cmp.Or(cmp.Compare(b.Chance, a.Chance), cmp.Compare(rankOf(a), rankOf(b)), cmp.Compare(a.Score, b.Score))
	})
	return all
}

// rankOf orders servers that were not chosen: those that may take the request first, and ejected ones after them.
func rankOf(c Considered) int {
	switch {
	case c.Exclusion != ExclusionNone:
		return 2
	case c.IsEjected:
		return 1
	}
	return 0
}

func selectionChances(state relay.State, criteria Criteria, loads LoadLookup, rnd policy.Rand, now time.Time) map[relay.ServerID]float64 {
	trials := min(max(trialServers/max(1, len(state.Servers(criteria.Service))), minTrials), maxTrials)
	chances := make(map[relay.ServerID]float64)
	for range trials {
		choice, ok := SelectServer(state, criteria, loads, rnd, now)
		if !ok {
			return nil
		}
		chances[choice.Server.ID] += 1 / float64(trials)
	}
	return chances
}

// Choice returns the choice of the server, as SelectServer returns it for one that it selects.
func (c Considered) Choice() Choice {
	return Choice{Server: c.Server, HasCacheAffinity: c.HasCacheAffinity, Score: c.Score, Estimate: c.Estimate, Rank: c.Rank}
}

func (s *selector) consider(server relay.Server, chance float64) Considered {
	load := s.loads(server.ID)
	restriction, _ := s.criteria.Restrictions.Get(server.ID)
	considered := Considered{
		Server: server, Exclusion: s.exclusionOf(server, restriction), IsEjected: s.isEjected(server.ID), HasCacheAffinity: s.hasAffinity(server.ID),
		Requests: requestsAt(load, s.now), Work: load.Work, FirstByteTime: load.TimeToFirstByte.Mean, Slowdown: s.slowdown(server, load),
		Score: s.score(server), Restriction: restriction, Chance: chance,
		Rank: s.rankOf(server.ID),
	}
	if s.hasColdRate {
		considered.Cold = s.criteria.Cold.PeriodOf(server)
	}
	if s.statesCost {
		considered.Estimate, considered.Held = s.estimate(server, load), s.knownOf(server, load).Held
	}
	return considered
}

// exclusionOf returns why the server may not take the request; isEligible decides whether it may.
func (s *selector) exclusionOf(server relay.Server, restriction relay.Restriction) Exclusion {
	switch {
	case s.isEligible(server):
		return ExclusionNone
	case server.Draining:
		return ExclusionDraining
	case s.places.VerdictOf(server.Domain) == place.Evacuated:
		return ExclusionEvacuated
	case s.places.VerdictOf(server.Domain) == place.Forbidden:
		return ExclusionRegion
	case restriction.IsLeaving(server):
		return ExclusionLeaving
	case s.now.Before(restriction.PausedUntil):
		return ExclusionPaused
	case s.now.Before(restriction.NextClaim) && s.isCold(server):
		return ExclusionCold
	case s.now.Before(restriction.NextClaim):
		return ExclusionLimit
	case s.criteria.Release != "" && server.Release != s.criteria.Release:
		return ExclusionRelease
	case len(s.canary) > 0 && !slices.Contains(s.canary, server.ID):
		return ExclusionCanary
	}
	return ExclusionOther
}
