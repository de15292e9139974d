package proxy

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"endivehitch/core/relay"
	"endivehitch/core/relay/query"
	"endivehitch/core/relay/share"
)

// ErrTruncated is returned when only a part of an answer could be written to the caller.
var ErrTruncated = errors.New("answer was truncated")

// ErrInstanceEnds is the cause with which a request's context is cancelled when the instance ends before the
// request has its answer.
var ErrInstanceEnds = errors.New("instance ends")

// requestHandler serves one request on its caller's goroutine, in one or more attempts.
type requestHandler[H any] struct {
	dispatcher *Dispatcher[H]
	job        Job[H]
	admitted   query.Admitted
	writer     ResponseWriter[H]
	// deadline is when the request must be answered; zero means that it has no deadline.
	deadline time.Time

	service  relay.ServiceName
	attempts query.RequestAttempts
	// tried holds the servers that were asked already and are not selected again.
	tried []relay.ServerID
	// criteria are those by which the current attempt's server was selected.
	criteria query.Criteria
	// probe is set if the request has quarantined parts and is sent to see whether their quarantine is still needed.
	probe *query.Probe
	// step is the index of the current model in the route's models, which start with the smallest.
	step int
	// discarded is the answer that was discarded in favour of the current model's.
	discarded discardedAnswer
	// responseStarted is set once an answer's head was written to the caller.
	responseStarted bool
	// avoidsLimits is set once several servers with a limit had no room for the request.
	avoidsLimits bool
	// usesPrevious is set once the cold servers of a new release had no room for the request, so that it goes to the release
	// before.
	usesPrevious bool
	// lastEventID is the ID of the last event that was written to the caller.
	lastEventID string
	// crashedServer is set once a server has crashed on the request.
	crashedServer atomic.Bool
	// isRetryCharged is set when the watchdog cancelled the last attempt, and so has already charged the
	// next one to the retry budget.
	isRetryCharged bool
	// awaitsAdmission is set until it is decided whether the request is admitted to its service, and verdict is the decision;
	// it is nil if none is needed.
	awaitsAdmission bool
	verdict         *share.Verdict
	// decision holds the inputs of the current attempt, for the records about it.
	decision Decision
}

func (h *requestHandler[H]) serve(ctx context.Context) error {
	d := h.dispatcher
	h.service = query.SelectTarget(h.admitted.Route, h.requestHash())
	probe, refusal := d.checkQuarantine(ctx, h.service, h.job.Request)
	if refusal != nil {
		return h.fail(*refusal)
	}
	h.startAtModel(h.firstStep())
	if probe != nil {
		h.probe = probe
		// A probe whose answer was dropped for a larger model's would reach two servers.
		h.startAtModel(max(0, len(h.admitted.Route.Models)-1))
	}
	h.awaitsAdmission = probe == nil && d.needsAdmission(h.service)
	if !h.awaitsAdmission {
		d.countFirstAttempt(h.service)
	}
	for {
		ending, done, err := h.tryOnce(ctx)
		if !done {
			err = h.checkRetry(ctx, ending)
		}
		if done || err != nil {
			h.endProbe(ending, err == nil || ending != query.EndedUnsent)
			return err
		}
	}
}

// endProbe records that the probe has ended, unless it was given up as slow: it may still crash its server then.
func (h *requestHandler[H]) endProbe(ending query.Ending, hasReached bool) {
	if h.probe != nil && ending != query.EndedSlow {
		h.dispatcher.crashes.recordInconclusiveProbe(*h.probe, hasReached, h.dispatcher.config.Now())
	}
}

// isUnsentProbe reports whether the request is a probe that no server has received yet.
func (h *requestHandler[H]) isUnsentProbe(ending query.Ending) bool {
	return h.probe != nil && ending == query.EndedUnsent && h.attempts.Run == 0
}

// requestHash returns a hash of the request's ID: evenly distributed over requests, and the same for all
// attempts of one request.
func (h *requestHandler[H]) requestHash() uint64 {
	return xxhash.Sum64String(h.job.Request.ID)
}

// tryOnce selects a server and makes one attempt there; its results are those of attemptHandler.send.
func (h *requestHandler[H]) tryOnce(ctx context.Context) (query.Ending, bool, error) {
	d := h.dispatcher
	selected, refusal := h.selectConfirmed(ctx)
	if refusal != nil {
		return query.EndedUnsent, true, h.fail(*refusal)
	}
	choice, now := selected.Choice, selected.at
	h.tried = append(h.tried, choice.Server.ID)
	prefillTokens := h.countPrefillTokens(choice)
	h.prepareDecision(selected.state, choice, prefillTokens, now)
	load := d.loads.startAttempt(choice.Server.ID, time.Duration(prefillTokens)*d.prefillRates.timePerToken(h.model()), now)
	defer load.finish()
	service, _ := selected.state.Service(choice.Server.Service)
	current := &attemptHandler[H]{
		requestHandler: h, load: load, server: choice.Server, started: now, choice: choice, prefillTokens: prefillTokens,
		hasColdRate: service.ColdPerSecond > 0,
		kind:        usualTimeKey{route: h.admitted.Route.Name, model: h.model()},
	}
	ending, done, err := current.send(ctx)
	// The session's lifetime counts from the end of its last request, however long that took.
	h.rememberRelease(ctx, choice)
	if !done {
		h.attempts = h.attempts.With(ending)
		if len(h.tried) > 0 && ending == query.EndedDiscarded {
			// The larger model may be asked on the same server.
			h.tried = h.tried[:len(h.tried)-1]
		}
	}
	return ending, done, err
}

// timeLeft returns the time until the request's deadline, or one hour when it has none.
func (h *requestHandler[H]) timeLeft() time.Duration {
	if h.deadline.IsZero() {
		return time.Hour
	}
	return h.deadline.Sub(h.dispatcher.config.Now())
}

