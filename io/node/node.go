package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"go.uber.org/zap"

	"endivehitch/core/loop"
	"endivehitch/core/state"
	"endivehitch/core/value"
	"endivehitch/io/flow"
	"endivehitch/io/front"
	"endivehitch/io/logs"
	"endivehitch/io/plat"
	"endivehitch/io/stats"
	"endivehitch/io/trace"
)

const (
	mailboxCommands  = 1024
	bodyBytes        = 4 << 20
	readTimeout      = 10 * time.Second
	writeTimeout     = 30 * time.Second
	requestsInFlight = 4096
	decisionsKept    = 8192
	findParallel     = 32
	findTimeout      = 2 * time.Second
	statsEvery       = time.Second
)

// Node is one instance of the system.
type Node struct {
	config  Config
	control *control
	parts   *parts
	flow    *flow.Flow
	front   *front.Front
	duties  *duties
	record  *logs.Recorder
	stats   *stats.Stats
	finder  *trace.Finder
}

// New returns a node that is not yet running.
func New(c Config) (*Node, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	c.Self.PeerAddress = c.Peers.Listener.Addr().String()
	l, err := loop.New(loop.Config[state.State, state.Effect]{
		Initial: state.New(c.Self),
		Now:     time.Now,
		Mailbox: mailboxCommands,
	})
	if err != nil {
		return nil, fmt.Errorf("make control loop: %w", err)
	}
	n := &Node{config: c, control: &control{loop: l}}
	if n.parts, err = newParts(c, n.control); err != nil {
		return nil, fmt.Errorf("make parts of instance: %w", err)
	}
	if n.record, err = logs.NewRecorder(logs.RecorderConfig{Log: c.Log, Keep: decisionsKept}); err != nil {
		return nil, fmt.Errorf("make recorder: %w", err)
	}
	if n.stats, err = stats.New(stats.Config{Now: time.Now, Period: statsEvery}); err != nil {
		return nil, fmt.Errorf("make metrics: %w", err)
	}
	if n.finder, err = n.newFinder(); err != nil {
		return nil, fmt.Errorf("make finder of decisions: %w", err)
	}
	if n.flow, err = n.newFlow(); err != nil {
		return nil, fmt.Errorf("make request flow: %w", err)
	}
	if n.duties, err = n.newDuties(); err != nil {
		return nil, fmt.Errorf("make duties: %w", err)
	}
	if n.front, err = n.newFront(); err != nil {
		return nil, fmt.Errorf("make callers' face: %w", err)
	}
	return n, nil
}

func (n *Node) newFlow() (*flow.Flow, error) {
	return flow.New(flow.Config{
		Snapshot: n.control.Snapshot,
		Runner:   n.config.Runner,
		Judge:    n.config.Judge,
		Biller:   n.parts.biller,
		Guard:    n.parts.guard,
		Record:   n.decided,
		Now:      time.Now,
		Seed:     n.config.Seed,
	})
}

func (n *Node) newFront() (*front.Front, error) {
	return front.New(front.Config{
		Server:   n.stats.Count(n.flow),
		Snapshot: n.control.Snapshot,
		Able:     n.parts.biller.Ready,
		Keys:     n.config.Keys,
		Signer:   n.config.Signer,
		Now:      time.Now,
		Limits: front.Limits{
			BodyBytes: bodyBytes,
			ReadTime:  readTimeout,
			WriteTime: writeTimeout,
			InFlight:  requestsInFlight,
		},
	})
}

// Do applies a command to the control state and returns once it is published.
func (n *Node) Do(ctx context.Context, c command) error {
	return n.control.Do(ctx, c)
}

// Snapshot returns the control state of the moment.
func (n *Node) Snapshot() state.State {
	return n.control.Snapshot()
}

// Watch returns the control state and a channel that is closed once there is a newer one.
func (n *Node) Watch() (state.State, <-chan struct{}) {
	return n.control.Watch()
}

// Store returns the key-value service inside the instance's budget.
func (n *Node) Store() plat.Store {
	return n.parts.store
}

// Metrics serves the instance's metrics in Prometheus's text format.
func (n *Node) Metrics() http.Handler {
	return n.stats.Handler()
}

// decided logs, keeps and counts a routing decision.
func (n *Node) decided(d value.Decision) {
	n.record.Record(d)
	n.stats.Record(d)
}

// Decisions returns the kept decisions about the request, the first one first.
func (n *Node) Decisions(id value.RequestID) []value.Decision {
	return n.record.Of(id)
}

// Find returns the decisions about the request from whichever instance keeps them, the first one first.
func (n *Node) Find(ctx context.Context, id value.RequestID) ([]value.Decision, error) {
	return n.finder.Find(ctx, id)
}

// Survey returns the instances with what they say of their configuration.
func (n *Node) Survey(ctx context.Context) []value.Instance {
	return n.parts.gossip.Survey(ctx)
}

func (n *Node) newFinder() (*trace.Finder, error) {
	f, err := trace.New(trace.Config{
		Self:  n.config.Self.ID,
		Local: n.record.Of,
		Instances: func() []value.Instance {
			var all []value.Instance
			for _, i := range n.Snapshot().Instances().All() {
				all = append(all, i)
			}
			return all
		},
		Caller:   n.parts.client,
		Parallel: findParallel,
		Timeout:  findTimeout,
	})
	if err != nil {
		return nil, err
	}
	return f, f.Register(n.parts.server)
}

// work carries out the control loop's effects.
func (n *Node) work() {
	for e := range n.control.loop.Effects() {
		n.parts.gossip.Handle(e)
		n.duties.keeper.Take(e)
		n.log(e)
	}
}

func (n *Node) log(e state.Effect) {
	d, ok := e.(state.RecordDecision)
	if !ok {
		return
	}
	n.stats.RecordEvent(d)
	n.config.Log.Info(d.Event,
		zap.String("Subject", d.Subject),
		zap.String("Reason", string(d.Reason)),
		zap.String("Detail", d.Detail),
	)
}

func newRand(seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, seed))
}
