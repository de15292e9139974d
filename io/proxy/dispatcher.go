package proxy

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"golang.org/x/sync/singleflight"

	"endivehitch/core/policy"
	"endivehitch/core/relay"
	"endivehitch/core/relay/cold"
	"endivehitch/core/relay/engine"
	"endivehitch/core/relay/query"
)

// Recorder receives the decisions about requests.
type Recorder interface {
	// Record stores the decision; it must not block.
	Record(d Decision)
}

// DecisionKind is the kind of a decision about a request.
type DecisionKind string

// The kinds of decisions about a request.
const (
	// DecisionAnswered means that the complete answer was written to the caller.
	DecisionAnswered DecisionKind = "Answered"
	// DecisionSteppedUp means that an answer of low confidence was discarded and a larger model is asked.
	DecisionSteppedUp DecisionKind = "SteppedUp"
	// DecisionAttemptFailed means that an attempt yielded no valid answer, or the server answered with an
	// error.
	DecisionAttemptFailed DecisionKind = "RunFailed"
	// DecisionRefused means that the request was refused and no server has run it.
	DecisionRefused DecisionKind = "Refused"
	// DecisionPartQuarantined means that requests with a part of a prompt on which servers crash are refused from
	// now on.
	DecisionPartQuarantined DecisionKind = "PartQuarantined"
	// DecisionPartReleased means that they are not any more.
	DecisionPartReleased DecisionKind = "PartReleased"
	// DecisionServerLimited means that a server has stated, changed or lifted the limit of the requests that it takes.
	DecisionServerLimited DecisionKind = "ServerLimited"
	// DecisionServerPaused means that a server has asked this instance to send it nothing for some time.
	DecisionServerPaused DecisionKind = "ServerPaused"
	// DecisionServerLeaving means that a server has said in an answer that it shuts down.
	DecisionServerLeaving DecisionKind = "ServerLeaving"
	// DecisionServerForgotten means that what a server has asked for is not known any longer, although the server has not
	// taken it back.
	DecisionServerForgotten DecisionKind = "ServerForgotten"
	// DecisionServerCold means that a server counts as cold from now on.
	DecisionServerCold DecisionKind = "ServerCold"
	// DecisionFailed means that the request may have run and ended without a complete answer.
	DecisionFailed DecisionKind = "Failed"
)

// Decision is one decision about a request, with the inputs that led to it.
type Decision struct {
	Request string
	Kind    DecisionKind
	Route   relay.RouteName
	Account relay.AccountName
	Server  relay.ServerID
	Release relay.Release
	Model   relay.ModelName
	// Candidates is how many servers were eligible for the request.
	Candidates int
	// Score is the chosen server's score; lower is better.
	Score float64
	// Reason is the cause in one Pascal-case word.
	Reason string
	// Status is the status of the server's answer; zero means that there is none.
	Status int
	// Confidence is the model's confidence in its answer; negative means not stated, and it is zero until
	// there is an answer.
	Confidence int
	// Revision is the store revision of the control state that the decision is based on.
	Revision int64
	// ReportAge is the age of the server's last load report; zero means that there is none.
	ReportAge time.Duration
	// Report is the load that the server reported with its answer; it is zero if there is none.
	Report relay.Report
	// Throttle is the factor from 0 to 1 on the confidence threshold for stepping up; 0 means that no
	// larger model was asked.
	Throttle float64
	// EndsWithConnection is set if nothing but the end of its connection marks the end of the server's answer, so that a server
	// that broke off in good order can't be told from one that was done.
	EndsWithConnection bool
	// FirstByteTime is the time from the send to the answer's first byte; zero means unknown.
	FirstByteTime time.Duration
	// Pressure is the service's mean expected wait as a multiple of the objective, and Share the share of such requests that
	// is admitted, from 0 to 1. They and the next two are zero if no decision on the admission is needed.
	Pressure float64
	Share    float64
	// UseAge is the age of the oldest report of what client accounts use, and Instances how many instances it covers.
	UseAge    time.Duration
	Instances int
	// PrefillTokens is how many prompt tokens the server was expected to process, as it had not cached them.
	PrefillTokens int
	// SharedParts lists the parts of the prompt that other requests may share, if the server's connection was
	// lost before the answer began, or the part that the decision is about.
	SharedParts []relay.Part
	// Elapsed is the time since the request arrived.
	Elapsed time.Duration
	// Detail is a message for operators.
	Detail string
}