// checkRetry returns nil when another attempt is allowed, and otherwise the request's final error.
func (h *requestHandler[H]) checkRetry(ctx context.Context, ending query.Ending) error {
	left := h.timeLeft()
	switch err := context.Cause(ctx); {
	case errors.Is(err, ErrInstanceEnds):
		return h.fail(query.EndingInstanceRefusal(h.attempts))
	case errors.Is(err, context.Canceled):
		return h.fail(h.callerLeftRefusal())
	}
	if ending == query.EndedDiscarded {
		// The next attempt asks a larger model, which the budget has already allowed.
		return nil
	}
	if !h.mayRerun(query.RerunRetry, ending, h.attempts, left) {
		return h.fail(query.FinalRefusal(ending, h.attempts, left))
	}
	if parts := h.dispatcher.quarantinedParts(h.service, h.job.Request); len(parts) > 0 && !h.isUnsentProbe(ending) {
		refusal := query.FinalRefusal(ending, h.attempts, left)
		refusal.Detail = "servers crash on part " + string(parts[0]) + " of the prompt"
		return h.fail(refusal)
	}
	if h.isRetryCharged {
		h.isRetryCharged = false
		return nil
	}
	if ending == query.EndedUnsent {
		// No server has received the request, so the next attempt is not charged to the retry budget.
		return nil
	}
	if !h.dispatcher.spendBudget(h.service, useRetry) {
		refusal := query.FinalRefusal(ending, h.attempts, left)
		refusal.Detail = "the retry budget is spent"
		return h.fail(refusal)
	}
	return nil
}

// mayRerun reports whether the request may run again after the attempts, the last of which ended, or would end, as given.
func (h *requestHandler[H]) mayRerun(kind query.RerunKind, ending query.Ending, attempts query.RequestAttempts, left time.Duration) bool {
	return query.MayRerun(h.admitted.Route, query.Rerun{
		Kind: kind, Ending: ending, Attempts: attempts, Left: left, ResponseStarted: h.responseStarted,
	})
}

// callerLeftRefusal returns the final refusal of a request whose caller closed its connection.
func (h *requestHandler[H]) callerLeftRefusal() relay.Refusal {
	return relay.Refusal{Reason: relay.ReasonCallerLeft, Detail: "the caller closed its connection"}
}

// unconfirmedRefusal returns the final refusal when the instance may not act on its state any more.
func (h *requestHandler[H]) unconfirmedRefusal() relay.Refusal {
	if h.attempts.Run == 0 {
		return query.UnconfirmedRefusal()
	}
	return query.FinalRefusal(query.EndedUnknown, h.attempts, h.timeLeft())
}

// noServerRefusal returns the final refusal when there is no server left to try.
func (h *requestHandler[H]) noServerRefusal(state relay.State) relay.Refusal {
	if h.isRefused() {
		return h.verdict.Refusal()
	}
	if h.attempts.Run == 0 {
		if refusal, ok := query.PlaceRefusal(state, h.service, h.regions()); ok {
			return refusal
		}
		view := h.dispatcher.coldView(state, h.dispatcher.config.Now())
		refusal, ok := query.ClosedRefusal(view, h.service, h.regions(), h.dispatcher.backpressure.restrictions.Get())
		if ok {
			return refusal
		}
	}
	if h.attempts.All == 0 {
		return relay.Refusal{Reason: relay.ReasonNoServer, NotRun: true, RetryAfter: time.Second, Detail: "no server of " + string(h.service)}
	}
	return query.FinalRefusal(query.EndedUnknown, h.attempts, h.timeLeft())
}

// fail records that the request ended without a complete answer, and returns the refusal as the
// request's error.
func (h *requestHandler[H]) fail(refusal relay.Refusal) error {
	h.updateThrottle(false)
	decision := h.decision
	decision.Kind, decision.Reason, decision.Detail = DecisionFailed, string(refusal.Reason), refusal.Detail
	if refusal.NotRun {
		decision.Kind = DecisionRefused
	}
	decision.Elapsed = h.elapsed()
	decision.Route, decision.Account, decision.Request = h.admitted.Route.Name, h.admitted.Account.Name, h.job.Request.ID
	h.dispatcher.config.Recorder.Record(decision)
	if h.responseStarted {
		return fmt.Errorf("%w: %w", ErrTruncated, refusal)
	}
	return refusal
}

func (h *requestHandler[H]) elapsed() time.Duration {
	return h.dispatcher.config.Now().Sub(h.job.Request.Arrived)
}

// prepareDecision stores the inputs of the server's selection, for the records about this attempt.
func (h *requestHandler[H]) prepareDecision(state relay.State, choice query.Choice, prefillTokens int, now time.Time) {
	load := h.dispatcher.loads.Get(choice.Server.ID)
	h.decision = Decision{
		Request: h.job.Request.ID, Route: h.admitted.Route.Name, Account: h.admitted.Account.Name,
		Server: choice.Server.ID, Release: choice.Server.Release, Model: h.model(), Candidates: choice.Candidates,
		Score: choice.Score, Revision: state.Revision, PrefillTokens: prefillTokens,
	}
	if !load.ReportedAt.IsZero() {
		h.decision.ReportAge = now.Sub(load.ReportedAt)
	}
	h.addVerdict(now)
}

// record passes a decision of the kind about the current attempt to the recorder.
func (h *requestHandler[H]) record(kind DecisionKind, reason string, status int, detail string) {
	decision := h.decision
	decision.Kind, decision.Reason, decision.Status, decision.Detail = kind, reason, status, detail
	decision.Elapsed = h.elapsed()
	h.dispatcher.config.Recorder.Record(decision)
}
