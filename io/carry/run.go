package carry

import (
	"context"
	"errors"
	"io"
	"time"

	"endivehitch/core/relay"
	"endivehitch/core/relay/query"
	"endivehitch/io/event"
)

const (
	// wholeBytes is the largest body that is read whole before the caller gets any of it.
	wholeBytes = 1 << 20
	// eventBytes bounds one event of a stream.
	eventBytes = 1 << 20
	readBytes  = 16 << 10
)

// run is one send of a request.
type run[H any] struct {
	*life[H]
	visit  *visit
	server relay.Server
	began  time.Time
	// tokens is how much of the prompt the server is expected to read.
	tokens int
}

// do sends the request and handles its answer; done says that err is the request's end.
func (r *run[H]) do(ctx context.Context) (query.Ending, bool, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := r.watch(ctx, cancel)
	defer func() { r.prepaid = watch.stop() }()
	answer, err := r.carrier.config.Backend.Send(ctx, r.request(ctx))
	if err != nil {
		return r.broken(ctx, err), false, nil
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.Confidence >= 0 || answer.Stream {
		r.carrier.paces.saw(r.model(), r.tokens, r.carrier.config.Now().Sub(r.began))
	}
	r.surer(answer)
	if answer.Reported {
		r.visit.report(answer.Report, r.carrier.config.Now())
	}
	ending, ok := r.judge(answer)
	if !ok {
		return r.declined(ctx, answer, ending)
	}
	if r.stepUp(ctx, answer) {
		return query.EndedDropped, false, nil
	}
	if answer.Stream && answer.Status < 300 {
		return r.stream(ctx, answer, watch)
	}
	return r.whole(ctx, answer)
}

var errSlow = errors.New("no answer in time")

func (r *run[H]) request(ctx context.Context) Run[H] {
	return Run[H]{
		Server: r.server, Request: r.job.Request, Account: r.admitted.Account, Head: r.job.Head, Body: r.job.Body,
		Left: r.left(ctx), Model: r.model(), Rank: query.Priority(r.admitted.Rank, r.step), After: r.after,
		Fresh: r.sends.Run > 0,
	}
}

// broken says how a run ended that brought no answer, and counts it against the server.
func (r *run[H]) broken(ctx context.Context, err error) query.Ending {
	now := r.carrier.config.Now()
	ending := query.EndedUnknown
	switch {
	case errors.Is(err, ErrUnsent):
		ending = query.EndedUnsent
	case errors.Is(context.Cause(ctx), errSlow):
		ending = query.EndedSlow
	}
	if !errors.Is(context.Cause(ctx), context.Canceled) {
		r.visit.bad(now)
		r.record(WhatRunFailed, endingName(ending), 0, err.Error())
	}
	return ending
}

// judge reports whether the answer may go to the caller, and how the run ended otherwise.
func (r *run[H]) judge(a *Answer[H]) (query.Ending, bool) {
	switch {
	case a.NotRun:
		return query.EndedNotRun, false
	case a.Encoded, !a.Signed:
		return query.EndedUnknown, false
	case a.Status >= 500:
		return query.EndedFailed, false
	}
	return 0, true
}

// declined handles an answer that isn't good: another server is asked where that is allowed, else
// the server's own failure goes to the caller.
func (r *run[H]) declined(ctx context.Context, a *Answer[H], ending query.Ending) (query.Ending, bool, error) {
	now := r.carrier.config.Now()
	r.record(WhatRunFailed, endingName(ending), a.Status, "")
	switch ending {
	case query.EndedNotRun:
	case query.EndedFailed:
		r.visit.failed(now)
		r.tally(true)
	default:
		r.visit.bad(now)
	}
	final := ending == query.EndedFailed && !r.begun
	if final && !query.Again(r.admitted.Route, ending, r.sends.With(ending), r.left(ctx)) {
		return r.whole(ctx, a)
	}
	return ending, false, nil
}

// stepUp reports whether the answer is dropped for a larger model's.
func (r *run[H]) stepUp(ctx context.Context, a *Answer[H]) bool {
	route := r.admitted.Route
	if !route.Cascade() || r.begun {
		return false
	}
	seen := query.Answered{Step: r.step, Confidence: a.Confidence, Sends: r.sends.With(query.EndedDropped), Left: r.left(ctx), Throttle: r.carrier.throttles.Get(r.target).Value()}
	next, ok := query.StepUp(route, seen, r.gains)
	if !ok || !r.carrier.paid(r.target, stepUp) {
		return false
	}
	r.last.Throttle = seen.Throttle
	r.doubt = doubt{step: r.step, confidence: a.Confidence}
	r.visit.begin(r.carrier.config.Now())
	r.last.First = r.visit.took
	r.record(WhatSteppedUp, "LowConfidence", a.Status, "")
	r.step = next
	return true
}

// whole reads a body to its end before the caller gets any of it, unless it is large.
func (r *run[H]) whole(ctx context.Context, a *Answer[H]) (query.Ending, bool, error) {
	body, err := io.ReadAll(io.LimitReader(a.Body, wholeBytes))
	if err != nil {
		return r.broken(ctx, err), false, nil
	}
	r.visit.begin(r.carrier.config.Now())
	r.begun = true
	if err := r.sink.Begin(a); err != nil {
		return 0, true, r.callerLeft(err)
	}
	if err := r.sink.Write(body); err != nil {
		return 0, true, r.callerLeft(err)
	}
	if len(body) == wholeBytes {
		if err := r.copyRest(a.Body); err != nil {
			return 0, true, r.end(relay.Refusal{Reason: relay.ReasonUnknown, Detail: err.Error()})
		}
	}
	if a.Status < 500 {
		r.good()
	}
	r.finish(a.Status)
	return 0, true, nil
}

func (r *run[H]) copyRest(body io.Reader) error {
	buf := make([]byte, readBytes)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if err := r.sink.Write(buf[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// stream relays whole events as they come, and ends early when the next one doesn't.
func (r *run[H]) stream(ctx context.Context, a *Answer[H], watch *watchdog) (query.Ending, bool, error) {
	events := event.NewSplitter(eventBytes)
	buf := make([]byte, readBytes)
	for {
		n, err := a.Body.Read(buf)
		if n > 0 {
			whole, split := events.Feed(buf[:n])
			if split != nil {
				return r.broken(ctx, split), false, nil
			}
			r.visit.heard(r.carrier.config.Now())
			if len(whole) > 0 {
				r.visit.begin(r.carrier.config.Now())
				if err := r.relay(a, whole); err != nil {
					return 0, true, r.callerLeft(err)
				}
				if id := events.LastID(); id != "" {
					r.after = id
				}
				watch.fed()
			}
		}
		if errors.Is(err, io.EOF) && len(events.Rest()) == 0 && r.begun {
			r.good()
			r.finish(a.Status)
			return 0, true, nil
		}
		if err != nil {
			return r.broken(ctx, err), false, nil
		}
	}
}

func (r *run[H]) relay(a *Answer[H], whole []byte) error {
	if !r.begun {
		r.begun = true
		r.answered(true)
		r.last.First = r.visit.took
		if err := r.sink.Begin(a); err != nil {
			return err
		}
	}
	return r.sink.Write(whole)
}

// callerLeft records that the caller is gone.
func (r *run[H]) callerLeft(err error) error {
	return r.end(relay.Refusal{Reason: relay.ReasonCallerLeft, Detail: err.Error()})
}

func (r *run[H]) good() {
	r.visit.good(r.carrier.config.Now())
	r.tally(false)
}

func (r *run[H]) tally(failed bool) {
	now := r.carrier.config.Now()
	r.carrier.tallies.add(r.server, kindKey{r.admitted.Route.Name, r.model()}, failed, now.Sub(r.began), now)
}

func (r *run[H]) finish(status int) {
	r.last.First = r.visit.took
	r.record(WhatAnswered, "", status, "")
}

func endingName(e query.Ending) string {
	switch e {
	case query.EndedUnsent:
		return "Unsent"
	case query.EndedNotRun:
		return "NotRun"
	case query.EndedFailed:
		return "ServerFailed"
	case query.EndedSlow:
		return "Slow"
	case query.EndedDropped:
		return "Dropped"
	}
	return "OutcomeUnknown"
}
