package flow_test

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/value"
)

func TestWithdrawnVersionGetsNoWaitingRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := ward(spelling)
		d.ClientAccounts[0].Versions = []value.VersionKey{oneVersion, large}
		d.Models[0].Versions = append(d.Models[0].Versions, value.Version{Name: "large", OutputMicros: 9000, Quality: 0.9})
		g := newRig(t, d, map[value.ServerID][]act{
			"s1": {{pieces: []string{"small"}, every: time.Second, end: io.EOF}},
			"l1": {{pieces: []string{"large"}, end: io.EOF}},
		})
		g.control = g.control.WithServer(value.BackendServer{ID: "l1", Pool: "engines", State: value.ServerLive, Versions: []value.VersionKey{large}})
		first, second := new(caller), new(caller)
		done := make(chan error, 2)
		go func() { _, err := g.flow.Serve(t.Context(), job("r1", spelling), first); done <- err }()
		synctest.Wait()
		go func() { _, err := g.flow.Serve(t.Context(), job("r2", spelling), second); done <- err }()
		synctest.Wait()
		g.locked(func() {
			g.control = g.control.WithWithdrawal(value.Withdrawal{Version: oneVersion, Reason: value.ReasonOperator})
		})
		assert.NilError(t, <-done)
		assert.NilError(t, <-done)
		assert.Equal(t, first.version, oneVersion, "a request in flight ends where it runs")
		assert.Equal(t, second.version, large)
		assert.Equal(t, g.runs["s1"], 1)
	})
}
