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
	"endivehitch/io/intake"
	"endivehitch/io/logs"
	"endivehitch/io/lookup"
	"endivehitch/io/plat"
	"endivehitch/io/stats"
)

const (
	mailboxSize        = 1024
	maxBodyBytes       = 4 << 20
	readTimeout        = 10 * time.Second
	writeTimeout       = 30 * time.Second
	maxInFlight        = 4096
	maxStoredDecisions = 8192
	maxParallelFinds   = 32
	findTimeout        = 2 * time.Second
	statsPeriod        = time.Second
)

// Node is one instance of the system.
type Node struct {
	config     Config
	control    *controlLoop
	components *components
	flow       *flow.Flow
	front      *front.Front
	intake     *intake.Pool
	duties     *duties
	recorder   *logs.Recorder
	stats      *stats.Stats
	finder     *lookup.Finder
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
		Mailbox: mailboxSize,
	})
	if err != nil {
		return nil, fmt.Errorf("create control loop: %w", err)
	}
	n := &Node{config: c, control: &controlLoop{loop: l}}
	if n.components, err = newComponents(c, n.control); err != nil {
		return nil, fmt.Errorf("create components: %w", err)
	}
	if n.recorder, err = logs.NewRecorder(logs.RecorderConfig{Log: c.Log, Capacity: maxStoredDecisions}); err != nil {
		return nil, fmt.Errorf("create decision recorder: %w", err)
	}
	if n.stats, err = stats.New(stats.Config{Now: time.Now, Period: statsPeriod}); err != nil {
		return nil, fmt.Errorf("create metrics: %w", err)
	}
	if n.finder, err = n.newFinder(); err != nil {
		return nil, fmt.Errorf("create decision finder: %w", err)
	}
	if n.flow, err = n.newFlow(); err != nil {
		return nil, fmt.Errorf("create request flow: %w", err)
	}
	if n.duties, err = n.newDuties(); err != nil {
		return nil, fmt.Errorf("create duties: %w", err)
	}
	if n.front, err = n.newFront(); err != nil {
		return nil, fmt.Errorf("create caller API: %w", err)
	}
	return n, nil
}

func (n *Node) newFlow() (*flow.Flow, error) {
	return flow.New(flow.Config{
		Snapshot: n.control.Snapshot,
		Runner:   n.config.Runner,
		Judge:    n.config.Judge,
		Biller:   n.components.biller,
		Guard:    n.components.guard,
		Record:   n.recordDecision,
		Now:      time.Now,
		Seed:     n.config.Seed,
	})
}

func (n *Node) newFront() (*front.Front, error) {
	refusals := &intake.Reporter{Log: n.config.Log, Now: time.Now, Count: n.stats.RecordIntake}
	var err error
	if n.intake, err = intake.New(intake.Config{Limits: n.config.Intake, Now: time.Now, OnRefuse: refusals.Refused}); err != nil {
		return nil, fmt.Errorf("create intake: %w", err)
	}
	return front.New(front.Config{
		JobServer:     n.stats.Instrument(n.flow),
		Snapshot:      n.control.Snapshot,
		CanStoreBills: n.components.biller.HasCapacity,
		Keys:          n.config.Keys,
		Signer:        n.config.Signer,
		Now:           time.Now,
		Limits: front.Limits{
			BodyBytes:    maxBodyBytes,
			ReadTimeout:  readTimeout,
			WriteTimeout: writeTimeout,
			InFlight:     maxInFlight,
		},
		Intake: n.intake,
	})
}

// Do applies a command to the control state and returns once the resulting state is published.
func (n *Node) Do(ctx context.Context, c command) error {
	return n.control.Do(ctx, c)
}

// Snapshot returns the current control state.
func (n *Node) Snapshot() state.State {
	return n.control.Snapshot()
}

// Watch returns the current control state and a channel that is closed once there is a newer one.
func (n *Node) Watch() (state.State, <-chan struct{}) {
	return n.control.Watch()
}

// Store returns the key-value service, limited to the instance's call budget.
func (n *Node) Store() plat.Store {
	return n.components.store
}

// Metrics returns a handler that serves the instance's metrics in Prometheus's text format.
func (n *Node) Metrics() http.Handler {
	return n.stats.Handler()
}

// recordDecision logs, stores and counts a routing decision.
func (n *Node) recordDecision(d value.Decision) {
	n.recorder.Record(d)
	n.stats.Record(d)
}

// Decisions returns the decisions about the request that this instance still stores, oldest first.
func (n *Node) Decisions(id value.RequestID) []value.Decision {
	return n.recorder.ForRequest(id)
}

// FindDecisions returns the decisions about the request, oldest first: those of this instance or,
// if it has none, those of another instance that still stores some.
func (n *Node) FindDecisions(ctx context.Context, id value.RequestID) ([]value.Decision, error) {
	return n.finder.Find(ctx, id)
}

// QueryStatus queries the instances and returns them with the configuration that each reports.
func (n *Node) QueryStatus(ctx context.Context) []value.Instance {
	return n.components.gossip.QueryStatus(ctx)
}

func (n *Node) newFinder() (*lookup.Finder, error) {
	f, err := lookup.New(lookup.Config{
		Self:           n.config.Self.ID,
		LocalDecisions: n.recorder.ForRequest,
		Instances: func() []value.Instance {
			var all []value.Instance
			for _, i := range n.Snapshot().Instances().All() {
				all = append(all, i)
			}
			return all
		},
		Caller:      n.components.client,
		MaxParallel: maxParallelFinds,
		Timeout:     findTimeout,
	})
	if err != nil {
		return nil, err
	}
	return f, f.Register(n.components.server)
}

// dispatchEffects passes the control loop's effects to the components that carry them out.
func (n *Node) dispatchEffects() {
	for e := range n.control.loop.Effects() {
		n.components.gossip.Handle(e)
		n.duties.persister.Enqueue(e)
		n.recordEvent(e)
	}
}

// recordEvent logs and counts a RecordDecision; it ignores other effects.
func (n *Node) recordEvent(e state.Effect) {
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
