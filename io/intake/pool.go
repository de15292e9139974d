package intake

import (
	"errors"
	"sync"
	"time"

	core "endivehitch/core/intake"
)

// Kind is what a caller was refused for.
type Kind string

// The kinds of refusals.
const (
	// KindBudget means that the budget was short.
	KindBudget Kind = "Budget"
	// KindConnections means that a connection was closed for another one, or not accepted.
	KindConnections Kind = "Connections"
	// KindHead means that a head was longer than allowed.
	KindHead Kind = "Head"
	// KindBody means that a body was longer than allowed.
	KindBody Kind = "Body"
	// KindBodyTime means that a body did not arrive in time.
	KindBodyTime Kind = "BodyTime"
	// KindWriteStall means that a caller took nothing of its answer.
	KindWriteStall Kind = "WriteStall"
)

// Kinds returns all kinds of refusals.
func Kinds() []Kind {
	return []Kind{KindBudget, KindConnections, KindHead, KindBody, KindBodyTime, KindWriteStall}
}

// ErrShort is returned when a request is refused because the budget is short.
var ErrShort = errors.New("memory for requests is short")

// RetryAfter is the time after which a request that was refused with ErrShort is worth another try.
const RetryAfter = time.Second

// roomTime bounds how long a request waits for others, which were refused for it, to return what they hold.
const roomTime = time.Second

// Config holds the limits of a Pool and its dependencies.
type Config struct {
	Limits core.Limits
	Now    func() time.Time
	// OnRefuse receives the kind of each refusal; it may be nil.
	OnRefuse func(Kind)
}

// Pool holds the budget of bytes that all callers share; it is safe for concurrent use.
type Pool struct {
	config Config
	mu     sync.Mutex
	budget core.Budget
	// unfinished are the shares of requests that have not been read whole.
	unfinished map[*Share]struct{}
	// refusedBytes is what refused shares hold and have not returned yet.
	refusedBytes int64
	// returned is closed when bytes are returned; nil means that nobody waits.
	returned chan struct{}
	spares   spares
}

// New returns a pool of which nothing is used, or an error that names what the configuration lacks.
func New(c Config) (*Pool, error) {
	if c.Now == nil {
		return nil, errors.New("intake: Now is required")
	}
	if err := c.Limits.Check(); err != nil {
		return nil, err
	}
	c.Limits = c.Limits.Within(0, 0)
	return &Pool{
		config: c, budget: core.NewBudget(c.Limits.Bytes), unfinished: make(map[*Share]struct{}),
	}, nil
}

// Limits returns the limits that are in force.
func (p *Pool) Limits() core.Limits {
	return p.config.Limits
}

// Used returns the bytes that callers hold.
func (p *Pool) Used() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.Used()
}

// Report counts a refusal.
func (p *Pool) Report(k Kind) {
	if p.config.OnRefuse != nil {
		p.config.OnRefuse(k)
	}
}

// Share is what one request holds of the pool. Its methods are called by one goroutine.
type Share struct {
	pool *Pool
	// refuse makes the request end that holds the share; it is called from other goroutines, at most once.
	refuse func()
	// The fields below are guarded by the pool's mutex.
	bytes    int64
	progress time.Time
	refused  bool
}

// Open returns a share that holds nothing. refuse must make the holder's reads fail.
func (p *Pool) Open(refuse func()) *Share {
	return &Share{pool: p, refuse: refuse}
}

// Draw takes n more bytes. If there is no room, other requests are refused by the policy; the error is ErrShort if it is
// this one that is refused.
func (s *Share) Draw(n int64) error {
	p := s.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.draw(s, n)
}

// drawFirst takes up to n bytes for a first buffer, fewer while the budget is scarce, and returns how many.
func (s *Share) drawFirst(n int64) (int64, error) {
	p := s.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.budget.IsScarce() {
		n = min(n, smallBuffer)
	}
	return n, p.draw(s, n)
}

