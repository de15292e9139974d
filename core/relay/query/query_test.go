package query_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
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
	a := query.Answered{Confidence: 10, Sends: query.Sends{All: 1, Run: 1}, Left: 5 * time.Second, Zeal: 1}
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
	refuse("larger models are too busy", func(b *query.Answered) { b.Zeal = 0.1 })
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
		a := query.Answered{Confidence: confidence, Sends: query.Sends{All: 1, Run: 1}, Left: 5 * time.Second, Zeal: 1}
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

func TestPick(t *testing.T) {
	draining := serverOf("c", "v1")
	draining.Server.Draining = true
	s := stateOf(serverOf("a", "v1"), serverOf("b", "v2"), draining)
	rnd := rand.New(rand.NewPCG(1, 1))
	loads := func(relay.ServerID) relay.Load { return relay.Load{} }
	for range 50 {
		c, ok := query.Pick(s, query.Want{Service: "engine", Tried: []relay.ServerID{"a"}}, loads, rnd, now)
		assert.Assert(t, ok)
		assert.Equal(t, c.Server.ID, relay.ServerID("b"))
		c, _ = query.Pick(s, query.Want{Service: "engine", Release: "v1"}, loads, rnd, now)
		assert.Equal(t, c.Server.ID, relay.ServerID("a"))
	}
	_, ok := query.Pick(s, query.Want{Service: "engine", Tried: []relay.ServerID{"a", "b"}}, loads, rnd, now)
	assert.Assert(t, !ok)
	shunned := func(id relay.ServerID) relay.Load {
		if id == "a" {
			return relay.Load{Shunned: now.Add(time.Second)}
		}
		return relay.Load{}
	}
	c, _ := query.Pick(s, query.Want{Service: "engine"}, shunned, rnd, now)
	assert.Equal(t, c.Server.ID, relay.ServerID("b"))
	c, ok = query.Pick(s, query.Want{Service: "engine", Release: "v1"}, shunned, rnd, now)
	assert.Assert(t, ok, "a shunned server is better than none")
	assert.Equal(t, c.Server.ID, relay.ServerID("a"))
}

func TestASharedPartStaysAtItsHomeUnlessThatIsBusy(t *testing.T) {
	entries := []relay.Entry{{Config: &relay.Config{Version: 1, Services: []relay.Service{{Name: "engine", Engine: true}}}}}
	for i := range 8 {
		entries = append(entries, serverOf(relay.ServerID(rune('a'+i)), "v1"))
	}
	s := stateOf(entries...)
	rnd := rand.New(rand.NewPCG(1, 1))
	idle := func(relay.ServerID) relay.Load { return relay.Load{} }
	want := query.Want{Service: "engine", Shared: "menu", SharedTokens: 6000, ReadTime: 20 * time.Microsecond}
	home, _ := query.Pick(s, want, idle, rnd, now)
	assert.Assert(t, home.Home)
	for range 30 {
		again, _ := query.Pick(s, want, idle, rnd, now)
		assert.Equal(t, again.Server.ID, home.Server.ID)
	}
	busy := func(id relay.ServerID) relay.Load {
		if id == home.Server.ID {
			return relay.Load{InFlight: 60, Work: 3 * time.Second}
		}
		return relay.Load{}
	}
	other, _ := query.Pick(s, want, busy, rnd, now)
	assert.Assert(t, other.Server.ID != home.Server.ID)
}

func rollOut(seen time.Time, members int, phase relay.Phase) relay.State {
	entries := []relay.Entry{
		serverOf("a", "v1"), serverOf("b", "v2"),
		{RollOut: &relay.RollOut{Service: "engine", Target: "v2", Within: 20 * time.Second}},
		{Progress: &relay.Progress{Service: "engine", Target: "v2", Phase: phase}},
	}
	for i := range members {
		entries = append(entries, member(relay.MemberName(rune('A'+i)), "d1"))
	}
	f := relay.Feed{Whole: true, Revision: 100}
	for i, e := range entries {
		f.Changes = append(f.Changes, relay.Change{Key: string(rune('a' + i)), Revision: int64(i + 1), Entry: e})
	}
	return relay.New(relay.Member{Name: "n1"}).WithFeed(f, seen, 0)
}

