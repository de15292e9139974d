package state_test

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"endivehitch/core/state"
	"endivehitch/core/value"
)

func TestServerListsMatchTheServersAfterEveryChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := state.New(value.Instance{ID: "i"})
		want := make(map[value.ServerID]value.BackendServer)
		server := rapid.Custom(func(t *rapid.T) value.BackendServer {
			return value.BackendServer{
				ID:       value.ServerID(fmt.Sprint("s", rapid.IntRange(0, 9).Draw(t, "id"))),
				Pool:     rapid.SampledFrom([]value.PoolName{"p", "q"}).Draw(t, "pool"),
				State:    rapid.SampledFrom([]value.ServerState{value.ServerLive, value.ServerLeaving}).Draw(t, "state"),
				Versions: rapid.SliceOfNDistinct(rapid.SampledFrom([]value.VersionKey{"m/1", "m/2"}), 0, 2, rapid.ID).Draw(t, "versions"),
			}
		})
		for range rapid.IntRange(1, 12).Draw(t, "changes") {
			changed := rapid.SliceOfN(server, 0, 6).Draw(t, "changed")
			var removed []value.ServerID
			for _, b := range rapid.SliceOfN(server, 0, 2).Draw(t, "gone") {
				listed := func(c value.BackendServer) bool { return c.ID == b.ID }
				if !slices.ContainsFunc(changed, listed) {
					removed = append(removed, b.ID)
				}
			}
			s = s.WithServers(changed, removed)
			for _, b := range changed {
				want[b.ID] = b
			}
			for _, id := range removed {
				delete(want, id)
			}
		}
		assert.Equal(t, s.Servers().Len(), len(want))
		for _, p := range []value.PoolName{"p", "q"} {
			assertLiveServers(t, s.PoolServers(p), want, func(b value.BackendServer) bool { return b.Pool == p })
		}
		for _, v := range []value.VersionKey{"m/1", "m/2"} {
			assertLiveServers(t, s.VersionServers(v), want, func(b value.BackendServer) bool { return b.HasVersion(v) })
		}
	})
}

func assertLiveServers(t *rapid.T, list []value.BackendServer, want map[value.ServerID]value.BackendServer, belongs func(value.BackendServer) bool) {
	n := 0
	for _, b := range want {
		if b.State == value.ServerLive && belongs(b) {
			n++
		}
	}
	assert.Equal(t, len(list), n)
	for _, b := range list {
		assert.DeepEqual(t, b, want[b.ID])
		assert.Assert(t, belongs(b) && b.State == value.ServerLive)
	}
}
