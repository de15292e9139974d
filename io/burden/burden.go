package burden

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"endivehitch/core/relay"
	"endivehitch/core/relay/query"
	"endivehitch/core/value"
	"endivehitch/io/clock"
	"endivehitch/io/feeds"
	"endivehitch/io/peer"
)

const (
	// period is the time between two exchanges, in a fleet of up to periodFleet instances in a failure
	// domain; a larger one exchanges more seldom, so that its readers aren't kept busy with it.
	period      = 200 * time.Millisecond
	periodFleet = 32
	callTimeout = 300 * time.Millisecond
	// life is the age at which what an instance told counts no more.
	life = time.Second
)

// Config sets up an Exchange.
type Config struct {
	Control feeds.Control
	Client  *peer.Client
	// Own lists what this instance has under way.
	Own func() []relay.Burden
	// Tell is given what all others have under way.
	Tell func([]relay.Burden)
	Now  func() time.Time
}

type told struct {
	domain relay.FailureDomain
	list   []relay.Burden
	at     time.Time
}

type args struct {
	From   relay.MemberName
	Domain relay.FailureDomain
	List   []relay.Burden
}

var method = peer.Method[args, []relay.Burden]{Name: "Burdens"}

// Exchange tells others of this instance's burdens and learns theirs.
type Exchange struct {
	config Config
	mu     sync.Mutex
	told   map[relay.MemberName]told
}

// New returns an exchange that offers its method to other instances.
func New(c Config, r peer.Registrar) (*Exchange, error) {
	e := &Exchange{config: c, told: make(map[relay.MemberName]told)}
	if err := method.Serve(r, e.answer); err != nil {
		return nil, fmt.Errorf("offer burdens: %w", err)
	}
	return e, nil
}

// answer takes in another instance's burdens and returns those that it doesn't know.
func (e *Exchange) answer(a args) ([]relay.Burden, error) {
	own := e.config.Control.Snapshot().Self.Domain
	e.keep(a.From, told{domain: a.Domain, list: a.List, at: e.config.Now()})
	return e.sum(func(n relay.MemberName, t told) bool {
		// Another failure domain's reader has told all others of its own, so it gets this one's only.
		return n != a.From && (a.Domain == own || t.domain == own)
	}), nil
}

func (e *Exchange) keep(n relay.MemberName, t told) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.told[n] = t
}

// sum adds this instance's burdens and those of the instances that fit.
func (e *Exchange) sum(fits func(relay.MemberName, told) bool) []relay.Burden {
	all := make(map[relay.ServerID]relay.Burden)
	for _, b := range e.config.Own() {
		all[b.Server] = b
	}
	return e.plus(all, fits)
}

func (e *Exchange) plus(all map[relay.ServerID]relay.Burden, fits func(relay.MemberName, told) bool) []relay.Burden {
	now := e.config.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	for n, t := range e.told {
		if now.Sub(t.at) > life {
			delete(e.told, n)
			continue
		}
		if !fits(n, t) {
			continue
		}
		for _, b := range t.list {
			sum := all[b.Server].Plus(b)
			sum.Server = b.Server
			all[b.Server] = sum
		}
	}
	list := make([]relay.Burden, 0, len(all))
	for _, b := range all {
		list = append(list, b)
	}
	return list
}

// Run exchanges burdens until the context ends.
func (e *Exchange) Run(ctx context.Context) error {
	for {
		s := e.config.Control.Snapshot()
		pause := period * time.Duration(1+domainSize(s)/periodFleet)
		if !clock.Passed(ctx, pause) {
			return nil
		}
		e.once(ctx, s)
	}
}

func domainSize(s relay.State) int {
	n := 0
	for _, m := range s.Members() {
		if m.Domain == s.Self.Domain {
			n++
		}
	}
	return n
}

// once tells the reader, or as the reader the other readers. An instance that doesn't answer is told
// again after the period, and until then what it had under way fades.
func (e *Exchange) once(ctx context.Context, s relay.State) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reader, other := query.Reader(s, func(relay.MemberName) bool { return false })
	if other {
		if others, err := e.call(ctx, s, reader, e.config.Own()); err == nil {
			e.config.Tell(others)
		}
		return
	}
	list := e.sum(func(_ relay.MemberName, t told) bool { return t.domain == s.Self.Domain })
	var g errgroup.Group
	for _, m := range query.Readers(s) {
		g.Go(func() error {
			if theirs, err := e.call(ctx, s, m, list); err == nil {
				e.keep(m.Name, told{domain: m.Domain, list: theirs, at: e.config.Now()})
			}
			return nil
		})
	}
	_ = g.Wait()
	e.config.Tell(e.plus(make(map[relay.ServerID]relay.Burden), func(relay.MemberName, told) bool { return true }))
}

func (e *Exchange) call(ctx context.Context, s relay.State, m relay.Member, list []relay.Burden) ([]relay.Burden, error) {
	to := value.Instance{ID: value.InstanceID(m.Name), PeerAddress: m.Address}
	return method.Call(ctx, e.config.Client, to, args{From: s.Self.Name, Domain: s.Self.Domain, List: list})
}
