package where

import (
	"time"

	"endivehitch/core/relay"
	"endivehitch/core/relay/engine"
	"endivehitch/core/relay/query"
	"endivehitch/io/proxy"
)

// Answer says what an instance would do with a request; its fields are those of the JSON output.
type Answer struct {
	Instance string
	// Revision is the store revision of the control state that the answer is based on.
	Revision int64
	Request  string
	Route    string
	Account  string
	// Priority is that of the request, 0 being the most urgent.
	Priority int
	Service  string
	Release  string
	Model    string
	// Refusal is set if the request would be refused.
	Refusal *Refusal `json:",omitempty"`
	// IsProbe is set if the request would be sent although a part of its prompt is in quarantine.
	IsProbe bool
	// Server is the likeliest server.
	Server string
	// ExpectedWaitMs is the expected time until the answer begins; zero means unknown. DeadlineMs is the time that
	// the request has; zero means no limit.
	ExpectedWaitMs float64
	DeadlineMs     float64
	// LimitKeeper is the instance that grants requests to that server; empty if it has no limit and isn't cold.
	LimitKeeper string
	// Admission is set if the request is admitted by the state of the service's engines.
	Admission *Admission `json:",omitempty"`
	// Eligible is the number of servers that may take the request, and Excluded that of the others by reason.
	Eligible int
	Excluded map[string]int `json:",omitempty"`
	// Servers are the likeliest and best servers.
	Servers []Server
}

// Refusal is the answer to a request that no server gets.
type Refusal struct {
	Reason       string
	Detail       string
	NotRun       bool
	RetryAfterMs float64
}

// Admission says what the admission of a request rests on.
type Admission struct {
	// Pressure is the service's mean wait as a multiple of the objective, and Share the share of such requests that is
	// admitted, from 0 to 1.
	Pressure float64
	Share    float64
}

// Estimate lists the parts of what a request is expected to cost at an engine.
type Estimate struct {
	// WaitMs is the time behind the requests that are there, ReadMs the time to read what the engine doesn't hold of the
	// prompt, DistanceMs the cost of another failure domain, and InterferenceMs the time taken from running streams.
	WaitMs         float64
	ReadMs         float64
	DistanceMs     float64
	InterferenceMs float64
	// HeldShare is the share of the shared parts of the prompt that it is expected to hold, from 0 to 1.
	HeldShare float64
}

// Server is one server of the service.
type Server struct {
	ID            string
	FailureDomain string
	Release       string
	// Chance is the share of random draws in which the server was selected, from 0 to 1.
	Chance float64
	// Score is what servers are compared by, lower being better; for engines it is in milliseconds.
	Score float64
	// Requests is how many requests it is assumed to have, and Slots how many it processes at once.
	Requests float64
	Slots    int
	// WorkMs is the expected time until this instance's requests there have their first byte.
	WorkMs float64
	// Slowdown is the factor of failures, warm-up and the server's own report in the score.
	Slowdown float64
	// HoldsPrompt is set if it is expected to hold the shared part of the prompt.
	HoldsPrompt bool
	// IsRemote is set if it is in another failure domain than the instance.
	IsRemote bool
	// IsEjected is set while it gets requests only if no other can take them.
	IsEjected bool
	// Estimate is set for engines whose service states its costs. The score rests on it only if the servers differ in speed.
	Estimate *Estimate `json:",omitempty"`
	// ColdMs is how long it counts as cold.
	ColdMs float64
	// Limit is the requests a second that it takes from all instances; zero means no limit. ClosedMs is the time for
	// which it gets nothing from this instance.
	Limit    float64
	ClosedMs float64
	// Excluded says why it may not take the request; empty means that it may.
	Excluded string `json:",omitempty"`
}

// maxServers bounds the servers in an answer.
const maxServers = 100

func newAnswer(self relay.Member, e proxy.Explanation, now time.Time) Answer {
	answer := Answer{
		Instance: string(self.Name), Revision: e.Revision, Request: e.Request.ID, Route: string(e.Admitted.Route.Name),
		Account: string(e.Admitted.Account.Name), Priority: e.Admitted.Rank, Service: string(e.Service), Release: string(e.Release),
		Model: string(e.Model), IsProbe: e.IsProbe, ExpectedWaitMs: milliseconds(e.Wait), DeadlineMs: milliseconds(e.Left),
		LimitKeeper: string(e.LimitKeeper), Excluded: make(map[string]int), Servers: []Server{},
	}
	if e.Refusal != nil {
		answer.Refusal = &Refusal{
			Reason: string(e.Refusal.Reason), Detail: e.Refusal.Detail, NotRun: e.Refusal.NotRun, RetryAfterMs: milliseconds(e.Refusal.RetryAfter),
		}
	} else if len(e.Servers) > 0 {
		answer.Server = string(e.Servers[0].Server.ID)
	}
	if e.Verdict != nil {
		answer.Admission = &Admission{Pressure: e.Verdict.Pressure, Share: e.Verdict.Share}
	}
	for i, considered := range e.Servers {
		if considered.Exclusion == query.ExclusionNone {
			answer.Eligible++
		} else {
			answer.Excluded[string(considered.Exclusion)]++
		}
		if i < maxServers {
			answer.Servers = append(answer.Servers, newServer(self, considered, now))
		}
	}
	return answer
}

func newServer(self relay.Member, c query.Considered, now time.Time) Server {
	limit := 0.0
	if c.Restriction.HasLimit {
		limit = c.Restriction.FleetLimit()
	}
	server := Server{
		ID: string(c.Server.ID), FailureDomain: string(c.Server.Domain), Release: string(c.Server.Release), Chance: c.Chance, Score: c.Score,
		Requests: c.Requests, Slots: c.Server.Slots, WorkMs: milliseconds(c.Work), Slowdown: c.Slowdown, HoldsPrompt: c.HasCacheAffinity,
		IsRemote: c.Server.Domain != self.Domain, IsEjected: c.IsEjected, ColdMs: max(millisecondsUntil(now, c.Server.ColdUntil), millisecondsUntil(now, c.Cold.Until)), Limit: limit,
		ClosedMs: millisecondsUntil(now, c.Restriction.ReopensAt()), Excluded: string(c.Exclusion),
	}
	if c.Estimate != (engine.Estimate{}) {
		server.Estimate = &Estimate{
			WaitMs: milliseconds(c.Estimate.Wait), ReadMs: milliseconds(c.Estimate.Read), DistanceMs: milliseconds(c.Estimate.Distance),
			InterferenceMs: milliseconds(c.Estimate.Interference), HeldShare: c.Held,
		}
	}
	return server
}

func millisecondsUntil(now, end time.Time) float64 {
	if !end.After(now) {
		return 0
	}
	return milliseconds(end.Sub(now))
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
