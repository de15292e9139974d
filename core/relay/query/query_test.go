package query_test

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/relay"
	"endivehitch/core/relay/query"
)

var now = time.Unix(5000, 0)

func stateOf(entries ...relay.Entry) relay.State {
	feed := relay.Feed{Whole: true, Revision: 100}
	for i, e := range entries {
		feed.Changes = append(feed.Changes, relay.Change{Key: string(rune('a' + i)), Revision: int64(i + 1), Entry: e})
	}
	return relay.New(relay.Member{Name: "n1", Domain: "d1"}).WithFeed(feed, now, 0)
}

func serverOf(id relay.ServerID, r relay.Release) relay.Entry {
	return relay.Entry{Server: &relay.Server{ID: id, Service: "engine", Address: "a", Domain: "d1", Release: r, Slots: 8}}
}

func member(n relay.MemberName, d relay.FailureDomain) relay.Entry {
	return relay.Entry{Member: &relay.Member{Name: n, Domain: d}}
}

func TestAdmitChecksRouteAndKey(t *testing.T) {
	state := stateOf(relay.Entry{Config: &relay.Config{
		Version:  1,
		Routes:   []relay.Route{{Name: "r", Host: "h", Prefix: "/a/", Rank: 2}, {Name: "open", Host: "h", Prefix: "/o/", Open: true}},
		Accounts: []relay.Account{{Name: "acme", Keys: []string{"k"}, Rank: 1, HasRank: true}},
	}})
	admitted, err := query.Admit(state, relay.Request{Host: "h", Path: "/a/x", Key: "k"})
	assert.NilError(t, err)
	assert.Equal(t, admitted.Rank, 1, "the account's rank overrides the route's")
	_, err = query.Admit(state, relay.Request{Host: "h", Path: "/o/x"})
	assert.NilError(t, err)
	cases := map[string]struct {
		state relay.State
		key   string
		path  string
		want  relay.Reason
	}{
		"unknown key":      {state, "other", "/a/x", relay.ReasonUnknownKey},
		"no key":           {state, "", "/a/x", relay.ReasonUnknownKey},
		"no route":         {state, "k", "/b/x", relay.ReasonNoRoute},
		"no configuration": {relay.New(relay.Member{}), "k", "/a/x", relay.ReasonNoConfig},
	}
	for name, c := range cases {
		_, err := query.Admit(c.state, relay.Request{Host: "h", Path: c.path, Key: c.key})
		var r relay.Refusal
		assert.Assert(t, errors.As(err, &r), name)
		assert.Equal(t, r.Reason, c.want, name)
		assert.Assert(t, r.NotRun, name)
	}
}

func TestMayRetryFollowsEndingAndRetryRule(t *testing.T) {
	endings := []query.Ending{query.EndedUnsent, query.EndedNotRun, query.EndedUnknown, query.EndedFailed, query.EndedSlow}
	for _, rule := range []relay.RetryRule{relay.RetryNever, relay.RetryAlways, relay.RetryResuming} {
		for _, ending := range endings {
			route := relay.Route{Repeat: rule, Attempts: 3}
			notRun := ending == query.EndedUnsent || ending == query.EndedNotRun
			want := notRun || rule != relay.RetryNever
			assert.Equal(t, query.MayRetry(route, ending, query.RequestAttempts{}.With(ending), time.Second), want, "%v %v", rule, ending)
			assert.Assert(t, !query.MayRetry(route, ending, query.RequestAttempts{}.With(ending), time.Millisecond), "no time is left")
		}
	}
	route := relay.Route{Repeat: relay.RetryAlways, Attempts: 2}
	assert.Assert(t, !query.MayRetry(route, query.EndedFailed, query.RequestAttempts{All: 2, Run: 2}, time.Second), "attempts are used up")
}

func TestFinalRefusalSaysNotRunOnlyWhenNoServerRanIt(t *testing.T) {
	for run := range 3 {
		for _, ending := range []query.Ending{query.EndedUnsent, query.EndedNotRun, query.EndedUnknown, query.EndedFailed, query.EndedSlow} {
			for _, left := range []time.Duration{0, time.Second} {
				refusal := query.FinalRefusal(ending, query.RequestAttempts{All: run + 1, Run: run}, left)
				assert.Equal(t, refusal.NotRun, run == 0)
				assert.Equal(t, refusal.RetryAfter > 0, refusal.NotRun, "a time to retry is given exactly when no server ran the request")
			}
		}
	}
}

