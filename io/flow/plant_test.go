package flow_test

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"sync"
	"time"

	"endivehitch/core/value"
	"endivehitch/io/engine"
)

// slots is how many runs a simulated server has under way at once; more wait inside it in order.
const slots = 8

// firstPart is the share of a run's work before its first piece.
const firstPart = 0.2

// machine is a simulated backend server.
type machine struct {
	busy    int
	waiting []chan struct{}
	cached  []uint64
}

// plant is the simulated servers, which all instances share; a call's body says how much work it is.
type plant struct {
	mu       sync.Mutex
	machines map[value.ServerID]*machine
	// factor returns how many times slower than normal the server is.
	factor func(value.ServerID) float64
	// reports is how often instances read load reports; zero means never.
	reports time.Duration
	runs    int
	work    time.Duration
	hits    int
}

func newPlant(servers int, factor func(value.ServerID) float64) *plant {
	p := &plant{machines: make(map[value.ServerID]*machine), factor: factor}
	for i := range servers {
		p.machines[serverName(i)] = new(machine)
	}
	return p
}

func serverName(i int) value.ServerID {
	return value.ServerID(fmt.Sprintf("s%02d", i))
}

func (p *plant) locked(do func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	do()
}

// enter takes a slot of the machine, after those that came before.
func (p *plant) enter(ctx context.Context, m *machine) error {
	var turn chan struct{}
	p.locked(func() {
		p.runs++
		if m.busy < slots {
			m.busy++
			return
		}
		turn = make(chan struct{})
		m.waiting = append(m.waiting, turn)
	})
	if turn == nil {
		return nil
	}
	select {
	case <-turn:
		return nil
	case <-ctx.Done():
	}
	p.locked(func() {
		for i, w := range m.waiting {
			if w == turn {
				m.waiting = append(m.waiting[:i], m.waiting[i+1:]...)
				turn = nil
				return
			}
		}
	})
	if turn != nil {
		p.leave(m)
	}
	return ctx.Err()
}

func (p *plant) leave(m *machine) {
	p.locked(func() {
		if len(m.waiting) == 0 {
			m.busy--
			return
		}
		close(m.waiting[0])
		m.waiting = m.waiting[1:]
	})
}

func (p *plant) Start(ctx context.Context, b value.BackendServer, c engine.Call) (engine.Answer, error) {
	m := p.machines[b.ID]
	if err := p.enter(ctx, m); err != nil {
		return nil, err
	}
	n, err := strconv.ParseInt(string(c.Body), 10, 64)
	if err != nil {
		p.leave(m)
		return nil, err
	}
	took := time.Duration(float64(n) * p.factor(b.ID))
	p.locked(func() { p.work += took })
	first := time.Duration(float64(took) * firstPart)
	if prefix, err := strconv.ParseUint(c.Path, 10, 64); err == nil && p.holds(m, prefix) {
		first /= 10
	}
	return &yield{plant: p, machine: m, parts: []time.Duration{first, took - took/5}}, nil
}

// cacheSize is how many prefixes a machine keeps.
const cacheSize = 12

func (p *plant) holds(m *machine, prefix uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := -1
	for i, have := range m.cached {
		if have == prefix {
			at = i
		}
	}
	if at >= 0 {
		p.hits++
		m.cached = append(m.cached[:at], m.cached[at+1:]...)
	}
	m.cached = append(m.cached, prefix)
	m.cached = m.cached[max(0, len(m.cached)-cacheSize):]
	return at >= 0
}

// yield is a running answer of the plant.
type yield struct {
	plant   *plant
	machine *machine
	parts   []time.Duration
	once    sync.Once
}

func (*yield) Head() engine.Head   { return engine.Head{Status: 200} }
func (*yield) Usage() engine.Usage { return engine.Usage{OutputTokens: 1} }
func (y *yield) Cancel()           { y.once.Do(func() { y.plant.leave(y.machine) }) }

func (y *yield) Next(ctx context.Context) (engine.Piece, error) {
	if len(y.parts) == 0 {
		y.Cancel()
		return engine.Piece{}, io.EOF
	}
	if err := pause(ctx, y.parts[0]); err != nil {
		return engine.Piece{}, err
	}
	y.parts = y.parts[1:]
	return engine.Piece{Data: []byte("x")}, nil
}
