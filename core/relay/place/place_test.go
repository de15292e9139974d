package place_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/relay"
	"endivehitch/core/relay/place"
)

var start = time.Unix(1000, 0)

func order(domain relay.FailureDomain, revision int64) relay.Change {
	return relay.Change{Key: "e/" + string(domain), Revision: revision, Entry: relay.Entry{Evacuation: &relay.Evacuation{Domain: domain}}}
}

func removal(domain relay.FailureDomain, revision int64) relay.Change {
	return relay.Change{Key: "e/" + string(domain), Revision: revision, Gone: true}
}

func server(id relay.ServerID, domain relay.FailureDomain, isDraining bool) relay.Change {
	return relay.Change{Key: "s/" + string(id), Revision: 1, Entry: relay.Entry{
		Server: &relay.Server{ID: id, Service: "app", Domain: domain, Draining: isDraining, Slots: 1},
	}}
}

func snapshot(revision int64, changes ...relay.Change) relay.Feed {
	return relay.Feed{Whole: true, Revision: revision, Changes: changes}
}

// at returns the time in seconds after the start.
func at(seconds int) time.Time {
	return start.Add(time.Duration(seconds) * time.Second)
}

// Guards against an order, or its end, that is lost with the store's history: only a full snapshot tells of it then.
func TestSnapshotOrdersAndEndsEvacuations(t *testing.T) {
	state := relay.New(relay.Member{}).WithFeed(snapshot(5, order("z0", 4)), at(0), 0)
	assert.Assert(t, place.IsEvacuated(state, "z0") && !place.IsEvacuated(state, "z1"))
	assert.Assert(t, place.ReopenedAt(state, "z0").IsZero())
	state = state.WithFeed(snapshot(9, order("z1", 8)), at(1), 0)
	assert.Assert(t, !place.IsEvacuated(state, "z0") && place.IsEvacuated(state, "z1"))
	assert.Equal(t, place.ReopenedAt(state, "z0"), at(1))
}

// Guards against servers that count as warm after an evacuation that was short, or was withdrawn while the instance could
// not read the store.
func TestReopenedAtIsWhenTheInstanceLearnedOfTheEnd(t *testing.T) {
	state := relay.New(relay.Member{}).WithFeed(snapshot(5), at(0), 0)
	state = state.WithFeed(relay.Feed{After: 5, Revision: 7, Changes: []relay.Change{order("z0", 6), removal("z0", 7)}}, at(1), 0)
	assert.Assert(t, !place.IsEvacuated(state, "z0"))
	assert.Equal(t, place.ReopenedAt(state, "z0"), at(1), "order and end came together")
	state = state.WithFeed(relay.Feed{After: 7, Revision: 8, Changes: []relay.Change{order("z0", 8)}}, at(2), 0)
	assert.Assert(t, place.ReopenedAt(state, "z0").IsZero(), "evacuated again")
	state = state.WithFeed(relay.Feed{After: 8, Revision: 9, Changes: []relay.Change{order("z0", 9)}}, at(3), 0)
	assert.DeepEqual(t, state.Evacuations(), []relay.Evacuation{{Domain: "z0", Revision: 9, Since: at(2)}})
	state = state.WithStoreUnreachable(at(4)).WithStoreRecovered(at(9))
	state = state.WithFeed(relay.Feed{After: 9, Revision: 10, Changes: []relay.Change{removal("z0", 10)}}, at(9), time.Minute)
	assert.Equal(t, place.ReopenedAt(state, "z0"), at(9), "the end of an order has no grace period")
}

// Guards against a request that is kept waiting, or is told that there is no server, when all are evacuated, and against an
// order for an unknown domain that has an effect.
func TestServiceIsEvacuatedIfNoServerIsLeft(t *testing.T) {
	servers := []relay.Change{server("a", "z0", false), server("b", "z1", true)}
	state := relay.New(relay.Member{}).WithFeed(snapshot(5, append(servers, order("z9", 2))...), at(0), 0)
	var all place.Restriction
	assert.Equal(t, place.Check(state, "app", all), place.Open)
	filter := place.NewFilter(state, all)
	assert.Assert(t, filter.Allows("z0") && filter.Allows("z1"))
	state = state.WithFeed(snapshot(6, append(servers, order("z0", 6))...), at(1), 0)
	assert.Equal(t, place.Check(state, "app", all), place.Evacuated)
	assert.Equal(t, place.Check(state, "other", all), place.Open)
	filter = place.NewFilter(state, all)
	assert.Assert(t, !filter.Allows("z0") && filter.Allows("z1"))
}

// Guards against a request that leaves its regions: because its account allows more than its route, a name is misspelt, a
// failure domain has no known region, or the servers of its regions are evacuated.
func TestFilterAllowsRegionsThatRouteAndAccountBothList(t *testing.T) {
	state := relay.New(relay.Member{}).WithRegions(map[relay.FailureDomain]relay.Region{"z0": "north", "z1": "south", "z2": "south"})
	state = state.WithFeed(snapshot(5, server("a", "z0", false), server("b", "z1", false), server("c", "z9", false), order("z0", 2)), at(0), 0)
	regions := func(names ...relay.Region) []relay.Region { return names }
	for name, c := range map[string]struct {
		restriction place.Restriction
		allowed     []relay.FailureDomain
		verdict     place.Verdict
	}{
		"none":          {place.Restriction{}, []relay.FailureDomain{"z1", "z2", "z9"}, place.Open},
		"route":         {place.Restriction{Route: regions("south")}, []relay.FailureDomain{"z1", "z2"}, place.Open},
		"account":       {place.Restriction{Account: regions("north", "south")}, []relay.FailureDomain{"z1", "z2"}, place.Open},
		"both":          {place.Restriction{Route: regions("north", "south"), Account: regions("south")}, []relay.FailureDomain{"z1", "z2"}, place.Open},
		"disjoint":      {place.Restriction{Route: regions("north"), Account: regions("south")}, nil, place.Forbidden},
		"unknown":       {place.Restriction{Route: regions("", "east")}, nil, place.Forbidden},
		"all evacuated": {place.Restriction{Route: regions("north")}, nil, place.Evacuated},
	} {
		filter := place.NewFilter(state, c.restriction)
		var allowed []relay.FailureDomain
		for _, domain := range []relay.FailureDomain{"z0", "z1", "z2", "z9"} {
			if filter.Allows(domain) {
				allowed = append(allowed, domain)
			}
		}
		assert.DeepEqual(t, allowed, c.allowed)
		assert.Equal(t, place.Check(state, "app", c.restriction), c.verdict, name)
	}
}
