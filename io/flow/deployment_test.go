package flow_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"endivehitch/core/cmds"
	"endivehitch/core/state"
	"endivehitch/core/value"
	"endivehitch/io/engine"
	"endivehitch/io/flow"
)

// deployment is a size of the system for the measurements.
type deployment struct {
	name      string
	servers   int
	domains   int
	instances int
}

var deployments = []deployment{
	{name: "Vadodara", servers: 10, domains: 3, instances: 7},
	{name: "Portvagt", servers: 20, domains: 4, instances: 7},
}

// document returns the configuration of the measurements, which a variant may change.
func (d deployment) document() value.Document {
	kinds := []value.Kind{
		{Name: "short", Model: "drafting-llm", Priority: value.PriorityInteractive, Idempotent: true, MaxAttempts: 3},
		{Name: "long", Model: "drafting-llm", Priority: value.PriorityInteractive, Idempotent: true, MaxAttempts: 3},
		{Name: "same", Model: "drafting-llm", Priority: value.PriorityInteractive, Idempotent: true, MaxAttempts: 3, Share: true},
	}
	document := newDocument(kinds...)
	document.ClientAccounts[1].Share = 2
	document.Pools = []value.Pool{{Name: "engines", MaxInFlight: serverSlots, SlowStart: 5 * time.Second, MinHealthy: 0.5}}
	document.Limits.QueueLength = 60 * d.servers / d.instances
	return document
}

func (d deployment) newState(i int, document value.Document) state.State {
	self := value.Instance{ID: instanceName(i), State: value.InstanceLive, FailureDomain: d.domainOf(i)}
	control, _ := cmds.InstallConfig{Accepted: value.AcceptedDocument{Document: document, Revision: 1}}.Apply(state.New(self), time.Now())
	for j := range d.instances {
		control = control.WithInstance(value.Instance{ID: instanceName(j), State: value.InstanceLive, FailureDomain: d.domainOf(j)})
	}
	list := make([]value.BackendServer, d.servers)
	for j := range list {
		list[j] = value.BackendServer{
			ID: serverName(j), Pool: "engines", State: value.ServerLive, FailureDomain: d.domainOf(j),
			Versions: []value.VersionKey{defaultVersion},
		}
	}
	// The servers were added an hour ago, so that none is in its slow start.
	control, _ = cmds.SyncServers{Servers: list}.Apply(control, time.Now().Add(-time.Hour))
	return control
}

func (d deployment) domainOf(i int) value.FailureDomain {
	return value.FailureDomain(fmt.Sprint("d", i%d.domains))
}

func instanceName(i int) value.InstanceID {
	return value.InstanceID(fmt.Sprint("i", i))
}

// serveFunc serves a job at one of a deployment's instances.
type serveFunc func(ctx context.Context, instance int, j flow.Job) error

// Load reports the length of the server's own queue.
func (s *simulation) Load(_ context.Context, b value.BackendServer) (engine.LoadReport, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return engine.LoadReport{Server: b.ID, Queued: len(s.servers[b.ID].waiting), At: time.Now()}, nil
}

func (*simulation) CacheEvents(context.Context, value.BackendServer, int64) ([]engine.CacheEvent, error) {
	return nil, engine.ErrUnsupported
}

// newFlows returns a function that serves with one real flow per instance.
func (d deployment) newFlows(sim *simulation, document value.Document) serveFunc {
	flows := make([]*flow.Flow, d.instances)
	for i := range flows {
		control := d.newState(i, document)
		f, err := flow.New(flow.Config{
			Snapshot: func() state.State { return control }, Runner: sim, Biller: &memoryBiller{}, Guard: &memoryGuard{},
			Record: func(value.Decision) {}, Now: time.Now, Seed: uint64(i),
		})
		if err != nil {
			panic(err)
		}
		flows[i] = f
		if sim.reportInterval > 0 {
			go func() {
				ctx, stop := context.WithTimeout(context.Background(), time.Minute)
				defer stop()
				f.Poll(ctx, flow.PollConfig{Reporter: sim, Interval: sim.reportInterval, BatchSize: d.servers})
			}()
		}
	}
	return func(ctx context.Context, i int, j flow.Job) error {
		_, err := flows[i].Serve(ctx, j, &recordingWriter{})
		return err
	}
}

