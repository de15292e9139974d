package proxy

import (
	"time"

	"endivehitch/io/event"
)

// recordStart records, once an attempt, that the server has begun to answer the request.
func (a *attemptHandler[H]) recordStart() {
	if a.answerStarted {
		return
	}
	a.answerStarted = true
	for _, part := range a.dispatcher.crashes.recordStart(a.service, a.job.Request.SharedParts(), a.dispatcher.config.Now()) {
		a.dispatcher.recordQuarantine(part, "Own")
	}
}

// recordSuccess counts a complete answer for the server and its release.
func (a *attemptHandler[H]) recordSuccess() {
	now := a.dispatcher.config.Now()
	a.load.recordSuccess(now)
	a.recordTally(runResult{Time: now.Sub(a.started)})
}

// statusExpired is the status with which a server ends a request whose time is up.
const statusExpired = 504

// recordErrorRun counts an attempt that the server answered with an error. One that ended with its request's time is slow
// rather than failed, and says nothing of the release if that time was shorter than that of a slow attempt.
func (a *attemptHandler[H]) recordErrorRun(status int) {
	if a.attempts.Failed > 0 {
		// Another server has answered the request with an error too, so the request is probably at fault.
		return
	}
	if status != statusExpired {
		a.recordTally(runResult{Failed: true})
		return
	}
	if a.dispatcher.config.Now().Sub(a.started) >= a.dispatcher.tallies.slowLimit(a.kind) {
		a.recordTally(runResult{Overdue: true})
	}
}

// recordTally counts the attempt for its release, unless it was counted before.
func (a *attemptHandler[H]) recordTally(result runResult) {
	if a.tallied.CompareAndSwap(false, true) {
		result.UnderLoad = a.load.isServerLoaded()
		a.dispatcher.tallies.add(a.server, a.kind, result, a.dispatcher.config.Now())
	}
}

// recordEvents counts the complete events of a stream, and the attempt once the measured part is there.
func (a *attemptHandler[H]) recordEvents(events []byte) {
	if a.events += event.Count(events); a.events >= measuredEvents {
		a.recordTally(runResult{Time: a.dispatcher.config.Now().Sub(a.started)})
	}
}

// recordOverdue counts the attempt as slow, if the server has sent something meanwhile: the silence of a server that is
// lost says nothing about its release.
func (a *attemptHandler[H]) recordOverdue() {
	if a.load.isAlive() {
		a.recordTally(runResult{Overdue: true})
	}
}

// overduePause is the time until the next check of an attempt that is overdue at a server that may be lost.
const overduePause = 200 * time.Millisecond

// overdueDelay counts the attempt as slow if it is, and returns the time until the next check.
func (a *attemptHandler[H]) overdueDelay() time.Duration {
	left := a.dispatcher.tallies.slowLimit(a.kind) - a.dispatcher.config.Now().Sub(a.started)
	if left > 0 {
		return left
	}
	a.recordOverdue()
	if a.tallied.Load() {
		return maxCheckInterval
	}
	return overduePause
}
