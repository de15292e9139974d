package carry

import (
	"context"
	"errors"
	"time"

	"endivehitch/core/policy"
	"endivehitch/core/relay"
	"endivehitch/core/relay/query"
)

// Recorder takes in what was decided about a request.
type Recorder interface {
	// Record notes the decision; it doesn't wait.
	Record(d Decision)
}

// What names a decision about a request.
type What string

// The decisions about a request.
const (
	// WhatAnswered is the end of a request whose whole answer has gone to its caller.
	WhatAnswered What = "Answered"
	// WhatSteppedUp is the choice of a larger model, as the answer's confidence was low.
	WhatSteppedUp What = "SteppedUp"
	// WhatRunFailed is the end of a run that brought no answer for the caller.
	WhatRunFailed What = "RunFailed"
	// WhatRefused is the end of a request that no server has run.
	WhatRefused What = "Refused"
	// WhatFailed is the end of a request that may have run and has no whole answer.
	WhatFailed What = "Failed"
)

// Decision is one decision about one request, with the inputs that decided it.
type Decision struct {
	Request string
	What    What
	Route   relay.RouteName
	Account relay.AccountName
	Server  relay.ServerID
	Release relay.Release
	Model   relay.ModelName
	// Candidates is how many servers could have taken the request.
	Candidates int
	// Score is the chosen server's score.
	Score float64
	// Reason says why.
	Reason string
	// Status is the server's status, or zero.
	Status int
	// Confidence is the model's opinion of its answer, where it gave one.
	Confidence int
	// Revision is the store's revision that the decision rests on.
	Revision int64
	// ReportAge is the age of the server's last load report.
	ReportAge time.Duration
	// Throttle is what a larger model's threshold was scaled by, from 0 to 1; 0 means that none was asked.
	Throttle float64
	// First is the time from the send to the answer's first byte; zero means that it isn't known.
	First time.Duration
	// Unread is how many prompt tokens the server was expected to read.
	Unread int
	// Elapsed is the time since the request arrived.
	Elapsed time.Duration
	Detail  string
}

// Config sets up a Carrier.
type Config[H any] struct {
	Backend  Backend[H]
	Snapshot func() relay.State
	Now      func() time.Time
	Recorder Recorder
	// Repeats bounds the sends beyond each request's first.
	Repeats func() Repeats
	// Session is how long a session lasts without a request.
	Session time.Duration
}

// Carrier sees requests through.
type Carrier[H any] struct {
	config Config[H]
	board  *board
	// budgets count the sends of each service.
	budgets  policy.Cells[relay.ServiceName, policy.Quota]
	sessions *sessions
	tallies  *tallies
	paces    *paces
	gains    policy.Cell[map[modelPair]relay.Gain]
	// throttles are how readily larger models are asked, by service.
	throttles policy.Cells[relay.ServiceName, relay.Throttle]
}

// New returns a carrier, or an error that names what the configuration lacks.
func New[H any](c Config[H]) (*Carrier[H], error) {
	switch {
	case c.Backend == nil:
		return nil, errors.New("carrier: no backend")
	case c.Snapshot == nil:
		return nil, errors.New("carrier: no snapshot")
	case c.Now == nil:
		return nil, errors.New("carrier: no clock")
	case c.Recorder == nil:
		return nil, errors.New("carrier: no recorder")
	case c.Repeats == nil:
		return nil, errors.New("carrier: no bounds of repeats")
	}
	return &Carrier[H]{config: c, board: new(board), sessions: newSessions(c.Session), tallies: new(tallies), paces: new(paces)}, nil
}

// Serve sees the request through; the error is a relay.Refusal while the sink has taken nothing, and
// wraps ErrCut afterwards.
func (c *Carrier[H]) Serve(ctx context.Context, j Job[H], sink Sink[H]) error {
	s := c.config.Snapshot()
	admitted, err := query.Admit(s, j.Request)
	if err != nil {
		c.refused(j.Request, admitted, s, err)
		return err
	}
	if at := j.Request.Deadline(admitted.Route); !at.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, at)
		defer cancel()
	}
	l := &life[H]{carrier: c, job: j, admitted: admitted, sink: sink}
	return l.run(ctx)
}

// Retain forgets what was observed of servers that are gone.
func (c *Carrier[H]) Retain(s relay.State) {
	c.board.retain(func(id relay.ServerID) bool {
		_, ok := s.Server(id)
		return ok
	})
	c.sessions.trim(c.config.Now())
}

// Tallies returns what this instance has seen of each release so far.
func (c *Carrier[H]) Tallies() []relay.Tally {
	return c.tallies.all()
}

func (c *Carrier[H]) refused(q relay.Request, a query.Admitted, s relay.State, err error) {
	var r relay.Refusal
	errors.As(err, &r)
	c.config.Recorder.Record(Decision{
		Request: q.ID, What: WhatRefused, Route: a.Route.Name, Account: a.Account.Name,
		Reason: string(r.Reason), Detail: r.Detail, Revision: s.Revision,
		Elapsed: c.config.Now().Sub(q.Arrived),
	})
}
