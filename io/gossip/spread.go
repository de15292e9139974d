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
	// pullTimeout is the time that the first two pulls get; each further two get twice as much, so
	// that a lost message is made up for soon and a large document arrives all the same.
	pullTimeout = time.Second
	// pullsServed bounds the pulls that an instance answers at a time; others try elsewhere.
	pullsServed = 8
	// directAfter is how long an instance lags before it reads the service itself.
	directAfter  = 10 * time.Second
	backoffFirst = 500 * time.Millisecond
	backoffLimit = 30 * time.Second
)

var (
	errBusy  = errors.New("too many pulls at a time")
	errEmpty = errors.New("nothing newer there")
)

// wirePull asks for the entries after a revision.
type wirePull struct {
	After int64
}

type wirePulled struct {
	Entries []wireEntry
}

var methodPull = peer.Method[wirePull, wirePulled]{Name: "Spread.Pull"}

// spread is one instance's part in the spread of the configuration.
type spread struct {
	Config
	rnd    *source
	listed <-chan struct{}
	held   policy.Cell[bundle]
	wanted chan state.FetchConfig
	// installing is held by the one goroutine that puts entries in force.
	installing chan struct{}
	serving    chan struct{}
}

func newSpread(c Config, rnd *source, listed <-chan struct{}) *spread {
	return &spread{
		Config:     c,
		rnd:        rnd,
		listed:     listed,
		wanted:     make(chan state.FetchConfig, 1),
		installing: make(chan struct{}, 1),
		serving:    make(chan struct{}, pullsServed),
	}
}

func (s *spread) serve(r peer.Registrar) error {
	return methodPull.Serve(r, s.answerPull)
}

func (s *spread) run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return s.watchWhenReader(ctx) })
	g.Go(func() error { return s.pullWhenWanted(ctx) })
	return g.Wait()
}

// want keeps the latest wish, as each probe repeats it for as long as the instance lags.
func (s *spread) want(b state.FetchConfig) {
	select {
	case s.wanted <- b:
	default:
	}
}

func (s *spread) pullWhenWanted(ctx context.Context) error {
	for {
		select {
		case b := <-s.wanted:
			s.catchUp(ctx, b)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// catchUp fetches from the instance that told of the revision, then from others, and from the
// service only after a long lag, so that the fleet never turns to it all at once.
func (s *spread) catchUp(ctx context.Context, b state.FetchConfig) {
	if b.Revision <= s.held.Get().revision {
		return
	}
	snapshot := s.Control.Snapshot()
	others := query.PushTargets(snapshot, s.Timing, s.rnd, time.Now())
	for i, from := range append([]value.Instance{b.Source}, others...) {
		err := s.pull(ctx, from, pullTimeout<<(i/2))
		if err == nil || ctx.Err() != nil {
			return
		}
	}
	lagging := snapshot.Self.LaggingSince
	if !lagging.IsZero() && time.Since(lagging) > directAfter {
		_, _ = s.read(ctx)
	}
}

func (s *spread) pull(ctx context.Context, from value.Instance, limit time.Duration) error {
	bounded, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	pulled, err := methodPull.Call(bounded, s.Caller, from, wirePull{After: s.held.Get().revision})
	if err != nil {
		return err
	}
	if len(pulled.Entries) == 0 {
		return errEmpty
	}
	return s.install(ctx, pulled.Entries)
}

func (s *spread) answerPull(p wirePull) (wirePulled, error) {
	select {
	case s.serving <- struct{}{}:
		defer func() { <-s.serving }()
	default:
		return wirePulled{}, errBusy
	}
	return wirePulled{Entries: s.held.Get().after(p.After)}, nil
}

// offer puts entries of the key-value service in force.
func (s *spread) offer(ctx context.Context, entries []plat.Entry) error {
	packed := make([]wireEntry, 0, len(entries))
	for _, e := range entries {
		w, err := pack(e)
		if err != nil {
			return err
		}
		packed = append(packed, w)
	}
	return s.install(ctx, packed)
}

// install takes over the entries that are newer than what the instance holds.
func (s *spread) install(ctx context.Context, entries []wireEntry) error {
	select {
	case s.installing <- struct{}{}:
		defer func() { <-s.installing }()
	case <-ctx.Done():
		return fmt.Errorf("await installation: %w", ctx.Err())
	}
	old := s.held.Get()
	next := old
	for _, e := range entries {
		next = next.With(e)
	}
	if next.revision <= old.revision {
		return nil
	}
	changed, err := unpackAll(next.after(old.revision))
	if err != nil {
		return err
	}
	// Entries that can't be decoded here are passed on all the same, as others may be able to.
	command, broken := s.Decode(changed)
	command.Revision = next.revision
	command.Rejected = broken != nil
	// Others may ask for the entries as soon as the command's effects are out.
	s.held.Update(func(bundle) bundle { return next })
	if err := s.Control.Do(ctx, command); err != nil {
		return fmt.Errorf("put revision %d in force: %w", next.revision, err)
	}
	return nil
}

func unpackAll(list []wireEntry) ([]plat.Entry, error) {
	entries := make([]plat.Entry, 0, len(list))
	for _, w := range list {
		e, err := w.unpack()
		if err != nil {
			return nil, err
		}
		entries = append(entries, e)
	}
	return entries, nil
}
