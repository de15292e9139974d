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

// Config sets up the questions.
type Config struct {
	Snapshot func() state.State
	Now      func() time.Time
	// Fleet returns the instances with what they say of their configuration.
	Fleet func(context.Context) []value.Instance
	// Decisions returns the kept decisions about a request, the first one first, wherever they are kept.
	Decisions func(context.Context, value.RequestID) ([]value.Decision, error)
}

type wireNothing struct{}

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
	// Lag and Silent are durations such as 1.5s.
	Lag    string
	Silent string
}

type wireProgress struct {
	Name   value.RollOutName
	Phase  value.Phase
	Stage  int
	Since  time.Time
	Reason string
}

const statusPath = "/admin/status"

// StatusRoute serves the instance's view of the fleet.
func StatusRoute(c Config) route.Route {
	return route.New(http.MethodGet, statusPath, func(ctx context.Context, _ wireNothing) (wireStatus, error) {
		fleet := c.Fleet(ctx)
		return statusToWire(query.Report(c.Snapshot(), fleet, c.Now())), nil
	})
}

// AskStatus asks an instance for its view of the fleet.
func AskStatus(ctx context.Context, to route.Client) (query.Status, error) {
	w, err := route.Ask[wireNothing, wireStatus](ctx, to, http.MethodGet, statusPath, wireNothing{})
	if err != nil {
		return query.Status{}, err
	}
	return w.value()
}

func statusToWire(s query.Status) wireStatus {
	w := wireStatus{Self: s.Self, Digest: s.Digest, Revision: s.Revision, Newest: s.Newest}
	for _, f := range s.Fleet {
		w.Fleet = append(w.Fleet, wireInstance{
			ID:            f.Instance.ID,
			FailureDomain: f.Instance.FailureDomain,
			State:         f.Instance.State,
			Revision:      f.Instance.Revision,
			Digest:        f.Instance.Digest,
			Lag:           f.Lag.String(),
			Silent:        f.SinceLastSeen.String(),
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
		standing, err := f.value()
		if err != nil {
			return query.Status{}, err
		}
		s.Fleet = append(s.Fleet, standing)
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
	silent, err := time.ParseDuration(w.Silent)
	if err != nil {
		return query.InstanceStatus{}, fmt.Errorf("decode silence of %s: %w", w.ID, err)
	}
	i := value.Instance{ID: w.ID, FailureDomain: w.FailureDomain, State: w.State, Revision: w.Revision, Digest: w.Digest}
	return query.InstanceStatus{Instance: i, Lag: lag, SinceLastSeen: silent}, nil
}
