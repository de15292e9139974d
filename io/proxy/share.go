package proxy

import (
	"cmp"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"endivehitch/core/policy"
	"endivehitch/core/relay"
	"endivehitch/core/relay/query"
	"endivehitch/core/relay/share"
)

const (
	// totalsLifetime is how long sums over the instances are used before they are computed again.
	totalsLifetime = 100 * time.Millisecond
	// runLifetime is how long the observed time of streams is used without a new one. Otherwise a time of slow servers
	// could keep all requests out that would show that they are fast again.
	runLifetime = 5 * time.Second
)

// runConfig estimates a low quantile, so that only streams that can't end in time count as such.
var runConfig = policy.QuantileConfig{Level: 0.2, Step: 0.1, MinSamples: 5}

// admission holds what the admission of requests to engines rests on.
type admission struct {
	uses   policy.Cells[relay.AccountName, share.Use]
	ledger policy.Cell[share.Ledger]
	fleet  policy.Cell[fleetUse]
	// pressures is by service, and runs holds the time of streams from their first event to their end.
	pressures policy.Cells[relay.ServiceName, share.Pressure]
	runs      policy.Cells[usualTimeKey, streamRun]
}

// fleetUse is what is known of the fleet's use as of totals.At.
type fleetUse struct {
	// sum is that of this instance and those that report to it.
	sum    relay.UseReport
	totals share.Totals
}

// streamRun is how long streams of one kind take from the first event to the end.
type streamRun struct {
	quantile policy.Quantile
	at       time.Time
}

func (r streamRun) value(now time.Time) time.Duration {
	if now.Sub(r.at) > runLifetime {
		return 0
	}
	return r.quantile.Value(runConfig)
}

// needsAdmission reports whether requests to the service are admitted by the state of its servers.
func (d *Dispatcher[H]) needsAdmission(name relay.ServiceName) bool {
	service, ok := d.config.Snapshot().Service(name)
	return ok && service.StatesCost()
}

// admissionRequest is a request as its admission regards it.
type admissionRequest struct {
	share.Request
	// inQueue is the expected time in the queue of the chosen server, read the number of prompt tokens that it has to process,
	// and cost the weighted tokens.
	inQueue time.Duration
	read    int
	cost    float64
}

// addTo returns the pressure of the service with the request.
func (r admissionRequest) addTo(p share.Pressure, now time.Time) share.Pressure {
	return p.With(r.inQueue, r.Objective, now)
}

// newAdmissionRequest returns the request, for which the server was chosen, and counts nothing.
func (h *requestHandler[H]) newAdmissionRequest(choice query.Choice, now time.Time) admissionRequest {
	route, request, wait, read := h.admitted.Route, h.job.Request, choice.Estimate.FirstEvent(), h.countPrefillTokens(choice)
	r := admissionRequest{
		Request: share.Request{
			Account: h.admitted.Account.Name, Rank: h.admitted.Rank, Objective: route.Objective, Left: h.timeLeft(), Wait: wait, Hash: h.admissionHash(),
		},
		inQueue: wait - time.Duration(read)*h.dispatcher.prefillRates.timePerToken(h.model()), read: read,
		cost: share.Cost(read, cmp.Or(request.Expected, request.Output/2)),
	}
	if route.Stream {
		r.Run = h.dispatcher.admission.runs.Get(usualTimeKey{route: route.Name, model: h.model()}).value(now)
	}
	return r
}

// peekVerdict returns the decision that isAdmitted would make, without counting the request.
func (h *requestHandler[H]) peekVerdict(choice query.Choice, now time.Time) share.Verdict {
	asked := h.newAdmissionRequest(choice, now)
	known, _ := h.dispatcher.currentUse(now)
	return share.Decide(asked.Request, asked.addTo(h.dispatcher.admission.pressures.Get(h.service), now), known.totals, now)
}

// isAdmitted decides before the request's first attempt, for which the server was chosen, whether the request is admitted.
func (h *requestHandler[H]) isAdmitted(state relay.State, choice query.Choice, now time.Time) bool {
	if !h.awaitsAdmission {
		return true
	}
	h.awaitsAdmission = false
	a, asked := h.dispatcher.admission, h.newAdmissionRequest(choice, now)
	pressure := a.pressures.Cell(h.service).Update(func(p share.Pressure) share.Pressure { return asked.addTo(p, now) })
	verdict := share.Decide(asked.Request, pressure, h.dispatcher.fleetUse(now).totals, now)
	h.verdict = &verdict
	a.uses.Cell(asked.Account).Update(func(u share.Use) share.Use { return u.With(asked.cost, verdict.Admitted, now) })
	if verdict.Admitted {
		h.dispatcher.countFirstAttempt(h.service)
		return true
	}
	h.prepareDecision(state, choice, asked.read, now)
	// The server was only compared, and not asked.
	h.decision.Server, h.decision.Release = "", ""
	return false
}

