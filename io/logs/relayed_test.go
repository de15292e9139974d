package logs_test

import (
	"bytes"
	"encoding/json"
	"testing"

	"go.uber.org/zap/zapcore"
	"gotest.tools/v3/assert"

	"endivehitch/core/relay"
	"endivehitch/io/logs"
	"endivehitch/io/proxy"
)

// Guards against failures that can't be told apart in the logs: a server's load, and an answer without a length.
func TestRelayedDecisionStatesLoadAndFramingOfItsAnswer(t *testing.T) {
	var out bytes.Buffer
	logs.RelayRecorder{Log: logs.New(&out, zapcore.InfoLevel)}.Record(proxy.Decision{
		Kind: proxy.DecisionAnswered, EndsWithConnection: true, Report: relay.Report{Running: 3, Waiting: 1, Slots: 6},
	})
	var line map[string]any
	assert.NilError(t, json.Unmarshal(out.Bytes(), &line))
	assert.Equal(t, line["EndsWithConnection"], true)
	assert.Equal(t, line["Running"], 3.0)
	assert.Equal(t, line["Waiting"], 1.0)
	assert.Equal(t, line["Slots"], 6.0)
}
