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

// link manages the connection to one instance: it dials on demand, with backoff after failures, and
// closes the connection after the idle timeout.
type link struct {
	client  *Client
	address string
	// slots bounds the calls in progress, including those whose callers no longer wait.
	slots chan struct{}
	// dialLock is a lock of capacity one; its holder dials.
	dialLock chan struct{}

	mu      sync.Mutex
	session *session
	backoff policy.Backoff
	// nextDial is the earliest time of the next dial.
	nextDial time.Time
}

// session is one open connection and the calls in progress on it.
type session struct {
	rpc       *rpc.Client
	idleTimer *time.Timer

	mu      sync.Mutex
	pending int
	// lastReply is when the latest reply arrived.
	lastReply time.Time
}

func (l *link) call(ctx context.Context, method string, args, reply any) error {
	err := l.attempt(ctx, method, args, reply)
	if errors.Is(err, errStale) {
		// The connection failed before the request was sent completely, as it does after the instance
		// has restarted. A second attempt dials again, so that the first call after a restart succeeds.
		return l.attempt(ctx, method, args, reply)
	}
	return err
}

// attempt makes the call once, or returns errBusy if all slots are taken.
func (l *link) attempt(ctx context.Context, method string, args, reply any) error {
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
	return l.roundTrip(ctx, s, method, &request{args: args}, reply)
}

// roundTrip sends the request and waits for the reply until the context ends.
//
// If nothing arrived on the connection since the call began, the connection is closed as well,
// because the instance may have been replaced.
func (l *link) roundTrip(ctx context.Context, s *session, method string, req *request, reply any) error {
	start := time.Now()
	s.startCall()
	done := s.rpc.Go(method, req, reply, make(chan *rpc.Call, 1)).Done
	select {
	case call := <-done:
		l.endCall(s)
		return l.handleResult(s, req, call.Error)
	case <-ctx.Done():
		// The call is still in progress and net/rpc may still write to reply, so the slot stays taken
		// until it ends.
		go func() {
			<-done
			l.endCall(s)
		}()
		if s.isSilentSince(start) {
			l.closeSession(s)
		}
		return fmt.Errorf("await reply: %w", ctx.Err())
	}
}

// handleResult returns nil, the remote handler's error, errStale if the request was not sent
// completely, or an error that leaves open whether the method ran. After the last two the session
// is closed.
func (l *link) handleResult(s *session, req *request, err error) error {
	if err == nil {
		s.recordReply(time.Now())
		return nil
	}
	var remote rpc.ServerError
	if errors.As(err, &remote) {
		s.recordReply(time.Now())
		return fmt.Errorf("remote: %w", err)
	}
	l.closeSession(s)
	if !req.sent.Load() {
		return fmt.Errorf("%w: %w", errStale, err)
	}
	return fmt.Errorf("connection failed: %w", err)
}

// connect returns the open session or dials a new one; concurrent callers wait for the same dial.
func (l *link) connect(ctx context.Context) (*session, error) {
	if s := l.currentSession(); s != nil {
		return s, nil
	}
	select {
	case l.dialLock <- struct{}{}:
		defer func() { <-l.dialLock }()
	case <-ctx.Done():
		return nil, fmt.Errorf("await dial: %w", ctx.Err())
	}
	if s := l.currentSession(); s != nil {
		return s, nil
	}
	if !l.canDial(time.Now()) {
		return nil, errBackoff
	}
	conn, err := l.client.dial(ctx, l.address)
	if err != nil {
		l.recordDialFailure(time.Now())
		return nil, err
	}
	s := &session{rpc: rpc.NewClientWithCodec(clientCodec{codec: newCodec(conn, writeTimeout)})}
	l.install(s)
	return s, nil
}

func (l *link) install(s *session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.session = s
	l.backoff = l.backoff.WithSuccess()
	s.idleTimer = time.AfterFunc(l.client.config.IdleTimeout, func() { l.closeIfIdle(s) })
}

func (l *link) currentSession() *session {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.session
}

func (l *link) isOpen() bool {
	return l.currentSession() != nil
}

func (l *link) canDial(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !now.Before(l.nextDial)
}

// recordDialFailure sets the time of the next dial; its caller holds dialLock.
func (l *link) recordDialFailure(now time.Time) {
	next := now.Add(l.client.backoffDelay(l.backoff))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nextDial = next
	l.backoff = l.backoff.WithFailure()
}

// isUnused reports whether the link has no session and the earliest time of its next dial passed
// longer ago than the idle timeout.
func (l *link) isUnused(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.session == nil && now.After(l.nextDial.Add(l.client.config.IdleTimeout))
}

// closeSession closes the session; the next call dials again.
func (l *link) closeSession(s *session) {
	l.mu.Lock()
	if l.session == s {
		l.session = nil
	}
	l.mu.Unlock()
	s.idleTimer.Stop()
	_ = s.rpc.Close()
}

// closeIfIdle closes the session and removes the link, unless calls are in progress.
func (l *link) closeIfIdle(s *session) {
	if s.isBusy() {
		s.idleTimer.Reset(l.client.config.IdleTimeout)
		return
	}
	l.client.removeLink(l)
	l.closeSession(s)
}

func (l *link) close() {
	if s := l.currentSession(); s != nil {
		l.closeSession(s)
	}
}

// endCall restarts the idle timer and frees the call's slot.
func (l *link) endCall(s *session) {
	s.endCall(l.client.config.IdleTimeout)
	<-l.slots
}

func (s *session) startCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending++
}

func (s *session) endCall(idle time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending--
	if s.idleTimer.Stop() {
		s.idleTimer.Reset(idle)
	}
}

func (s *session) isBusy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pending > 0
}

func (s *session) recordReply(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastReply = at
}

func (s *session) isSilentSince(t time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastReply.Before(t)
}