// hashedBodyBytes is how much of the end of a body distinguishes requests. What is specific to a request is at the end.
const hashedBodyBytes = 512

// admissionHash returns a hash that is the same when the caller sends the request again, under another identifier and to
// another instance.
func (h *requestHandler[H]) admissionHash() uint64 {
	request, body := h.job.Request, h.job.Body
	if len(request.Prompt) == 0 && len(body) == 0 {
		return h.requestHash()
	}
	digest := xxhash.New()
	// A digest takes all that is written.
	_, _ = fmt.Fprintln(digest, h.admitted.Account.Name, request.Path, request.Session, request.Input, request.Output, request.Expected)
	for _, part := range request.Prompt {
		_, _ = digest.WriteString(part.ID)
	}
	_, _ = digest.Write(body[max(0, len(body)-hashedBodyBytes):])
	return digest.Sum64()
}

// isRefused reports whether the request was not admitted, so that it says nothing of servers or models.
func (h *requestHandler[H]) isRefused() bool {
	return h.verdict != nil && !h.verdict.Admitted
}

// addVerdict adds the inputs of the admission to the decision.
func (h *requestHandler[H]) addVerdict(now time.Time) {
	if h.verdict == nil {
		return
	}
	totals := h.dispatcher.admission.fleet.Get().totals
	h.decision.Pressure, h.decision.Share = h.verdict.Pressure, h.verdict.Share
	h.decision.UseAge, h.decision.Instances = totals.Age+now.Sub(totals.At), totals.Instances
}

// recordRun records the time of a stream that one attempt has answered whole.
func (a *attemptHandler[H]) recordRun(now time.Time) {
	if a.verdict == nil || a.attempts.All > 0 {
		return
	}
	elapsed := now.Sub(a.started) - a.load.firstByteTime
	a.dispatcher.admission.runs.Cell(a.kind).Update(func(r streamRun) streamRun {
		return streamRun{quantile: r.quantile.With(runConfig, elapsed), at: now}
	})
}

// fleetUse returns what is known of the fleet's use, not older than totalsLifetime.
func (d *Dispatcher[H]) fleetUse(now time.Time) fleetUse {
	known, isNew := d.currentUse(now)
	if isNew {
		d.admission.fleet.Update(func(fleetUse) fleetUse { return known })
	}
	return known
}

// currentUse is like fleetUse, but doesn't keep what it has computed, and reports whether it is new.
func (d *Dispatcher[H]) currentUse(now time.Time) (use fleetUse, isNew bool) {
	known := d.admission.fleet.Get()
	if now.Sub(known.totals.At) < totalsLifetime {
		return known, false
	}
	self, own, ledger := d.config.Snapshot().Self.Name, d.ownUses(now), d.admission.ledger.Get()
	sum, _ := ledger.Sum(self, own, now)
	return fleetUse{sum: sum, totals: ledger.Totals(self, own, now)}, true
}

func (d *Dispatcher[H]) ownUses(now time.Time) []relay.AccountUse {
	var own []relay.AccountUse
	for account, use := range d.admission.uses.All() {
		own = append(own, use.Report(account, now))
	}
	return own
}

// OwnUse returns what client accounts use at this instance; it is zero if no requests are counted.
func (d *Dispatcher[H]) OwnUse() relay.UseReport {
	own := d.ownUses(d.config.Now())
	if len(own) == 0 {
		return relay.UseReport{}
	}
	return share.Bounded(relay.UseReport{From: d.config.Snapshot().Self.Name, Instances: 1, Accounts: own})
}

// FleetUse returns what client accounts use at this instance and those that report to it; it is zero if no requests are
// counted.
func (d *Dispatcher[H]) FleetUse() relay.UseReport {
	if sum := d.fleetUse(d.config.Now()).sum; len(sum.Accounts) > 0 {
		return sum
	}
	return relay.UseReport{}
}

// MergeUse takes in what another instance has reported of client accounts.
func (d *Dispatcher[H]) MergeUse(report relay.UseReport) {
	now := d.config.Now()
	if report.Instances > 0 && report.From != d.config.Snapshot().Self.Name {
		d.admission.ledger.Update(func(l share.Ledger) share.Ledger { return l.With(report, now) })
	}
}

// retain discards what is no longer of use.
func (a *admission) retain(s relay.State, now time.Time) {
	a.ledger.Update(func(l share.Ledger) share.Ledger { return l.WithoutExpired(now) })
	for account, use := range a.uses.All() {
		if use.IsIdle(now) {
			a.uses.Delete(account)
		}
	}
	for name := range a.pressures.All() {
		if _, ok := s.Service(name); !ok {
			a.pressures.Delete(name)
		}
	}
	for kind, run := range a.runs.All() {
		if run.value(now) == 0 && now.Sub(run.at) > runLifetime {
			a.runs.Delete(kind)
		}
	}
}
