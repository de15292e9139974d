package flow

import (
	"errors"
	"sync"
	"time"

	"endivehitch/core/query"
	"endivehitch/core/value"
	"endivehitch/io/engine"
)

// serverSlot is the capacity at a backend server for one concurrent request of this instance.
type serverSlot struct {
	allocator *slotAllocator
	choice    query.Choice
	target    query.Target
	started   time.Time
	once      sync.Once
}

// release gives the slot back and grants free slots of the server to waiting requests; calls after
// the first do nothing.
func (s *serverSlot) release() {
	s.once.Do(func() {
		f := s.allocator.flow
		id := s.choice.Server.ID
		f.loads.Update(id, func(l value.Load) value.Load { return l.WithEnd(s.target.Long, s.started) })
		f.stats.throughput(s.target).Update(query.Throughput.WithEnd)
		s.allocator.grantSlotsOf(id)
	})
}

// observeFirstToken updates the server's load by the time to a first piece.
func (s *serverSlot) observeFirstToken(e *execution, elapsed time.Duration) {
	f := s.allocator.flow
	control, now := f.Snapshot(), f.Now()
	server := s.choice.Server
	limits, bounded := query.LimiterConfigFor(control, server.Pool)
	normalized := e.normalizeFirstToken(elapsed)
	f.loads.Update(server.ID, func(l value.Load) value.Load {
		if bounded {
			l = l.WithLimiter(l.Limiter.WithSample(limits, normalized, l.InFlight))
		}
		return l.WithFirstToken(query.FirstTokenSmoothing, s.started, now, normalized)
	})
	s.updateEjection(e)
}

// cancelledFactor is the assumed time to first token of a cancelled attempt, as a multiple of the time
// until it was cancelled. The real time is not known, but would have been longer than that.
const cancelledFactor = 2

// observeCancelled updates the server's load by an attempt that was cancelled before its first
// piece, if the assumed time to first token exceeds the server's mean.
func (s *serverSlot) observeCancelled(e *execution, elapsed time.Duration) {
	f := s.allocator.flow
	assumed := cancelledFactor * e.normalizeFirstToken(elapsed)
	if assumed <= f.loads.Load(s.choice.Server.ID).TimeToFirstToken.Mean {
		return
	}
	now := f.Now()
	f.loads.Update(s.choice.Server.ID, func(l value.Load) value.Load {
		return l.WithFirstToken(query.FirstTokenSmoothing, s.started, now, assumed)
	})
	s.updateEjection(e)
}

// observeFailure updates the server's load by a failed attempt.
func (s *serverSlot) observeFailure(e *execution, err error) {
	f := s.allocator.flow
	server := s.choice.Server
	limits, bounded := query.LimiterConfigFor(f.Snapshot(), server.Pool)
	var status engine.StatusError
	overloaded := errors.As(err, &status) && status.Overloaded()
	f.loads.Update(server.ID, func(l value.Load) value.Load {
		if bounded && overloaded {
			l = l.WithLimiter(l.Limiter.WithOverload(limits))
		}
		return l.WithFailure()
	})
	s.updateEjection(e)
}

// updateEjection ejects the server if it has become an outlier, and clears its ejections if it has
// recovered from them.
func (s *serverSlot) updateEjection(e *execution) {
	f := s.allocator.flow
	control, now := f.Snapshot(), f.Now()
	server := s.choice.Server
	until := query.Eject(control, server, f.loads.Load, e.rnd, now)
	if until.IsZero() {
		if query.HasRecovered(control, server, f.loads.Load, e.rnd, now) {
			f.loads.Update(server.ID, value.Load.WithRecovery)
		}
		return
	}
	f.loads.Update(server.ID, func(l value.Load) value.Load { return l.WithEjection(until) })
	f.Record(e.newDecision(value.StepEject).WithChoice(s.target.Version, server.ID, s.choice.Candidates, value.ReasonOutlier))
	time.AfterFunc(until.Sub(now), f.RetryWaiting)
}
