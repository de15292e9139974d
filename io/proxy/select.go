package proxy

import (
	"context"
	"time"

	"endivehitch/core/relay"
	"endivehitch/core/relay/query"
	"endivehitch/io/clock"
)

// maxClaims is the number of servers with a limit that are tried for an attempt, one after the other. After that only servers
// without one are.
const maxClaims = 4

// selectGranted selects a server for the next attempt whose limit, if it has one, leaves room for it.
func (h *requestHandler[H]) selectGranted(ctx context.Context, state relay.State, now time.Time) (query.Choice, bool) {
	for range maxClaims {
		choice, ok := h.selectServer(ctx, state, now)
		if !ok || h.dispatcher.claimSend(ctx, choice.Server) {
			return choice, ok
		}
	}
	h.avoidsLimits = true
	return h.selectServer(ctx, state, now)
}

// selectServer selects a server for the next attempt, and assigns the request's session to the server's
// release.
func (h *requestHandler[H]) selectServer(ctx context.Context, state relay.State, now time.Time) (query.Choice, bool) {
	h.criteria = h.newCriteria(ctx, state, now)
	choice, ok := query.SelectServer(state, h.criteria, h.dispatcher.loads.Get, clock.Random{}, now)
	if ok {
		h.dispatcher.rememberUse(ctx, relay.SessionUse{Key: h.sessionKey(), Release: choice.Server.Release})
	}
	return choice, ok
}

// newCriteria returns what the next attempt requires of a server.
func (h *requestHandler[H]) newCriteria(ctx context.Context, state relay.State, now time.Time) query.Criteria {
	request := h.job.Request
	lastRelease := h.dispatcher.lastRelease(ctx, state, h.sessionKey())
	criteria := query.Criteria{
		Service: h.service, Tried: h.tried, PrefillTime: h.dispatcher.prefillRates.timePerToken(h.model()),
		Restrictions: h.dispatcher.backpressure.restrictions.Get(), WithoutLimit: h.avoidsLimits,
		Release: query.Release(state, h.service, request.Session, lastRelease, h.requestHash(), now),
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
	criteria := h.criteria
	criteria.Tried, criteria.Restrictions = h.tried, h.dispatcher.backpressure.restrictions.Get()
	return query.HasHealthyServer(h.dispatcher.config.Snapshot(), criteria, h.dispatcher.loads.Get, now)
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
