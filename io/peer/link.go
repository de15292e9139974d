package peer

import (
	"context"
	"errors"
	"fmt"
	"net/rpc"
	"sync"
	"time"

	"endivehitch/core/policy"
)

var (
	errBusy    = fmt.Errorf("too many calls under way: %w", ErrUnreachable)
	errStale   = fmt.Errorf("kept connection had ended: %w", ErrUnreachable)
	errBackoff = fmt.Errorf("waiting before the next dial: %w", ErrUnreachable)
)

// link is the connection to one instance; it is dialled on demand.
type link struct {
	client  *Client
	address string
	// slots bounds the calls under way, also those whose callers no longer wait.
	slots chan struct{}
	// dialing is held by the one caller that dials.
	dialing chan struct{}

	mu      sync.Mutex
	session *session
	backoff policy.Backoff
	// next is the earliest time of the next dial.
	next time.Time
}

// session is one connection's life.
type session struct {
	rpc  *rpc.Client
	idle *time.Timer

	mu      sync.Mutex
	pending int
	// heard is when the latest reply came.
	heard time.Time
}

func (l *link) call(ctx context.Context, method string, args, reply any) error {
	err := l.try(ctx, method, args, reply)
	if errors.Is(err, errStale) {
		// A second try dials anew, so that a restarted instance is reached by the first call.
		return l.try(ctx, method, args, reply)
	}
	return err
}

func (l *link) try(ctx context.Context, method string, args, reply any) error {
	select {
	case l.slots <- struct{}{}:
	default:
		return errBusy
	}
	s, err := l.connect(ctx)
	if err != nil {
		<-l.slots
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	return l.exchange(ctx, s, method, &request{args: args}, reply)
}

func (l *link) exchange(ctx context.Context, s *session, method string, req *request, reply any) error {
	start := time.Now()
	s.begin()
	done := s.rpc.Go(method, req, reply, make(chan *rpc.Call, 1)).Done
	select {
	case call := <-done:
		l.end(s)
		return l.outcome(s, req, call.Error)
	case <-ctx.Done():
		// The reply may still be written until the call ends, so the slot stays taken until then.
		go func() {
			<-done
			l.end(s)
		}()
		if s.silentSince(start) {
			l.drop(s)
		}
		return fmt.Errorf("await reply: %w", ctx.Err())
	}
}

func (l *link) outcome(s *session, req *request, err error) error {
	if err == nil {
		s.reply(time.Now())
		return nil
	}
	var remote rpc.ServerError
	if errors.As(err, &remote) {
		s.reply(time.Now())
		return fmt.Errorf("remote: %w", err)
	}
	l.drop(s)
	if !req.sent.Load() {
		return fmt.Errorf("%w: %w", errStale, err)
	}
	return fmt.Errorf("connection failed: %w", err)
}

// connect returns the open session, or dials; callers that come meanwhile wait for the dial.
func (l *link) connect(ctx context.Context) (*session, error) {
	if s := l.current(); s != nil {
		return s, nil
	}
	select {
	case l.dialing <- struct{}{}:
		defer func() { <-l.dialing }()
	case <-ctx.Done():
		return nil, fmt.Errorf("await dial: %w", ctx.Err())
	}
	if s := l.current(); s != nil {
		return s, nil
	}
	if !l.mayDial(time.Now()) {
		return nil, errBackoff
	}
	conn, err := l.client.dial(ctx, l.address)
	if err != nil {
		l.failed(time.Now())
		return nil, err
	}
	s := &session{rpc: rpc.NewClientWithCodec(clientCodec{wire: newWire(conn, writeTimeout)})}
	l.install(s)
	return s, nil
}

func (l *link) install(s *session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.session = s
	l.backoff = l.backoff.WithSuccess()
	s.idle = time.AfterFunc(l.client.config.Idle, func() { l.expire(s) })
}

func (l *link) current() *session {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.session
}

func (l *link) isOpen() bool {
	return l.current() != nil
}

func (l *link) mayDial(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !now.Before(l.next)
}

// failed is called by the one caller that dials.
func (l *link) failed(now time.Time) {
	next := now.Add(l.client.delay(l.backoff))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next = next
	l.backoff = l.backoff.WithFailure()
}

// unused reports whether nothing has been dialled for the idle time.
func (l *link) unused(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.session == nil && now.After(l.next.Add(l.client.config.Idle))
}

// drop closes the session, and the next call dials anew.
func (l *link) drop(s *session) {
	l.mu.Lock()
	if l.session == s {
		l.session = nil
	}
	l.mu.Unlock()
	s.idle.Stop()
	_ = s.rpc.Close()
}

func (l *link) expire(s *session) {
	if s.busy() {
		s.idle.Reset(l.client.config.Idle)
		return
	}
	l.client.forget(l)
	l.drop(s)
}

func (l *link) close() {
	if s := l.current(); s != nil {
		l.drop(s)
	}
}

func (l *link) end(s *session) {
	s.finish(l.client.config.Idle)
	<-l.slots
}

func (s *session) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending++
}

func (s *session) finish(idle time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending--
	if s.idle.Stop() {
		s.idle.Reset(idle)
	}
}

func (s *session) busy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pending > 0
}

func (s *session) reply(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heard = at
}

func (s *session) silentSince(t time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heard.Before(t)
}
