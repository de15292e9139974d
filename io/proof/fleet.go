package proof

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"endivehitch/core/policy"
	"endivehitch/core/value"
	"endivehitch/io/bills"
	"endivehitch/io/clock"
	"endivehitch/io/conf"
	"endivehitch/io/engine"
	"endivehitch/io/fakes"
	"endivehitch/io/flow"
	"endivehitch/io/plat"
)

// history is how many changes the store's watches can start back from.
const history = 10000

// Fleet is three instances with their surroundings, for one cell.
type Fleet struct {
	cell   Cell
	broken Line
	seed   uint64

	inner  *plat.Embedded
	store  *fakes.Store
	mesh   fakes.Mesh
	list   *list
	tokens atomic.Int64
	struck atomic.Bool
	facts  policy.Cell[Facts]
	acts   policy.Cell[policy.Table[string, Behaviour]]
	faults policy.Cell[fakes.Faults]
	asked  policy.Cell[policy.Table[value.RequestID, value.Request]]
	others sync.WaitGroup

	mu    sync.Mutex
	nodes []*node
}

func newFleet(c Cell, broken Line) (*Fleet, error) {
	e, err := plat.NewEmbedded(plat.EmbeddedConfig{Now: time.Now, History: history})
	if err != nil {
		return nil, fmt.Errorf("make store: %w", err)
	}
	f := &Fleet{cell: c, broken: broken, seed: 1, inner: e, store: fakes.NewStore(e), list: &list{servers: backendServers()}}
	f.cut(false)
	for _, id := range []value.InstanceID{"a", "b", "c"} {
		if _, err := f.start(id); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func (f *Fleet) token() string { return fmt.Sprint("token-", f.tokens.Add(1)) }

func (f *Fleet) note(change func(Facts) Facts) { f.facts.Update(change) }

func (f *Fleet) background(do func()) { f.others.Go(do) }

func (f *Fleet) join(n *node) {
	f.list.set(func(l *list) { l.instances = append(l.instances, n.self) })
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes = append(f.nodes, n)
}

func (f *Fleet) all() []*node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*node(nil), f.nodes...)
}

// live returns the first instance that can be asked, from the given one on.
func (f *Fleet) live(first int) *node {
	all := f.all()
	for i := range all {
		if n := all[(first+i)%len(all)]; !n.ended() && n.ctx.Err() == nil {
			return n
		}
	}
	return nil
}

func (f *Fleet) replace() {
	// The platform starts the new instance some time after the old one has ended.
	if clock.Wait(context.Background(), time.Second) == nil {
		_, _ = f.start("d")
	}
}

// reach strikes with the cell's faults the first time that its step is reached.
func (f *Fleet) reach(s Step, at *node) {
	if s != f.cell.Step || at.ended() || f.struck.Swap(true) {
		return
	}
	for _, fault := range f.cell.Faults {
		fault.Begin(f, at)
		f.background(func() {
			_ = clock.Wait(context.Background(), fault.Lasts)
			fault.End(f, at)
			f.note(func(x Facts) Facts { return x.WithHealed(time.Now()) })
		})
	}
}

func (f *Fleet) behave(name string, b Behaviour) {
	f.acts.Update(func(t policy.Table[string, Behaviour]) policy.Table[string, Behaviour] {
		if b == (Behaviour{}) {
			return t.Without(name)
		}
		return t.With(name, b)
	})
}

// behaviour joins the behaviours in force at the server.
func (f *Fleet) behaviour(s value.ServerID, v value.VersionKey) Behaviour {
	var joined Behaviour
	for _, b := range f.acts.Get().All() {
		if !b.covers(s, v) {
			continue
		}
		joined.Dead = joined.Dead || b.Dead
		joined.Stall = joined.Stall || b.Stall
		joined.Another = joined.Another || b.Another
		joined.Unsent = joined.Unsent || b.Unsent
		joined.Late = max(joined.Late, b.Late)
		joined.Status = max(joined.Status, b.Status)
	}
	return joined
}

func (f *Fleet) setStore(change func(fakes.Faults) fakes.Faults) {
	_ = f.store.Set(f.faults.Update(change))
}

func (f *Fleet) cut(off bool) {
	f.mesh.Set(func(_, _ value.Instance) fakes.Fate {
		return fakes.Fate{Delay: time.Millisecond, Unsent: off}
	})
}

