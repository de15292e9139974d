package stats

import (
	"fmt"

	reporter "github.com/uber-go/tally/v4/prometheus"
)

// histogramBuckets are the upper bounds of the buckets of all histograms, in seconds.
var histogramBuckets = []float64{0.01, 0.025, 0.05, 0.1, 0.2, 0.48, 1, 2, 5, 10, 30, 60, 120, 300, 600}

// registerAll registers each metric with its labels and meaning.
func registerAll(r reporter.Reporter) error {
	for _, m := range table {
		if err := registerOne(r, m); err != nil {
			return fmt.Errorf("register metric %s: %w", m.Name, err)
		}
	}
	return nil
}

func registerOne(r reporter.Reporter, m Metric) error {
	var err error
	switch m.Type {
	case Counter:
		_, err = r.RegisterCounter(m.Name, m.Labels, m.Meaning)
	case Gauge:
		_, err = r.RegisterGauge(m.Name, m.Labels, m.Meaning)
	case Histogram:
		_, err = r.RegisterTimer(m.Name, m.Labels, m.Meaning, &reporter.RegisterTimerOptions{
			TimerType:        reporter.HistogramTimerType,
			HistogramBuckets: histogramBuckets,
		})
	}
	return err
}
