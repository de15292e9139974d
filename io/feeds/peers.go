package feeds

import (
	"context"
	"errors"
	"time"

	"endivehitch/core/relay"
	"endivehitch/core/relay/query"
	"endivehitch/core/value"
	"endivehitch/io/peer"
)

type tallyArgs struct{}

type orderArgs struct{}

type reportReply struct{}

var (
	sinceMethod   = peer.Method[Ask, relay.Feed]{Name: "Since"}
	tallyMethod   = peer.Method[tallyArgs, []relay.Tally]{Name: "Tallies"}
	orderMethod   = peer.Method[orderArgs, []relay.OrderAge]{Name: "OrderAges"}
	sessionMethod = peer.Method[relay.SessionKey, relay.Release]{Name: "LastRelease"}
	reportMethod  = peer.Method[relay.SessionUse, reportReply]{Name: "ReportUse"}
	partMethod    = peer.Method[[]relay.PartReport, []relay.PartReport]{Name: "ExchangeParts"}
	lossMethod    = peer.Method[[]relay.ServerReport, []relay.ServerReport]{Name: "ExchangeReports"}
	sendMethod    = peer.Method[relay.SendClaim, relay.SendGrant]{Name: "ClaimSend"}
	probeMethod   = peer.Method[query.Probe, int]{Name: "ClaimProbe"}
)

// Records are the observations of this instance's traffic that other instances ask for.
type Records interface {
	Reports
	PartRecords
	// GrantProbe returns the number of the probe of a quarantined part, or zero if it may not be sent.
	GrantProbe(probe query.Probe) int
	// GrantSend answers the claim for a request to a server of whose limit this instance is the keeper.
	GrantSend(claim relay.SendClaim) relay.SendGrant
	// Tallies returns the counts of attempts by release.
	Tallies() []relay.Tally
	// LastRelease returns the release of the last request of a session that this instance keeps.
	LastRelease(key relay.SessionKey) relay.Release
	// RecordUse records the release of a session that this instance keeps.
	RecordUse(use relay.SessionUse)
}

// Methods are the methods that an instance serves to others.
type Methods struct {
	Control Control
	Records Records
	Now     func() time.Time
}

// Register registers the methods.
func (m Methods) Register(registrar peer.Registrar) error {
	return errors.Join(
		sinceMethod.Serve(registrar, func(request Ask) (relay.Feed, error) { return m.Since(request), nil }),
		tallyMethod.Serve(registrar, func(tallyArgs) ([]relay.Tally, error) { return m.Records.Tallies(), nil }),
		orderMethod.Serve(registrar, func(orderArgs) ([]relay.OrderAge, error) { return m.Control.Snapshot().OrderAges(m.Now()), nil }),
		sessionMethod.Serve(registrar, func(key relay.SessionKey) (relay.Release, error) { return m.Records.LastRelease(key), nil }),
		reportMethod.Serve(registrar, func(use relay.SessionUse) (reportReply, error) {
			m.Records.RecordUse(use)
			return reportReply{}, nil
		}),
		partMethod.Serve(registrar, func(reports []relay.PartReport) ([]relay.PartReport, error) {
			m.Records.MergePartReports(reports)
			return m.Records.PartReports(), nil
		}),
		lossMethod.Serve(registrar, func(reports []relay.ServerReport) ([]relay.ServerReport, error) {
			m.Records.MergeReports(reports)
			return withoutLoadOnly(m.Records.FreshReports()), nil
		}),
		probeMethod.Serve(registrar, func(probe query.Probe) (int, error) { return m.Records.GrantProbe(probe), nil }),
		sendMethod.Serve(registrar, func(claim relay.SendClaim) (relay.SendGrant, error) { return m.Records.GrantSend(claim), nil }),
	)
}

// Since answers the request of another instance for changes.
func (m Methods) Since(request Ask) relay.Feed {
	m.Records.MergeReports(request.Reports)
	m.Records.MergeUse(request.Use)
	feed := waitForChanges(m.Control, request, m.Now)
	feed.Reports, feed.Use = m.Records.FreshReports(), m.Records.FleetUse()
	return feed
}

// maxPeerLongPoll bounds how long a call of another instance is held.
const maxPeerLongPoll = 1500 * time.Millisecond

// waitForChanges waits for a revision newer than the requested one and returns the changes up to it, or no
// changes when there is none in time.
func waitForChanges(control Control, request Ask, now func() time.Time) relay.Feed {
	ctx, cancel := context.WithTimeout(context.Background(), min(request.Wait, maxPeerLongPoll))
	defer cancel()
	for {
		s, changed := control.Watch()
		if s.Revision > request.Revision {
			return withStoreStatus(s, LimitFeed(s.ChangesSince(request.Revision), request), now())
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return withStoreStatus(s, relay.Feed{After: request.Revision, Revision: request.Revision}, now())
		}
	}
}

