package proxy_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/relay"
	"endivehitch/io/proxy"
)

// withService returns a change of the state that replaces the service, and keeps the route.
func withService(service relay.Service, route relay.Route) func(relay.State) relay.State {
	return func(s relay.State) relay.State {
		if s.Config.Version > 1 {
			return s
		}
		service.Name = "app"
		revision := s.Revision + 1
		config := &relay.Config{Version: 2, Routes: []relay.Route{route}, Services: []relay.Service{service}}
		return s.WithFeed(relay.Feed{After: s.Revision, Revision: revision, Changes: []relay.Change{{Key: "c", Revision: revision, Entry: relay.Entry{Config: config}}}}, time.Now(), 0)
	}
}

// reportQueue tells the dispatcher that each server has so many requests.
func (h *harness) reportQueue(requests int) {
	var reports []relay.ServerReport
	for _, id := range []relay.ServerID{"s1", "s2", "s3"} {
		reports = append(reports, relay.ServerReport{Server: id, Report: relay.Report{Running: 4, Waiting: requests - 4, Slots: 4}})
	}
	h.dispatcher.MergeReports(reports)
}

func (h *harness) serveID(id string) error {
	return h.serveBody(id, "")
}

func (h *harness) serveBody(id, body string) error {
	request := newRequest("/x")
	request.ID = id
	return h.dispatcher.Serve(h.t.Context(), proxy.Job[head]{Request: request, Body: []byte(body)}, new(responseWriter))
}

// Guards against requests that wait at engines until their deadline, and against refusals where no configuration asks for
// them.
func TestRequestIsRefusedBeforeItsFirstAttemptIfEnginesCannotAnswerInTime(t *testing.T) {
	const requests, longQueue = 64, 10_000
	route := plainRoute(relay.RetryAlways)
	for name, c := range map[string]struct {
		service relay.Service
		refuses bool
	}{
		"memory is stated": {relay.Service{Engine: true, KVTokens: 1000}, true},
		"price is stated":  {relay.Service{Engine: true, Models: []relay.ServiceModel{{Name: "m", Price: 1}}}, true},
		"nothing stated":   {relay.Service{Engine: true}, false},
		"no engines":       {relay.Service{KVTokens: 1000}, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, route, answerOK("done"))
				h.state = withService(c.service, route)
				refused := 0
				for i := range requests {
					h.reportQueue(longQueue)
					if err := h.serveID(fmt.Sprint(i)); err != nil {
						refusal := h.mustRefuse(err)
						assert.Assert(t, refusal.NotRun && refusal.RetryAfter > 0 && refusal.RetryAfter <= 8*time.Second/3, "%+v", refusal)
						assert.Assert(t, h.recorder.last.Share > 0 && h.recorder.last.Score > 0)
						refused++
					}
				}
				assert.Equal(t, refused+len(h.backend.attempts), requests)
				assert.Equal(t, refused > requests*9/10, c.refuses, "%d refused", refused)
				assert.Assert(t, c.refuses || refused == 0)
				// What is refused must not keep out requests once the queue is gone.
				time.Sleep(2 * time.Second)
				for i := range requests {
					assert.NilError(t, h.serveID(fmt.Sprint("later", i)))
				}
			})
		})
	}
}

// Guards against refused requests that add to the retry budget although no server had them.
func TestRefusedRequestsDoNotAddToTheRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const refused, failing = 200, 60
		route := plainRoute(relay.RetryAlways)
		h := newHarness(t, route, failsWith(proxy.ErrAnswerLost))
		h.state = withService(relay.Service{Engine: true, KVTokens: 1000}, route)
		for i := range refused {
			h.reportQueue(10_000)
			_ = h.serveID(fmt.Sprint(i))
		}
		time.Sleep(2 * time.Second)
		h.backend.attempts = nil
		for i := range failing {
			assert.Assert(t, h.serveID(fmt.Sprint("later", i)) != nil)
		}
		// The allowance is 27 and the ratio 0.83; without a bound each request would have three attempts.
		assert.Assert(t, len(h.backend.attempts) < failing+27+50+10, "%d", len(h.backend.attempts))
	})
}

// Guards against a turn that depends on the identifier, which is another one when a caller comes back.
func TestTurnOfARefusedRequestDoesNotDependOnItsIdentifier(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		route := plainRoute(relay.RetryAlways)
		h := newHarness(t, route, answerOK("done"))
		h.state = withService(relay.Service{Engine: true, KVTokens: 1000}, route)
		admitted := 0
		for i := range 200 {
			h.reportQueue(10_000)
			first, again := h.serveBody(fmt.Sprint("first", i), fmt.Sprint(i)), h.serveBody(fmt.Sprint("again", i), fmt.Sprint(i))
			assert.Equal(t, first == nil, again == nil)
			if first == nil {
				admitted++
			}
		}
		assert.Assert(t, admitted > 0 && admitted < 30, "%d", admitted)
	})
}

// Guards against shares that one instance computes from its own requests only, and against sums in which instances count
// twice.
func TestUseOfClientAccountsIsSummedOverInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		route := plainRoute(relay.RetryAlways)
		reader := newHarness(t, route, answerOK("done"))
		reader.state = withService(relay.Service{Engine: true, KVTokens: 1000}, route)
		var first relay.UseReport
		for i := range 3 {
			h := newHarness(t, route, answerOK("done"))
			h.state = withService(relay.Service{Engine: true, KVTokens: 1000}, route)
			assert.DeepEqual(t, h.dispatcher.OwnUse(), relay.UseReport{})
			assert.NilError(t, h.serveID("q"))
			first = h.dispatcher.OwnUse()
			first.From = relay.MemberName(fmt.Sprint("other", i))
			reader.dispatcher.MergeUse(first)
			reader.dispatcher.MergeUse(first)
		}
		time.Sleep(200 * time.Millisecond)
		sum := reader.dispatcher.FleetUse()
		assert.Equal(t, sum.Instances, 4)
		assert.Equal(t, sum.Accounts[0].Offered, 3*first.Accounts[0].Offered)
		time.Sleep(time.Minute)
		assert.DeepEqual(t, reader.dispatcher.FleetUse(), relay.UseReport{})
	})
}