// draw takes n more bytes for the share, or refuses it or others; the pool is locked.
func (p *Pool) draw(s *Share, n int64) error {
	if p.tryDraw(s, n) {
		return nil
	}
	timer := time.NewTimer(roomTime)
	defer timer.Stop()
	// Others are refused once for each draw, since choosing them looks at all unfinished requests.
	hasRoom := !s.refused && p.makeRoom(s, n)
	for hasRoom && !s.refused {
		if p.tryDraw(s, n) {
			return nil
		}
		hasRoom = p.awaitReturn(timer.C)
	}
	s.mark()
	return ErrShort
}

// tryDraw takes n more bytes for the share if there is room; the pool is locked.
func (p *Pool) tryDraw(s *Share, n int64) bool {
	budget, ok := p.budget.WithDraw(n, s.bytes)
	if !ok || s.refused {
		return false
	}
	p.budget = budget
	s.bytes += n
	s.progress = p.config.Now()
	p.unfinished[s] = struct{}{}
	return true
}

// makeRoom refuses other requests so that the share can draw n bytes, and returns false if the share itself is to be
// refused. It unlocks the pool while it does so.
func (p *Pool) makeRoom(s *Share, n int64) bool {
	missing := p.budget.Missing(n, s.bytes) - p.refusedBytes
	if missing <= 0 {
		return true
	}
	holdings := make([]core.Holding[*Share], 0, len(p.unfinished))
	for other := range p.unfinished {
		holdings = append(holdings, core.Holding[*Share]{Key: other, Bytes: other.bytes, Progress: other.progress})
	}
	now := p.config.Now()
	asking := core.Holding[*Share]{Key: s, Bytes: s.bytes + n, Progress: now}
	if s.bytes > 0 {
		asking.Progress = s.progress
	}
	refused, ok := core.SelectRefused(holdings, asking, missing, now)
	if !ok {
		return false
	}
	for _, other := range refused {
		other.mark()
	}
	// A refused request may itself wait for room.
	p.wake()
	p.mu.Unlock()
	defer p.mu.Lock()
	for _, other := range refused {
		other.refuse()
	}
	return true
}

// mark notes that the share is refused; the pool is locked.
func (s *Share) mark() {
	if s.refused {
		return
	}
	s.refused = true
	s.pool.refusedBytes += s.bytes
	delete(s.pool.unfinished, s)
	s.pool.Report(KindBudget)
}

// awaitReturn waits until bytes are returned, and returns false after the timeout. It unlocks the pool meanwhile.
func (p *Pool) awaitReturn(timeout <-chan time.Time) bool {
	if p.returned == nil {
		p.returned = make(chan struct{})
	}
	returned := p.returned
	p.mu.Unlock()
	defer p.mu.Lock()
	select {
	case <-returned:
		return true
	case <-timeout:
		return false
	}
}

// Complete notes that the request has been read whole, so that it is not refused any more. It returns false if it has been
// refused already.
func (s *Share) Complete() bool {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	delete(s.pool.unfinished, s)
	return !s.refused
}

// Force takes n bytes that can't be refused.
func (s *Share) Force(n int64) {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	s.pool.budget = s.pool.budget.WithForced(n)
	s.bytes += n
}

// Return gives n bytes back.
func (s *Share) Return(n int64) {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	s.giveBack(n)
}

// Release gives back all that the share holds.
func (s *Share) Release() {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	s.giveBack(s.bytes)
	delete(s.pool.unfinished, s)
}

func (s *Share) giveBack(n int64) {
	p := s.pool
	if n == 0 {
		return
	}
	p.budget = p.budget.WithReturned(n)
	s.bytes -= n
	if s.refused {
		p.refusedBytes -= n
	}
	p.wake()
}

// wake wakes the requests that wait for room; the pool is locked.
func (p *Pool) wake() {
	if p.returned != nil {
		close(p.returned)
		p.returned = nil
	}
}
