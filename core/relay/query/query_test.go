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
	f := relay.Feed{Whole: true, Revision: 100}
	for i, e := range entries {
		f.Changes = append(f.Changes, relay.Change{Key: string(rune('a' + i)), Revision: int64(i + 1), Entry: e})
	}
	return relay.New(relay.Member{Name: "n1", Domain: "d1"}).WithFeed(f, now, 0)
}

func serverOf(id relay.ServerID, r relay.Release) relay.Entry {
	return relay.Entry{Server: &relay.Server{ID: id, Service: "engine", Address: "a", Domain: "d1", Release: r, Slots: 8}}
}

func member(n relay.MemberName, d relay.FailureDomain) relay.Entry {
	return relay.Entry{Member: &relay.Member{Name: n, Domain: d}}
}

func TestAdmit(t *testing.T) {
	s := stateOf(relay.Entry{Config: &relay.Config{
		Version:  1,
		Routes:   []relay.Route{{Name: "r", Host: "h", Prefix: "/a/", Rank: 2}, {Name: "open", Host: "h", Prefix: "/o/", Open: true}},
		Accounts: []relay.Account{{Name: "acme", Keys: []string{"k"}, Rank: 1, HasRank: true}},
	}})
	a, err := query.Admit(s, relay.Request{Host: "h", Path: "/a/x", Key: "k"})
	assert.NilError(t, err)
	assert.Equal(t, a.Rank, 1, "the account's rank goes first")
	_, err = query.Admit(s, relay.Request{Host: "h", Path: "/o/x"})
	assert.NilError(t, err)
	cases := map[string]struct {
		state relay.State
		key   string
		path  string
		want  relay.Reason
	}{
		"unknown key":      {s, "other", "/a/x", relay.ReasonNoKey},
		"no key":           {s, "", "/a/x", relay.ReasonNoKey},
		"no route":         {s, "k", "/b/x", relay.ReasonNoRoute},
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

func TestWhatMayBeSentAgain(t *testing.T) {
	endings := []query.Ending{query.EndedUnsent, query.EndedNotRun, query.EndedUnknown, query.EndedFailed, query.EndedSlow}
	for _, repeat := range []relay.Repeat{relay.RepeatNever, relay.RepeatFreely, relay.RepeatResumed} {
		for _, e := range endings {
			r := relay.Route{Repeat: repeat, Attempts: 3}
			notRun := e == query.EndedUnsent || e == query.EndedNotRun
			want := notRun || repeat != relay.RepeatNever
			assert.Equal(t, query.Again(r, e, query.Sends{}.With(e), time.Second), want, "%v %v", repeat, e)
			assert.Assert(t, !query.Again(r, e, query.Sends{}.With(e), time.Millisecond), "no time is left")
		}
	}
	r := relay.Route{Repeat: relay.RepeatFreely, Attempts: 2}
	assert.Assert(t, !query.Again(r, query.EndedFailed, query.Sends{All: 2, Run: 2}, time.Second), "attempts are used up")
}

func TestNotRunIsSaidOnlyWhenNothingRan(t *testing.T) {
	for run := range 3 {
		for _, e := range []query.Ending{query.EndedUnsent, query.EndedNotRun, query.EndedUnknown, query.EndedFailed, query.EndedSlow} {
			for _, left := range []time.Duration{0, time.Second} {
				v := query.Verdict(e, query.Sends{All: run + 1, Run: run}, left)
				assert.Equal(t, v.NotRun, run == 0)
				assert.Equal(t, v.RetryAfter > 0, v.NotRun, "a refusal says when to come back")
			}
		}
	}
}

func TestPatience(t *testing.T) {
	stream := relay.Route{Stream: true, Repeat: relay.RepeatResumed, Objective: 2 * time.Second, Gap: time.Second}
	assert.Assert(t, query.Patience(stream, false, false, 0, 0) > 0)
	assert.Assert(t, query.Patience(stream, false, false, 2*time.Second, 2*time.Second) <= 0, "the server seems dead")
	assert.Assert(t, query.Patience(stream, false, true, 2*time.Second, 2*time.Second) > 0, "one run tells little")
	assert.Assert(t, query.Patience(stream, false, false, 0, 2*time.Second) > 0, "the server answers others")
	assert.Assert(t, query.Patience(stream, false, true, 5*time.Second, 5*time.Second) <= 0, "not for ever")
	plain := relay.Route{Repeat: relay.RepeatFreely, Objective: time.Second}
	assert.Assert(t, query.Patience(plain, false, false, 0, time.Second) <= 0)
}

func TestStepUp(t *testing.T) {
	r := relay.Route{Models: []relay.ModelName{"s", "m", "l"}, Attempts: 3, Objective: time.Second}
	a := query.Answered{Confidence: 10, Sends: query.Sends{All: 1, Run: 1}, Left: 5 * time.Second, Throttle: 1}
	untried := func(int, int) relay.Gain { return relay.Gain{} }
	next, ok := query.StepUp(r, a, untried)
	assert.Assert(t, ok)
	assert.Equal(t, next, 2)
	refuse := func(why string, change func(*query.Answered)) {
		b := a
		change(&b)
		_, ok := query.StepUp(r, b, untried)
		assert.Assert(t, !ok, why)
	}
	refuse("sure of itself", func(b *query.Answered) { b.Confidence = 90 })
	refuse("larger models are too busy", func(b *query.Answered) { b.Throttle = 0.1 })
	refuse("no opinion", func(b *query.Answered) { b.Confidence = -1 })
	refuse("already the largest", func(b *query.Answered) { b.Step = 2 })
	refuse("no attempt left", func(b *query.Answered) { b.Sends.Run = 3 })
	refuse("no time left", func(b *query.Answered) { b.Left = 100 * time.Millisecond })
	refuse("little doubt, and only the largest is left", func(b *query.Answered) { b.Step, b.Confidence = 1, 45 })
}

func TestTheSmallestModelThatIsExpectedToBeSureIsAsked(t *testing.T) {
	r := relay.Route{Models: []relay.ModelName{"s", "m", "l"}, Attempts: 3, Objective: time.Second}
	var helps, useless relay.Gain
	for range 50 {
		helps, useless = helps.With(40, 60), useless.With(40, 40)
	}
	ask := func(confidence int, g relay.Gain) (int, bool) {
		a := query.Answered{Confidence: confidence, Sends: query.Sends{All: 1, Run: 1}, Left: 5 * time.Second, Throttle: 1}
		return query.StepUp(r, a, func(int, int) relay.Gain { return g })
	}
	for _, c := range []struct {
		confidence int
		gain       relay.Gain
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

func TestOneInstanceAtATimeTakesAVacantDuty(t *testing.T) {
	s := rollOut(now, 7, relay.PhaseUnderWay)
	turns := make(map[time.Duration]bool)
	for _, m := range s.Members() {
		own := s
		own.Self = m
		turn, vacant := query.Vacant(own, "engine")
		assert.Assert(t, vacant)
		assert.Assert(t, !turns[turn])
		turns[turn] = true
	}
	assert.Assert(t, turns[0])
	held := stateOf(relay.Entry{Duty: &relay.Duty{Service: "engine", Holder: "A"}})
	_, vacant := query.Vacant(held, "engine")
	assert.Assert(t, !vacant)
}

func TestSpread(t *testing.T) {
	r := relay.Route{Targets: []relay.Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	count := make(map[relay.ServiceName]int)
	for i := range uint64(1000) {
		count[query.Spread(r, i)]++
	}
	assert.Equal(t, count["a"], 900)
	assert.Equal(t, count["b"], 100)
	assert.Equal(t, query.Spread(relay.Route{}, 1), relay.ServiceName(""))
}

func TestPriority(t *testing.T) {
	assert.Assert(t, query.Priority(2, 0) < query.Priority(0, 1))
}

func TestALeavingInstanceTakesWhatEndsBeforeItDoes(t *testing.T) {
	const quick, long = 1500 * time.Millisecond, 25 * time.Second
	config := relay.Entry{Config: &relay.Config{Version: 1, Routes: []relay.Route{
		{Name: "quick", Host: "quick", Prefix: "/", Timeout: quick},
		{Name: "long", Host: "long", Prefix: "/", Timeout: long},
		{Name: "endless", Host: "endless", Prefix: "/"},
	}}}
	leaving := stateOf(config).WithLeaving(now, now.Add(7*time.Second))
	for _, c := range []struct {
		why      string
		state    relay.State
		host     string
		after    time.Duration
		patience time.Duration
		taken    bool
	}{
		{"an instance that stays takes everything", stateOf(config), "long", time.Hour, 0, true},
		{"callers have yet to notice", leaving, "long", time.Second, 0, true},
		{"it would be cut", leaving, "long", 3 * time.Second, 0, false},
		{"it ends in time", leaving, "quick", 5 * time.Second, 0, true},
		{"it might be cut", leaving, "quick", 6 * time.Second, 0, false},
		{"its caller leaves in time", leaving, "long", 6 * time.Second, 500 * time.Millisecond, true},
		{"it may last for any time", leaving, "endless", 3 * time.Second, 0, false},
	} {
		_, err := query.Admit(c.state, relay.Request{Host: c.host, Path: "/", Arrived: now.Add(c.after), Patience: c.patience})
		assert.Equal(t, err == nil, c.taken, c.why)
		var r relay.Refusal
		if errors.As(err, &r) {
			assert.Equal(t, r.Reason, relay.ReasonLeaving, c.why)
			assert.Assert(t, r.NotRun && r.RetryAfter > 0, c.why)
		}
	}
}

func TestReady(t *testing.T) {
	s := stateOf(relay.Entry{Config: &relay.Config{Version: 1}})
	assert.Assert(t, query.Ready(s))
	assert.Assert(t, !query.Ready(s.WithLeaving(now, now.Add(time.Second))))
	assert.Assert(t, !query.Ready(relay.New(relay.Member{})))
}