// Config holds the dependencies and settings of a Dispatcher.
type Config[H any] struct {
	Backend  Backend[H]
	Snapshot func() relay.State
	// Watch returns the latest state and a channel that is closed once there is a newer one.
	Watch    func() (relay.State, <-chan struct{})
	Now      func() time.Time
	Recorder Recorder
	// RetryLimits returns the limits on retries and step-ups that are in force.
	RetryLimits func() RetryLimits
	// SessionLifetime is the idle time after which a session expires.
	SessionLifetime time.Duration
	// SessionPeers reaches the instances that keep the record of sessions.
	SessionPeers SessionPeers
	// PartKeepers reaches the instances that grant probes of quarantined parts.
	PartKeepers PartKeepers
	// LimitKeepers reaches the instances that grant requests to servers that have a limit or are cold.
	LimitKeepers LimitKeepers
	// ColdLimits returns the limits on the requests to a cold server; if it is nil, cold.DefaultLimits apply.
	ColdLimits func() cold.Limits
	// Reopened returns when a failure domain was last reopened; it may be nil.
	Reopened cold.ReopenedAt
	// OnClaim receives the outcome of each claim for a request to a server that has a limit or is cold; it may be nil.
	OnClaim func(kind ClaimKind, granted bool)
}

// Dispatcher relays requests to backend servers and the answers to their callers.
type Dispatcher[H any] struct {
	config Config[H]
	loads  *loadTable
	// retryBudgets limit the attempts of each service beyond the first ones.
	retryBudgets policy.Cells[relay.ServiceName, policy.Quota]
	sessions     *sessions
	// keptSessions are those that this instance keeps for the fleet.
	keptSessions *sessions
	tallies      *tallies
	prefillRates *prefillRates
	// hits say how often the servers of a service held the shared parts of prompts.
	hits policy.Cells[relay.ServiceName, engine.Hits]
	// unequal holds the services whose servers differ in speed.
	unequal         policy.Cells[relay.ServiceName, bool]
	confidenceGains policy.Cell[map[modelPair]relay.ConfidenceGain]
	// goodShares say how often a model answers well, on routes whose requests may run once.
	goodShares policy.Cells[routeModel, relay.GoodShare]
	// throttles lower the step-up threshold of a service while larger models answer late.
	throttles policy.Cells[relay.ServiceName, relay.Throttle]
	// crashes finds the parts of prompts that crash servers.
	crashes *crashes
	// admission holds what the admission of requests to engines rests on.
	admission *admission
	// backpressure holds what servers ask of those that send requests to them.
	backpressure *backpressure
	// coldness holds which servers are cold, besides what their entries say.
	coldness *coldness
	// upChecks makes requests that were lost together share one check of their server, and goneChecks answers that ended
	// together.
	upChecks   singleflight.Group
	goneChecks singleflight.Group
}

