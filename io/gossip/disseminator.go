package gossip

import (
	"context"
	"errors"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"endivehitch/core/policy"
	"endivehitch/core/query"
	"endivehitch/core/state"
	"endivehitch/core/value"
	"endivehitch/io/peer"
	"endivehitch/io/plat"
)

const (
	// pullTimeout is the timeout of the first two pulls; it doubles after every second pull, so that a
	// lost message is retried soon and a large document still arrives.
	pullTimeout = time.Second
	// maxServedPulls bounds the pulls that an instance serves concurrently; a rejected caller pulls
	// from another instance.
	maxServedPulls = 8
	// directReadDelay is how long an instance must lag before it reads the key-value service itself.
	directReadDelay = 10 * time.Second
	initialBackoff  = 500 * time.Millisecond
	maxBackoff      = 30 * time.Second
)

var (
	errBusy         = errors.New("too many concurrent pulls")
	errNothingNewer = errors.New("instance has no newer configuration entries")
)

// wirePull asks for the entries after a revision.
type wirePull struct {
	After int64
}

// wirePulled is the answer to wirePull.
type wirePulled struct {
	Entries []wireEntry
}

var pullMethod = peer.Method[wirePull, wirePulled]{Name: "Spread.Pull"}

// disseminator distributes the configuration for one instance: it installs entries that it reads
// from the key-value service or pulls from other instances, and serves them to others.
type disseminator struct {
	Config
	rnd *lockedRand
	// listRead is closed after the first attempt to read the instance list.
	listRead     <-chan struct{}
	current      policy.Cell[entrySet]
	pullRequests chan state.FetchConfig
	// installLock is a lock of capacity one; its holder puts entries in force.
	installLock chan struct{}
	pullSlots   chan struct{}
}

func newDisseminator(c Config, rnd *lockedRand, listRead <-chan struct{}) *disseminator {
	return &disseminator{
		Config:       c,
		rnd:          rnd,
		listRead:     listRead,
		pullRequests: make(chan state.FetchConfig, 1),
		installLock:  make(chan struct{}, 1),
		pullSlots:    make(chan struct{}, maxServedPulls),
	}
}

func (d *disseminator) serve(r peer.Registrar) error {
	return pullMethod.Serve(r, d.handlePull)
}

func (d *disseminator) run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return d.watchWhileReader(ctx) })
	g.Go(func() error { return d.runPulls(ctx) })
	return g.Wait()
}

// requestPull asks for a pull unless one is already requested; a request that is dropped comes
// again with the next probe for as long as the instance lags.
func (d *disseminator) requestPull(r state.FetchConfig) {
	select {
	case d.pullRequests <- r:
	default:
	}
}

func (d *disseminator) runPulls(ctx context.Context) error {
	for {
		select {
		case r := <-d.pullRequests:
			d.catchUp(ctx, r)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// catchUp pulls from the instance that announced the revision, then from others until one pull
// succeeds. If none does, it reads the key-value service, but only after a long lag, so that the
// whole fleet never reads it at once.
func (d *disseminator) catchUp(ctx context.Context, announced state.FetchConfig) {
	if announced.Revision <= d.current.Get().revision {
		return
	}
	snapshot := d.Control.Snapshot()
	others := query.PushTargets(snapshot, d.Timing, d.rnd, time.Now())
	for i, from := range append([]value.Instance{announced.Source}, others...) {
		err := d.pull(ctx, from, pullTimeout<<(i/2))
		if err == nil || ctx.Err() != nil {
			return
		}
	}
	lagging := snapshot.Self.LaggingSince
	if !lagging.IsZero() && time.Since(lagging) > directReadDelay {
		_, _ = d.readStore(ctx)
	}
}

func (d *disseminator) pull(ctx context.Context, from value.Instance, timeout time.Duration) error {
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	pulled, err := pullMethod.Call(bounded, d.Caller, from, wirePull{After: d.current.Get().revision})
	if err != nil {
		return err
	}
	if len(pulled.Entries) == 0 {
		return errNothingNewer
	}
	return d.installEncoded(ctx, pulled.Entries)
}

// handlePull returns the entries after a revision, or errBusy if all pull slots are taken.
func (d *disseminator) handlePull(p wirePull) (wirePulled, error) {
	select {
	case d.pullSlots <- struct{}{}:
		defer func() { <-d.pullSlots }()
	default:
		return wirePulled{}, errBusy
	}
	return wirePulled{Entries: d.current.Get().entriesAfter(p.After)}, nil
}

// installEntries puts entries that were read from the key-value service in force.
func (d *disseminator) installEntries(ctx context.Context, entries []plat.Entry) error {
	encoded := make([]wireEntry, 0, len(entries))
	for _, e := range entries {
		w, err := encodeEntry(e)
		if err != nil {
			return err
		}
		encoded = append(encoded, w)
	}
	return d.installEncoded(ctx, encoded)
}

// installEncoded puts those entries in force that are newer than the instance's own, and makes them
// available to others.
func (d *disseminator) installEncoded(ctx context.Context, entries []wireEntry) error {
	select {
	case d.installLock <- struct{}{}:
		defer func() { <-d.installLock }()
	case <-ctx.Done():
		return fmt.Errorf("wait for concurrent installation: %w", ctx.Err())
	}
	old := d.current.Get()
	next := old
	for _, e := range entries {
		next = next.With(e)
	}
	if next.revision <= old.revision {
		return nil
	}
	changed, err := decodeEntries(next.entriesAfter(old.revision))
	if err != nil {
		return err
	}
	// Entries that can't be decoded here are still served to others, which may be able to decode them.
	command, decodeErr := d.Decode(changed)
	command.Revision = next.revision
	command.Rejected = decodeErr != nil
	// The set is replaced first, because the command's effects announce the revision and others may
	// pull the entries at once.
	d.current.Update(func(entrySet) entrySet { return next })
	if err := d.Control.Do(ctx, command); err != nil {
		return fmt.Errorf("put revision %d in force: %w", next.revision, err)
	}
	return nil
}

func decodeEntries(list []wireEntry) ([]plat.Entry, error) {
	entries := make([]plat.Entry, 0, len(list))
	for _, w := range list {
		e, err := w.decode()
		if err != nil {
			return nil, err
		}
		entries = append(entries, e)
	}
	return entries, nil
}
