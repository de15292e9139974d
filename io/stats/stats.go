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

// Sources are the functions from which Run samples gauges; all are required.
type Sources struct {
	Snapshot func() state.State
	// Usage returns the calls made to the key-value service so far.
	Usage func() plat.Usage
	// WaitingRequests returns the number of requests that wait for capacity at a backend server.
	WaitingRequests func() int
	// UnsettledClaims returns the number of claims whose end is not yet recorded.
	UnsettledClaims func() int
	// UnsafeBills returns the number of bills that would be lost with the instance.
	UnsafeBills func() int
}

func (s Sources) isComplete() bool {
	return s.Snapshot != nil && s.Usage != nil && s.WaitingRequests != nil && s.UnsettledClaims != nil && s.UnsafeBills != nil
}

// Config sets up Stats.
type Config struct {
	Now func() time.Time
	// Period is the time between two samples, and the maximum age of a value that Handler serves.
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

// New returns the metrics and starts their reporting to Handler, which Close ends. The error names
// what the configuration lacks or which metric can't be registered.
func New(c Config) (*Stats, error) {
	switch {
	case c.Now == nil:
		return nil, errors.New("stats: Config.Now is not set")
	case c.Period <= 0:
		return nil, errors.New("stats: Config.Period must be positive")
	}
	registry := prometheus.NewRegistry()
	var failed error
	r := reporter.NewReporter(reporter.Options{
		Registerer:       registry,
		Gatherer:         registry,
		DefaultTimerType: reporter.HistogramTimerType,
		OnRegisterError:  func(err error) { failed = errors.Join(failed, err) },
	})
	if err := errors.Join(registerAll(r), failed); err != nil {
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

// Handler returns a handler that serves the metrics in Prometheus's text format.
func (s *Stats) Handler() http.Handler {
	return s.handler
}

// Close passes the last recorded values to Handler and stops the reporting.
func (s *Stats) Close() error {
	return s.closer.Close()
}

// Record counts a routing decision; one of step Bill is also counted as a stored bill.
func (s *Stats) Record(d value.Decision) {
	s.count(decisions, 1, string(d.Step), string(d.Reason))
	if d.Step == value.StepBill {
		s.count(bills, 1, billStored)
	}
}

// RecordEvent counts a decision of the control loop or of a duty.
func (s *Stats) RecordEvent(d state.RecordDecision) {
	s.count(events, 1, d.Event)
}

func (s *Stats) count(m Metric, n int64, labels ...string) {
	s.taggedScope(m, labels).Counter(m.Name).Inc(n)
}

func (s *Stats) set(m Metric, v float64, labels ...string) {
	s.taggedScope(m, labels).Gauge(m.Name).Update(v)
}

func (s *Stats) observe(m Metric, d time.Duration, labels ...string) {
	s.taggedScope(m, labels).Timer(m.Name).Record(d)
}

// taggedScope returns the scope for the values of the metric's labels, which are in the order of
// Metric.Labels.
func (s *Stats) taggedScope(m Metric, values []string) tally.Scope {
	if len(values) == 0 {
		return s.scope
	}
	tags := make(map[string]string, len(values))
	for i, v := range values {
		tags[m.Labels[i]] = v
	}
	return s.scope.Tagged(tags)
}