// maxChangesPerAnswer bounds how many changes an instance sends in an answer that was not asked for in bulk.
// All instances that follow this one share its network link, while the store's has more bandwidth.
const maxChangesPerAnswer = 128

// LimitFeed returns the feed, or an empty one marked TooMuch when the requesting instance should read
// the store itself.
func LimitFeed(feed relay.Feed, request Ask) relay.Feed {
	if request.Bulk || (!feed.Whole && len(feed.Changes) <= maxChangesPerAnswer) {
		return feed
	}
	return relay.Feed{TooMuch: true, After: request.Revision, Revision: request.Revision}
}

// withStoreStatus adds to the feed whether this instance can reach the store, how long ago the store became
// reachable again, and how long ago it last answered.
func withStoreStatus(state relay.State, feed relay.Feed, now time.Time) relay.Feed {
	feed.Away = !state.StoreUnreachableSince.IsZero()
	if !state.StoreRecoveredAt.IsZero() {
		feed.Back = now.Sub(state.StoreRecoveredAt)
	}
	if !state.StoreAnsweredAt.IsZero() {
		// Zero would mean that the time is not known.
		feed.Served = max(1, now.Sub(state.StoreAnsweredAt))
	}
	return feed
}

// PeerClient calls other instances over the peer connections; it implements Peers, PartPeers,
// proxy.SessionPeers, proxy.PartKeepers and proxy.LimitKeepers.
type PeerClient struct {
	// Client holds the connections to other instances.
	Client *peer.Client
}

// Since requests the changes after a revision from the instance at the address.
func (c PeerClient) Since(ctx context.Context, address string, request Ask) (relay.Feed, error) {
	feed, err := sinceMethod.Call(ctx, c.Client, instanceAt(address), request)
	if err == nil && feed.Revision == 0 && !feed.TooMuch {
		return relay.Feed{}, errNoState
	}
	return feed, err
}

// Tallies requests the tallies of the instance at the address.
func (c PeerClient) Tallies(ctx context.Context, address string) ([]relay.Tally, error) {
	return tallyMethod.Call(ctx, c.Client, instanceAt(address), tallyArgs{})
}

// OrderAges requests the ages of the roll-out orders from the instance at the address.
func (c PeerClient) OrderAges(ctx context.Context, address string) ([]relay.OrderAge, error) {
	return orderMethod.Call(ctx, c.Client, instanceAt(address), orderArgs{})
}

// LastRelease asks the keeper for the release of the session's last request.
func (c PeerClient) LastRelease(ctx context.Context, keeper relay.Member, key relay.SessionKey) (relay.Release, error) {
	return sessionMethod.Call(ctx, c.Client, instanceAt(keeper.Address), key)
}

// ReportUse tells the keeper to which release a request of the session was sent.
func (c PeerClient) ReportUse(ctx context.Context, keeper relay.Member, use relay.SessionUse) error {
	_, err := reportMethod.Call(ctx, c.Client, instanceAt(keeper.Address), use)
	return err
}

// ExchangeParts sends the reports to the instance at the address, and returns its own.
func (c PeerClient) ExchangeParts(ctx context.Context, address string, reports []relay.PartReport) ([]relay.PartReport, error) {
	return partMethod.Call(ctx, c.Client, instanceAt(address), reports)
}

// ExchangeReports sends the reports to the instance at the address, and returns its own.
func (c PeerClient) ExchangeReports(ctx context.Context, address string, reports []relay.ServerReport) ([]relay.ServerReport, error) {
	return lossMethod.Call(ctx, c.Client, instanceAt(address), reports)
}

// ClaimProbe asks the keeper for the probe, and returns its number, or zero if it may not be sent.
func (c PeerClient) ClaimProbe(ctx context.Context, keeper relay.Member, probe query.Probe) (int, error) {
	return probeMethod.Call(ctx, c.Client, instanceAt(keeper.Address), probe)
}

// ClaimSend asks the keeper of a server's limit for permission to send one request.
func (c PeerClient) ClaimSend(ctx context.Context, keeper relay.Member, claim relay.SendClaim) (relay.SendGrant, error) {
	return sendMethod.Call(ctx, c.Client, instanceAt(keeper.Address), claim)
}

var errNoState = errors.New("instance has no control state yet")

func instanceAt(address string) value.Instance {
	return value.Instance{ID: value.InstanceID(address), PeerAddress: address}
}
