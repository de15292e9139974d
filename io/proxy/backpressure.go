package proxy

import (
	"context"
	"fmt"
	"time"

	"endivehitch/core/policy"
	"endivehitch/core/relay"
	"endivehitch/core/relay/query"
)

// backpressure holds what servers ask of those that send requests to them.
type backpressure struct {
	restrictions policy.Cell[query.Restrictions]
	// granted holds the accounts of the limits of which this instance is the keeper, and shares those of this instance's
	// own requests while it can't reach a keeper. secondGranted holds those of cold servers of which it is the second keeper.
	granted       policy.Cells[relay.ServerID, relay.SendQuota]
	secondGranted policy.Cells[relay.ServerID, relay.SendQuota]
	shares        policy.Cells[relay.ServerID, relay.SendQuota]
	// lostKeepers holds the times until which keepers that didn't answer aren't asked.
	lostKeepers policy.Cells[relay.MemberName, time.Time]
}

// lostKeeperPause is the time for which a keeper that didn't answer isn't asked, so that few requests wait for it.
const lostKeeperPause = time.Second

// update replaces the server's restriction by the result of change, and returns both.
func (b *backpressure) update(id relay.ServerID, change func(relay.Restriction) relay.Restriction) (before, after relay.Restriction) {
	b.restrictions.Update(func(all query.Restrictions) query.Restrictions {
		before, _ = all.Get(id)
		after = change(before)
		return all.With(id, after)
	})
	return before, after
}

// maxUnlisted bounds the servers without an entry of which a restriction is known.
const maxUnlisted = 1024

// retain discards what is known of servers that are long gone or ask for nothing any more, and returns the restrictions that it
// has discarded although they had not ended.
func (b *backpressure) retain(state relay.State, now time.Time) map[relay.ServerID]relay.Restriction {
	forgotten := make(map[relay.ServerID]relay.Restriction)
	unlisted := make(map[relay.ServerID]time.Time)
	for id := range b.restrictions.Get().Unordered() {
		server, isListed := state.Server(id)
		before, after := b.retainServer(id, server, isListed, now)
		if after.IsNeeded(now) && !isListed {
			unlisted[id] = after.UnlistedSince
		}
		if (before.IsNeeded(now) && !after.IsNeeded(now)) || (before.Leaving && !after.Leaving) {
			forgotten[id] = before
		}
	}
	for _, id := range policy.Oldest(unlisted, len(unlisted)-maxUnlisted) {
		forgotten[id], _ = b.restrictions.Get().Get(id)
		b.restrictions.Update(func(all query.Restrictions) query.Restrictions { return all.Without(id) })
	}
	b.retainQuotas(state)
	return forgotten
}

// retainServer updates the server's restriction by its entry, discards it if it says nothing any more, and returns what it was
// and is.
func (b *backpressure) retainServer(id relay.ServerID, server relay.Server, isListed bool, now time.Time) (before, after relay.Restriction) {
	b.restrictions.Update(func(all query.Restrictions) query.Restrictions {
		before, _ = all.Get(id)
		after = before.WithEntry(server, isListed, now)
		switch {
		case !after.IsNeeded(now):
			return all.Without(id)
		case after == before:
			return all
		}
		return all.With(id, after)
	})
	return before, after
}

// retainQuotas discards the accounts of servers that are gone. A new account starts empty, so that it allows no more.
func (b *backpressure) retainQuotas(state relay.State) {
	for _, quotas := range []*policy.Cells[relay.ServerID, relay.SendQuota]{&b.granted, &b.secondGranted, &b.shares} {
		for id := range quotas.All() {
			if _, ok := state.Server(id); !ok {
				quotas.Delete(id)
			}
		}
	}
}

// recordForgotten passes to the recorder that the restriction of the server isn't known any longer.
func (d *Dispatcher[H]) recordForgotten(id relay.ServerID, r relay.Restriction, revision int64) {
	d.config.Recorder.Record(Decision{
		Kind: DecisionServerForgotten, Server: id, Revision: revision,
		Detail: fmt.Sprintf("leaving %t, limited %t, paused %t", r.Leaving, r.HasLimit, d.config.Now().Before(r.PausedUntil)),
	})
}

// recordBackpressure records what the server asks for in the head of an answer.
func (a *attemptHandler[H]) recordBackpressure(asked relay.Backpressure) {
	d := a.dispatcher
	if _, ok := d.backpressure.restrictions.Get().Get(a.server.ID); !ok && asked.IsEmpty() {
		return
	}
	now := d.config.Now()
	before, after := d.backpressure.update(a.server.ID, func(r relay.Restriction) relay.Restriction {
		return r.WithAnswer(a.server, asked, a.started, now)
	})
	a.recordRestriction(before, after, now)
}

