package proxy

import (
	"context"
	"time"

	"endivehitch/core/relay"
	"endivehitch/core/relay/query"
)

// SessionPeers reaches the instances that keep the fleet's record of sessions.
type SessionPeers interface {
	// LastRelease asks the keeper for the release of the session's last request; it is empty if the keeper
	// knows of none.
	LastRelease(ctx context.Context, keeper relay.Member, key relay.SessionKey) (relay.Release, error)
	// ReportUse tells the keeper to which release a request of the session was sent.
	ReportUse(ctx context.Context, keeper relay.Member, use relay.SessionUse) error
}

// PartKeepers reaches the instances that grant probes of quarantined parts.
type PartKeepers interface {
	// ClaimProbe asks the keeper for the probe, and returns its number, or zero if it may not be sent.
	ClaimProbe(ctx context.Context, keeper relay.Member, probe query.Probe) (int, error)
}

// LimitKeepers reaches the instances that grant requests to servers that have stated a limit.
type LimitKeepers interface {
	// ClaimSend asks the keeper for permission to send one request.
	ClaimSend(ctx context.Context, keeper relay.Member, claim relay.SendClaim) (relay.SendGrant, error)
}

const (
	// keeperTimeout bounds how long a request waits for the record of its session, or for a grant.
	keeperTimeout = 150 * time.Millisecond
	// reportTimeout bounds the time in which a keeper must receive a report.
	reportTimeout = time.Second
)

// LastRelease returns the release of the session's last request, as reported to this instance as the
// session's keeper.
func (d *Dispatcher[H]) LastRelease(key relay.SessionKey) relay.Release {
	return d.keptSessions.release(key, d.config.Now())
}

// RecordUse records the release of a session that this instance keeps.
func (d *Dispatcher[H]) RecordUse(use relay.SessionUse) {
	d.keptSessions.remember(use.Key, use.Release, d.config.Now())
}

// rememberUse records the release of the session, here and, if the session may be a canary, at its keeper.
func (d *Dispatcher[H]) rememberUse(ctx context.Context, use relay.SessionUse) {
	d.sessions.remember(use.Key, use.Release, d.config.Now())
	state := d.config.Snapshot()
	if !query.IsCanarySession(state, use.Key.Session) {
		return
	}
	keeper, ok := query.SessionKeeper(state, use.Key.Session)
	if !ok || keeper.Name == state.Self.Name {
		d.RecordUse(use)
		return
	}
	go func() {
		// The report goes on when the request ends.
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), reportTimeout)
		defer cancel()
		// A report that is lost leaves the session unknown to the fleet, as a new one is.
		_ = d.config.SessionPeers.ReportUse(ctx, keeper, use)
	}()
}

// lastRelease returns the release of the session's last request, from this instance's record or, where the
// choice depends on it, the fleet's. A session whose record can't be read stays at the release before the
// roll-out, which suits both new and known sessions.
func (d *Dispatcher[H]) lastRelease(ctx context.Context, state relay.State, key relay.SessionKey) relay.Release {
	now := d.config.Now()
	last := d.sessions.release(key, now)
	if last != "" || !query.NeedsSessionRecord(state, key.Service, key.Session, now) {
		return last
	}
	keeper, ok := query.SessionKeeper(state, key.Session)
	if !ok || keeper.Name == state.Self.Name {
		return d.LastRelease(key)
	}
	ctx, cancel := context.WithTimeout(ctx, keeperTimeout)
	defer cancel()
	last, err := d.config.SessionPeers.LastRelease(ctx, keeper, key)
	if err != nil {
		return query.BaselineRelease(state, key.Service)
	}
	return last
}
