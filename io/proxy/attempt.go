package proxy

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"endivehitch/core/relay"
	"endivehitch/core/relay/query"
)

const (
	// bufferedBodyBytes is how much of a body is read before any of it is written to the caller. A body
	// up to this size that breaks off can still be retried. With maxEventBytes, it is what one answer may
	// occupy, so that a hundred endless ones at a time fit into a small instance's memory.
	bufferedBodyBytes = 128 << 10
	// maxEventBytes bounds one event of a stream.
	maxEventBytes   = 256 << 10
	readBufferBytes = 16 << 10
)

// attemptHandler makes one attempt to have a server answer a request.
type attemptHandler[H any] struct {
	*requestHandler[H]
	load    *loadTracker
	server  relay.Server
	started time.Time
	// choice is what led to the server.
	choice query.Choice
	// kind is fixed for the attempt, as its watchdog reads it while the answer may lead to a larger model.
	kind usualTimeKey
	// prefillTokens is how many prompt tokens the server is expected to process.
	prefillTokens int
	// hasColdRate is set if the server's service bounds the requests to cold servers.
	hasColdRate bool
	// headReceived is set once the server has sent the head of an answer, and answerStarted once it has begun to
	// answer.
	headReceived  bool
	answerStarted bool
	// events counts the events of a stream.
	events int
	// tallied is set once the attempt counts for its release.
	tallied atomic.Bool
}

// send sends the request and handles the answer. It reports whether the request is done, in which case
// the error is its result; otherwise the ending says how the attempt failed.
func (a *attemptHandler[H]) send(ctx context.Context) (query.Ending, bool, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := a.startWatchdog(cancel)
	// A watchdog that cancelled the attempt has charged the next one to the retry budget.
	defer func() { a.isRetryCharged = watch.stop() }()
	answer, err := a.dispatcher.config.Backend.Send(ctx, a.buildAttempt())
	if err != nil {
		return a.handleError(ctx, err), false, nil
	}
	a.headReceived = true
	defer func() { _ = answer.Body.Close() }()
	a.learnReadingTime(answer)
	a.learnConfidenceGain(answer)
	a.decision.EndsWithConnection = answer.EndsWithConnection
	a.recordBackpressure(answer.Backpressure)
	a.recordReached(answer)
	if answer.Reported {
		a.load.recordReport(answer.Report, a.dispatcher.config.Now())
		a.decision.Report = answer.Report
	}
	ending, ok := a.checkAnswer(answer)
	if !ok {
		return a.handleRejected(ctx, answer, ending, watch)
	}
	a.learnGoodShares(answer)
	if a.tryStepUp(answer) {
		return query.EndedDiscarded, false, nil
	}
	if isStreamAnswer(answer) {
		return a.relayStream(ctx, answer, watch)
	}
	return a.relayBody(ctx, answer, watch)
}

func (a *attemptHandler[H]) buildAttempt() Attempt[H] {
	return Attempt[H]{
		Server: a.server, Request: a.job.Request, Account: a.admitted.Account, Head: a.job.Head, Body: a.job.Body,
		TimeLeft: a.timeLeft(), Model: a.model(), Rank: query.Priority(a.admitted.Rank, a.step), LastEventID: a.lastEventID,
		NewConnection: a.attempts.Run > 0, WarmOnly: a.hasColdRate && !a.criteria.Cold.IsCold(a.server),
	}
}

// handleError returns how an attempt ended that failed with the error, and counts the failure against
// the server unless the caller or the end of this instance cancelled the request.
func (a *attemptHandler[H]) handleError(ctx context.Context, err error) query.Ending {
	now := a.dispatcher.config.Now()
	ending := query.EndedUnknown
	switch {
	case errors.Is(err, ErrUnsent):
		ending = query.EndedUnsent
	case errors.Is(context.Cause(ctx), errSilenceTimeout):
		ending = query.EndedSlow
	case errors.Is(context.Cause(ctx), errOverdue):
		ending = query.EndedSlow
		a.step = 0
	}
	cause := context.Cause(ctx)
	if ending == query.EndedSlow {
		a.recordOverdue()
	}
	if !errors.Is(cause, context.Canceled) && !errors.Is(cause, ErrInstanceEnds) {
		if !errors.Is(err, ErrMayBeCold) {
			// A server that may be cold was not asked.
			a.load.recordFailure(now)
		}
		a.recordLoss(ctx, ending, err, now)
		if a.isLost(ctx, ending) {
			ending = a.handleLoss(ctx, now)
		}
		a.record(DecisionAttemptFailed, endingName(ending), 0, err.Error())
	}
	return ending
}

// checkAnswer reports whether the answer may be relayed to the caller, and otherwise how the attempt
// ended.
func (a *attemptHandler[H]) checkAnswer(answer *Answer[H]) (query.Ending, bool) {
	switch {
	case answer.NotRun:
		return query.EndedNotRun, false
	case answer.UnexpectedEncoding, !answer.Signed:
		return query.EndedUnknown, false
	case answer.Status >= 500:
		return query.EndedFailed, false
	case a.responseStarted && !isStreamAnswer(answer):
		// The answer can't continue the stream of which the caller has received a part.
		return query.EndedUnknown, false
	}
	return 0, true
}

func isStreamAnswer[H any](answer *Answer[H]) bool {
	return answer.Stream && answer.Status < 300
}

// handleRejected handles an answer that checkAnswer rejected. A server's own error is relayed to the
// caller when no retry is allowed; in every other case the returned ending decides on a retry.
func (a *attemptHandler[H]) handleRejected(ctx context.Context, answer *Answer[H], ending query.Ending, watch *watchdog) (query.Ending, bool, error) {
	now := a.dispatcher.config.Now()
	a.record(DecisionAttemptFailed, endingName(ending), answer.Status, "")
	switch ending {
	case query.EndedNotRun:
	case query.EndedFailed:
		a.load.recordErrorAnswer(now)
		a.recordErrorRun(answer.Status)
	default:
		a.load.recordFailure(now)
	}
	canRelay := ending == query.EndedFailed && !a.responseStarted
	if canRelay && !a.mayRerun(query.RerunRetry, ending, a.attempts.With(ending), a.timeLeft()) {
		return a.relayBody(ctx, answer, watch)
	}
	return ending, false, nil
}

// failCallerLeft ends a request whose answer could not be written to the caller.
func (a *attemptHandler[H]) failCallerLeft(err error) error {
	return a.fail(relay.Refusal{Reason: relay.ReasonCallerLeft, Detail: err.Error()})
}

func (a *attemptHandler[H]) recordAnswered(status int) {
	a.decision.FirstByteTime = a.load.firstByteTime
	a.record(DecisionAnswered, "", status, "")
}

// endingName returns the reason that is recorded for the ending.
func endingName(ending query.Ending) string {
	switch ending {
	case query.EndedUnsent:
		return "Unsent"
	case query.EndedNotRun:
		return "NotRun"
	case query.EndedFailed:
		return "ServerFailed"
	case query.EndedSlow:
		return "Slow"
	case query.EndedDiscarded:
		return "Dropped"
	}
	return "OutcomeUnknown"
}
