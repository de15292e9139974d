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

// serverSlots is how many attempts a simulated server runs at once; more wait there in order of
// arrival.
const serverSlots = 8

// firstPieceShare is the share of an attempt's work that precedes its first piece.
const firstPieceShare = 0.2

// simulatedServer is the state of one backend server in a simulation.
type simulatedServer struct {
	busy    int
	waiting []chan struct{}
	cached  []uint64
}

// simulation holds the simulated backend servers, which all instances share. The body of a call is
// its work in nanoseconds, and its path the number of its prompt's prefix, if it has one.
type simulation struct {
	mu      sync.Mutex
	servers map[value.ServerID]*simulatedServer
	// slowdown returns how many times slower than normal the server is at present.
	slowdown func(value.ServerID) float64
	// reportInterval is how often instances read load reports; zero means never.
	reportInterval time.Duration
	attempts       int
	work           time.Duration
	cacheHits      int
}

func newSimulation(servers int, slowdown func(value.ServerID) float64) *simulation {
	s := &simulation{servers: make(map[value.ServerID]*simulatedServer), slowdown: slowdown}
	for i := range servers {
		s.servers[serverName(i)] = new(simulatedServer)
	}
	return s
}

func serverName(i int) value.ServerID {
	return value.ServerID(fmt.Sprintf("s%02d", i))
}

func (s *simulation) withLock(do func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	do()
}

// acquire takes a slot of the server; attempts get the slots in order of arrival.
func (s *simulation) acquire(ctx context.Context, server *simulatedServer) error {
	var granted chan struct{}
	s.withLock(func() {
		s.attempts++
		if server.busy < serverSlots {
			server.busy++
			return
		}
		granted = make(chan struct{})
		server.waiting = append(server.waiting, granted)
	})
	if granted == nil {
		return nil
	}
	select {
	case <-granted:
		return nil
	case <-ctx.Done():
	}
	s.withLock(func() {
		for i, waiting := range server.waiting {
			if waiting == granted {
				server.waiting = append(server.waiting[:i], server.waiting[i+1:]...)
				granted = nil
				return
			}
		}
	})
	if granted != nil {
		s.release(server)
	}
	return ctx.Err()
}

func (s *simulation) release(server *simulatedServer) {
	s.withLock(func() {
		if len(server.waiting) == 0 {
			server.busy--
			return
		}
		close(server.waiting[0])
		server.waiting = server.waiting[1:]
	})
}

func (s *simulation) Start(ctx context.Context, target value.BackendServer, call engine.Call) (engine.Answer, error) {
	server := s.servers[target.ID]
	if err := s.acquire(ctx, server); err != nil {
		return nil, err
	}
	work, err := strconv.ParseInt(string(call.Body), 10, 64)
	if err != nil {
		s.release(server)
		return nil, err
	}
	duration := time.Duration(float64(work) * s.slowdown(target.ID))
	s.withLock(func() { s.work += duration })
	first := time.Duration(float64(duration) * firstPieceShare)
	if prefix, err := strconv.ParseUint(call.Path, 10, 64); err == nil && s.hasCached(server, prefix) {
		first /= 10
	}
	return &simulatedAnswer{simulation: s, server: server, delays: []time.Duration{first, duration - duration/5}}, nil
}

// cacheSize is how many prefixes a server caches; the least recently used one is evicted.
const cacheSize = 12

// hasCached reports whether the server had the prefix cached, and caches it.
func (s *simulation) hasCached(server *simulatedServer, prefix uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := -1
	for i, have := range server.cached {
		if have == prefix {
			found = i
		}
	}
	if found >= 0 {
		s.cacheHits++
		server.cached = append(server.cached[:found], server.cached[found+1:]...)
	}
	server.cached = append(server.cached, prefix)
	server.cached = server.cached[max(0, len(server.cached)-cacheSize):]
	return found >= 0
}

// simulatedAnswer is an answer in progress, which holds a slot of its server.
type simulatedAnswer struct {
	simulation *simulation
	server     *simulatedServer
	delays     []time.Duration
	once       sync.Once
}

func (*simulatedAnswer) Head() engine.Head   { return engine.Head{Status: 200} }
func (*simulatedAnswer) Usage() engine.Usage { return engine.Usage{OutputTokens: 1} }
func (a *simulatedAnswer) Cancel()           { a.once.Do(func() { a.simulation.release(a.server) }) }

func (a *simulatedAnswer) Next(ctx context.Context) (engine.Piece, error) {
	if len(a.delays) == 0 {
		a.Cancel()
		return engine.Piece{}, io.EOF
	}
	if err := pause(ctx, a.delays[0]); err != nil {
		return engine.Piece{}, err
	}
	a.delays = a.delays[1:]
	return engine.Piece{Data: []byte("x")}, nil
}
