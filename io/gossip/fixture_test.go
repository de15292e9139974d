package gossip_test

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/cmds"
	"endivehitch/core/fleet"
	"endivehitch/core/loop"
	"endivehitch/core/state"
	"endivehitch/core/value"
	"endivehitch/io/fakes"
	"endivehitch/io/gossip"
	"endivehitch/io/plat"
)

const testPrefix = "endivehitch/production/"

// fakePlatform is an instance list and the reading side of a key-value service, both in memory.
type fakePlatform struct {
	plat.InstanceList
	mu       sync.Mutex
	listed   []value.Instance
	entries  map[string]plat.Entry
	revision int64
	down     bool
	changed  chan struct{}
	reads    int
	watches  int
}

func newFakePlatform() *fakePlatform {
	return &fakePlatform{entries: make(map[string]plat.Entry), changed: make(chan struct{})}
}

func (p *fakePlatform) Instances(context.Context) ([]value.Instance, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.listed), nil
}

func (p *fakePlatform) updateList(change func([]value.Instance) []value.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listed = change(slices.Clone(p.listed))
}

// update changes the state of the key-value service, possibly to an older one, and wakes its
// watches.
func (p *fakePlatform) update(change func(p *fakePlatform)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(p)
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *fakePlatform) putEntry(key, text string, revision int64) {
	p.update(func(p *fakePlatform) {
		p.revision = revision
		p.entries[testPrefix+key] = plat.Entry{Key: testPrefix + key, Value: []byte(text), Revision: revision}
	})
}

func (p *fakePlatform) Get(context.Context, string) (plat.Entry, error) {
	return plat.Entry{}, errors.New("not used")
}

func (p *fakePlatform) List(_ context.Context, prefix string) (plat.Listing, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads++
	if p.down {
		return plat.Listing{}, plat.ErrUnavailable
	}
	return plat.Listing{Entries: p.entriesAfter(prefix, 0), Revision: p.revision}, nil
}

func (p *fakePlatform) entriesAfter(prefix string, revision int64) []plat.Entry {
	var later []plat.Entry
	for _, e := range p.entries {
		if strings.HasPrefix(e.Key, prefix) && e.Revision > revision {
			later = append(later, e)
		}
	}
	slices.SortFunc(later, func(a, b plat.Entry) int { return cmp.Compare(a.Revision, b.Revision) })
	return later
}

func (p *fakePlatform) Watch(ctx context.Context, prefix string, from int64) (<-chan plat.Event, error) {
	out := make(chan plat.Event)
	p.mu.Lock()
	p.watches++
	p.mu.Unlock()
	go func() {
		defer close(out)
		for {
			p.mu.Lock()
			later, changed, down := p.entriesAfter(prefix, from-1), p.changed, p.down
			p.mu.Unlock()
			if down {
				return
			}
			for _, e := range later {
				select {
				case out <- plat.Event{Entry: e}:
					from = e.Revision + 1
				case <-ctx.Done():
					return
				}
			}
			select {
			case <-changed:
			case <-ctx.Done():
				return
			}
		}
	}()
	return out, nil
}

func decode(changed []plat.Entry) (cmds.InstallRevision, error) {
	var command cmds.InstallRevision
	var decodeErr error
	for _, e := range changed {
		text := string(e.Value)
		if strings.HasPrefix(text, "broken") {
			decodeErr = errors.New("broken document")
			continue
		}
		if strings.HasSuffix(e.Key, "document") {
			command.Accepted = value.AcceptedDocument{Document: value.Document{Name: text}, Digest: digest(text), Revision: e.Revision}
			continue
		}
		command.RollOuts = append(command.RollOuts, value.Progress{Name: value.RollOutName(e.Key), Reason: text})
	}
	return command, decodeErr
}

