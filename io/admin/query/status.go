package query

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"endivehitch/core/query"
	"endivehitch/core/state"
	"endivehitch/core/value"
	"endivehitch/io/admin/route"
)

// Config configures the queries.
type Config struct {
	Snapshot func() state.State
	Now      func() time.Time
	// Fleet returns all known instances with the configuration revision that each reports.
	Fleet func(context.Context) []value.Instance
	// Decisions returns the decisions about a request in the order in which they were made, from
	// whichever instance stores them.
	Decisions func(context.Context, value.RequestID) ([]value.Decision, error)
}

type wireEmpty struct{}

type wireStatus struct {
	Self     value.InstanceID
	Digest   string
	Revision int64
	Newest   int64
	Fleet    []wireInstance
	RollOuts []wireProgress
}

type wireInstance struct {
	ID            value.InstanceID
	FailureDomain value.FailureDomain
	State         value.InstanceState
	Revision      int64
	Digest        string
	// Lag and SinceLastContact are durations as text, such as 1.5s.
	Lag              string
	SinceLastContact string `json:"Silent"`
}

type wireProgress struct {
	Name   value.RollOutName
	Phase  value.Phase
	Stage  int
	Since  time.Time
	Reason string
}

const statusPath = "/admin/status"

// StatusRoute returns the route that serves the fleet's status as the instance knows it.
func StatusRoute(c Config) route.Route {
	return route.New(http.MethodGet, statusPath, func(ctx context.Context, _ wireEmpty) (wireStatus, error) {
		fleet := c.Fleet(ctx)
		return toWireStatus(query.Report(c.Snapshot(), fleet, c.Now())), nil
	})
}

// FetchStatus asks an instance for the fleet's status as it knows it.
func FetchStatus(ctx context.Context, to route.Client) (query.Status, error) {
	w, err := route.Query[wireEmpty, wireStatus](ctx, to, http.MethodGet, statusPath, wireEmpty{})
	if err != nil {
		return query.Status{}, err
	}
	return w.value()
}

func toWireStatus(s query.Status) wireStatus {
	w := wireStatus{Self: s.Self, Digest: s.Digest, Revision: s.Revision, Newest: s.Newest}
	for _, f := range s.Fleet {
		w.Fleet = append(w.Fleet, wireInstance{
			ID:               f.Instance.ID,
			FailureDomain:    f.Instance.FailureDomain,
			State:            f.Instance.State,
			Revision:         f.Instance.Revision,
			Digest:           f.Instance.Digest,
			Lag:              f.Lag.String(),
			SinceLastContact: f.SinceLastContact.String(),
		})
	}
	for _, p := range s.RollOuts {
		w.RollOuts = append(w.RollOuts, wireProgress{Name: p.Name, Phase: p.Phase, Stage: p.Stage, Since: p.Since, Reason: p.Reason})
	}
	return w
}

func (w wireStatus) value() (query.Status, error) {
	s := query.Status{Self: w.Self, Digest: w.Digest, Revision: w.Revision, Newest: w.Newest}
	for _, f := range w.Fleet {
		status, err := f.value()
		if err != nil {
			return query.Status{}, err
		}
		s.Fleet = append(s.Fleet, status)
	}
	for _, p := range w.RollOuts {
		s.RollOuts = append(s.RollOuts, value.Progress{Name: p.Name, Phase: p.Phase, Stage: p.Stage, Since: p.Since, Reason: p.Reason})
	}
	return s, nil
}

func (w wireInstance) value() (query.InstanceStatus, error) {
	lag, err := time.ParseDuration(w.Lag)
	if err != nil {
		return query.InstanceStatus{}, fmt.Errorf("decode lag of %s: %w", w.ID, err)
	}
	sinceLastContact, err := time.ParseDuration(w.SinceLastContact)
	if err != nil {
		return query.InstanceStatus{}, fmt.Errorf("decode time since last contact with %s: %w", w.ID, err)
	}
	i := value.Instance{ID: w.ID, FailureDomain: w.FailureDomain, State: w.State, Revision: w.Revision, Digest: w.Digest}
	return query.InstanceStatus{Instance: i, Lag: lag, SinceLastContact: sinceLastContact}, nil
}
