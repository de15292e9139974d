package flow_test

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/value"
)

func TestWaitingRequestIsReplannedWhenItsVersionIsWithdrawn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		document := newDocument(spelling)
		document.ClientAccounts[0].Versions = []value.VersionKey{defaultVersion, large}
		document.Models[0].Versions = append(document.Models[0].Versions, value.Version{Name: "large", OutputMicros: 9000, Quality: 0.9})
		h := newHarness(t, document, map[value.ServerID][]script{
			"s1": {{pieces: []string{"small"}, pieceInterval: time.Second, endErr: io.EOF}},
			"l1": {{pieces: []string{"large"}, endErr: io.EOF}},
		})
		h.control = h.control.WithServer(value.BackendServer{ID: "l1", Pool: "engines", State: value.ServerLive, Versions: []value.VersionKey{large}})
		first, second := new(versionRecorder), new(versionRecorder)
		done := make(chan error, 2)
		go func() { _, err := h.flow.Serve(t.Context(), newJob("r1", spelling), first); done <- err }()
		synctest.Wait()
		go func() { _, err := h.flow.Serve(t.Context(), newJob("r2", spelling), second); done <- err }()
		synctest.Wait()
		h.withLock(func() {
			h.control = h.control.WithWithdrawal(value.Withdrawal{Version: defaultVersion, Reason: value.ReasonOperator})
		})
		assert.NilError(t, <-done)
		assert.NilError(t, <-done)
		assert.Equal(t, first.version, defaultVersion, "a request in flight stays on its version")
		assert.Equal(t, second.version, large)
		assert.Equal(t, h.attempts["s1"], 1)
	})
}