func digest(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// process is one running instance of the fleet under test.
type process struct {
	self   value.Instance
	loop   *loop.Loop[state.State, state.Effect]
	gossip *gossip.Gossip
	port   *fakes.Port
	stop   func()

	mu        sync.Mutex
	decisions []state.RecordDecision
}

// fixture is a fleet whose instances run in the test's process and call each other in memory.
type fixture struct {
	t        testing.TB
	platform *fakePlatform
	mesh     *fakes.Mesh
	timing   fleet.Timing
	// base is the initial state of all processes, so that the instances of a large fleet share its
	// tables.
	base      state.State
	processes []*process
}

func instance(i int) value.Instance {
	return value.Instance{
		ID:            value.InstanceID("instance-" + strconv.Itoa(i)),
		FailureDomain: value.FailureDomain("domain-" + strconv.Itoa(i%4)),
		PeerAddress:   "10.0.0." + strconv.Itoa(i) + ":7000",
		State:         value.InstanceLive,
	}
}

// newFixture starts n instances that are on the instance list; latency delays their messages.
func newFixture(t testing.TB, n int) *fixture {
	t.Helper()
	fx := newFixtureWithReaders(t, n, fleet.DefaultTiming().Readers)
	t.Cleanup(fx.stop)
	return fx
}

// newFixtureWithReaders also sets how many readers each failure domain has; the caller must stop
// the fixture.
func newFixtureWithReaders(t testing.TB, n, readers int) *fixture {
	t.Helper()
	fx := &fixture{t: t, platform: newFakePlatform(), mesh: new(fakes.Mesh), timing: fleet.DefaultTiming()}
	fx.timing.Readers = readers
	fx.mesh.SetDelivery(func(from, to value.Instance) fakes.Delivery { return latency(from, to) })
	fx.base = state.New(value.Instance{ID: "nobody", State: value.InstanceGone}).WithoutInstance("nobody")
	for i := range n {
		fx.platform.listed = append(fx.platform.listed, instance(i))
		fx.base = fx.base.WithInstance(instance(i).WithListed(true))
	}
	for i := range n {
		fx.processes = append(fx.processes, fx.start(instance(i)))
	}
	return fx
}

// latency delays messages by 0.3 ms within a failure domain and by 1 ms between failure domains.
func latency(from, to value.Instance) fakes.Delivery {
	if from.FailureDomain == to.FailureDomain {
		return fakes.Delivery{Delay: 300 * time.Microsecond}
	}
	return fakes.Delivery{Delay: time.Millisecond}
}

func (f *fixture) start(self value.Instance) *process {
	f.t.Helper()
	proc := &process{self: self, port: f.mesh.Join(self)}
	control, err := loop.New(loop.Config[state.State, state.Effect]{
		Initial: f.base.WithSelf(self), Now: time.Now, Mailbox: 64,
	})
	assert.NilError(f.t, err)
	proc.loop = control
	proc.gossip, err = gossip.New(gossip.Config{
		Control: control, Caller: proc.port, Registrar: proc.port, List: f.platform, Store: f.platform,
		Prefix: testPrefix, Decode: decode, Timing: f.timing, Seed: uint64(len(f.processes)),
	})
	assert.NilError(f.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var ended sync.WaitGroup
	ended.Go(func() { control.Run(ctx) })
	ended.Go(func() { _ = proc.gossip.Run(ctx) })
	ended.Go(proc.handleEffects)
	proc.stop = func() {
		proc.port.Resume()
		cancel()
		ended.Wait()
	}
	return proc
}

func (p *process) handleEffects() {
	for e := range p.loop.Effects() {
		p.gossip.Handle(e)
		if d, ok := e.(state.RecordDecision); ok {
			p.mu.Lock()
			p.decisions = append(p.decisions, d)
			p.mu.Unlock()
		}
	}
}

func (p *process) countDecisions(event string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, d := range p.decisions {
		if d.Event == event {
			n++
		}
	}
	return n
}

func (f *fixture) stop() {
	for _, p := range f.processes {
		p.stop()
	}
	f.mesh.Drain()
}

// kill ends the process without a departure notice.
func (f *fixture) kill(p *process) {
	f.mesh.Remove(p.self.PeerAddress)
	p.stop()
	f.processes = slices.DeleteFunc(f.processes, func(q *process) bool { return q == p })
}

// countInState returns how many processes consider the instance to be in the state; an unknown
// instance counts as gone.
func (f *fixture) countInState(id value.InstanceID, s value.InstanceState) int {
	n := 0
	for _, p := range f.processes {
		i, ok := p.loop.Snapshot().Instance(id)
		if ok && i.State == s || !ok && s == value.InstanceGone {
			n++
		}
	}
	return n
}

// checkAllLive returns an error unless every process considers every process to be live.
func (f *fixture) checkAllLive() error {
	for _, p := range f.processes {
		for _, q := range f.processes {
			i, ok := p.loop.Snapshot().Instance(q.self.ID)
			if !ok || i.State != value.InstanceLive {
				return fmt.Errorf("%s considers %s to be %q", p.self.ID, q.self.ID, i.State)
			}
		}
	}
	return nil
}

// countInForce returns how many processes have the revision in force.
func (f *fixture) countInForce(revision int64) int {
	n := 0
	for _, p := range f.processes {
		if p.loop.Snapshot().Self.Revision == revision {
			n++
		}
	}
	return n
}
