package stats_test

import (
	"io"
	"testing"
	"time"

	"go.uber.org/zap/zapcore"
	"gotest.tools/v3/assert"

	"endivehitch/core/value"
	"endivehitch/io/logs"
)

// BenchmarkMeasureRecord measures the time to count a decision as a share of the time to log and
// store it.
func BenchmarkMeasureRecord(b *testing.B) {
	s := newStats(b)
	log, err := logs.NewRecorder(logs.RecorderConfig{Log: logs.New(io.Discard, zapcore.InfoLevel), Capacity: 8192})
	assert.NilError(b, err)
	const decisions = 200_000
	timeRecords := func(record func(value.Decision)) time.Duration {
		start := time.Now()
		for range decisions {
			record(value.Decision{Request: "q", Step: value.StepRoute, Reason: value.ReasonLeastLoaded})
		}
		return time.Since(start)
	}
	for range b.N {
		logTime := timeRecords(log.Record)
		b.ReportMetric(float64(timeRecords(s.Record))/float64(logTime), "count/log")
	}
	assert.NilError(b, s.Close())
}
