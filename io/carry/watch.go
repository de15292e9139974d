package carry

import (
	"context"
	"sync"
	"time"

	"endivehitch/core/relay/query"
)

// watchdog gives up a run that has been silent for too long, where another server can go on and the
// budget allows it.
type watchdog struct {
	mu    sync.Mutex
	timer *time.Timer
	last  time.Time
	over  bool
	// begun is set once the caller has received a part of the answer.
	begun  bool
	check  func(begun bool, silent time.Duration) (time.Duration, bool)
	now    func() time.Time
	giveUp func()
	gaveUp bool
}

// watch starts a watchdog over the run.
func (r *run[H]) watch(ctx context.Context, cancel context.CancelCauseFunc) *watchdog {
	w := &watchdog{now: r.carrier.config.Now, last: r.began, begun: r.begun, giveUp: func() { cancel(errSlow) }}
	w.check = func(begun bool, silent time.Duration) (time.Duration, bool) { return r.silence(ctx, begun, silent) }
	first, _ := w.check(w.begun, 0)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(min(first, lookLeast), w.look)
	return w
}

// silence says whether the run is given up after the silence, or else when to look again.
func (r *run[H]) silence(ctx context.Context, begun bool, silent time.Duration) (time.Duration, bool) {
	left := r.left(ctx)
	if !query.Again(r.admitted.Route, query.EndedSlow, r.sends.With(query.EndedSlow), left) {
		return left + time.Second, false
	}
	now := r.carrier.config.Now()
	patience := query.Patience(r.admitted.Route, begun, r.visit.lone(), r.visit.silent(now), silent)
	if patience > 0 {
		return patience, false
	}
	if !r.carrier.paid(r.target, repeat) {
		return unpaidPause, false
	}
	return 0, true
}

// lookLeast is how often a run is looked at; what other runs see of its server may shorten its time.
const lookLeast = 1200 * time.Millisecond

// unpaidPause is when a run is looked at again that the budget doesn't allow to be given up.
const unpaidPause = 100 * time.Millisecond

// fed notes that the run has brought something.
func (w *watchdog) fed() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.last, w.begun = w.now(), true
}

// stop ends the watch and reports whether the run was given up, which the budget has paid for.
func (w *watchdog) stop() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.over = true
	w.timer.Stop()
	return w.gaveUp
}

func (w *watchdog) look() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.over {
		return
	}
	next, give := w.check(w.begun, w.now().Sub(w.last))
	if give {
		w.over, w.gaveUp = true, true
		w.giveUp()
		return
	}
	w.timer.Reset(min(max(next, time.Millisecond), lookLeast))
}