// New returns a dispatcher, or an error that names what the configuration lacks.
func New[H any](c Config[H]) (*Dispatcher[H], error) {
	switch {
	case c.Backend == nil:
		return nil, errors.New("dispatcher: Config.Backend is not set")
	case c.Snapshot == nil:
		return nil, errors.New("dispatcher: Config.Snapshot is not set")
	case c.Watch == nil:
		return nil, errors.New("dispatcher: Config.Watch is not set")
	case c.Now == nil:
		return nil, errors.New("dispatcher: Config.Now is not set")
	case c.Recorder == nil:
		return nil, errors.New("dispatcher: Config.Recorder is not set")
	case c.RetryLimits == nil:
		return nil, errors.New("dispatcher: Config.RetryLimits is not set")
	case c.SessionPeers == nil:
		return nil, errors.New("dispatcher: Config.SessionPeers is not set")
	case c.PartKeepers == nil:
		return nil, errors.New("dispatcher: Config.PartKeepers is not set")
	case c.LimitKeepers == nil:
		return nil, errors.New("dispatcher: Config.LimitKeepers is not set")
	}
	if c.ColdLimits == nil {
		c.ColdLimits = cold.DefaultLimits
	}
	return &Dispatcher[H]{
		config: c, coldness: &coldness{updates: make(chan struct{}, 1)}, loads: new(loadTable), admission: new(admission), backpressure: new(backpressure), tallies: new(tallies),
		prefillRates: new(prefillRates),
		sessions:     newSessions(c.SessionLifetime), keptSessions: newSessions(c.SessionLifetime), crashes: newCrashes(),
	}, nil
}

// Admit returns a relay.Refusal, and records it, if the request is refused whatever its body is.
func (d *Dispatcher[H]) Admit(ctx context.Context, request relay.Request) error {
	s := d.awaitConfirmed(ctx)
	admitted, err := d.admit(s, request)
	if err != nil {
		d.recordRefused(request, admitted, s, err)
	}
	return err
}

// Serve relays the request and its answer. The error is a relay.Refusal if nothing was written to the
// writer, and wraps ErrTruncated otherwise.
func (d *Dispatcher[H]) Serve(ctx context.Context, job Job[H], writer ResponseWriter[H]) error {
	s := d.awaitState(ctx, job.Request)
	admitted, err := d.admit(s, job.Request)
	if err != nil {
		d.recordRefused(job.Request, admitted, s, err)
		return err
	}
	handler := &requestHandler[H]{dispatcher: d, job: job, admitted: admitted, writer: writer, deadline: job.Request.Deadline(admitted.Route)}
	if !handler.deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, handler.timeLeft())
		defer cancel()
	}
	return handler.serve(ctx)
}

// admit returns the request's route, client account and priority; the error is a relay.Refusal.
func (d *Dispatcher[H]) admit(s relay.State, request relay.Request) (query.Admitted, error) {
	if query.IsUnconfirmed(s, d.config.Now()) {
		return query.Admitted{}, query.UnconfirmedRefusal()
	}
	return query.Admit(s, request)
}

// awaitState returns the state once the instance has one that it may act on, or the latest one after the time for which the
// request may be held.
func (d *Dispatcher[H]) awaitState(ctx context.Context, request relay.Request) relay.State {
	if hold := query.HoldTime(d.config.Snapshot(), request, d.config.Now()); hold > 0 {
		d.awaitFirst(ctx, request, hold)
	}
	return d.awaitConfirmed(ctx)
}

