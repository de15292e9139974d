package carry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"endivehitch/core/relay"
	"endivehitch/core/relay/query"
	"endivehitch/io/clock"
)

// ErrCut is returned when an answer that had begun could not be finished.
var ErrCut = errors.New("answer was cut off")

// life is the life of one request, on its caller's goroutine.
type life[H any] struct {
	carrier  *Carrier[H]
	job      Job[H]
	admitted query.Admitted
	sink     Sink[H]

	target relay.ServiceName
	sends  query.Sends
	tried  []relay.ServerID
	// step is the position of the model asked among the route's models; the smallest is asked first.
	step int
	// doubt is the answer that was dropped for the present model's.
	doubt doubt
	// begun is set once the sink has taken the answer's head.
	begun bool
	// after is the last event that the sink has taken.
	after string
	// prepaid is set once the budget has paid for the next send.
	prepaid bool
	last    Decision
}

func (l *life[H]) run(ctx context.Context) error {
	c := l.carrier
	l.target = query.Spread(l.admitted.Route, l.spread())
	c.counted(l.target)
	for {
		ending, done, err := l.attempt(ctx)
		if done {
			return err
		}
		if err := l.again(ctx, ending); err != nil {
			return err
		}
	}
}

// spread is a number that is even over requests and the same for each send of one.
func (l *life[H]) spread() uint64 {
	return xxhash.Sum64String(l.job.Request.ID)
}

// attempt sends the request once and gives the answer to the sink if it is good.
func (l *life[H]) attempt(ctx context.Context) (query.Ending, bool, error) {
	c := l.carrier
	state := c.config.Snapshot()
	now := c.config.Now()
	choice, ok := l.pick(state, now)
	if !ok {
		return query.EndedUnsent, true, l.end(l.none(ctx))
	}
	l.tried = append(l.tried, choice.Server.ID)
	tokens := l.prefill(choice)
	l.note(state, choice, tokens, now)
	v := c.board.start(choice.Server.ID, time.Duration(tokens)*c.paces.perToken(l.model()), now)
	defer v.end()
	r := &run[H]{life: l, visit: v, server: choice.Server, began: now, tokens: tokens}
	ending, done, err := r.do(ctx)
	// A session lasts from its request's end on.
	c.sessions.keep(l.target, l.job.Request.Session, choice.Server.Release, c.config.Now())
	if !done {
		l.sends = l.sends.With(ending)
		if len(l.tried) > 0 && ending == query.EndedDropped {
			// A larger model may run on the same server.
			l.tried = l.tried[:len(l.tried)-1]
		}
	}
	return ending, done, err
}

func (l *life[H]) pick(s relay.State, now time.Time) (query.Choice, bool) {
	q := l.job.Request
	last := l.carrier.sessions.release(l.target, q.Session, now)
	want := query.Want{
		Service: l.target, Tried: l.tried, ReadTime: l.carrier.paces.perToken(l.model()),
		Release: query.Release(s, l.target, q.Session, last, l.spread(), now),
	}
	if part, ok := q.Shared(); ok {
		want.Shared = part.ID
		for _, p := range q.Prompt[:len(q.Prompt)-1] {
			want.SharedTokens += p.Tokens
		}
	}
	choice, ok := query.Pick(s, want, l.carrier.board.Get, clock.Random{}, now)
	if ok {
		l.carrier.sessions.keep(l.target, q.Session, choice.Server.Release, now)
	}
	return choice, ok
}

// model returns the model that is asked, or empty where the caller names it.
func (l *life[H]) model() relay.ModelName {
	if !l.admitted.Route.Cascade() {
		return ""
	}
	return l.admitted.Route.Models[l.step]
}

// prefill is how many prompt tokens the server has to read.
func (l *life[H]) prefill(c query.Choice) int {
	q := l.job.Request
	if len(q.Prompt) == 0 || !c.Home {
		return q.Input
	}
	return q.Prompt[len(q.Prompt)-1].Tokens
}

// left is how much time the request has; it is large for one without a deadline.
func (l *life[H]) left(ctx context.Context) time.Duration {
	at, ok := ctx.Deadline()
	if !ok {
		return time.Hour
	}
	return at.Sub(l.carrier.config.Now())
}

// again returns nil when the request may be sent once more, and its final answer otherwise.
func (l *life[H]) again(ctx context.Context, ending query.Ending) error {
	if err := context.Cause(ctx); errors.Is(err, context.Canceled) {
		return l.end(l.callerGone())
	}
	left := l.left(ctx)
	if ending == query.EndedDropped {
		return nil
	}
	if !query.Again(l.admitted.Route, ending, l.sends, left) {
		return l.end(query.Verdict(ending, l.sends, left))
	}
	if l.prepaid {
		l.prepaid = false
		return nil
	}
	if ending == query.EndedUnsent {
		// Nothing has arrived at a server, so nothing is repeated there.
		return nil
	}
	if !l.carrier.paid(l.target, repeat) {
		r := query.Verdict(ending, l.sends, left)
		r.Detail = "the retry budget is spent"
		return l.end(r)
	}
	return nil
}

// callerGone is the end of a request whose connection was closed; an instance that leaves closes the
// connections of requests that its time to finish did not suffice for.
func (l *life[H]) callerGone() relay.Refusal {
	if l.carrier.config.Snapshot().Leaving {
		return relay.Refusal{Reason: relay.ReasonCallerLeft, Detail: "the connection was closed while the instance was leaving"}
	}
	return relay.Refusal{Reason: relay.ReasonCallerLeft, Detail: "the caller closed its connection"}
}

// none is the final answer when there is no server left to try.
func (l *life[H]) none(ctx context.Context) relay.Refusal {
	if l.sends.All == 0 {
		return relay.Refusal{Reason: relay.ReasonNoServer, NotRun: true, RetryAfter: time.Second, Detail: "no server of " + string(l.target)}
	}
	return query.Verdict(query.EndedUnknown, l.sends, l.left(ctx))
}

// end records the final answer of the router's own and returns it as an error.
func (l *life[H]) end(r relay.Refusal) error {
	l.answered(false)
	d := l.last
	d.What, d.Reason, d.Detail = WhatFailed, string(r.Reason), r.Detail
	if r.NotRun {
		d.What = WhatRefused
	}
	d.Elapsed = l.elapsed()
	d.Route, d.Account, d.Request = l.admitted.Route.Name, l.admitted.Account.Name, l.job.Request.ID
	l.carrier.config.Recorder.Record(d)
	if l.begun {
		return fmt.Errorf("%w: %w", ErrCut, r)
	}
	return r
}

func (l *life[H]) elapsed() time.Duration {
	return l.carrier.config.Now().Sub(l.job.Request.Arrived)
}

// note keeps what decided the send, for the lines that follow it.
func (l *life[H]) note(s relay.State, c query.Choice, unread int, now time.Time) {
	load := l.carrier.board.Get(c.Server.ID)
	l.last = Decision{
		Request: l.job.Request.ID, Route: l.admitted.Route.Name, Account: l.admitted.Account.Name,
		Server: c.Server.ID, Release: c.Server.Release, Model: l.model(), Candidates: c.Candidates,
		Score: c.Score, Revision: s.Revision, Unread: unread,
	}
	if !load.Reported.IsZero() {
		l.last.ReportAge = now.Sub(load.Reported)
	}
}

// record writes a line about the present send.
func (l *life[H]) record(what What, reason string, status int, detail string) {
	d := l.last
	d.What, d.Reason, d.Status, d.Detail = what, reason, status, detail
	d.Elapsed = l.elapsed()
	l.carrier.config.Recorder.Record(d)
}
