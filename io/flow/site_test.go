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

// site is the size of a deployment.
type site struct {
	name      string
	servers   int
	domains   int
	instances int
}

var sites = []site{
	{name: "Vadodara", servers: 10, domains: 3, instances: 7},
	{name: "Portvagt", servers: 20, domains: 4, instances: 7},
}

// document is what the measurements run under; the variant may change it.
func (s site) document() value.Document {
	kinds := []value.Kind{
		{Name: "short", Model: "drafting-llm", Priority: value.PriorityInteractive, Idempotent: true, MaxAttempts: 3},
		{Name: "long", Model: "drafting-llm", Priority: value.PriorityInteractive, Idempotent: true, MaxAttempts: 3},
		{Name: "same", Model: "drafting-llm", Priority: value.PriorityInteractive, Idempotent: true, MaxAttempts: 3, Share: true},
	}
	d := ward(kinds...)
	d.ClientAccounts[1].Share = 2
	d.Pools = []value.Pool{{Name: "engines", MaxInFlight: slots, SlowStart: 5 * time.Second, MinHealthy: 0.5}}
	d.Limits.QueueLength = 60 * s.servers / s.instances
	return d
}

func (s site) state(i int, d value.Document) state.State {
	self := value.Instance{ID: instanceName(i), State: value.InstanceLive, FailureDomain: s.domain(i)}
	c, _ := cmds.InstallConfig{Accepted: value.AcceptedDocument{Document: d, Revision: 1}}.Apply(state.New(self), time.Now())
	for j := range s.instances {
		c = c.WithInstance(value.Instance{ID: instanceName(j), State: value.InstanceLive, FailureDomain: s.domain(j)})
	}
	list := make([]value.BackendServer, s.servers)
	for j := range list {
		list[j] = value.BackendServer{
			ID: serverName(j), Pool: "engines", State: value.ServerLive, FailureDomain: s.domain(j),
			Versions: []value.VersionKey{oneVersion},
		}
	}
	// Servers are as old as the fleet, so that none is in its slow start.
	c, _ = cmds.SyncServers{Servers: list}.Apply(c, time.Now().Add(-time.Hour))
	return c
}

func (s site) domain(i int) value.FailureDomain {
	return value.FailureDomain(fmt.Sprint("d", i%s.domains))
}

func instanceName(i int) value.InstanceID {
	return value.InstanceID(fmt.Sprint("i", i))
}

// serving carries one job at one of a deployment's instances.
type serving func(ctx context.Context, instance int, j flow.Job) error

// Load reports the machine's own queue.
func (p *plant) Load(_ context.Context, b value.BackendServer) (engine.Report, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return engine.Report{Server: b.ID, Queued: len(p.machines[b.ID].waiting), At: time.Now()}, nil
}

func (*plant) CacheEvents(context.Context, value.BackendServer, int64) ([]engine.CacheEvent, error) {
	return nil, engine.ErrUnsupported
}

// flows returns the real flows over the plant, under the document.
func (s site) flows(p *plant, d value.Document) serving {
	all := make([]*flow.Flow, s.instances)
	for i := range all {
		c := s.state(i, d)
		f, err := flow.New(flow.Config{
			Snapshot: func() state.State { return c }, Runner: p, Biller: &bills{}, Guard: &guard{},
			Record: func(value.Decision) {}, Now: time.Now, Seed: uint64(i),
		})
		if err != nil {
			panic(err)
		}
		all[i] = f
		if p.reports > 0 {
			go func() {
				ctx, stop := context.WithTimeout(context.Background(), time.Minute)
				defer stop()
				f.Poll(ctx, flow.PollConfig{From: p, Every: p.reports, Batch: s.servers})
			}()
		}
	}
	return func(ctx context.Context, i int, j flow.Job) error {
		_, err := all[i].Serve(ctx, j, &seen{})
		return err
	}
}

// plain returns a baseline: each instance picks a server by the function, with nothing else.
func (s site) plain(p *plant, pick func(inFlight []int, turn int) int) serving {
	var mu sync.Mutex
	inFlight, turns := make([][]int, s.instances), make([]int, s.instances)
	for i := range inFlight {
		inFlight[i] = make([]int, s.servers)
		turns[i] = i
	}
	return func(ctx context.Context, i int, j flow.Job) error {
		ctx, cancel := context.WithDeadline(ctx, j.Request.Deadline)
		defer cancel()
		mu.Lock()
		at := pick(inFlight[i], turns[i])
		turns[i]++
		inFlight[i][at]++
		mu.Unlock()
		defer func() {
			mu.Lock()
			inFlight[i][at]--
			mu.Unlock()
		}()
		a, err := p.Start(ctx, value.BackendServer{ID: serverName(at)}, j.Call)
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

// fifo bounds what another way has under way at each instance; the rest waits in the order of arrival.
func (s site) fifo(inner serving) serving {
	places := make([]chan struct{}, s.instances)
	for i := range places {
		places[i] = make(chan struct{}, max(1, slots*s.servers/s.instances))
	}
	return func(ctx context.Context, i int, j flow.Job) error {
		ctx, cancel := context.WithDeadline(ctx, j.Request.Deadline)
		defer cancel()
		select {
		case places[i] <- struct{}{}:
		case <-ctx.Done():
			return ctx.Err()
		}
		defer func() { <-places[i] }()
		return inner(ctx, i, j)
	}
}

// served is one request of a measurement and what became of it.
type served struct {
	at   time.Duration
	took time.Duration
	kind value.KindName
	from value.AccountName
	err  error
}

// wave is a stream of requests with exponential gaps.
type wave struct {
	from, until time.Duration
	perSecond   float64
	kind        value.KindName
	account     value.AccountName
	work        time.Duration
	patience    time.Duration
	prefixes    int
}

// play sends the waves to the instances at random and returns what became of each request.
func (s site) play(by serving, seed uint64, waves ...wave) []served {
	var mu sync.Mutex
	var all []served
	var group sync.WaitGroup
	began := time.Now()
	for n, w := range waves {
		rnd := rand.New(rand.NewPCG(seed, uint64(n)))
		group.Go(func() {
			time.Sleep(w.from)
			for i := 0; ; i++ {
				time.Sleep(time.Duration(rnd.ExpFloat64() / w.perSecond * float64(time.Second)))
				at := time.Since(began)
				if at >= w.until {
					return
				}
				instance, j := rnd.IntN(s.instances), w.job(fmt.Sprint(n, "-", i), rnd)
				group.Go(func() {
					err := by(context.Background(), instance, j)
					mu.Lock()
					defer mu.Unlock()
					all = append(all, served{at: at, took: time.Since(began) - at, kind: w.kind, from: w.account, err: err})
				})
			}
		})
	}
	group.Wait()
	return all
}

func (w wave) job(id string, rnd *rand.Rand) flow.Job {
	work := time.Duration(float64(w.work) * (0.5 + rnd.Float64()))
	r := value.Request{
		ID: value.RequestID(id), Account: w.account, Kind: w.kind, Stream: true, Question: 1,
		Deadline: time.Now().Add(w.patience), InputTokens: int(w.work / time.Millisecond),
	}
	call := engine.Call{Stream: true, Body: []byte(strconv.FormatInt(int64(work), 10))}
	if w.prefixes > 0 {
		// The popularity of prefixes is skewed, as that of questions is.
		prefix := uint64(rnd.IntN(w.prefixes)*rnd.IntN(w.prefixes)/w.prefixes + 1)
		r.Prefix = prefix * 0x9e3779b97f4a7c15
		call.Path = strconv.FormatUint(prefix, 10)
	}
	return flow.Job{Request: r, Call: call}
}
