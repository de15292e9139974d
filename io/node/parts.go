package node

import (
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

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
	storeTimeout  = 2 * time.Second
	storeBurst    = 16
	storeQueue    = 1024
	storeWatches  = 64
	storeTries    = 4
	storeRetries  = 5
	backoffFirst  = 50 * time.Millisecond
	backoffLimit  = 5 * time.Second
	journalBytes  = 512 << 10
	answerBytes   = 8 << 10
	journalKeep   = 24 * time.Hour
	journalWait   = 30 * time.Second
	journalGap    = 20 * time.Millisecond
	journalGroup  = 256
	journalQueue  = 1024
	ownerTimeout  = time.Second
	settleWait    = 2 * time.Second
	settleBacklog = 4096
	billCopies    = 1
	billPatience  = 5 * time.Second
	billBacklog   = 16384
	segmentBytes  = 256 << 10
)

// parts is what the node is put together from, beside the control loop and the faces.
type parts struct {
	store  *plat.Budget
	server *peer.Server
	client *peer.Client
	gossip *gossip.Gossip
	guard  *once.Guard
	biller *bills.Biller
}

func newParts(c Config, control *control) (*parts, error) {
	store, err := newBudget(c)
	if err != nil {
		return nil, err
	}
	server, err := peer.NewServer(peer.ServerConfig{TLS: c.Peers.Server})
	if err != nil {
		return nil, fmt.Errorf("make peer server: %w", err)
	}
	client, err := peer.NewClient(peer.ClientConfig{TLS: c.Peers.Client, Seed: c.Seed})
	if err != nil {
		return nil, fmt.Errorf("make peer client: %w", err)
	}
	p := &parts{store: store, server: server, client: client}
	if err := errors.Join(p.addGossip(c, control), p.addGuard(c, control), p.addBiller(c, control)); err != nil {
		return nil, err
	}
	return p, nil
}

func backoff() policy.Backoff {
	return policy.Backoff{First: backoffFirst, Limit: backoffLimit}
}

// newBudget keeps all calls of the instance to the key-value service inside one budget.
func newBudget(c Config) (*plat.Budget, error) {
	b, err := plat.NewBudget(plat.BudgetConfig{
		Store:   c.Store,
		Reads:   c.Rates.Reads,
		Writes:  c.Rates.Writes,
		Burst:   storeBurst,
		Queue:   storeQueue,
		Watches: storeWatches,
		Timeout: storeTimeout,
		Tries:   storeTries,
		Retries: storeRetries,
		Backoff: backoff(),
		Seed:    c.Seed,
	})
	if err != nil {
		return nil, fmt.Errorf("make store budget: %w", err)
	}
	return b, nil
}

func (p *parts) addGossip(c Config, control *control) error {
	g, err := gossip.New(gossip.Config{
		Control:   control,
		Caller:    p.client,
		Registrar: p.server,
		List:      c.List,
		Store:     p.store,
		Prefix:    conf.Prefix(c.Environment),
		Decode:    decoder(c.Environment),
		Timing:    fleet.DefaultTiming(),
		Seed:      c.Seed,
	})
	if err != nil {
		return fmt.Errorf("make gossip: %w", err)
	}
	p.gossip = g
	return nil
}

func (p *parts) addGuard(c Config, control *control) error {
	g, err := once.New(once.Config{
		Self:  c.Self.ID,
		Store: p.store,
		Owner: func(slot int) (value.Instance, bool) {
			return query.Owner(control.Snapshot(), slot)
		},
		Caller:       p.client,
		Gone:         control.gone,
		Now:          time.Now,
		Rule:         ledger.JournalRule{Retention: journalKeep, AbandonAfter: journalWait, MaxBytes: journalBytes, MaxAnswerBytes: answerBytes},
		Slots:        state.Slots,
		Writes:       c.Rates.Writes,
		Interval:     journalGap,
		Group:        journalGroup,
		Queue:        journalQueue,
		OwnerTimeout: ownerTimeout,
		StoreTimeout: storeTimeout,
		SettleWait:   settleWait,
		Backlog:      settleBacklog,
		Backoff:      backoff(),
		NewToken:     uuid.NewString,
		Seed:         c.Seed,
	})
	if err != nil {
		return fmt.Errorf("make guard: %w", err)
	}
	p.guard = g
	if err := g.Register(p.server); err != nil {
		return fmt.Errorf("offer journal: %w", err)
	}
	return nil
}

func (p *parts) addBiller(c Config, control *control) error {
	b, err := bills.New(bills.Config{
		Self:         c.Self,
		Store:        p.store,
		Caller:       p.client,
		Holders:      func() []value.Instance { return query.BillReplicas(control.Snapshot()) },
		Gone:         control.departed,
		Copies:       billCopies,
		Flush:        func() time.Duration { return query.FlushInterval(control.Snapshot()) },
		Patience:     billPatience,
		Timeout:      storeTimeout,
		Backlog:      billBacklog,
		SegmentBytes: segmentBytes,
		HeldEntries:  billBacklog,
		Backoff:      backoff(),
		Seed:         c.Seed,
	})
	if err != nil {
		return fmt.Errorf("make biller: %w", err)
	}
	p.biller = b
	if err := b.Register(p.server); err != nil {
		return fmt.Errorf("offer bills: %w", err)
	}
	return nil
}
