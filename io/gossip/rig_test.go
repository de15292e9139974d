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

// platform stands for the instance list and the reading side of the key-value service.
type platform struct {
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

func newPlatform() *platform {
	return &platform{entries: make(map[string]plat.Entry), changed: make(chan struct{})}
}

func (p *platform) Instances(context.Context) ([]value.Instance, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.listed), nil
}

func (p *platform) list(change func([]value.Instance) []value.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listed = change(slices.Clone(p.listed))
}

// set puts the service into a state; it may also be an older one.
func (p *platform) set(change func(p *platform)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(p)
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *platform) put(key, text string, revision int64) {
	p.set(func(p *platform) {
		p.revision = revision
		p.entries[testPrefix+key] = plat.Entry{Key: testPrefix + key, Value: []byte(text), Revision: revision}
	})
}

func (p *platform) Get(context.Context, string) (plat.Entry, error) {
	return plat.Entry{}, errors.New("not used")
}

func (p *platform) List(_ context.Context, prefix string) (plat.Listing, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads++
	if p.down {
		return plat.Listing{}, plat.ErrUnavailable
	}
	return plat.Listing{Entries: p.after(prefix, 0), Revision: p.revision}, nil
}

func (p *platform) after(prefix string, revision int64) []plat.Entry {
	var later []plat.Entry
	for _, e := range p.entries {
		if strings.HasPrefix(e.Key, prefix) && e.Revision > revision {
			later = append(later, e)
		}
	}
	slices.SortFunc(later, func(a, b plat.Entry) int { return cmp.Compare(a.Revision, b.Revision) })
	return later
}

func (p *platform) Watch(ctx context.Context, prefix string, from int64) (<-chan plat.Event, error) {
	out := make(chan plat.Event)
	p.mu.Lock()
	p.watches++
	p.mu.Unlock()
	go func() {
		defer close(out)
		for {
			p.mu.Lock()
			later, changed, down := p.after(prefix, from-1), p.changed, p.down
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
	var c cmds.InstallRevision
	var failed error
	for _, e := range changed {
		text := string(e.Value)
		if strings.HasPrefix(text, "broken") {
			failed = errors.New("broken document")
			continue
		}
		if strings.HasSuffix(e.Key, "document") {
			c.Accepted = value.AcceptedDocument{Document: value.Document{Name: text}, Digest: digest(text), Revision: e.Revision}
			continue
		}
		c.RollOuts = append(c.RollOuts, value.Progress{Name: value.RollOutName(e.Key), Reason: text})
	}
	return c, failed
}

func digest(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// process is one instance.
type process struct {
	self   value.Instance
	loop   *loop.Loop[state.State, state.Effect]
	gossip *gossip.Gossip
	port   *fakes.Port
	stop   func()

	mu      sync.Mutex
	decided []state.RecordDecision
}

type rig struct {
	t        testing.TB
	platform *platform
	mesh     *fakes.Mesh
	timing   fleet.Timing
	// base is the state that processes start from, so that large fleets share its tables.
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

// newRig starts n instances that the list shows; messages take a millisecond or two.
func newRig(t testing.TB, n int) *rig {
	t.Helper()
	r := newRigWith(t, n, fleet.DefaultTiming().Readers)
	t.Cleanup(r.stop)
	return r
}

// newRigWith also sets how many readers each failure domain has; its caller stops it.
func newRigWith(t testing.TB, n, readers int) *rig {
	t.Helper()
	r := &rig{t: t, platform: newPlatform(), mesh: new(fakes.Mesh), timing: fleet.DefaultTiming()}
	r.timing.Readers = readers
	r.mesh.Set(func(from, to value.Instance) fakes.Fate { return latency(from, to) })
	r.base = state.New(value.Instance{ID: "nobody", State: value.InstanceGone}).WithoutInstance("nobody")
	for i := range n {
		r.platform.listed = append(r.platform.listed, instance(i))
		r.base = r.base.WithInstance(instance(i).WithListed(true))
	}
	for i := range n {
		r.processes = append(r.processes, r.start(instance(i)))
	}
	return r
}

func latency(from, to value.Instance) fakes.Fate {
	if from.FailureDomain == to.FailureDomain {
		return fakes.Fate{Delay: 300 * time.Microsecond}
	}
	return fakes.Fate{Delay: time.Millisecond}
}

func (r *rig) start(self value.Instance) *process {
	r.t.Helper()
	p := &process{self: self, port: r.mesh.Join(self)}
	l, err := loop.New(loop.Config[state.State, state.Effect]{
		Initial: r.base.WithSelf(self), Now: time.Now, Mailbox: 64,
	})
	assert.NilError(r.t, err)
	p.loop = l
	p.gossip, err = gossip.New(gossip.Config{
		Control: l, Caller: p.port, Registrar: p.port, List: r.platform, Store: r.platform,
		Prefix: testPrefix, Decode: decode, Timing: r.timing, Seed: uint64(len(r.processes)),
	})
	assert.NilError(r.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var ended sync.WaitGroup
	ended.Go(func() { l.Run(ctx) })
	ended.Go(func() { _ = p.gossip.Run(ctx) })
	ended.Go(p.work)
	p.stop = func() {
		p.port.Resume()
		cancel()
		ended.Wait()
	}
	return p
}

func (p *process) work() {
	for e := range p.loop.Effects() {
		p.gossip.Handle(e)
		if d, ok := e.(state.RecordDecision); ok {
			p.mu.Lock()
			p.decided = append(p.decided, d)
			p.mu.Unlock()
		}
	}
}

func (p *process) logged(what string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, d := range p.decided {
		if d.Event == what {
			n++
		}
	}
	return n
}

func (r *rig) stop() {
	for _, p := range r.processes {
		p.stop()
	}
	r.mesh.Drain()
}

// kill ends the process without a word.
func (r *rig) kill(p *process) {
	r.mesh.Remove(p.self.PeerAddress)
	p.stop()
	r.processes = slices.DeleteFunc(r.processes, func(q *process) bool { return q == p })
}

// seen returns how many of the processes hold the instance to be in the state.
func (r *rig) seen(id value.InstanceID, s value.InstanceState) int {
	n := 0
	for _, p := range r.processes {
		i, ok := p.loop.Snapshot().Instance(id)
		if ok && i.State == s || !ok && s == value.InstanceGone {
			n++
		}
	}
	return n
}

// settled reports whether every process holds every other one to be live.
func (r *rig) settled() error {
	for _, p := range r.processes {
		for _, q := range r.processes {
			i, ok := p.loop.Snapshot().Instance(q.self.ID)
			if !ok || i.State != value.InstanceLive {
				return fmt.Errorf("%s holds %s to be %q", p.self.ID, q.self.ID, i.State)
			}
		}
	}
	return nil
}

// inForce returns how many processes have the revision in force.
func (r *rig) inForce(revision int64) int {
	n := 0
	for _, p := range r.processes {
		if p.loop.Snapshot().Self.Revision == revision {
			n++
		}
	}
	return n
}
