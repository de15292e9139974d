package query

import (
	"math"
	"slices"
	"time"

	"endivehitch/core/policy"
	"endivehitch/core/relay"
	"endivehitch/core/relay/cold"
	"endivehitch/core/relay/engine"
	"endivehitch/core/relay/place"
)

// LoadLookup returns what the instance has observed of a backend server.
type LoadLookup func(relay.ServerID) relay.Load

// Criteria is what a request requires of a server.
type Criteria struct {
	Service relay.ServiceName
	// Release is the release that must run the request; empty means any.
	Release relay.Release
	// Regions are the regions that the request may reach.
	Regions place.Restriction
	// Tried lists the servers that the request was already sent to.
	Tried []relay.ServerID
	// Restrictions are those of servers that have asked for fewer requests or none.
	Restrictions Restrictions
	// Cold says which servers are cold.
	Cold cold.View
	// WithoutLimit leaves out servers that have stated a limit and cold ones.
	WithoutLimit bool
	// Shared is the identifier of the prompt's deepest shared part; empty means none.
	Shared string
	// SharedTokens is the length of all parts up to that one.
	SharedTokens int
	// OwnTokens is the length of the rest of the prompt.
	OwnTokens int
	// PrefillTime is the model's prefill time per prompt token, at a server of usual speed.
	PrefillTime time.Duration
	// Gap is the longest pause between events that the route's callers accept; zero means not stated.
	Gap time.Duration
	// UnequalServers is set if the service's servers differ in speed.
	UnequalServers bool
	// Hits says how often servers held the shared parts that they were expected to hold.
	Hits engine.Hits
}

// Demand returns what the request asks of an engine.
func (c Criteria) Demand() engine.Demand {
	return engine.Demand{
		Shared: time.Duration(c.SharedTokens) * c.PrefillTime, Own: time.Duration(c.OwnTokens) * c.PrefillTime, Gap: c.Gap,
	}
}

// Choice is the chosen server, with what led to the choice.
type Choice struct {
	Server relay.Server
	// Candidates is the number of eligible servers, of which only a few were compared.
	Candidates int
	// HasCacheAffinity is set when the server is one of those expected to have the shared part in
	// their prefix cache.
	HasCacheAffinity bool
	// Score is the server's score; lower is better. For engines it is in milliseconds.
	Score float64
	// Estimate is what the request is expected to cost there, if the server is an engine whose service states its costs.
	Estimate engine.Estimate
	// Rank is the server's place among those expected to have the shared part in their prefix cache.
	Rank engine.Rank
}

const (
	// affinityServers is how many servers are expected to cache the same shared part, and
	// rankedServers how many of the highest-ranked ones are considered, as some may be ejected.
	affinityServers = engine.Holders
	rankedServers   = 5
	// sampledServers is how many random draws are compared besides, and maxDraws how many draws are
	// made for them. A draw of an ejected server is discarded. A draw of a server that is already
	// chosen is not repeated, so fewer servers may be compared.
	sampledServers = 3
	maxDraws       = 8
	// msPerRequest is the expected delay in milliseconds that each running request adds at an
	// engine.
	msPerRequest = 4.0
	// reportLifetime is the age from which a server's report is ignored.
	reportLifetime = time.Second
	// remoteDomainMs and remoteDomainFactor are the cost of a server in another failure domain, for
	// engines and for other services.
	remoteDomainMs     = 6.0
	remoteDomainFactor = 1.1
	// failureRateWeight is the weight of a server's failure rate in its score.
	failureRateWeight = 8.0
	// normalDurationPercent is the DurationPercent of a server whose work takes as long as usual.
	normalDurationPercent = 100.0
	// warmUpFactor is how much slower a server is assumed to be during its warm-up period.
	warmUpFactor = 2.0
)

// SelectServer chooses the server with the lowest score among a few candidates; it reports false
// when no server is eligible.
func SelectServer(state relay.State, criteria Criteria, loads LoadLookup, rnd policy.Rand, now time.Time) (Choice, bool) {
	s, ok := eligibleSelector(state, criteria, loads, now)
	if !ok {
		return Choice{}, false
	}
	best, score := relay.Server{}, policy.Excluded
	for _, server := range s.candidates(rnd) {
		if v := s.score(server); v < score {
			best, score = server, v
		}
	}
	choice := Choice{Server: best, Candidates: s.eligible, HasCacheAffinity: s.hasAffinity(best.ID), Score: score, Rank: s.rankOf(best.ID)}
	if s.statesCost {
		choice.Estimate = s.estimate(best, loads(best.ID))
	}
	return choice, true
}

