package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"syscall"
	"time"

	"endivehitch/core/policy"
	"endivehitch/core/relay"
	"endivehitch/core/relay/cold"
	"endivehitch/core/relay/query"
)

// coldness holds what is known of servers' cold periods besides their entries.
type coldness struct {
	known policy.Cell[cold.Table]
	// recorded holds the ends of the cold periods that have been passed to the recorder.
	recorded policy.Cells[relay.ServerID, time.Time]
	// earlier holds the state of the last two calls of Retain, which are a second apart; the first is the older.
	earlier policy.Cell[[2]relay.State]
	updates chan struct{}
}

// LossUpdates returns a channel that receives a value when the loss of a server has become known.
func (d *Dispatcher[H]) LossUpdates() <-chan struct{} {
	return d.coldness.updates
}

// notify makes LossUpdates report a loss to pass on.
func (c *coldness) notify() {
	select {
	case c.updates <- struct{}{}:
	default:
	}
}

// ClaimKind says why a request needs a grant.
type ClaimKind string

// The kinds of claims.
const (
	ClaimCold    ClaimKind = "Cold"
	ClaimLimited ClaimKind = "Limited"
)

const (
	// maxGrantAge is the age from which a grant isn't used, as after a pause of this instance. The keeper may have granted
	// others' requests in the time in which the request would arrive.
	maxGrantAge = 500 * time.Millisecond
	// noKeeperPause is how long a cold server gets no requests after none of its keepers could be reached.
	noKeeperPause = 250 * time.Millisecond
	// wrongKeeperPause is the time for two instances to learn the same list of instances, after one has asked another that
	// isn't the keeper, or knows of no keeper.
	wrongKeeperPause = 100 * time.Millisecond
)

var (
	errKeeperLost    = errors.New("keeper has not answered lately")
	errGrantOutdated = errors.New("grant came too late")
)

// coldView returns what the instance knows of servers' cold periods now.
func (d *Dispatcher[H]) coldView(state relay.State, now time.Time) cold.View {
	return cold.View{State: state, Known: d.coldness.known.Get(), Limits: d.config.ColdLimits(), Reopened: d.config.Reopened, Now: now}
}

// claimSend reports whether a request may be sent to the server now, as far as a limit of the server or its cold rate goes. If
// not, the server gets no request of this instance until it may claim again.
func (d *Dispatcher[H]) claimSend(ctx context.Context, view cold.View, server relay.Server) bool {
	restriction, _ := d.backpressure.restrictions.Get().Get(server.ID)
	claim, isNeeded := view.ClaimFor(server, restriction, cold.First)
	if !isNeeded {
		return true
	}
	kind, grant := ClaimLimited, relay.SendGrant{}
	if claim.Cold {
		kind = ClaimCold
		d.recordCold(view, server)
		grant = d.claimCold(ctx, view, server, restriction)
	} else {
		grant = d.claimGrant(ctx, claim)
	}
	if d.config.OnClaim != nil {
		d.config.OnClaim(kind, grant.Granted)
	}
	if !grant.Granted {
		until := d.config.Now().Add(grant.RetryAfter)
		if warmAt := view.PeriodOf(server).Until; claim.Cold && !restriction.HasLimit && warmAt.Before(until) {
			until = warmAt
		}
		d.backpressure.update(server.ID, func(r relay.Restriction) relay.Restriction { return r.WithDenial(until) })
	}
	return grant.Granted
}

// claimCold asks the keepers of a cold server in turn. Without a grant of one, the server gets no request.
func (d *Dispatcher[H]) claimCold(ctx context.Context, view cold.View, server relay.Server, restriction relay.Restriction) relay.SendGrant {
	keepers := query.ColdKeepers(view.State, server.ID)
	if len(keepers) == 0 {
		return relay.SendGrant{RetryAfter: wrongKeeperPause}
	}
	for i, keeper := range keepers {
		claim, _ := view.ClaimFor(server, restriction, cold.Role(i))
		if claim.Limit <= 0 {
			break
		}
		grant, err := d.askKeeper(ctx, view.State, keeper, claim)
		if err == nil {
			return grant
		}
		if ctx.Err() != nil || errors.Is(err, errGrantOutdated) {
			return relay.SendGrant{}
		}
	}
	return relay.SendGrant{RetryAfter: noKeeperPause}
}