func TestSilenceTimeoutEndsAfterSilenceOfServerOrAttempt(t *testing.T) {
	stream := relay.Route{Stream: true, Repeat: relay.RetryResuming, Objective: 2 * time.Second, Gap: time.Second}
	assert.Assert(t, query.SilenceTimeout(stream, false, false, 0, 0) > 0)
	assert.Assert(t, query.SilenceTimeout(stream, false, false, 2*time.Second, 2*time.Second) <= 0, "the server seems to be dead")
	assert.Assert(t, query.SilenceTimeout(stream, false, true, 2*time.Second, 2*time.Second) > 0, "one silent attempt is weak evidence of a dead server")
	assert.Assert(t, query.SilenceTimeout(stream, false, false, 0, 2*time.Second) > 0, "the server answers other attempts")
	assert.Assert(t, query.SilenceTimeout(stream, false, true, 5*time.Second, 5*time.Second) <= 0, "the wait for a sole attempt is bounded too")
	plain := relay.Route{Repeat: relay.RetryAlways, Objective: time.Second}
	assert.Assert(t, query.SilenceTimeout(plain, false, false, 0, time.Second) <= 0)
}

func TestStepUpNeedsLowConfidenceTimeAndAttempts(t *testing.T) {
	route := relay.Route{Repeat: relay.RetryAlways, Models: []relay.ModelName{"s", "m", "l"}, Attempts: 3, Objective: time.Second}
	answer := query.ObservedAnswer{Confidence: 10, Attempts: query.RequestAttempts{All: 1, Run: 1}, TimeLeft: 5 * time.Second, Throttle: 1}
	untried := func(int, int) relay.ConfidenceGain { return relay.ConfidenceGain{} }
	next, ok := query.StepUp(route, answer, untried)
	assert.Assert(t, ok)
	assert.Equal(t, next, 2)
	refuse := func(reason string, change func(*query.ObservedAnswer)) {
		changed := answer
		change(&changed)
		_, ok := query.StepUp(route, changed, untried)
		assert.Assert(t, !ok, reason)
	}
	refuse("confident answer", func(a *query.ObservedAnswer) { a.Confidence = 90 })
	refuse("larger models are throttled", func(a *query.ObservedAnswer) { a.Throttle = 0.1 })
	refuse("no confidence reported", func(a *query.ObservedAnswer) { a.Confidence = -1 })
	refuse("already the largest model", func(a *query.ObservedAnswer) { a.Step = 2 })
	refuse("no attempt left", func(a *query.ObservedAnswer) { a.Attempts.Run = 3 })
	refuse("no time left", func(a *query.ObservedAnswer) { a.TimeLeft = 100 * time.Millisecond })
	refuse("confidence not low enough for the largest model, which alone is left", func(a *query.ObservedAnswer) { a.Step, a.Confidence = 1, 45 })
}

func TestStepUpAsksSmallestModelExpectedToBeConfident(t *testing.T) {
	route := relay.Route{Repeat: relay.RetryAlways, Models: []relay.ModelName{"s", "m", "l"}, Attempts: 3, Objective: time.Second}
	var helps, useless relay.ConfidenceGain
	for range 50 {
		helps, useless = helps.With(40, 60), useless.With(40, 40)
	}
	ask := func(confidence int, g relay.ConfidenceGain) (int, bool) {
		answer := query.ObservedAnswer{Confidence: confidence, Attempts: query.RequestAttempts{All: 1, Run: 1}, TimeLeft: 5 * time.Second, Throttle: 1}
		return query.StepUp(route, answer, func(int, int) relay.ConfidenceGain { return g })
	}
	for _, c := range []struct {
		confidence int
		gain       relay.ConfidenceGain
		step       int
		dropped    bool
	}{{48, helps, 1, true}, {35, helps, 1, true}, {20, helps, 2, true}, {70, helps, 1, false}, {35, useless, 2, true}, {48, useless, 2, false}} {
		step, dropped := ask(c.confidence, c.gain)
		assert.Equal(t, dropped, c.dropped, "%v", c)
		if dropped {
			assert.Equal(t, step, c.step, "%v", c)
		}
	}
}

func TestInstancesTakeVacantDutyInDistinctTurns(t *testing.T) {
	state := stateInRollOut(now, 7, relay.PhaseUnderWay)
	delays := make(map[time.Duration]bool)
	for _, m := range state.Members() {
		own := state
		own.Self = m
		delay, vacant := query.TakeoverDelay(own, "engine")
		assert.Assert(t, vacant)
		assert.Assert(t, !delays[delay])
		delays[delay] = true
	}
	assert.Assert(t, delays[0])
	held := stateOf(relay.Entry{Duty: &relay.Duty{Service: "engine", Holder: "A"}})
	_, vacant := query.TakeoverDelay(held, "engine")
	assert.Assert(t, !vacant)
}

