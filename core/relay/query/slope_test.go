package query_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"endivehitch/core/relay"
	"endivehitch/core/relay/query"
)

// sizes are the numbers of backend servers for which the cost is measured.
var sizes = []int{10, 100, 1000, 10000}

func fleetOf(n int) relay.State {
	feed := relay.Feed{Whole: true, Revision: int64(n + 1)}
	feed.Changes = append(feed.Changes, relay.Change{Key: "config", Revision: 1, Entry: relay.Entry{
		Config: &relay.Config{Version: 1, Services: []relay.Service{{Name: "engine", Engine: true}}},
	}})
	for i := range n {
		e := serverOf(relay.ServerID(fmt.Sprintf("i-%08x", i)), "v1")
		feed.Changes = append(feed.Changes, relay.Change{Key: fmt.Sprint("s/", i), Revision: int64(i + 2), Entry: e})
	}
	return relay.New(relay.Member{Name: "n", Domain: "d1"}).WithFeed(feed, now, 0)
}

func BenchmarkSlopeSelectServer(b *testing.B) {
	for _, n := range sizes {
		state := fleetOf(n)
		rnd := rand.New(rand.NewPCG(1, 1))
		loads := func(relay.ServerID) relay.Load { return relay.Load{} }
		criteria := query.Criteria{Service: "engine", Shared: "5c1e07a2", SharedTokens: 6000, PrefillTime: 20 * time.Microsecond}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				query.SelectServer(state, criteria, loads, rnd, now)
			}
		})
	}
}

func BenchmarkSlopeFeed(b *testing.B) {
	for _, n := range sizes {
		state := fleetOf(n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				c := relay.Change{Key: "s/0", Revision: state.Revision + 1, Entry: serverOf("i-00000000", "v1")}
				state.WithFeed(relay.Feed{After: state.Revision, Revision: state.Revision + 1, Changes: []relay.Change{c}}, now, 0)
			}
		})
	}
}
