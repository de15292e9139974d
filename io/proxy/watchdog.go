package proxy

import (
	"context"
	"errors"
	"sync"
	"time"

	"endivehitch/core/relay/query"
)

// watchdog cancels an attempt that has been silent for too long or will miss its deadline, provided that
// another server may and can take over and the retry budget allows it. It also cancels a stream that has stalled for longer than any
// caller waits.
type watchdog struct {
	mu           sync.Mutex
	timer        *time.Timer
	lastActivity time.Time
	stopped      bool
	// responseStarted is set once a part of the answer was written to the caller.
	responseStarted bool
	// check returns the cause for which to cancel the attempt, or else the time until the next check.
	check         func(responseStarted bool, silent time.Duration) (time.Duration, error)
	now           func() time.Time
	cancelAttempt context.CancelCauseFunc
	cancelled     bool
}

// startWatchdog starts a watchdog for the attempt.
func (a *attemptHandler[H]) startWatchdog(cancel context.CancelCauseFunc) *watchdog {
	w := &watchdog{
		now: a.dispatcher.config.Now, lastActivity: a.started, responseStarted: a.responseStarted,
		cancelAttempt: cancel,
	}
	w.check = func(responseStarted bool, silent time.Duration) (time.Duration, error) {
		next, cause := a.checkProgress(responseStarted, silent)
		return min(next, a.overdueDelay()), cause
	}
	first, _ := w.check(w.responseStarted, 0)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(min(first, maxCheckInterval), w.checkNow)
	return w
}

// Causes with which a watchdog cancels an attempt.
var (
	// errSilenceTimeout means that the server or the attempt has been silent for too long.
	errSilenceTimeout = errors.New("no answer in time")
	// errOverdue means that the stream would probably miss its deadline.
	errOverdue = errors.New("stream too slow for its deadline")
)

// checkProgress returns the cause for which to cancel the attempt, which has been silent for the given
// time, or else the time until the next check. With a cause, another attempt has been charged to the retry
// budget, unless none is allowed.
func (a *attemptHandler[H]) checkProgress(responseStarted bool, silent time.Duration) (time.Duration, error) {
	left := a.timeLeft()
	stall := query.StallTimeout(a.admitted.Route, silent)
	if stall <= 0 {
		return 0, errSilenceTimeout
	}
	given := query.Rerun{
		Kind: query.RerunMove, Ending: query.EndedSlow, Attempts: a.attempts.With(query.EndedSlow), Left: left, ResponseStarted: responseStarted,
	}
	if !query.MayRerun(a.admitted.Route, given) {
		// No retry will be allowed later either.
		return stall, nil
	}
	now := a.dispatcher.config.Now()
	remaining := query.SilenceTimeout(a.admitted.Route, responseStarted, a.load.isOnlyAttempt(), a.load.silence(now), silent)
	rescue := query.RescueDelay(a.admitted.Route, a.elapsed()+left, left, now.Sub(a.started))
	if next := min(remaining, rescue); next > 0 {
		return next, nil
	}
	if !a.canMove(now) || !a.dispatcher.spendBudget(a.service, useRetry) {
		return blockedPause, nil
	}
	if remaining <= 0 {
		return 0, errSilenceTimeout
	}
	return 0, errOverdue
}

// maxCheckInterval is the longest time between two checks. The remaining time may shrink between them, as
// it also depends on what other attempts observe of the server.
const maxCheckInterval = 1200 * time.Millisecond

// blockedPause is the time until the next check of an attempt that is due to be cancelled, while no other server could take
// over or the retry budget is exhausted.
const blockedPause = 100 * time.Millisecond

// recordActivity records that a complete event was received and written to the caller.
func (w *watchdog) recordActivity() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastActivity, w.responseStarted = w.now(), true
}

// stop stops the watchdog and reports whether it cancelled the attempt, in which case the next attempt
// has been charged to the retry budget.
func (w *watchdog) stop() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
	return w.cancelled
}

// checkNow runs when the timer fires.
func (w *watchdog) checkNow() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	next, cause := w.check(w.responseStarted, w.now().Sub(w.lastActivity))
	if cause != nil {
		w.stopped, w.cancelled = true, true
		w.cancelAttempt(cause)
		return
	}
	w.timer.Reset(min(max(next, time.Millisecond), maxCheckInterval))
}
