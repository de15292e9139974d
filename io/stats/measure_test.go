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

// BenchmarkMeasureRecord reports what counting a decision costs, as a share of logging and keeping it.
func BenchmarkMeasureRecord(b *testing.B) {
	s := rig(b)
	log, err := logs.NewRecorder(logs.RecorderConfig{Log: logs.New(io.Discard, zapcore.InfoLevel), Capacity: 8192})
	assert.NilError(b, err)
	const decisions = 200_000
	took := func(record func(value.Decision)) time.Duration {
		began := time.Now()
		for range decisions {
			record(value.Decision{Request: "q", Step: value.StepRoute, Reason: value.ReasonLeastLoaded})
		}
		return time.Since(began)
	}
	for range b.N {
		logged := took(log.Record)
		b.ReportMetric(float64(took(s.Record))/float64(logged), "count/log")
	}
	assert.NilError(b, s.Close())
}
