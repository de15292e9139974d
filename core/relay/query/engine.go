package query

import (
	"time"

	"endivehitch/core/relay"
	"endivehitch/core/relay/engine"
)

// remoteDomainTime is the cost of an engine in another failure domain.
const remoteDomainTime = 6 * time.Millisecond

// costAt returns the score of an engine whose service states its costs, in milliseconds: what the request costs there, with
// the risk of a failure. A millisecond is added, so that the risk also raises the score of an idle server.
func (s *selector) costAt(server relay.Server, load relay.Load) float64 {
	return (milliseconds(s.estimate(server, load).Cost()) + 1) * s.risk(server, load)
}

// estimate returns what the request is expected to cost at the engine.
func (s *selector) estimate(server relay.Server, load relay.Load) engine.Estimate {
	return engine.EstimateOf(s.criteria.Demand(), s.knownOf(server, load))
}

// knownOf returns what the estimate of the engine rests on.
func (s *selector) knownOf(server relay.Server, load relay.Load) engine.Server {
	known := engine.Server{Requests: requestsAt(load, s.now), Pending: load.Work, Factor: load.Pace.Factor(s.now)}
	if s.criteria.Shared != "" {
		known.Held = s.criteria.Hits.Held(s.rankOf(server.ID))
	}
	if server.Domain != s.state.Self.Domain {
		known.Distance = remoteDomainTime
	}
	return known
}

// rankOf returns the server's place among those expected to hold the prompt's shared part.
func (s *selector) rankOf(id relay.ServerID) engine.Rank {
	if s.criteria.Shared == "" {
		return engine.Others
	}
	for rank, holder := range s.affinity {
		if holder == id {
			return engine.Rank(rank)
		}
	}
	return engine.Others
}
