package proxy_test

import (
	"fmt"
	"io"
	"slices"
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

// Guards against messages between instances that grow with the number of servers, and against limits that are left out of them.
func TestSharedReportsAreBounded(t *testing.T) {
	h := newHarness(t, plainRoute(relay.RetryNever), answerOK("done"))
	const servers = 1000
	h.state = withMoreServers(servers)
	var reports []relay.ServerReport
	for i := range servers {
		reports = append(reports, relay.ServerReport{Server: relay.ServerID(fmt.Sprint("x", i)), Report: relay.Report{Running: 1, Slots: 4}, HasLimit: i == 7, Limit: 2})
	}
	h.dispatcher.MergeReports(reports)
	shared := h.dispatcher.FreshReports()
	assert.Equal(t, len(shared), 256)
	assert.Assert(t, slices.ContainsFunc(shared, func(r relay.ServerReport) bool { return r.Server == "x7" && r.HasLimit }))
}