// askKeeper asks the keeper, unless it has not answered lately.
func (d *Dispatcher[H]) askKeeper(ctx context.Context, state relay.State, keeper relay.Member, claim relay.SendClaim) (relay.SendGrant, error) {
	if keeper.Name == state.Self.Name {
		return d.GrantSend(claim), nil
	}
	start := d.config.Now()
	if start.Before(d.backpressure.lostKeepers.Get(keeper.Name)) {
		return relay.SendGrant{}, errKeeperLost
	}
	limited, cancel := context.WithTimeout(ctx, keeperTimeout)
	defer cancel()
	grant, err := d.config.LimitKeepers.ClaimSend(limited, keeper, claim)
	now := d.config.Now()
	switch {
	case err != nil && ctx.Err() == nil:
		until := now.Add(lostKeeperPause)
		d.backpressure.lostKeepers.Cell(keeper.Name).Update(func(time.Time) time.Time { return until })
		return relay.SendGrant{}, fmt.Errorf("claim from %s: %w", keeper.Name, err)
	case err != nil:
		return relay.SendGrant{}, fmt.Errorf("claim from %s: %w", keeper.Name, err)
	case claim.Cold && grant.Granted && now.Sub(start) > maxGrantAge:
		return relay.SendGrant{}, errGrantOutdated
	}
	return grant, nil
}

// grantCold answers the claim for a request to a cold server. This instance may be a keeper no more, or not yet, and one that
// has not heard from the store for long may have been replaced without knowing.
func (d *Dispatcher[H]) grantCold(claim relay.SendClaim) relay.SendGrant {
	state, now := d.config.Snapshot(), d.config.Now()
	role, quotas := cold.First, &d.backpressure.granted
	if claim.Second {
		role, quotas = cold.Second, &d.backpressure.secondGranted
	}
	if !query.IsColdKeeper(state, claim.Server, role) {
		return relay.SendGrant{RetryAfter: wrongKeeperPause}
	}
	if !query.KnowsMembers(state, now) {
		claim = cold.Reduced(claim)
	}
	if quotas.Get(claim.Server) == (relay.SendQuota{}) && query.IsColdKeeper(d.coldness.earlier.Get()[0], claim.Server, role) {
		quotas.Cell(claim.Server).Update(func(q relay.SendQuota) relay.SendQuota { return q.WithSettledKeeper(claim, now) })
	}
	return grantFrom(quotas, claim, now)
}

