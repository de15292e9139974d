package proxy

import (
	"context"
	"time"

	"endivehitch/core/relay"
	"endivehitch/core/relay/query"
)

// loss is the loss of a server's connection during an attempt.
type loss struct {
	server relay.Server
	crash  relay.Crash
	// parts are those of the request's prompt, unless its answer had begun.
	parts []relay.Part
	// probe is set if the request was one, and sentAt is when it was sent.
	probe  *query.Probe
	sentAt time.Time
	// hasCrashedServer is set if the request has crashed another server before.
	hasCrashedServer bool
}

// isLost reports whether the connection was lost, and not closed by this instance, as it is when the server crashes.
func (a *attemptHandler[H]) isLost(ctx context.Context, ending query.Ending) bool {
	return ending == query.EndedUnknown && ctx.Err() == nil
}

// handleLoss finds whether the server has crashed, and returns how the attempt ended. An answer that has begun shows that
// the request's parts are sound.
func (a *attemptHandler[H]) handleLoss(ctx context.Context, now time.Time) query.Ending {
	l := loss{
		server: a.server, crash: relay.Crash{At: now, HeadReceived: a.headReceived}, probe: a.probe, sentAt: a.started,
		hasCrashedServer: a.crashedServer.Load(),
	}
	if a.responseStarted {
		go a.dispatcher.recordIfCrashed(ctx, l)
		return query.EndedUnknown
	}
	a.decision.SharedParts = a.job.Request.SharedParts()
	l.parts = a.decision.SharedParts
	if !a.headReceived && a.probe == nil {
		go a.recordCrash(ctx, l)
		return query.EndedUnknown
	}
	if a.recordCrash(ctx, l) && a.headReceived {
		return query.EndedLost
	}
	return query.EndedUnknown
}

// recordCrash records the loss if it was a crash, also for the request's later attempts, and reports whether it was.
func (h *requestHandler[H]) recordCrash(ctx context.Context, l loss) bool {
	isCrash := h.dispatcher.recordIfCrashed(ctx, l)
	if isCrash {
		h.crashedServer.Store(true)
	}
	return isCrash
}

// recordIfCrashed records the crash of the server that was lost, if it can't be reached any more, and reports whether that
// is so. A server that breaks off single answers has not crashed.
func (d *Dispatcher[H]) recordIfCrashed(ctx context.Context, l loss) bool {
	l.crash.Server = hashOf(l.server.ID)
	if len(l.parts) == 0 && len(d.crashes.discards.suspects(l.crash.Server, l.crash.At)) == 0 {
		return false
	}
	result, _, _ := d.upChecks.Do(string(l.server.ID), func() (any, error) {
		return d.config.Backend.IsUp(context.WithoutCancel(ctx), l.server), nil
	})
	if isUp, _ := result.(bool); isUp {
		return false
	}
	lastLoss := d.crashes.lastLoss(l.crash.Server, l.sentAt)
	l.crash = l.crash.WithHistory(lastLoss, l.sentAt, l.hasCrashedServer)
	d.crashes.recordCrash(l.parts, l.crash, d.config.Now())
	if l.probe != nil && len(l.parts) > 0 && !l.crash.MayHaveBeenDown(lastLoss, l.sentAt) {
		d.failProbe(*l.probe, l.parts)
	}
	return true
}
