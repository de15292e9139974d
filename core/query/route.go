package query

import (
	"time"

	"endivehitch/core/policy"
	"endivehitch/core/state"
	"endivehitch/core/value"
)

// Loads looks up what the instance has observed of a backend server.
type Loads func(value.ServerID) value.Load

// Target says what is to be routed: a version of a model, or a plain service.
type Target struct {
	Version value.VersionKey
	Service value.ServiceName
	// Tried lists the servers that have already failed this request.
	Tried []value.ServerID
}

// Choice is the backend server chosen and among how many.
type Choice struct {
	Server     value.BackendServer
	Candidates int
	Reason     value.Reason
}

// Route picks a backend server for the target; the error is a value.Refusal.
func Route(s state.State, t Target, loads Loads, rnd policy.Rand, now time.Time) (Choice, error) {
	servers := serversFor(s, t)
	pick := policy.Sample[value.BackendServer]{
		Tries: sampleTries,
		Score: func(b value.BackendServer) float64 { return score(b, loads(b.ID), t.Tried, now) },
	}
	b, ok := pick.Pick(servers, rnd)
	if !ok {
		return Choice{}, refuse(value.ReasonNoServer, "no backend server can take the request")
	}
	return Choice{Server: b, Candidates: len(servers), Reason: value.ReasonLeastLoaded}, nil
}

// Two samples remove most of the imbalance of a random choice; more make
// instances with the same view herd on the same server.
const sampleTries = 2

func serversFor(s state.State, t Target) []value.BackendServer {
	if t.Version != "" {
		return s.Carriers(t.Version)
	}
	service, ok := s.Service(t.Service)
	if !ok {
		return nil
	}
	return s.Members(service.Pool)
}

func score(b value.BackendServer, l value.Load, tried []value.ServerID, now time.Time) float64 {
	for _, id := range tried {
		if id == b.ID {
			return policy.Never
		}
	}
	if l.Ejected.After(now) {
		return policy.Never
	}
	return float64(l.InFlight)
}
