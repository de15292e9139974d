package node

import (
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"endivehitch/core/fleet"
	"endivehitch/core/ledger"
	"endivehitch/core/policy"
	"endivehitch/core/query"
	"endivehitch/core/state"
	"endivehitch/core/value"
	"endivehitch/io/bills"
	"endivehitch/io/conf"
	"endivehitch/io/gossip"
	"endivehitch/io/once"
	"endivehitch/io/peer"
	"endivehitch/io/plat"
)

const (
	storeTimeout           = 2 * time.Second
	storeBurst             = 16
	maxQueuedStoreCalls    = 1024
	maxStoreWatches        = 64
	maxStoreAttempts       = 4
	storeRetriesPerSecond  = 5
	initialBackoff         = 50 * time.Millisecond
	maxBackoff             = 5 * time.Second
	maxJournalBytes        = 512 << 10
	maxAnswerBytes         = 8 << 10
	journalRetention       = 24 * time.Hour
	claimAbandonAfter      = 30 * time.Second
	journalWriteInterval   = 20 * time.Millisecond
	maxJournalGroup        = 256
	maxQueuedClaims        = 1024
	ownerTimeout           = time.Second
	claimRecordWait        = 2 * time.Second
	maxClaimBacklog        = 4096
	minBillCopies          = 1
	billReplicationTimeout = 5 * time.Second
	maxBillBacklog         = 16384
	maxSegmentBytes        = 256 << 10
)

// components holds the parts of the node that the request flow and the duties use.
type components struct {
	// store is the key-value service, limited to the instance's call budget.
	store *plat.LimitedStore
	// server and client are the two sides of the RPC connections between instances.
	server *peer.Server
	client *peer.Client
	gossip *gossip.Gossip
	// guard lets requests that are not idempotent run at most once.
	guard  *once.Guard
	biller *bills.Biller
}

func newComponents(c Config, control *controlLoop) (*components, error) {
	store, err := newLimitedStore(c)
	if err != nil {
		return nil, err
	}
	server, err := peer.NewServer(peer.ServerConfig{
		TLS:     c.Peers.Server,
		OnError: func(err error) { c.Log.Warn("WorkFailed", zap.String("Work", "AcceptPeer"), zap.Error(err)) },
	})
	if err != nil {
		return nil, fmt.Errorf("create peer server: %w", err)
	}
	client, err := peer.NewClient(peer.ClientConfig{TLS: c.Peers.Client, Seed: c.Seed})
	if err != nil {
		return nil, fmt.Errorf("create peer client: %w", err)
	}
	p := &components{store: store, server: server, client: client}
	if err := errors.Join(p.addGossip(c, control), p.addGuard(c, control), p.addBiller(c, control)); err != nil {
		return nil, err
	}
	return p, nil
}

func retryBackoff() policy.Backoff {
	return policy.Backoff{InitialDelay: initialBackoff, MaxDelay: maxBackoff}
}

// newLimitedStore returns the store client through which the instance makes all its calls to the
// key-value service, so that they share one budget.
func newLimitedStore(c Config) (*plat.LimitedStore, error) {
	store, err := plat.NewLimitedStore(plat.LimitedStoreConfig{
		Store:            c.Store,
		ReadsPerSecond:   c.StoreRates.Reads,
		WritesPerSecond:  c.StoreRates.Writes,
		Burst:            storeBurst,
		MaxQueue:         maxQueuedStoreCalls,
		MaxWatches:       maxStoreWatches,
		Timeout:          storeTimeout,
		MaxAttempts:      maxStoreAttempts,
		RetriesPerSecond: storeRetriesPerSecond,
		Backoff:          retryBackoff(),
		Seed:             c.Seed,
	})
	if err != nil {
		return nil, fmt.Errorf("create limited client of key-value service: %w", err)
	}
	return store, nil
}

func (p *components) addGossip(c Config, control *controlLoop) error {
	g, err := gossip.New(gossip.Config{
		Control:   control,
		Caller:    p.client,
		Registrar: p.server,
		List:      c.List,
		Store:     p.store,
		Prefix:    conf.Prefix(c.Environment),
		Decode:    newDecoder(c.Environment),
		Timing:    fleet.DefaultTiming(),
		Seed:      c.Seed,
	})
	if err != nil {
		return fmt.Errorf("create gossip: %w", err)
	}
	p.gossip = g
	return nil
}

func (p *components) addGuard(c Config, control *controlLoop) error {
	g, err := once.New(once.Config{
		Self:  c.Self.ID,
		Store: p.store,
		Owner: func(slot int) (value.Instance, bool) {
			return query.Owner(control.Snapshot(), slot)
		},
		Caller:        p.client,
		HasDeparted:   control.hasDeparted,
		Now:           time.Now,
		Rule:          ledger.JournalRule{Retention: journalRetention, AbandonAfter: claimAbandonAfter, MaxBytes: maxJournalBytes, MaxAnswerBytes: maxAnswerBytes},
		Slots:         state.Slots,
		WriteRate:     c.StoreRates.Writes,
		WriteInterval: journalWriteInterval,
		MaxGroup:      maxJournalGroup,
		MaxQueue:      maxQueuedClaims,
		OwnerTimeout:  ownerTimeout,
		StoreTimeout:  storeTimeout,
		RecordWait:    claimRecordWait,
		MaxBacklog:    maxClaimBacklog,
		Backoff:       retryBackoff(),
		NewToken:      uuid.NewString,
		Seed:          c.Seed,
	})
	if err != nil {
		return fmt.Errorf("create idempotency guard: %w", err)
	}
	p.guard = g
	if err := g.Register(p.server); err != nil {
		return fmt.Errorf("register RPC of idempotency guard: %w", err)
	}
	return nil
}

func (p *components) addBiller(c Config, control *controlLoop) error {
	b, err := bills.New(bills.Config{
		Self:               c.Self,
		Started:            time.Now(),
		Store:              p.store,
		Caller:             p.client,
		Holders:            func() []value.Instance { return query.BillReplicas(control.Snapshot()) },
		NeedsTakeover:      control.needsBillTakeover,
		MinCopies:          minBillCopies,
		FlushInterval:      func() time.Duration { return query.FlushInterval(control.Snapshot()) },
		ReplicationTimeout: billReplicationTimeout,
		CallTimeout:        storeTimeout,
		MaxBacklog:         maxBillBacklog,
		MaxSegmentBytes:    maxSegmentBytes,
		MaxHeldEntries:     maxBillBacklog,
		Backoff:            retryBackoff(),
		Seed:               c.Seed,
	})
	if err != nil {
		return fmt.Errorf("create biller: %w", err)
	}
	p.biller = b
	if err := b.Register(p.server); err != nil {
		return fmt.Errorf("register RPC of biller: %w", err)
	}
	return nil
}
