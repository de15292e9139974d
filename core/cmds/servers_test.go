package cmds_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/cmds"
	"endivehitch/core/state"
	"endivehitch/core/value"
)

var listedAt = time.Unix(1000, 0)

// listings applies readings of the list of backend servers, some seconds after the first one.
type listings struct {
	state state.State
}

func newListings() *listings {
	return &listings{state: state.New(value.Instance{ID: "i"})}
}

func (l *listings) read(after time.Duration, servers ...value.BackendServer) {
	l.state, _ = cmds.SyncServers{Servers: servers}.Apply(l.state, listedAt.Add(after))
}

// takesWork reports whether requests may be routed to the server.
func (l *listings) takesWork(id value.ServerID) bool {
	for _, b := range l.state.PoolServers("p") {
		if b.ID == id {
			return true
		}
	}
	return false
}

func listed(id value.ServerID, s value.ServerState) value.BackendServer {
	return value.BackendServer{ID: id, Pool: "p", State: s}
}

// Guards against work for a server that leaves, as a reading of the list that lags behind the one before shows it live again,
// or again after it was gone: the work is lost when the server exits.
func TestServerThatLeavesGetsNoWorkAfterAnOlderReading(t *testing.T) {
	live, leaving, other := listed("b", value.ServerLive), listed("b", value.ServerLeaving), listed("c", value.ServerLive)
	l := newListings()
	l.read(0, live, other)
	assert.Assert(t, l.takesWork("b"))
	l.read(time.Second, leaving, other)
	l.read(2*time.Second, live, other)
	assert.Assert(t, !l.takesWork("b"), "an older reading shows it live")
	l.read(3*time.Second, leaving, other)
	l.read(4*time.Second, other)
	l.read(5*time.Second, live, other)
	assert.Assert(t, !l.takesWork("b"), "an older reading shows it again")
	assert.Assert(t, l.takesWork("c"))
}

// Guards against a server that is never used again after it was shown as leaving, such as one whose stop was called off.
func TestServerThatStaysListedAsLiveTakesWorkAgain(t *testing.T) {
	live, leaving := listed("b", value.ServerLive), listed("b", value.ServerLeaving)
	l := newListings()
	l.read(0, leaving)
	for i := range 10 {
		l.read(time.Duration(i+1)*time.Second, live)
		assert.Assert(t, !l.takesWork("b"))
		assert.Equal(t, l.state.RejoiningServers(), 1)
	}
	l.read(11*time.Second, live)
	assert.Assert(t, l.takesWork("b"))
	assert.Equal(t, l.state.RejoiningServers(), 0)
	l.read(12*time.Second, leaving)
	l.read(13*time.Second, live)
	assert.Assert(t, !l.takesWork("b"), "it leaves once more")
}

// Guards against memory that grows with each server that has ever left.
func TestServersThatHaveLeftAreForgotten(t *testing.T) {
	const maxKnown, gone = 1024, 1100
	var servers []value.BackendServer
	for i := range gone {
		servers = append(servers, listed(value.ServerID(fmt.Sprintf("b%04d", i)), value.ServerLeaving))
	}
	l := newListings()
	l.read(0, servers...)
	for i := range gone {
		l.read(time.Duration(i)*time.Millisecond, servers[i+1:]...)
	}
	assert.Equal(t, l.state.Departures().Len(), maxKnown)
	l.read(11 * time.Minute)
	assert.Equal(t, l.state.Departures().Len(), 0)
}