// awaitFirst returns once the instance has a state or another one is known to serve, at the latest after the given time.
func (d *Dispatcher[H]) awaitFirst(ctx context.Context, request relay.Request, hold time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, hold)
	defer cancel()
	for s, changed := d.config.Watch(); query.HoldTime(s, request, d.config.Now()) > 0; s, changed = d.config.Watch() {
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// confirmationTime is how long a request waits until an instance that was paused has an answer of the store or another
// instance.
const confirmationTime = 500 * time.Millisecond

// confirmedSnapshot returns the state at once if it is confirmed, and else as awaitConfirmed does.
func (d *Dispatcher[H]) confirmedSnapshot(ctx context.Context) relay.State {
	if s := d.config.Snapshot(); !query.IsUnconfirmed(s, d.config.Now()) {
		return s
	}
	return d.awaitConfirmed(ctx)
}

// awaitConfirmed returns the state once it is confirmed, or the latest one after confirmationTime.
func (d *Dispatcher[H]) awaitConfirmed(ctx context.Context) relay.State {
	s, changed := d.config.Watch()
	if !query.IsUnconfirmed(s, d.config.Now()) {
		return s
	}
	ctx, cancel := context.WithTimeout(ctx, confirmationTime)
	defer cancel()
	for query.IsUnconfirmed(s, d.config.Now()) {
		select {
		case <-changed:
			s, changed = d.config.Watch()
		case <-ctx.Done():
			return s
		}
	}
	return s
}

// Retain removes the load data of servers that are not in the state, and the expired sessions.
func (d *Dispatcher[H]) Retain(s relay.State) {
	d.loads.retain(func(id relay.ServerID) bool {
		_, ok := s.Server(id)
		return ok
	})
	d.compareSpeeds(s)
	for id, restriction := range d.backpressure.retain(s, d.config.Now()) {
		d.recordForgotten(id, restriction, s.Revision)
	}
	d.coldness.retain(d.coldView(s, d.config.Now()))
	d.admission.retain(s, d.config.Now())
	d.sessions.removeExpired(d.config.Now())
	d.keptSessions.removeExpired(d.config.Now())
	d.crashes.expire(d.config.Now())
}

// FreshReports returns the servers' load reports that are recent enough to be of use to other instances, and what servers
// have asked for.
func (d *Dispatcher[H]) FreshReports() []relay.ServerReport {
	now := d.config.Now()
	fresh := make(map[relay.ServerID]relay.ServerReport)
	for id, load := range d.loads.All() {
		if age := now.Sub(load.ReportedAt); age < maxSharedReportAge {
			fresh[id] = relay.ServerReport{Server: id, Report: load.Report, Age: age}
		}
	}
	d.backpressure.reportRestrictions(fresh, now)
	d.coldness.report(fresh, now)
	return newest(slices.Collect(maps.Values(fresh)))
}

// maxSharedReports bounds the reports in one message to another instance.
const maxSharedReports = 256

// newest returns the reports that another instance has most use of, if there are too many: those of what servers have asked
// for, and the newest ones.
func newest(reports []relay.ServerReport) []relay.ServerReport {
	if len(reports) <= maxSharedReports {
		return reports
	}
	isLoadOnly := func(r relay.ServerReport) int {
		if r.IsLoadOnly() {
			return 1
		}
		return 0
	}
	slices.SortFunc(reports, func(a, b relay.ServerReport) int {
		return cmp.Or(cmp.Compare(isLoadOnly(a), isLoadOnly(b)), cmp.Compare(a.Age, b.Age))
	})
	return reports[:maxSharedReports]
}

// MergeReports takes in the load reports that another instance has received, unless this one has newer ones.
func (d *Dispatcher[H]) MergeReports(reports []relay.ServerReport) {
	now, state := d.config.Now(), d.config.Snapshot()
	for _, r := range reports {
		d.backpressure.mergeLeaving(r, now)
		d.mergeColdness(state, r, now)
		if _, ok := state.Server(r.Server); !ok {
			continue
		}
		d.backpressure.mergeLimit(r, now)
		if r.Report.Slots > 0 {
			d.loads.Cell(r.Server).Update(func(l relay.Load) relay.Load { return l.WithReport(r.Report, now.Add(-r.Age)) })
		}
	}
}

// maxSharedReportAge is the age from which a report is not passed on.
const maxSharedReportAge = 700 * time.Millisecond

// Tallies returns this instance's counts of attempts by release.
func (d *Dispatcher[H]) Tallies() []relay.Tally {
	return d.tallies.all(d.config.Now())
}

func (d *Dispatcher[H]) recordRefused(request relay.Request, admitted query.Admitted, s relay.State, err error) {
	var refusal relay.Refusal
	errors.As(err, &refusal)
	d.config.Recorder.Record(Decision{
		Request: request.ID, Kind: DecisionRefused, Route: admitted.Route.Name, Account: admitted.Account.Name,
		Reason: string(refusal.Reason), Detail: refusal.Detail, Revision: s.Revision,
		Elapsed: d.config.Now().Sub(request.Arrived),
	})
}