func TestAColdServerIsAvoidedUntilItIsWarm(t *testing.T) {
	cold := serverOf("cold", "v1")
	cold.Server.Cold = 5 * time.Second
	s := stateOf(cold, serverOf("warm", "v1"))
	rnd := rand.New(rand.NewPCG(1, 1))
	chosen := func(at time.Time) int {
		n := 0
		for range 200 {
			c, ok := query.Pick(s, query.Want{Service: "engine"}, func(relay.ServerID) relay.Load { return relay.Load{} }, rnd, at)
			assert.Assert(t, ok)
			if c.Server.ID == "cold" {
				n++
			}
		}
		return n
	}
	assert.Assert(t, chosen(now.Add(time.Second)) < 40, "only when it is the only one drawn")
	assert.Assert(t, chosen(now.Add(6*time.Second)) > 60)
	busy := func(id relay.ServerID) relay.Load {
		if id == "warm" {
			return relay.Load{InFlight: 8}
		}
		return relay.Load{}
	}
	c, _ := query.Pick(s, query.Want{Service: "engine", Tried: nil}, busy, rnd, now.Add(time.Second))
	assert.Equal(t, c.Server.ID, relay.ServerID("cold"), "a full server is worse")
}

func TestReleaseOfARequest(t *testing.T) {
	s := rollOut(now, 7, relay.PhaseUnderWay)
	early, late := now.Add(time.Second), now.Add(19*time.Second)
	assert.Equal(t, query.Release(s, "engine", "", "", 9999, early), relay.Release("v1"))
	assert.Equal(t, query.Release(s, "engine", "", "", 0, early), relay.Release("v2"))
	assert.Equal(t, query.Release(s, "engine", "x", "v1", 0, early), relay.Release("v1"), "a session stays where it is")
	assert.Equal(t, query.Release(s, "engine", "x", "v2", 9999, early), relay.Release("v2"))
	assert.Equal(t, query.Release(s, "engine", "x", "v1", 9999, late), relay.Release("v2"), "in the end all move")
	assert.Equal(t, query.Release(rollOut(now, 7, relay.PhaseReverted), "engine", "x", "v2", 0, late), relay.Release("v1"))
	assert.Equal(t, query.Release(rollOut(now, 7, relay.PhaseCompleted), "engine", "x", "v1", 9999, early), relay.Release("v2"))
	assert.Equal(t, query.Release(s, "other", "", "", 0, early), relay.Release(""))
}

func TestExposureStaysSmallUntilTheReleaseIsProved(t *testing.T) {
	s := rollOut(now, 7, relay.PhaseUnderWay)
	p, _ := s.Plan("engine")
	for at := range 10 {
		assert.Assert(t, query.Share(p, 7, now.Add(time.Duration(at)*time.Second)) <= 0.1)
	}
	assert.Assert(t, query.Share(p, 61, now) < query.Share(p, 7, now), "a large fleet needs a smaller part")
}