func TestSelectTargetFollowsWeights(t *testing.T) {
	route := relay.Route{Targets: []relay.Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	count := make(map[relay.ServiceName]int)
	for i := range uint64(1000) {
		count[query.SelectTarget(route, i)]++
	}
	assert.Equal(t, count["a"], 900)
	assert.Equal(t, count["b"], 100)
	assert.Equal(t, query.SelectTarget(relay.Route{}, 1), relay.ServiceName(""))
}

func TestPriorityPutsFirstModelBeforeLargerOnes(t *testing.T) {
	assert.Assert(t, query.Priority(2, 0) < query.Priority(0, 1))
}

// Guards against requests that a leaving instance takes and cuts at its end, above all those that may run once, and against
// refusals of those that end in time.
func TestLeavingInstanceAdmitsRequestsThatEndInTime(t *testing.T) {
	const quick, long = 1500 * time.Millisecond, 25 * time.Second
	config := relay.Entry{Config: &relay.Config{Version: 1, Routes: []relay.Route{
		{Name: "quick", Host: "quick", Prefix: "/", Timeout: quick, Repeat: relay.RetryAlways},
		{Name: "long", Host: "long", Prefix: "/", Timeout: long, Repeat: relay.RetryResuming},
		{Name: "endless", Host: "endless", Prefix: "/", Repeat: relay.RetryAlways},
		{Name: "once", Host: "once", Prefix: "/", Timeout: long},
	}}}
	leaving := stateOf(config).WithLeaving(now, now.Add(7*time.Second))
	for _, c := range []struct {
		name     string
		state    relay.State
		host     string
		after    time.Duration
		timeout  time.Duration
		accepted bool
	}{
		{"instance that stays accepts any request", stateOf(config), "long", time.Hour, 0, true},
		{"leaving instance accepts any request at first that may be repeated", leaving, "long", time.Second, 0, true},
		{"request that may run once and may outlast the instance", leaving, "once", time.Millisecond, 0, false},
		{"request that may run once and ends before the instance", leaving, "once", time.Second, 5 * time.Second, true},
		{"long timeout ends after the instance", leaving, "long", 3 * time.Second, 0, false},
		{"short timeout ends before the instance", leaving, "quick", 5 * time.Second, 0, true},
		{"short timeout ends after the instance", leaving, "quick", 6 * time.Second, 0, false},
		{"caller's own limit ends before the instance", leaving, "long", 6 * time.Second, 500 * time.Millisecond, true},
		{"request without deadline", leaving, "endless", 3 * time.Second, 0, false},
	} {
		_, err := query.Admit(c.state, relay.Request{Host: c.host, Path: "/", Arrived: now.Add(c.after), CallerTimeout: c.timeout})
		assert.Equal(t, err == nil, c.accepted, c.name)
		var r relay.Refusal
		if errors.As(err, &r) {
			assert.Equal(t, r.Reason, relay.ReasonLeaving, c.name)
			assert.Assert(t, r.NotRun && r.RetryAfter > 0, c.name)
		}
	}
}

// Guards against a readiness check that sends callers to an instance that refuses them.
func TestReadyOnlyWithConfirmedConfigurationAndWhileNotLeaving(t *testing.T) {
	state := stateOf(relay.Entry{Config: &relay.Config{Version: 1}}).WithAnswerReceived(now)
	for want, c := range map[relay.Reason]struct {
		state relay.State
		after time.Duration
	}{
		"":                      {state, 0},
		relay.ReasonLeaving:     {state.WithLeaving(now, now.Add(time.Second)), 0},
		relay.ReasonNoConfig:    {relay.New(relay.Member{}), 0},
		relay.ReasonUnconfirmed: {state, time.Minute},
	} {
		reason, isReady := query.Readiness(c.state, now.Add(c.after))
		assert.Equal(t, reason, want)
		assert.Equal(t, isReady, want == "", string(want))
	}
}

func TestStallTimeoutOutlastsEveryCaller(t *testing.T) {
	stream := relay.Route{Stream: true, Objective: 2 * time.Second, Gap: 1500 * time.Millisecond}
	assert.Assert(t, query.StallTimeout(stream, 12*time.Second) > 0, "a caller waits for eight times the pause")
	assert.Assert(t, query.StallTimeout(stream, 15*time.Second) <= 0)
	assert.Assert(t, query.StallTimeout(relay.Route{Stream: true}, time.Second) > 0, "a route may state no targets")
	assert.Assert(t, query.StallTimeout(relay.Route{}, time.Hour) > 0, "a plain answer has its deadline")
}

func TestRescueLeavesEachAttemptItsTime(t *testing.T) {
	stream := relay.Route{Stream: true, Repeat: relay.RetryResuming}
	const whole = 10 * time.Second
	assert.Assert(t, query.RescueDelay(stream, whole, 5*time.Second, 5*time.Second) > 0)
	assert.Assert(t, query.RescueDelay(stream, whole, 500*time.Millisecond, 9*time.Second) <= 0)
	assert.Assert(t, query.RescueDelay(stream, whole, 500*time.Millisecond, 100*time.Millisecond) > 0, "the attempt has just begun")
	assert.Assert(t, query.RescueDelay(relay.Route{}, whole, 0, whole) > 0, "a plain answer can't be continued")
}
