package relay

import "time"

const (
	// firstProbePause is the time from a quarantine to its first probe, which shows whether the part is sound: while
	// all requests with it are rejected, nothing else can. A request with several suspect parts waits for
	// togetherProbeDelay longer, as another one may show more.
	firstProbePause    = 500 * time.Millisecond
	togetherProbeDelay = 500 * time.Millisecond
	// minProbePause is the time from the first probe to the next one. With each probe that crashes a server the pause gets
	// probePauseFactor times as long, and with each that is given up at a slow server undecidedPauseFactor times, up to
	// maxProbePause.
	minProbePause    = 10 * time.Second
	probePauseFactor = 4
	maxProbePause    = 5 * time.Minute
	// unsentPause is the time to the next probe after one that reached no server, as a service that has come back is waited
	// for, and undecidedPause after one whose server failed without crashing. With each that reached a server the pause gets
	// undecidedPauseFactor times as long, up to minProbePause.
	unsentPause          = 500 * time.Millisecond
	undecidedPause       = 2 * time.Second
	undecidedPauseFactor = 2
)

// ProbePlan says when a request with a quarantined part may be sent next, to see whether the quarantine is still needed.
type ProbePlan struct {
	// Failed counts the probes that crashed a server, and Undecided those since then that reached one and ended without an
	// outcome.
	Failed    int
	Undecided int
	// Next is when the next probe may be sent.
	Next time.Time
}

// pause returns the time from a probe to the next one.
func (p ProbePlan) pause() time.Duration {
	return growingPause(minProbePause, probePauseFactor, p.Failed-1, maxProbePause)
}

// growingPause returns the first pause, made longer by the factor as often as given, up to a longest one.
func growingPause(first time.Duration, factor, times int, longest time.Duration) time.Duration {
	for range max(0, times) {
		first = min(first*time.Duration(factor), longest)
	}
	return first
}

// withFailure returns the plan after a probe that crashed a server.
func (p ProbePlan) withFailure(now time.Time) ProbePlan {
	p.Failed++
	p.Undecided = 0
	p.Next = now.Add(p.pause())
	return p
}

// withoutOutcome returns the plan after a probe that showed nothing.
func (p ProbePlan) withoutOutcome(hasReached bool, now time.Time) ProbePlan {
	if !hasReached {
		p.Next = now.Add(unsentPause)
		return p
	}
	p.Next = now.Add(growingPause(undecidedPause, undecidedPauseFactor, p.Undecided, minProbePause))
	p.Undecided++
	return p
}

// WithQuarantine returns a record of a part whose requests are rejected.
func (r PartRecord) WithQuarantine(now time.Time) PartRecord {
	r.QuarantinedAt, r.UpdatedAt = now, now
	r.Alone.Next = now.Add(firstProbePause)
	r.Together.Next = r.Alone.Next.Add(togetherProbeDelay)
	return r
}

func (r PartRecord) withoutQuarantine() PartRecord {
	ended := r.EndedQuarantines
	if r.IsQuarantined() {
		ended++
	}
	return PartRecord{Crashes: r.Crashes, StartedAt: r.StartedAt, UpdatedAt: r.UpdatedAt, EndedQuarantines: ended}
}

// Plan returns the plan for probes by requests with several suspect parts, or with this one alone.
func (r PartRecord) Plan(isTogether bool) ProbePlan {
	if isTogether {
		return r.Together
	}
	return r.Alone
}

// WithProbe returns a record in which a request with the quarantined part is sent, which may have other suspect parts. The
// number is the count of probes at the instance that granted it, or zero if that is this one.
func (r PartRecord) WithProbe(isTogether bool, number int, now time.Time) PartRecord {
	wasGivenUp := !r.ProbedAt.IsZero() && r.IsProbedTogether == isTogether
	r.SentProbes = max(r.SentProbes+1, number)
	r.ProbedAt, r.IsProbedTogether, r.UpdatedAt = now, isTogether, now
	plan := r.Plan(isTogether)
	if wasGivenUp {
		plan.Undecided++
	}
	plan.Next = now.Add(growingPause(plan.pause(), undecidedPauseFactor, plan.Undecided, maxProbePause))
	return r.withPlan(plan)
}

// WithRejection returns a record that counts another rejected request.
func (r PartRecord) WithRejection() PartRecord {
	r.Rejected++
	return r
}

// WithFailedProbe returns a record in which the probe that was sent last has crashed a server.
func (r PartRecord) WithFailedProbe(now time.Time) PartRecord {
	if r.ProbedAt.IsZero() {
		return r
	}
	r.ProbedAt, r.UpdatedAt = time.Time{}, now
	return r.withPlan(r.Plan(r.IsProbedTogether).withFailure(now))
}

// WithFailedTogether returns a record in which a probe with several suspect parts, of which this is the rarest, crashed a
// server. Another one with it would show no more, so that the next comes later; those of the part alone come as before.
func (r PartRecord) WithFailedTogether(now time.Time) PartRecord {
	r.SentProbes++
	r.UpdatedAt = now
	r.Together = r.Together.withFailure(now)
	if r.IsProbedTogether {
		r.ProbedAt = time.Time{}
	}
	return r
}

// WithInconclusiveProbe returns a record in which the probe that was sent last has ended without an outcome; hasReached is
// set if it reached a server.
func (r PartRecord) WithInconclusiveProbe(hasReached bool, now time.Time) PartRecord {
	if r.ProbedAt.IsZero() {
		return r
	}
	r.ProbedAt, r.UpdatedAt = time.Time{}, now
	return r.withPlan(r.Plan(r.IsProbedTogether).withoutOutcome(hasReached, now))
}

// withPlan returns a record with the plan for probes of the kind that was sent last.
func (r PartRecord) withPlan(plan ProbePlan) PartRecord {
	if r.IsProbedTogether {
		r.Together = plan
	} else {
		r.Alone = plan
	}
	return r
}

// IsProbePending reports whether a probe was sent lately of which no outcome is known.
func (r PartRecord) IsProbePending(now time.Time) bool {
	return !r.ProbedAt.IsZero() && now.Before(r.Plan(r.IsProbedTogether).Next)
}

// FailedProbes counts the probes that crashed a server.
func (r PartRecord) FailedProbes() int {
	return r.Alone.Failed + r.Together.Failed
}