func (f *Fleet) ran(b value.BackendServer, c engine.Call) {
	f.note(func(x Facts) Facts {
		return x.WithRun(Run{Request: c.Request, Key: c.Key, Server: b.ID, Version: c.Version, At: time.Now()})
	})
}

func (f *Fleet) request(id value.RequestID) value.Request {
	r, _ := f.asked.Get().Get(id)
	return r
}

// ask sends the request to the instance and notes what its caller is told.
func (f *Fleet) ask(n *node, r value.Request) Reply {
	reply := Reply{Request: r, At: time.Now()}
	f.asked.Update(func(t policy.Table[value.RequestID, value.Request]) policy.Table[value.RequestID, value.Request] {
		return t.With(r.ID, r)
	})
	if !n.enter() {
		// The connection is refused, so that the caller was not served at all.
		return reply
	}
	f.reach(StepAccept, n)
	s := &sink{node: n}
	served := make(chan Reply, 1)
	go func(reply Reply) {
		defer n.serving.Done()
		ctx, cancel := context.WithCancel(n.life)
		defer cancel()
		_, err := n.flow.Serve(ctx, flow.Job{Request: r, Call: engine.Call{Stream: r.Key == "", Key: r.Key}}, s)
		served <- reply.with(n, s, err)
	}(reply)
	select {
	case reply = <-served:
	case <-n.life.Done():
		reply = reply.afterEnd(n, served)
	}
	f.note(func(x Facts) Facts { return x.WithReply(reply) })
	return reply
}

// afterEnd returns the reply of a process that has ended: a connection that was not served to its
// end went with the process, and what the process still does stands still with it.
func (r Reply) afterEnd(n *node, served <-chan Reply) Reply {
	select {
	case whole := <-served:
		return whole
	default:
		r.Cut = n.ctx.Err() != nil
		return r
	}
}

// with returns the reply as the caller saw it.
func (r Reply) with(n *node, s *sink, err error) Reply {
	r.Text = s.text
	r.Ended = s.done
	var refusal value.Refusal
	if errors.As(err, &refusal) && !n.ended() {
		r.NotRun = refusal.NotRun
	}
	// The process ended by its own will, not by a kill, while the caller waited.
	r.Cut = !s.done && n.ended() && n.ctx.Err() != nil
	return r
}

// apply swaps the document, as an operator who reads back where the answer was lost.
func (f *Fleet) apply(text string) {
	key := conf.DocumentKey(environment)
	for range 20 {
		e, err := f.store.Get(context.Background(), key)
		if err == nil && string(e.Value) == text {
			return
		}
		if err == nil {
			if n := f.live(0); n != nil {
				f.reach(StepApply, n)
			}
			_, err = f.store.Swap(context.Background(), plat.Swap{Key: key, Expect: e.Revision, Value: []byte(text)})
		}
		var conflict plat.Conflict
		if err == nil || errors.As(err, &conflict) {
			return
		}
		_ = clock.Wait(context.Background(), time.Second)
	}
}

// watch notes what the store accepts, below its faults.
func (f *Fleet) watch(ctx context.Context) error {
	events, err := f.inner.Watch(ctx, conf.Prefix(environment), 0)
	if err != nil {
		return fmt.Errorf("watch the store: %w", err)
	}
	f.background(func() {
		withdrawn := conf.WithdrawalKey(environment, "")
		for e := range events {
			f.saw(e.Entry, withdrawn)
		}
	})
	return nil
}

func (f *Fleet) saw(e plat.Entry, withdrawn string) {
	now := time.Now()
	if e.Key == conf.DocumentKey(environment) {
		f.note(func(x Facts) Facts {
			return x.WithAccepted(Event[value.ChangeID]{Subject: value.ChangeID(e.Value), Revision: e.Revision, At: now})
		})
	}
	if v, ok := strings.CutPrefix(e.Key, withdrawn); ok {
		f.note(func(x Facts) Facts {
			return x.WithWithdrawn(Event[value.VersionKey]{Subject: value.VersionKey(v), Revision: e.Revision, At: now})
		})
	}
}

// stop gathers what the store holds and ends the fleet.
func (f *Fleet) stop() (Facts, error) {
	segments, err := bills.Read(context.Background(), f.inner)
	facts := f.facts.Get().WithSegments(segments)
	for _, n := range f.all() {
		n.stop()
	}
	f.mesh.Drain()
	f.store.Drain()
	f.others.Wait()
	return facts, err
}
