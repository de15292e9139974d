package flow

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"endivehitch/core/query"
	"endivehitch/core/value"
	"endivehitch/io/engine"
)

// leg is one run of a request at one backend server, up to its first piece.
type leg struct {
	place  *place
	cancel context.CancelFunc
	answer engine.Answer
	first  engine.Piece
	// at is when the first piece or the error came.
	at time.Time
	// err is io.EOF for a whole answer without pieces.
	err  error
	once sync.Once
}

func (l *leg) won() bool {
	return l.answer != nil && (l.err == nil || isWhole(l.err))
}

// isWhole reports whether an answer's error says that it is whole; a connection that ends is an io.EOF too.
func isWhole(err error) bool {
	return errors.Is(err, io.EOF) && !errors.Is(err, engine.ErrCutOff)
}

// end stops the run and gives its place back; calls after the first do nothing.
func (l *leg) end() {
	l.once.Do(func() {
		l.cancel()
		if l.answer != nil {
			l.answer.Cancel()
		}
		l.place.free()
	})
}

// race is the runs of one attempt: the first one and perhaps a hedge.
type race struct {
	run     *run
	target  query.Target
	running []*leg
	done    chan *leg
}

// racers bounds the runs of one attempt.
const racers = 2

// race returns the run whose first piece comes first, and cancels the other.
func (r *run) race(ctx context.Context, t query.Target, p *place) (*leg, error) {
	c := &race{run: r, target: t, done: make(chan *leg, racers)}
	if err := r.life.move(ctx, eventDispatch); err != nil {
		p.free()
		return nil, err
	}
	c.start(ctx, p)
	late, stop := r.hedgeTimer()
	defer stop()
	for {
		select {
		case l := <-c.done:
			c.left(l)
			if l.won() {
				c.discard()
				r.sawFirst(l)
				if err := r.life.move(ctx, eventHead); err != nil {
					l.end()
					return nil, err
				}
				return l, nil
			}
			c.lost(ctx, l)
			if len(c.running) == 0 || atFault(l.err) {
				c.discard()
				return nil, l.err
			}
		case <-late:
			late = nil
			c.hedge(ctx)
		case <-ctx.Done():
			c.discard()
			return nil, context.Cause(ctx)
		}
	}
}

// start counts the run as sent before it is, so that no failure on the way can claim the contrary.
func (c *race) start(ctx context.Context, p *place) {
	r := c.run
	call := r.job.Call
	call.Request = r.job.Request.ID
	call.Version = c.target.Version
	call.Priority = r.admitted.Kind.Priority
	r.attempts++
	r.sends++
	r.tried = append(r.tried, p.choice.Server.ID)
	ctx, cancel := context.WithCancel(ctx)
	l := &leg{place: p, cancel: cancel}
	c.running = append(c.running, l)
	go func() {
		l.answer, l.err = r.flow.Runner.Start(ctx, p.choice.Server, call)
		if l.err == nil {
			l.first, l.err = l.answer.Next(ctx)
		}
		l.at = r.flow.Now()
		c.done <- l
	}()
}

func (c *race) left(l *leg) {
	for i, other := range c.running {
		if other == l {
			c.running = append(c.running[:i], c.running[i+1:]...)
			return
		}
	}
}

// lost takes note of a run that failed.
func (c *race) lost(ctx context.Context, l *leg) {
	defer l.end()
	if errors.Is(l.err, engine.ErrNotSent) {
		c.run.sends--
	}
	if ctx.Err() != nil || atFault(l.err) {
		return
	}
	l.place.sawFailure(c.run, l.err)
}

// atFault reports whether the request itself made the run fail, so that no server would do better.
func atFault(err error) bool {
	var status engine.BadStatus
	return errors.As(err, &status) && status.Permanent()
}

// discard cancels what still runs; each place goes back once its run has ended.
func (c *race) discard() {
	now := c.run.flow.Now()
	for _, l := range c.running {
		l.cancel()
		l.place.sawDelay(c.run, now.Sub(l.place.started))
	}
	n := len(c.running)
	if n == 0 {
		return
	}
	done := c.done
	go func() {
		for range n {
			l := <-done
			l.end()
		}
	}()
}

// hedgeTimer fires when a second run is worth its cost; the returned function stops it.
func (r *run) hedgeTimer() (<-chan time.Time, func()) {
	after := query.HedgeDelay(r.flow.Snapshot(), r.admitted.Kind, r.flow.past.history(r.job.Request))
	if after == 0 || r.attempts >= r.admitted.Kind.MaxAttempts {
		return nil, func() {}
	}
	t := time.NewTimer(after)
	return t.C, func() { t.Stop() }
}

// hedge starts a second run if a server has room now and the budget allows it.
func (c *race) hedge(ctx context.Context) {
	r := c.run
	t := c.target
	t.Tried = r.tried
	if r.flow.gate.waiting.Load() > 0 {
		return
	}
	p, err := r.flow.gate.try(quest{request: r.job.Request, admitted: r.admitted, target: t, length: r.length, rnd: r.rnd})
	if err != nil {
		return
	}
	if !spend(&r.flow.past.hedges, query.HedgeBudget(r.flow.Snapshot())) {
		p.free()
		return
	}
	r.record(r.decision(value.StepHedge).WithChoice(t.Version, p.choice.Server.ID, p.choice.Candidates, value.ReasonHedged))
	c.start(ctx, p)
}

func (r *run) sawFirst(l *leg) {
	after := l.at.Sub(l.place.started)
	r.flow.past.sawFirst(r.job.Request, after)
	l.place.sawFirst(r, after)
}

// deliver passes the winner's answer on until it is whole.
func (r *run) deliver(ctx context.Context, t query.Target, l *leg) error {
	h := l.answer.Head()
	if err := r.begin(h, t.Version); err != nil {
		return err
	}
	p, err := l.first, l.err
	for err == nil {
		if err := r.pass(p); err != nil {
			return err
		}
		p, err = l.answer.Next(ctx)
	}
	if !isWhole(err) {
		l.place.sawFailure(r, err)
		return err
	}
	return r.life.move(ctx, eventComplete)
}