// recordCold passes the server's cold period to the recorder, once for each period.
func (d *Dispatcher[H]) recordCold(view cold.View, server relay.Server) {
	period := view.PeriodOf(server)
	isNew := false
	d.coldness.recorded.Cell(server.ID).Update(func(until time.Time) time.Time {
		isNew = !view.Now.Before(until)
		return later(until, period.Until)
	})
	if isNew {
		d.config.Recorder.Record(Decision{
			Kind: DecisionServerCold, Server: server.ID, Release: server.Release, Reason: string(period.Source), Revision: view.State.Revision,
			Detail: fmt.Sprintf("for %v at least", period.Until.Sub(view.Now)),
		})
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// updateColdness replaces what is known of the server's cold period by the result of change, if that is another one.
func (d *Dispatcher[H]) updateColdness(id relay.ServerID, change func(relay.Coldness) relay.Coldness) {
	before, _ := d.coldness.known.Get().Get(id)
	if change(before) == before {
		return
	}
	d.coldness.known.Update(func(all cold.Table) cold.Table {
		current, _ := all.Get(id)
		return all.With(id, change(current))
	})
}

// recordReached records what an answer says of the server's cold period.
func (a *attemptHandler[H]) recordReached(answer *Answer[H]) {
	if !a.hasColdRate || (answer.NotRun && !answer.Signed && !answer.Cold.IsStated) {
		return
	}
	d, now := a.dispatcher, a.dispatcher.config.Now()
	view := d.coldView(d.config.Snapshot(), now)
	if answer.Cold.Remaining <= 0 && !view.IsCold(a.server) {
		return
	}
	lostAt, _ := view.LostAt(a.server)
	d.updateColdness(a.server.ID, func(c relay.Coldness) relay.Coldness {
		return c.WithReached(lostAt, a.started, now).WithStatement(answer.Cold, a.started, now)
	})
	if answer.Cold.Remaining > 0 {
		d.recordCold(d.coldView(d.config.Snapshot(), now), a.server)
	}
}

// recordLoss records that the server was lost, so that it may come back cold.
func (a *attemptHandler[H]) recordLoss(ctx context.Context, ending query.Ending, cause error, now time.Time) {
	if ctx.Err() != nil || (ending != query.EndedUnsent && ending != query.EndedUnknown) || !a.hasColdRate {
		return
	}
	d := a.dispatcher
	d.updateColdness(a.server.ID, func(c relay.Coldness) relay.Coldness {
		return c.WithLoss(a.server, isRefusedOrReset(cause), a.started, now)
	})
	if isRefusedOrReset(cause) {
		d.coldness.notify()
	}
	d.recordCold(d.coldView(d.config.Snapshot(), now), a.server)
}

// isRefusedOrReset reports whether the error shows that the server's process has closed its connections. An instance that is
// cut off from its servers sees their silence only, and must not have all others count them as cold.
func isRefusedOrReset(cause error) bool {
	for _, shown := range []error{syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.EPIPE, io.EOF, io.ErrUnexpectedEOF} {
		if errors.Is(cause, shown) {
			return true
		}
	}
	return false
}

// retain discards what is known of servers that are long gone, or no longer decides on anything.
func (c *coldness) retain(view cold.View) {
	c.earlier.Update(func(earlier [2]relay.State) [2]relay.State { return [2]relay.State{earlier[1], view.State} })
	c.known.Update(func(all cold.Table) cold.Table { return all.Edit(nil, outdatedColdness(view, all)) })
	for id, until := range c.recorded.All() {
		if !view.Now.Before(until) {
			c.recorded.Delete(id)
		}
	}
}

// outdatedColdness returns the servers of which nothing need be known any longer.
func outdatedColdness(view cold.View, all cold.Table) []relay.ServerID {
	var outdated []relay.ServerID
	unlisted := make(map[relay.ServerID]time.Time)
	for id, known := range all.Unordered() {
		server, isListed := view.State.Server(id)
		switch {
		case isListed && view.IsNeeded(server, known):
		case !isListed && view.IsNeededUnlisted(known):
			unlisted[id] = known.LatestNews()
		default:
			outdated = append(outdated, id)
		}
	}
	return append(outdated, policy.Oldest(unlisted, len(unlisted)-maxUnlisted)...)
}

// maxSharedLossAge is the age from which a loss isn't passed on. Most instances hear of one within a second, over two or three
// others.
const maxSharedLossAge = 3 * time.Second

// report adds what is known of servers' cold periods to the reports by server.
func (c *coldness) report(reports map[relay.ServerID]relay.ServerReport, now time.Time) {
	for id, known := range c.known.Get().Unordered() {
		report := reports[id]
		report.Server = id
		if age := now.Sub(known.LostAt); known.LossConfirmed && age < maxSharedLossAge {
			report.Lost, report.LostAge, report.LostBorn = true, age, known.LostBorn
		}
		if age := now.Sub(known.ReachedAt); age < maxSharedLossAge {
			report.Reached, report.ReachedAge = true, age
		}
		if now.Before(known.Until) {
			report.Cold, report.ColdAge, report.ColdRemaining = true, now.Sub(known.StatedAt), known.Until.Sub(now)
		}
		if !report.IsLoadOnly() {
			reports[id] = report
		}
	}
}

// mergeColdness takes in what another instance knows of a server's cold period. The server need not be listed here.
func (d *Dispatcher[H]) mergeColdness(state relay.State, report relay.ServerReport, now time.Time) {
	server, isListed := state.Server(report.Server)
	service, _ := state.Service(server.Service)
	if (isListed && service.ColdPerSecond <= 0) || (!report.Lost && !report.Reached && !report.Cold) {
		return
	}
	server.ID = report.Server
	before, _ := d.coldness.known.Get().Get(server.ID)
	d.updateColdness(server.ID, func(c relay.Coldness) relay.Coldness { return c.WithReport(report, now) })
	if after, _ := d.coldness.known.Get().Get(server.ID); after.LostAt.After(before.LostAt) {
		d.coldness.notify()
	}
	if report.Reached {
		reachedAt := now.Add(-report.ReachedAge)
		lostAt, _ := d.coldView(state, now).LostAt(server)
		d.updateColdness(server.ID, func(c relay.Coldness) relay.Coldness { return c.WithReached(lostAt, reachedAt, reachedAt) })
	}
}
