package intake_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/intake"
)

const mib = 1 << 20

// Guards against limits that leave a small machine without room for one body, or a large one without a bound.
func TestLimitsFollowMemoryAndFiles(t *testing.T) {
	small := intake.Limits{}.Within(40*mib, 0)
	assert.Equal(t, small.Bytes, int64(12*mib))
	machine := intake.Limits{}.Within(144*mib, 3075)
	assert.Equal(t, machine.Connections, 1725)
	assert.Equal(t, machine.Fresh, 862)
	assert.Assert(t, machine.Bytes > 28*mib && machine.Bytes < 29*mib)
	few := intake.Limits{}.Within(1024*mib, 210)
	assert.Equal(t, few.Connections, 16)
	stated := intake.Limits{Bytes: 1, Connections: 2, Fresh: 1, BodyTime: 3, WriteStall: 4}
	assert.Equal(t, stated.Within(144*mib, 3075), stated)
}

// Guards against an error that doesn't say which setting is wrong.
func TestLimitThatIsNotUsableIsNamed(t *testing.T) {
	for field, l := range map[string]intake.Limits{
		"intake-memory-mb": {Bytes: -1}, "intake-connections": {Connections: -1}, "intake-fresh-connections": {Connections: 2, Fresh: 3},
		"intake-body-time": {BodyTime: -1}, "intake-write-stall": {WriteStall: -1},
	} {
		err := l.Check()
		assert.ErrorIs(t, err, intake.ErrLimits)
		assert.ErrorContains(t, err, field)
	}
	assert.NilError(t, intake.Limits{}.Check())
}

// Guards against large requests that take the part of ordinary ones, and against a single request within the limits that is
// refused on a machine that is too small for the part of ordinary ones.
func TestBudgetKeepsAPartForOrdinaryRequestsAndServesASingleOne(t *testing.T) {
	b := intake.NewBudget(16 * mib)
	alone, ok := b.WithDraw(15*mib, 0)
	assert.Assert(t, ok, "a single request")
	_, ok = alone.WithDraw(15*mib, 15*mib)
	assert.Assert(t, ok, "a single request whose buffer grows")
	_, ok = alone.WithDraw(mib, 0)
	assert.Assert(t, !ok, "a large one beside it")
	assert.Equal(t, alone.Missing(mib, 0), int64(4*mib))
	ordinary, ok := alone.WithDraw(64<<10, 0)
	assert.Assert(t, ok, "an ordinary one beside it")
	assert.Equal(t, ordinary.WithReturned(15*mib).Used(), int64(64<<10))
	assert.Assert(t, ordinary.IsScarce() && !ordinary.WithReturned(15*mib).IsScarce())
}

// Guards against a refusal of a request that makes progress, or holds little, while others hold more for longer.
func TestHeaviestAndLongestWithoutProgressAreRefusedFirst(t *testing.T) {
	now := time.Unix(100, 0)
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	holdings := []intake.Holding[string]{
		{Key: "small and old", Bytes: 10 << 10, Progress: ago(9 * time.Second)},
		{Key: "large and old", Bytes: 4 * mib, Progress: ago(5 * time.Second)},
		{Key: "large and moving", Bytes: 4 * mib, Progress: ago(10 * time.Millisecond)},
		{Key: "larger and older", Bytes: 5 * mib, Progress: ago(6 * time.Second)},
	}
	asking := intake.Holding[string]{Key: "asking", Bytes: mib, Progress: ago(time.Second)}
	refused, ok := intake.SelectRefused(holdings, asking, 6*mib, now)
	assert.Assert(t, ok)
	assert.DeepEqual(t, refused, []string{"larger and older", "large and old"})
	_, ok = intake.SelectRefused(holdings, asking, 10*mib, now)
	assert.Assert(t, !ok, "the asking request has waited longer than the one that moves")
	ordinary := intake.Holding[string]{Key: "ordinary", Bytes: 20 << 10, Progress: now}
	refused, ok = intake.SelectRefused(holdings, ordinary, 10*mib, now)
	assert.Assert(t, ok)
	assert.Assert(t, slices.Contains(refused, "large and moving"), "%v", refused)
	_, ok = intake.SelectRefused([]intake.Holding[string]{asking}, asking, 1, now)
	assert.Assert(t, !ok, "nobody else holds anything")
}

// Guards against a connection between two requests that is closed while others have never sent one, and against an instance
// that accepts no one any more.
func TestConnectionsWithoutARequestAreClosedFirst(t *testing.T) {
	limits := intake.Limits{Connections: 4, Fresh: 2}
	at := func(s int64) time.Time { return time.Unix(s, 0) }
	idle := intake.Waiting[string]{Key: "idle", Since: at(1)}
	fresh := intake.Waiting[string]{Key: "fresh", Fresh: true, Since: at(3)}
	older := intake.Waiting[string]{Key: "older", Fresh: true, Since: at(2)}
	cases := []struct {
		count         intake.Connections
		waiting       []intake.Waiting[string]
		key           string
		needed, found bool
	}{
		{intake.Connections{Open: 3, Fresh: 1}, nil, "", false, true},
		{intake.Connections{Open: 3, Fresh: 2}, []intake.Waiting[string]{idle, fresh, older}, "older", true, true},
		{intake.Connections{Open: 4, Fresh: 1}, []intake.Waiting[string]{idle, fresh}, "fresh", true, true},
		{intake.Connections{Open: 4}, []intake.Waiting[string]{idle}, "idle", true, true},
		{intake.Connections{Open: 4}, nil, "", true, false},
	}
	for _, c := range cases {
		key, needed, found := intake.SelectClosed(limits, c.count, slices.Values(c.waiting))
		assert.Equal(t, key, c.key, "%v", c.count)
		assert.Equal(t, needed, c.needed, "%v", c.count)
		assert.Equal(t, found, c.found, "%v", c.count)
	}
}
