package cold_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/relay"
	"endivehitch/core/relay/cold"
)

const coldTime = 3 * time.Second

var (
	start   = time.Unix(7000, 0)
	service = relay.Service{Name: "app", ColdPerSecond: 17, ColdTime: coldTime}
)

// viewAt returns the view, some time after the start, of a server's state, and the server.
func viewAt(after time.Duration, server relay.Server, known relay.Coldness) (cold.View, relay.Server) {
	server.ID, server.Service, server.Domain = "s", service.Name, "z"
	state := relay.New(relay.Member{Name: "n"}).WithFeed(relay.Feed{Whole: true, Revision: 2, Changes: []relay.Change{
		{Key: "c", Revision: 1, Entry: relay.Entry{Config: &relay.Config{Version: 1, Services: []relay.Service{service}}}},
		{Key: "s", Revision: 2, Entry: relay.Entry{Server: &server}},
	}}, start, 0)
	server, _ = state.Server("s")
	return cold.View{State: state, Known: cold.Table{}.With("s", known), Limits: cold.DefaultLimits(), Now: start.Add(after)}, server
}

func at(after time.Duration) time.Time { return start.Add(after) }

func stated(remaining time.Duration) relay.ColdStatement {
	return relay.ColdStatement{Remaining: remaining, IsStated: true}
}

// Guards against a cold server that counts as warm, and a warm one that is left alone, after contradicting news.
func TestLatestNewsDecidesWhetherAServerIsCold(t *testing.T) {
	old, entry := relay.Server{Born: at(-time.Hour)}, relay.Server{Born: at(0), Cold: coldTime}
	lost := relay.Coldness{}.WithLoss(old, true, at(0), at(time.Second))
	reached := lost.WithReached(at(time.Second), at(2*time.Second), at(2*time.Second))
	warm := relay.Coldness{}.WithStatement(stated(0), at(time.Second), at(time.Second))
	for name, c := range map[string]struct {
		after  time.Duration
		server relay.Server
		known  relay.Coldness
		want   cold.Source
	}{
		"nothing known":                   {time.Second, old, relay.Coldness{}, ""},
		"entry":                           {time.Second, entry, relay.Coldness{}, cold.SourceEntry},
		"entry, later":                    {4 * time.Second, entry, relay.Coldness{}, ""},
		"answer after the entry":          {2 * time.Second, entry, warm, ""},
		"answer to a request before it":   {2 * time.Second, entry, relay.Coldness{}.WithStatement(stated(0), at(-time.Second), at(time.Second)), cold.SourceEntry},
		"answer":                          {time.Second, old, relay.Coldness{}.WithStatement(stated(coldTime), at(0), at(0)), cold.SourceAnswer},
		"late answer from before":         {time.Second, old, relay.Coldness{}.WithStatement(stated(coldTime), at(0), at(0)).WithStatement(stated(0), at(-1), at(1)), cold.SourceAnswer},
		"loss":                            {time.Minute, old, lost, cold.SourceLoss},
		"loss of the incarnation before":  {4 * time.Second, entry, lost, ""},
		"loss, then one of before it":     {4 * time.Second, entry, relay.Coldness{}.WithLoss(entry, true, at(0), at(time.Second)).WithLoss(old, true, at(2*time.Second), at(3*time.Second)), cold.SourceLoss},
		"loss, then a report of before":   {4 * time.Second, entry, relay.Coldness{}.WithLoss(entry, true, at(0), at(time.Second)).WithReport(relay.ServerReport{Lost: true, LostBorn: old.Born}, at(3*time.Second)), cold.SourceLoss},
		"loss, then a report of after":    {time.Second, entry, lost.WithReport(relay.ServerReport{Lost: true, LostBorn: entry.Born}, at(time.Second)), cold.SourceLoss},
		"loss, reached again":             {4 * time.Second, old, reached, cold.SourceLoss},
		"loss, reached a cold time ago":   {5 * time.Second, old, reached, ""},
		"loss, answered by an older send": {time.Minute, old, lost.WithReached(at(time.Second), at(0), at(2*time.Second)), cold.SourceLoss},
		"loss, warm by an answer":         {4 * time.Second, old, reached.WithStatement(stated(0), at(2*time.Second), at(2*time.Second)), ""},
		"second loss":                     {6 * time.Second, old, reached.WithLoss(old, true, at(4*time.Second), at(4*time.Second)), cold.SourceLoss},
		"late end of a request lost":      {5 * time.Second, old, reached.WithLoss(old, true, at(0), at(4*time.Second)), ""},
	} {
		view, server := viewAt(c.after, c.server, c.known)
		assert.Equal(t, view.PeriodOf(server).Source, c.want, name)
	}
}

