package proxy_test

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/relay"
)

// In a fleet of hundreds each instance receives a report of a server once in many seconds, and would send work to one
// that is full because of others. Reports that any instance receives must steer the others for as long as
// they are fresh.
func TestReportsOfOtherInstancesSteerWorkAwayFromFullServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		full := relay.Report{Running: 4, Waiting: 40, Slots: 4}
		other := newHarness(t, plainRoute(relay.RetryNever), answerWith(answer{Status: 200, Signed: true, Reported: true, Report: full}, "done", io.EOF))
		assert.NilError(t, other.serve(t.Context()))
		busy := other.backend.attempts[0].Server.ID
		own := newHarness(t, plainRoute(relay.RetryNever), answerOK("done"))
		time.Sleep(100 * time.Millisecond)
		own.dispatcher.MergeReports(other.dispatcher.FreshReports())
		const requests = 60
		sentToBusy := 0
		for range requests {
			assert.NilError(t, own.serveTo(t.Context(), new(responseWriter)))
			if sent := own.backend.attempts; sent[len(sent)-1].Server.ID == busy {
				sentToBusy++
			}
		}
		// The servers that are compared are drawn at random, so the full one is at times the only one.
		assert.Assert(t, sentToBusy < requests/5, "%d of %d requests went to the full server", sentToBusy, requests)
		assert.Equal(t, own.dispatcher.FreshReports()[0].Age, 100*time.Millisecond, "a report that is passed on keeps its age")
		time.Sleep(time.Second)
		assert.Equal(t, len(own.dispatcher.FreshReports()), 0)
	})
}