// eligibleSelector returns a selector that has scanned the servers, and whether one of them may take the request.
func eligibleSelector(state relay.State, criteria Criteria, loads LoadLookup, now time.Time) (selector, bool) {
	s := newSelector(state, criteria, loads, now)
	if s.canary = burstServers(state, criteria.Service, criteria.Release, loads, now); len(s.canary) == 0 {
		s.canary = CanaryServers(state, criteria.Service, criteria.Release, now)
	}
	s.scan()
	if s.eligible == 0 && len(s.canary) > 0 {
		s.canary, s.positions = nil, nil
		s.scan()
	}
	return s, s.eligible > 0
}

// HasHealthyServer reports whether SelectServer would find a server that is neither ejected nor is cold or has a limit, which
// might keep it from taking the request.
func HasHealthyServer(state relay.State, criteria Criteria, loads LoadLookup, now time.Time) bool {
	criteria.WithoutLimit = true
	s := newSelector(state, criteria, loads, now)
	return slices.ContainsFunc(state.Servers(criteria.Service), func(server relay.Server) bool {
		return s.isEligible(server) && !s.isEjected(server.ID)
	})
}

type selector struct {
	state    relay.State
	criteria Criteria
	loads    LoadLookup
	now      time.Time
	engine   bool
	// statesCost is set if the service's servers are engines whose costs are known.
	statesCost bool
	// hasColdRate is set if the service's servers may be cold.
	hasColdRate bool
	// places says which failure domains the request may reach.
	places place.Filter
	// canary lists the servers that the release's canary period or a burst is confined to; empty means no limit.
	canary []relay.ServerID
	// eligible is the number of servers that may take the request.
	eligible int
	// positions lists where these are among the service's servers, unless all are eligible.
	positions []int
	// topRanked lists the eligible servers that rank highest for the shared part by rendezvous hash.
	topRanked []relay.ServerID
	// affinity lists the servers expected to hold the shared part in their prefix cache.
	affinity [affinityServers]relay.ServerID
}

func newSelector(state relay.State, criteria Criteria, loads LoadLookup, now time.Time) selector {
	service, _ := state.Service(criteria.Service)
	return selector{
		state: state, criteria: criteria, loads: loads, now: now, engine: service.Engine, hasColdRate: service.ColdPerSecond > 0,
		statesCost: service.StatesCost(), places: place.NewFilter(state, criteria.Regions),
	}
}

// isEligible reports whether the server may take the request; an ejected one still may.
func (s *selector) isEligible(server relay.Server) bool {
	switch {
	case server.Draining, !s.places.Allows(server.Domain), slices.Contains(s.criteria.Tried, server.ID), s.isClosed(server):
		return false
	case len(s.canary) > 0:
		return slices.Contains(s.canary, server.ID)
	}
	return s.criteria.Release == "" || server.Release == s.criteria.Release
}

// isClosed reports whether the server has asked for no request now, or may not be asked for a grant.
func (s *selector) isClosed(server relay.Server) bool {
	if s.criteria.WithoutLimit && s.isCold(server) {
		return true
	}
	if s.criteria.Restrictions.Len() == 0 {
		return false
	}
	restriction, ok := s.criteria.Restrictions.Get(server.ID)
	return ok && (!restriction.Allows(server, s.now) || (s.criteria.WithoutLimit && restriction.HasLimit))
}

func (s *selector) isCold(server relay.Server) bool {
	return s.hasColdRate && s.criteria.Cold.IsCold(server)
}

func (s *selector) isEjected(id relay.ServerID) bool {
	return s.loads(id).EjectedUntil.After(s.now)
}

// scan counts and ranks the eligible servers in one pass, without looking up their loads.
func (s *selector) scan() {
	top := policy.NewTop[relay.ServerID](s.criteria.Shared, rankedServers)
	servers := s.state.Servers(s.criteria.Service)
	for i, server := range servers {
		if !s.isEligible(server) {
			s.startPositions(len(servers))
			continue
		}
		s.eligible++
		if s.positions != nil {
			s.positions = append(s.positions, i)
		}
		if s.criteria.Shared != "" {
			top.Offer(server.ID)
		}
	}
	s.topRanked = top.Keys()
}

// startPositions begins the list of positions at the first server that isn't eligible; all before it are.
func (s *selector) startPositions(servers int) {
	if s.positions != nil {
		return
	}
	s.positions = make([]int, s.eligible, servers)
	for i := range s.positions {
		s.positions[i] = i
	}
}