// recordRestriction passes what has changed to the recorder.
func (a *attemptHandler[H]) recordRestriction(before, after relay.Restriction, now time.Time) {
	if after.IsLeaving(a.server) && !before.IsLeaving(a.server) {
		a.record(DecisionServerLeaving, "Stated", 0, "the server shuts down")
	}
	if after.PausedUntil.After(before.PausedUntil) {
		a.record(DecisionServerPaused, "Stated", 0, fmt.Sprintf("no requests for %v", after.PausedUntil.Sub(now)))
	}
	switch {
	case after.HasLimit && (!before.HasLimit || before.Limit != after.Limit):
		a.record(DecisionServerLimited, "Stated", 0, fmt.Sprintf("%g requests a second", after.Limit))
	case before.HasLimit && !after.HasLimit:
		a.record(DecisionServerLimited, "Lifted", 0, fmt.Sprintf("after %g requests a second", before.Limit))
	}
}

// openShare returns the share of the service's servers that are open to new requests.
func (h *requestHandler[H]) openShare() float64 {
	d := h.dispatcher
	return query.OpenShare(d.config.Snapshot(), h.service, d.backpressure.restrictions.Get(), d.config.Now())
}

// claimGrant asks the keeper of the limit or, if it can't be reached, this instance's share of the limit.
func (d *Dispatcher[H]) claimGrant(ctx context.Context, claim relay.SendClaim) relay.SendGrant {
	state := d.config.Snapshot()
	grant, err := d.askKeeper(ctx, state, query.LimitKeeper(state, claim.Server), claim)
	if err == nil || ctx.Err() != nil {
		return grant
	}
	return d.grantShare(state, claim)
}

// GrantSend answers the claim of an instance, or of this one, for a server of whose limit this instance is the keeper.
func (d *Dispatcher[H]) GrantSend(claim relay.SendClaim) relay.SendGrant {
	if claim.Cold {
		return d.grantCold(claim)
	}
	return grantFrom(&d.backpressure.granted, claim, d.config.Now())
}

func (d *Dispatcher[H]) grantShare(state relay.State, claim relay.SendClaim) relay.SendGrant {
	claim.Limit = query.LimitShare(state, claim.Limit)
	return grantFrom(&d.backpressure.shares, claim, d.config.Now())
}

func grantFrom(quotas *policy.Cells[relay.ServerID, relay.SendQuota], claim relay.SendClaim, now time.Time) relay.SendGrant {
	var grant relay.SendGrant
	quotas.Cell(claim.Server).Update(func(q relay.SendQuota) relay.SendQuota {
		q, grant = q.WithClaim(claim, now)
		return q
	})
	return grant
}

// unlistedReportTime is how long what a server has said of itself is passed on after its entry is gone. Instances hear of it
// within some seconds, and know it by themselves from then on.
const unlistedReportTime = 10 * time.Second

// reportRestrictions adds what servers have asked for to the reports by server.
func (b *backpressure) reportRestrictions(reports map[relay.ServerID]relay.ServerReport, now time.Time) {
	for id, restriction := range b.restrictions.Get().Unordered() {
		age := now.Sub(restriction.StatedAt)
		hasFreshLimit := restriction.HasLimit && age < maxSharedReportAge
		unlisted := restriction.UnlistedFor(now)
		isLeaving := restriction.Leaving && unlisted < unlistedReportTime
		if !hasFreshLimit && !isLeaving {
			continue
		}
		report := reports[id]
		report.Server = id
		if hasFreshLimit {
			report.Limit, report.HasLimit, report.LimitAge = restriction.Limit, true, age
		}
		if isLeaving {
			report.Leaving, report.Born, report.Unlisted = true, restriction.Born, unlisted
		}
		reports[id] = report
	}
}

// mergeLeaving takes in which incarnation of a server has said to another instance that it shuts down. The server need not be
// listed here: its entry may be gone already, or not read yet.
func (b *backpressure) mergeLeaving(report relay.ServerReport, now time.Time) {
	if !report.Leaving {
		return
	}
	var unlistedSince time.Time
	if report.Unlisted > 0 {
		unlistedSince = now.Add(-report.Unlisted)
	}
	merged := func(r relay.Restriction) relay.Restriction { return r.WithLeaving(report.Born, unlistedSince) }
	if known, _ := b.restrictions.Get().Get(report.Server); merged(known) != known {
		b.update(report.Server, merged)
	}
}

// mergeLimit takes in the limit that a server has stated to another instance.
func (b *backpressure) mergeLimit(report relay.ServerReport, now time.Time) {
	if !report.HasLimit {
		return
	}
	merged := func(r relay.Restriction) relay.Restriction {
		return r.WithReportedLimit(report.Limit, now.Add(-report.LimitAge))
	}
	if known, _ := b.restrictions.Get().Get(report.Server); merged(known) != known {
		b.update(report.Server, merged)
	}
}