// newBaseline returns a function that serves without a flow, to compare flows with: it sends each job
// straight to the server that choose returns. Choose gets the requests in flight from this instance
// at each server, and a turn that grows by one with each job.
func (d deployment) newBaseline(sim *simulation, choose func(inFlight []int, turn int) int) serveFunc {
	var mu sync.Mutex
	inFlight, turns := make([][]int, d.instances), make([]int, d.instances)
	for i := range inFlight {
		inFlight[i] = make([]int, d.servers)
		turns[i] = i
	}
	return func(ctx context.Context, i int, j flow.Job) error {
		ctx, cancel := context.WithDeadline(ctx, j.Request.Deadline)
		defer cancel()
		mu.Lock()
		chosen := choose(inFlight[i], turns[i])
		turns[i]++
		inFlight[i][chosen]++
		mu.Unlock()
		defer func() {
			mu.Lock()
			inFlight[i][chosen]--
			mu.Unlock()
		}()
		a, err := sim.Start(ctx, value.BackendServer{ID: serverName(chosen)}, j.Call)
		if err != nil {
			return err
		}
		defer a.Cancel()
		for err == nil {
			_, err = a.Next(ctx)
		}
		if err == io.EOF {
			return nil
		}
		return err
	}
}

func roundRobin(inFlight []int, turn int) int {
	return turn % len(inFlight)
}

func leastInFlight(inFlight []int, turn int) int {
	best := turn % len(inFlight)
	for i := range inFlight {
		if at := (turn + i) % len(inFlight); inFlight[at] < inFlight[best] {
			best = at
		}
	}
	return best
}

// withFIFO limits the concurrent requests of each instance to its share of all slots; further ones
// wait in order of arrival.
func (d deployment) withFIFO(inner serveFunc) serveFunc {
	permits := make([]chan struct{}, d.instances)
	for i := range permits {
		permits[i] = make(chan struct{}, max(1, serverSlots*d.servers/d.instances))
	}
	return func(ctx context.Context, i int, j flow.Job) error {
		ctx, cancel := context.WithDeadline(ctx, j.Request.Deadline)
		defer cancel()
		select {
		case permits[i] <- struct{}{}:
		case <-ctx.Done():
			return ctx.Err()
		}
		defer func() { <-permits[i] }()
		return inner(ctx, i, j)
	}
}

// requestResult is the result of one request of a measurement.
type requestResult struct {
	arrival time.Duration
	latency time.Duration
	kind    value.KindName
	account value.AccountName
	err     error
}

// requestStream describes requests with exponentially distributed gaps.
type requestStream struct {
	// from and until bound the time of sending, counted from the start of the simulation.
	from, until time.Duration
	perSecond   float64
	kind        value.KindName
	account     value.AccountName
	// work is the mean time that a server without slowdown takes for a request.
	work    time.Duration
	timeout time.Duration
	// prefixes is the number of distinct prompt prefixes; zero means that requests have none.
	prefixes int
}

// simulate sends the requests of all streams to random instances and returns their results.
func (d deployment) simulate(serve serveFunc, seed uint64, streams ...requestStream) []requestResult {
	var mu sync.Mutex
	var results []requestResult
	var wg sync.WaitGroup
	start := time.Now()
	for n, stream := range streams {
		rnd := rand.New(rand.NewPCG(seed, uint64(n)))
		wg.Go(func() {
			time.Sleep(stream.from)
			for i := 0; ; i++ {
				time.Sleep(time.Duration(rnd.ExpFloat64() / stream.perSecond * float64(time.Second)))
				at := time.Since(start)
				if at >= stream.until {
					return
				}
				instance, j := rnd.IntN(d.instances), stream.newJob(fmt.Sprint(n, "-", i), rnd)
				wg.Go(func() {
					err := serve(context.Background(), instance, j)
					mu.Lock()
					defer mu.Unlock()
					results = append(results, requestResult{arrival: at, latency: time.Since(start) - at, kind: stream.kind, account: stream.account, err: err})
				})
			}
		})
	}
	wg.Wait()
	return results
}

// newJob returns a job whose call tells the simulation the request's work in its body, and the prefix
// in its path.
func (s requestStream) newJob(id string, rnd *rand.Rand) flow.Job {
	work := time.Duration(float64(s.work) * (0.5 + rnd.Float64()))
	r := value.Request{
		ID: value.RequestID(id), Account: s.account, Kind: s.kind, Stream: true, RequestHash: 1,
		Deadline: time.Now().Add(s.timeout), InputTokens: int(s.work / time.Millisecond),
	}
	call := engine.Call{Stream: true, Body: []byte(strconv.FormatInt(int64(work), 10))}
	if s.prefixes > 0 {
		// The popularity of prefixes is skewed, like that of real requests.
		prefix := uint64(rnd.IntN(s.prefixes)*rnd.IntN(s.prefixes)/s.prefixes + 1)
		r.Prefix = prefix * 0x9e3779b97f4a7c15
		call.Path = strconv.FormatUint(prefix, 10)
	}
	return flow.Job{Request: r, Call: call}
}