// candidates returns the servers with affinity to the prompt's shared part and a few random ones.
// If all servers were compared, instances with the same reports would all choose the same server.
// Ejected servers are left out unless there is no other.
func (s *selector) candidates(rnd policy.Rand) []relay.Server {
	chosen := make([]relay.Server, 0, affinityServers+sampledServers)
	for _, id := range s.topRanked {
		if server, ok := s.state.Server(id); ok && len(chosen) < affinityServers && !s.isEjected(id) {
			s.affinity[len(chosen)] = id
			chosen = append(chosen, server)
		}
	}
	withAffinity := len(chosen)
	for range maxDraws {
		if server := s.eligibleServer(rnd.IntN(s.eligible)); len(chosen) < withAffinity+sampledServers && !s.isEjected(server.ID) {
			chosen = append(chosen, server)
		}
	}
	if len(chosen) > 0 {
		return chosen
	}
	return s.fallback()
}

// eligibleServer returns the nth eligible server, from 0.
func (s *selector) eligibleServer(n int) relay.Server {
	if s.positions != nil {
		n = s.positions[n]
	}
	return s.state.Servers(s.criteria.Service)[n]
}

// fallback returns all eligible servers that aren't ejected or, if there are none, the ejected ones.
func (s *selector) fallback() []relay.Server {
	var healthy, ejected []relay.Server
	for _, server := range s.state.Servers(s.criteria.Service) {
		switch {
		case !s.isEligible(server):
		case s.isEjected(server.ID):
			ejected = append(ejected, server)
		default:
			healthy = append(healthy, server)
		}
	}
	if len(healthy) > 0 {
		return healthy
	}
	return ejected
}

func (s *selector) hasAffinity(id relay.ServerID) bool {
	return s.criteria.Shared != "" && slices.Contains(s.affinity[:], id)
}

func (s *selector) score(server relay.Server) float64 {
	load := s.loads(server.ID)
	switch {
	case s.statesCost && s.criteria.UnequalServers:
		return s.costAt(server, load)
	case s.engine:
		return s.timeToFirstEvent(server, load)
	}
	wait := s.occupancy(server, load) + 1/float64(max(1, server.Slots))
	if server.Domain != s.state.Self.Domain {
		wait *= remoteDomainFactor
	}
	return wait * s.slowdown(server, load)
}

// timeToFirstEvent returns the score of an engine: the expected time until the first event, in
// milliseconds. The second server with affinity is assumed to hold the shared part half the time. A
// millisecond is added, so that the slowdown also raises the score of an idle server.
func (s *selector) timeToFirstEvent(server relay.Server, load relay.Load) float64 {
	wait := msPerRequest*s.occupancy(server, load)*float64(max(1, server.Slots)) + milliseconds(load.Work)
	if s.criteria.Shared != "" {
		prefill := milliseconds(time.Duration(s.criteria.SharedTokens) * s.criteria.PrefillTime)
		switch server.ID {
		case s.affinity[0]:
		case s.affinity[1]:
			wait += prefill / 2
		default:
			wait += prefill
		}
	}
	if server.Domain != s.state.Self.Domain {
		wait += remoteDomainMs
	}
	return (wait + 1) * s.slowdown(server, load)
}

// occupancy returns the ratio of the server's requests to its slots. It counts this instance's own
// requests, or those of all instances if a recent report, discounted by its age, shows more.
func (s *selector) occupancy(server relay.Server, load relay.Load) float64 {
	return requestsAt(load, s.now) / float64(max(1, server.Slots))
}

// requestsAt returns the number of requests that a server is assumed to have.
func requestsAt(load relay.Load, now time.Time) float64 {
	requests := float64(load.InFlight)
	if age := now.Sub(load.ReportedAt); !load.ReportedAt.IsZero() && age < reportLifetime {
		requests = max(requests, float64(load.Report.Running+load.Report.Waiting)*(1-float64(age)/float64(2*reportLifetime)))
	}
	return requests
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

func (s *selector) slowdown(server relay.Server, load relay.Load) float64 {
	factor := s.risk(server, load)
	if load.Report.DurationPercent > 0 && s.now.Sub(load.ReportedAt) < reportLifetime {
		factor *= math.Max(1, float64(load.Report.DurationPercent)/normalDurationPercent)
	}
	return factor
}

// risk returns the factor for a server's failures and its warm-up.
func (s *selector) risk(server relay.Server, load relay.Load) float64 {
	factor := 1 + failureRateWeight*load.DecayedFailureRate(s.now)
	if s.now.Before(server.ColdUntil) || s.isCold(server) {
		factor *= warmUpFactor
	}
	return factor
}
