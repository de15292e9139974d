package logs_test

import (
	"bytes"
	"encoding/json"
	"testing"

	"go.uber.org/zap/zapcore"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"endivehitch/core/value"
	"endivehitch/io/logs"
)

func TestRecorderReturnsRequestsLatestDecisionsInOrder(t *testing.T) {
	var out bytes.Buffer
	r, err := logs.NewRecorder(logs.RecorderConfig{Log: logs.New(&out, zapcore.InfoLevel), Capacity: 4})
	assert.NilError(t, err)
	admitted := value.Decision{Request: "q", Step: value.StepAdmit}
	r.Record(admitted)
	r.Record(value.Decision{Request: "p"})
	r.Record(value.Decision{Request: "q", Step: value.StepPlan, CostMicros: 7})
	assert.Equal(t, len(r.ForRequest("q")), 2)
	assert.Equal(t, r.ForRequest("q")[1].Step, value.StepPlan)
	for range 4 {
		r.Record(value.Decision{Request: "p"})
	}
	assert.Equal(t, len(r.ForRequest("q")), 0, "decisions beyond the capacity are dropped, oldest first")
	lines := bytes.Split(bytes.TrimSpace(out.Bytes()), []byte("\n"))
	assert.Equal(t, len(lines), 7)
	var third map[string]any
	assert.NilError(t, json.Unmarshal(lines[2], &third))
	assert.Equal(t, third["Message"], "Decision")
	assert.Equal(t, third["CostMicros"], 7.0)
}

func TestConcurrentlyRecordedDecisionsAreAllStored(t *testing.T) {
	r, err := logs.NewRecorder(logs.RecorderConfig{Log: logs.New(&bytes.Buffer{}, zapcore.ErrorLevel), Capacity: 800})
	assert.NilError(t, err)
	var g errgroup.Group
	for range 8 {
		g.Go(func() error {
			for range 100 {
				r.Record(value.Decision{Request: "q"})
			}
			return nil
		})
	}
	assert.NilError(t, g.Wait())
	assert.Equal(t, len(r.ForRequest("q")), 800)
}
