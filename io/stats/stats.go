package stats

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	reporter "github.com/uber-go/tally/v4/prometheus"

	"endivehitch/core/state"
	"endivehitch/core/value"
	"endivehitch/io/plat"
)

// Sources are the parts of the instance whose counts are sampled.
type Sources struct {
	Snapshot func() state.State
	// Usage returns the calls made to the key-value service so far.
	Usage func() plat.Usage
	// Waiting returns the requests that wait for a place.
	Waiting func() int
	// Unsettled returns the claims whose end is not yet recorded.
	Unsettled func() int
	// Unsafe returns the bills that would be lost with the instance.
	Unsafe func() int
}

func (s Sources) whole() bool {
	return s.Snapshot != nil && s.Usage != nil && s.Waiting != nil && s.Unsettled != nil && s.Unsafe != nil
}

// Config sets up Stats.
type Config struct {
	Now func() time.Time
	// Period is the time between two samples, and the age that a served value may have.
	Period time.Duration
}

// Stats holds the metrics of one instance.
type Stats struct {
	config   Config
	scope    tally.Scope
	closer   io.Closer
	handler  http.Handler
	inFlight atomic.Int64
}

// New returns the metrics, or an error that names what the configuration lacks; Close ends their reporting.
func New(c Config) (*Stats, error) {
	switch {
	case c.Now == nil:
		return nil, errors.New("stats: no clock")
	case c.Period <= 0:
		return nil, errors.New("stats: period must be positive")
	}
	registry := prometheus.NewRegistry()
	var failed error
	r := reporter.NewReporter(reporter.Options{
		Registerer:       registry,
		Gatherer:         registry,
		DefaultTimerType: reporter.HistogramTimerType,
		OnRegisterError:  func(err error) { failed = errors.Join(failed, err) },
	})
	if err := errors.Join(register(r), failed); err != nil {
		return nil, err
	}
	s := &Stats{config: c, handler: r.HTTPHandler()}
	s.scope, s.closer = tally.NewRootScope(tally.ScopeOptions{
		CachedReporter:         r,
		Separator:              reporter.DefaultSeparator,
		OmitCardinalityMetrics: true,
	}, c.Period)
	return s, nil
}

// Handler serves the metrics in Prometheus's text format.
func (s *Stats) Handler() http.Handler {
	return s.handler
}

// Close reports what was recorded and ends the reporting.
func (s *Stats) Close() error {
	return s.closer.Close()
}

// Record counts the decision.
func (s *Stats) Record(d value.Decision) {
	s.count(decisions, 1, string(d.Step), string(d.Reason))
	if d.Step == value.StepBill {
		s.count(keptBills, 1, billKept)
	}
}

// RecordEvent counts the control state's decision.
func (s *Stats) RecordEvent(d state.RecordDecision) {
	s.count(events, 1, d.Event)
}

func (s *Stats) count(m Metric, n int64, labels ...string) {
	s.labelled(m, labels).Counter(m.Name).Inc(n)
}

func (s *Stats) set(m Metric, v float64, labels ...string) {
	s.labelled(m, labels).Gauge(m.Name).Update(v)
}

func (s *Stats) took(m Metric, d time.Duration, labels ...string) {
	s.labelled(m, labels).Timer(m.Name).Record(d)
}

// labelled returns the scope that holds the metric's labels, in the order of the table.
func (s *Stats) labelled(m Metric, values []string) tally.Scope {
	if len(values) == 0 {
		return s.scope
	}
	tags := make(map[string]string, len(values))
	for i, v := range values {
		tags[m.Labels[i]] = v
	}
	return s.scope.Tagged(tags)
}