// Guards against servers of a reopened failure domain that count as warm, or as cold for ever.
func TestServersOfAReopenedDomainAreColdUntilSomeTimeAfterTheyAnswer(t *testing.T) {
	for after, reached := range map[time.Duration]relay.Coldness{
		time.Minute: {}, 4 * time.Second: relay.Coldness{}.WithReached(at(0), at(2*time.Second), at(2*time.Second)),
	} {
		view, server := viewAt(after, relay.Server{}, reached)
		view.Reopened = func(relay.State, relay.FailureDomain) time.Time { return at(0) }
		assert.Equal(t, view.PeriodOf(server).Source, cold.SourceDomain)
		view.Now = view.Now.Add(coldTime)
		assert.Equal(t, view.IsCold(server), reached.ReachedAt.IsZero())
	}
}

// Guards against a loss that instances report to each other for ever, each a little later, and against a loss that none hears of.
func TestReportedLossIsTakenInOnce(t *testing.T) {
	report := relay.ServerReport{Lost: true, LostAge: 100 * time.Millisecond, LostBorn: at(-time.Hour)}
	known := relay.Coldness{}.WithReport(report, at(time.Second))
	assert.Equal(t, known.LostAt, at(900*time.Millisecond))
	assert.Equal(t, known.WithReport(report, at(1500*time.Millisecond)), known, "the report of the same loss came late")
	reached := known.WithReached(known.LostAt, at(2*time.Second), at(2*time.Second))
	assert.Equal(t, reached.WithReport(report, at(2050*time.Millisecond)), reached)
	assert.Assert(t, reached.WithReport(report, at(2150*time.Millisecond)).LostAt.After(reached.LostAt), "another loss, soon after it was reached")
}

// Guards against keepers that together let through more than the bound in a second, for services of any size.
func TestKeepersTogetherStayBelowTheBound(t *testing.T) {
	for _, rate := range []float64{0.1, 0.5, 1, 3, 17, 200, 5000} {
		for _, limits := range []cold.Limits{cold.DefaultLimits(), {Overshoot: 1}, {Overshoot: 1.5}, {Overshoot: 3, Allowance: 1}} {
			one := relay.Service{ColdPerSecond: rate}
			sum := 0.0
			for _, role := range []cold.Role{cold.First, cold.Second} {
				bucket := limits.Bucket(one, role)
				reduced := cold.Reduced(relay.SendClaim{Limit: bucket.PerSecond, Burst: bucket.Burst, Second: role == cold.Second})
				for _, b := range [][2]float64{{bucket.PerSecond, bucket.Burst}, {reduced.Limit, reduced.Burst}} {
					sum += mostInASecond(b[0], b[1])
				}
			}
			assert.Check(t, sum <= max(1, 0.9*limits.Bound(one)), "%v a second of %v for %v", sum, limits.Bound(one), rate)
		}
	}
}

// mostInASecond returns the most grants of a bucket in any second; at less than one a second, two are further apart.
func mostInASecond(rate, burst float64) float64 {
	switch {
	case rate <= 0:
		return 0
	case rate < 1 && burst <= 1:
		return 1
	}
	return rate + burst
}
