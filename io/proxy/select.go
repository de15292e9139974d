package proxy

import (
	"context"
	"time"

	"endivehitch/core/relay"
	"endivehitch/core/relay/place"
	"endivehitch/core/relay/query"
	"endivehitch/io/clock"
)

// maxClaims is the number of servers that are cold or have a limit that are tried for an attempt, one after the other. After
// that only others are.
const maxClaims = 4

// selection is the server for an attempt, with the state by which it was selected.
type selection struct {
	query.Choice
	state relay.State
	at    time.Time
}

// selectConfirmed selects a server for the next attempt by a state that is confirmed and still allows the server once its
// limit and the session's release are known. An instance that was paused between two attempts, or while it asked for them,
// may have missed an evacuation. The refusal says why there is none.
func (h *requestHandler[H]) selectConfirmed(ctx context.Context) (selection, *relay.Refusal) {
	for {
		state := h.dispatcher.confirmedSnapshot(ctx)
		now := h.dispatcher.config.Now()
		if query.IsUnconfirmed(state, now) {
			refusal := h.unconfirmedRefusal()
			return selection{}, &refusal
		}
		choice, ok := h.selectGranted(ctx, state, now)
		if !ok {
			refusal := h.noServerRefusal(state)
			return selection{}, &refusal
		}
		latest := h.dispatcher.config.Snapshot()
		if !query.IsUnconfirmed(latest, h.dispatcher.config.Now()) && place.NewFilter(latest, h.regions()).Allows(choice.Server.Domain) {
			return selection{Choice: choice, state: state, at: now}, nil
		}
	}
}

// selectGranted selects a server for the next attempt whose limit or cold rate, if it has one, leaves room for it. It reports
// false if there is none, or if the request is not admitted.
func (h *requestHandler[H]) selectGranted(ctx context.Context, state relay.State, now time.Time) (query.Choice, bool) {
	choice, ok := h.claimServer(ctx, state, now)
	if !ok && !h.usesPrevious && !h.isRefused() {
		if _, h.usesPrevious = query.ReleaseBefore(h.criteria.Cold, h.service, h.regions(), h.criteria.Release); h.usesPrevious {
			h.avoidsLimits = false
			choice, ok = h.claimServer(ctx, state, now)
		}
	}
	if ok {
		h.rememberRelease(ctx, choice)
	}
	return choice, ok
}

// rememberRelease assigns the request's session to the release of the chosen server, unless that replaces the one to which the
// session belongs only while its servers are cold.
func (h *requestHandler[H]) rememberRelease(ctx context.Context, choice query.Choice) {
	if !h.usesPrevious {
		h.dispatcher.rememberUse(ctx, relay.SessionUse{Key: h.sessionKey(), Release: choice.Server.Release})
	}
}

// claimServer selects servers until one has no limit and is not cold, or its keeper grants the request.
func (h *requestHandler[H]) claimServer(ctx context.Context, state relay.State, now time.Time) (query.Choice, bool) {
	for range maxClaims {
		choice, ok := h.selectServer(ctx, state, now)
		if !ok || !h.isAdmitted(state, choice, now) {
			return choice, false
		}
		if h.dispatcher.claimSend(ctx, h.criteria.Cold, choice.Server) {
			return choice, true
		}
	}
	h.avoidsLimits = true
	return h.selectServer(ctx, state, now)
}

// selectServer selects a server for the next attempt.
func (h *requestHandler[H]) selectServer(ctx context.Context, state relay.State, now time.Time) (query.Choice, bool) {
	h.criteria = h.newCriteria(ctx, state, now)
	return query.SelectServer(state, h.criteria, h.dispatcher.loads.Get, clock.Random{}, now)
}

// newCriteria returns what the next attempt requires of a server.
func (h *requestHandler[H]) newCriteria(ctx context.Context, state relay.State, now time.Time) query.Criteria {
	request := h.job.Request
	lastRelease := h.dispatcher.lastRelease(ctx, state, h.sessionKey())
	criteria := query.Criteria{
		Service: h.service, Regions: h.regions(), Tried: h.tried, PrefillTime: h.dispatcher.prefillRates.timePerToken(h.model()),
		Restrictions: h.dispatcher.backpressure.restrictions.Get(), WithoutLimit: h.avoidsLimits,
		Release: query.Release(state, h.service, h.regions(), request.Session, lastRelease, h.requestHash(), now), Cold: h.dispatcher.coldView(state, now),
	}
	if h.usesPrevious {
		if previous, ok := query.ReleaseBefore(criteria.Cold, h.service, h.regions(), criteria.Release); ok {
			criteria.Release = previous
		}
	}
	criteria.Gap, criteria.Hits, criteria.UnequalServers = h.admitted.Route.Gap, h.dispatcher.hits.Get(h.service), h.dispatcher.unequal.Get(h.service)
	if n := len(request.Prompt); n > 0 {
		criteria.OwnTokens = request.Prompt[n-1].Tokens
	}
	if prefix, ok := request.Shared(); ok {
		criteria.Shared = prefix.ID
		for _, part := range request.Prompt[:len(request.Prompt)-1] {
			criteria.SharedTokens += part.Tokens
		}
	}
	return criteria
}

// canMove reports whether another server could take over from the current attempt's.
func (h *requestHandler[H]) canMove(now time.Time) bool {
	state := h.dispatcher.config.Snapshot()
	return query.HasHealthyServer(state, h.moveCriteria(state, now), h.dispatcher.loads.Get, now)
}

// moveCriteria returns what the current attempt's request requires of a server that takes over.
func (h *requestHandler[H]) moveCriteria(state relay.State, now time.Time) query.Criteria {
	criteria := h.criteria
	criteria.Tried, criteria.Restrictions, criteria.Cold = h.tried, h.dispatcher.backpressure.restrictions.Get(), h.dispatcher.coldView(state, now)
	return criteria
}

// regions returns the regions that the request may reach.
func (h *requestHandler[H]) regions() place.Restriction {
	return place.RestrictionOf(h.admitted.Route, h.admitted.Account)
}

func (h *requestHandler[H]) sessionKey() relay.SessionKey {
	return relay.SessionKey{Service: h.service, Session: h.job.Request.Session}
}

// model returns the model to ask; it is empty where the route has no cascade and the caller names the
// model.
func (h *requestHandler[H]) model() relay.ModelName {
	if !h.admitted.Route.IsCascade() {
		return ""
	}
	return h.admitted.Route.Models[h.step]
}

// countPrefillTokens returns how many prompt tokens the server has to process: only the last part of the
// prompt when the server is expected to have the parts before it cached.
func (h *requestHandler[H]) countPrefillTokens(choice query.Choice) int {
	request := h.job.Request
	if len(request.Prompt) == 0 || !choice.HasCacheAffinity {
		return request.Input
	}
	return request.Prompt[len(request.Prompt)-1].Tokens
}
