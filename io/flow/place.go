package flow

import (
	"errors"
	"sync"
	"time"

	"endivehitch/core/query"
	"endivehitch/core/value"
	"endivehitch/io/engine"
)

// place is one of the concurrent requests that a backend server is given by this instance.
type place struct {
	gate    *gate
	choice  query.Choice
	target  query.Target
	started time.Time
	once    sync.Once
}

// free gives the place back; calls after the first do nothing.
func (p *place) free() {
	p.once.Do(func() {
		f := p.gate.flow
		id := p.choice.Server.ID
		f.board.Update(id, func(l value.Load) value.Load { return l.WithEnd(p.target.Long, p.started) })
		f.past.pace(p.target).Update(query.Throughput.WithEnd)
		p.gate.served(id)
	})
}

// sawFirst feeds the observation of a first piece into what is known of the server.
func (p *place) sawFirst(r *run, after time.Duration) {
	f := p.gate.flow
	s, now := f.Snapshot(), f.Now()
	b := p.choice.Server
	limits, bounded := query.LimiterFor(s, b.Pool)
	normal := r.perUnit(after)
	f.board.Update(b.ID, func(l value.Load) value.Load {
		if bounded {
			l = l.WithLimiter(l.Limiter.WithSample(limits, normal, l.InFlight))
		}
		return l.WithFirstByte(query.FirstTokenSmoothing, p.started, now, normal)
	})
	p.judge(r)
}

const givenUpFactor = 2

// sawDelay feeds the time that a run waited in vain, where it is longer than what is expected.
func (p *place) sawDelay(r *run, after time.Duration) {
	f := p.gate.flow
	// Of a run that was given up it is known only that it would have taken longer.
	normal := givenUpFactor * r.perUnit(after)
	if normal <= f.board.Load(p.choice.Server.ID).FirstToken.Mean {
		return
	}
	now := f.Now()
	f.board.Update(p.choice.Server.ID, func(l value.Load) value.Load {
		return l.WithFirstByte(query.FirstTokenSmoothing, p.started, now, normal)
	})
	p.judge(r)
}

// sawFailure feeds a failed run into what is known of the server.
func (p *place) sawFailure(r *run, err error) {
	f := p.gate.flow
	b := p.choice.Server
	limits, bounded := query.LimiterFor(f.Snapshot(), b.Pool)
	var status engine.BadStatus
	overloaded := errors.As(err, &status) && status.Overloaded()
	f.board.Update(b.ID, func(l value.Load) value.Load {
		if bounded && overloaded {
			l = l.WithLimiter(l.Limiter.WithOverload(limits))
		}
		return l.WithFailure()
	})
	p.judge(r)
}

// judge ejects the server if it has become an outlier.
func (p *place) judge(r *run) {
	f := p.gate.flow
	s, now := f.Snapshot(), f.Now()
	b := p.choice.Server
	until := query.Eject(s, b, f.board.Load, r.rnd, now)
	if until.IsZero() {
		if query.HasRecovered(s, b, f.board.Load, r.rnd, now) {
			f.board.Update(b.ID, value.Load.WithRecovery)
		}
		return
	}
	f.board.Update(b.ID, func(l value.Load) value.Load { return l.WithEjection(until) })
	f.Record(r.decision(value.StepEject).WithChoice(p.target.Version, b.ID, p.choice.Candidates, value.ReasonOutlier))
	time.AfterFunc(until.Sub(now), f.Kick)
}
