package proxy

import (
	"context"
	"errors"
	"time"

	"endivehitch/core/relay"
	"endivehitch/core/relay/query"
	"endivehitch/core/relay/share"
	"endivehitch/io/clock"
)

// Explanation says what the dispatcher would do with a request.
type Explanation struct {
	// Revision is the store revision of the control state that it is based on.
	Revision int64
	Request  relay.Request
	Admitted query.Admitted
	Service  relay.ServiceName
	// Release is the release that must run the request; empty means any.
	Release relay.Release
	// Model is the model that is asked first.
	Model relay.ModelName
	// Refusal is the answer if the request would be refused, or nil.
	Refusal *relay.Refusal
	// IsProbe is set if the request would be sent although a part of its prompt is in quarantine.
	IsProbe bool
	// Servers are those of the service, the likeliest first; there are none if the request is refused before a
	// server is selected.
	Servers []query.Considered
	// Wait is the expected time until the answer begins at the likeliest server; zero means unknown. Left is the
	// time until the request's deadline; zero means that it has none.
	Wait time.Duration
	Left time.Duration
	// Verdict is the decision on the admission to the likeliest server, or nil if none is needed.
	Verdict *share.Verdict
	// LimitKeeper grants the request at the likeliest server, if that has a limit or is cold.
	LimitKeeper relay.MemberName
}

// Explain says what Serve would do with the request, by the same queries. It counts, claims and stores nothing.
// It asks another instance only for the release of a session that this one doesn't know during a roll-out.
func (d *Dispatcher[H]) Explain(ctx context.Context, request relay.Request) Explanation {
	state, now := d.config.Snapshot(), d.config.Now()
	explained := Explanation{Revision: state.Revision, Request: request, Model: request.Model}
	var err error
	if explained.Admitted, err = d.admit(state, request); err != nil {
		return explained.withRefusal(err)
	}
	h := &requestHandler[H]{dispatcher: d, job: Job[H]{Request: request}, admitted: explained.Admitted, deadline: request.Deadline(explained.Admitted.Route)}
	h.service = query.SelectTarget(h.admitted.Route, h.requestHash())
	explained.Service = h.service
	if !h.deadline.IsZero() {
		explained.Left = h.timeLeft()
	}
	h.startAtModel(h.firstStep())
	if parts := d.peekQuarantined(state, h.service, request, now); len(parts) > 0 {
		records := d.crashes.records.Get()
		if _, explained.IsProbe = query.DueProbe(records, request.SharedParts(), now); !explained.IsProbe {
			record, _ := records.Get(parts[0])
			return explained.withRefusal(query.QuarantineRefusal(parts[0], record, now))
		}
		h.startAtModel(max(0, len(h.admitted.Route.Models)-1))
	}
	if model := h.model(); model != "" {
		explained.Model = model
	}
	criteria := h.newCriteria(ctx, state, now)
	explained.Release = criteria.Release
	explained.Servers = query.ExplainServers(state, criteria, d.loads.Get, clock.Random{}, now)
	if len(explained.Servers) == 0 || explained.Servers[0].Chance == 0 {
		return explained.withRefusal(h.noServerRefusal(state))
	}
	explained = explained.withLikeliest(state)
	if explained.IsProbe || !d.needsAdmission(h.service) {
		return explained
	}
	verdict := h.peekVerdict(explained.Servers[0].Choice(), now)
	if explained.Verdict = &verdict; !verdict.Admitted {
		return explained.withRefusal(verdict.Refusal())
	}
	return explained
}

func (e Explanation) withRefusal(err error) Explanation {
	var refusal relay.Refusal
	if errors.As(err, &refusal) {
		e.Refusal = &refusal
	}
	return e
}

// withLikeliest returns a copy with what is expected of the likeliest server.
func (e Explanation) withLikeliest(state relay.State) Explanation {
	likeliest := e.Servers[0]
	e.Wait = likeliest.FirstByteTime
	switch service, _ := state.Service(e.Service); {
	case service.StatesCost():
		e.Wait = likeliest.Estimate.FirstEvent()
	case service.Engine:
		e.Wait = time.Duration(likeliest.Score * float64(time.Millisecond))
	}
	switch {
	case likeliest.Cold.Source != "":
		if keepers := query.ColdKeepers(state, likeliest.Server.ID); len(keepers) > 0 {
			e.LimitKeeper = keepers[0].Name
		}
	case likeliest.Restriction.HasLimit:
		e.LimitKeeper = query.LimitKeeper(state, likeliest.Server.ID).Name
	}
	return e
}

// peekQuarantined returns the parts of the request's prompt that are in quarantine, or would be with the request.
func (d *Dispatcher[H]) peekQuarantined(state relay.State, service relay.ServiceName, request relay.Request, now time.Time) []relay.PartID {
	shared := request.SharedParts()
	if parts := query.Quarantined(d.crashes.records.Get(), shared); len(parts) > 0 {
		return parts
	}
	var parts []relay.PartID
	for _, suspect := range d.crashes.findSuspects(state, service, shared, now) {
		for _, part := range shared {
			if relay.PartID(part.ID) == suspect {
				parts = append(parts, suspect)
			}
		}
	}
	return parts
}