func TestJudge(t *testing.T) {
	s := rollOut(now, 7, relay.PhaseUnderWay)
	p, _ := s.Plan("engine")
	tally := func(r relay.Release, runs, failed, slow int) relay.Tally {
		return relay.Tally{Service: "engine", Release: r, Runs: runs, Failed: failed, Slow: slow}
	}
	judge := func(at time.Duration, seen ...relay.Tally) relay.Phase {
		phase, _ := query.Judge(s, p, seen, now.Add(at))
		return phase
	}
	old := tally("v1", 500, 2, 5)
	assert.Equal(t, judge(time.Second, old, tally("v2", 10, 5, 0)), relay.PhaseReverted)
	assert.Equal(t, judge(time.Second, old, tally("v2", 20, 0, 9)), relay.PhaseReverted)
	assert.Equal(t, judge(time.Second, old, tally("v2", 3, 1, 0)), relay.PhaseUnderWay, "one failure proves nothing")
	assert.Equal(t, judge(19*time.Second, old, tally("v2", 100, 1, 1)), relay.PhaseCompleted)
	assert.Equal(t, judge(19*time.Second, old, tally("v2", 5, 0, 0)), relay.PhaseUnderWay, "too little is known")
	assert.Equal(t, judge(10*time.Second, old, tally("v2", 100, 0, 0)), relay.PhaseUnderWay, "badness may come late")
	bad := tally("v1", 500, 150, 0)
	assert.Equal(t, judge(time.Second, bad, tally("v2", 20, 6, 0)), relay.PhaseUnderWay, "no worse than before")
	split := []relay.Tally{old, tally("v2", 5, 2, 0), tally("v2", 5, 2, 0), tally("v2", 4, 1, 0)}
	assert.Equal(t, judge(time.Second, split...), relay.PhaseReverted, "all instances' answers count together")
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

func TestOneReaderInEachFailureDomain(t *testing.T) {
	s := stateOf(member("n1", "d1"), member("n2", "d1"), member("n3", "d1"), member("n4", "d2"))
	none := func(relay.MemberName) bool { return false }
	readers := make(map[relay.MemberName]bool)
	for _, m := range s.Members()[:3] {
		own := s
		own.Self = m
		reader, other := query.Reader(own, none)
		assert.Equal(t, other, reader.Name != m.Name)
		readers[reader.Name] = true
	}
	assert.Equal(t, len(readers), 1)
	lonely := s
	lonely.Self = s.Members()[3]
	_, other := query.Reader(lonely, none)
	assert.Assert(t, !other)
	all := func(relay.MemberName) bool { return true }
	_, other = query.Reader(s, all)
	assert.Assert(t, !other, "without a trusted reader the instance reads the store itself")
}

func TestNobodyDependsOnOneReader(t *testing.T) {
	s := stateOf(member("n1", "d1"), member("n2", "d1"), member("n3", "d2"), member("n4", "d3"))
	none := func(relay.MemberName) bool { return false }
	own, _ := query.Reader(s, none)
	asked := make(map[relay.MemberName]bool)
	for turn := range 4 {
		m := query.Teller(s, turn, none)
		assert.Equal(t, m.Name == own.Name, turn%2 == 0)
		asked[m.Name] = true
	}
	assert.Equal(t, len(asked), 3, "each failure domain's reader is asked in turn")
	alone := stateOf(member("n1", "d1"), member("n2", "d1"))
	assert.Equal(t, query.Teller(alone, 1, none).Domain, relay.FailureDomain("d1"))
}

func TestALargeFailureDomainHasSeveralReaders(t *testing.T) {
	var entries []relay.Entry
	for i := range 100 {
		entries = append(entries, member(relay.MemberName(fmt.Sprintf("n%03d", i)), "d1"))
	}
	f := relay.Feed{Whole: true, Revision: 100}
	for i, e := range entries {
		f.Changes = append(f.Changes, relay.Change{Key: fmt.Sprint(i), Revision: int64(i + 1), Entry: e})
	}
	told := make(map[relay.MemberName]int)
	readers := 0
	for _, e := range entries {
		s := relay.New(*e.Member).WithFeed(f, now, 0)
		reader, other := query.Reader(s, func(relay.MemberName) bool { return false })
		told[reader.Name]++
		if !other {
			readers++
		}
	}
	assert.Equal(t, readers, len(told), "each reader knows that it is one")
	assert.Assert(t, readers >= 4 && readers <= 5, "%v", told)
	for name, n := range told {
		assert.Assert(t, n < 40, "%s tells %d", name, n)
	}
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

func TestReady(t *testing.T) {
	s := stateOf(relay.Entry{Config: &relay.Config{Version: 1}})
	assert.Assert(t, query.Ready(s))
	assert.Assert(t, !query.Ready(s.WithLeaving(now, now.Add(time.Second))))
	assert.Assert(t, !query.Ready(relay.New(relay.Member{})))
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
