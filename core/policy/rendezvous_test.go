package policy_test

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"endivehitch/core/policy"
)

const testSlots = 256

func newAssignment(t testing.TB, members int) policy.Rendezvous[string] {
	t.Helper()
	r, err := policy.NewRendezvous[string](policy.RendezvousConfig{Slots: testSlots})
	assert.NilError(t, err)
	for i := range members {
		r = r.With(fmt.Sprintf("instance-%d", i))
	}
	return r
}

func movedSlots(a, b policy.Rendezvous[string]) int {
	n := 0
	for slot := range testSlots {
		before, _ := a.Owner(slot)
		after, _ := b.Owner(slot)
		if before != after {
			n++
		}
	}
	return n
}

func TestRendezvousMovesOnlySlotsOfTheChangedMember(t *testing.T) {
	full := newAssignment(t, 7)
	without := full.Without("instance-3")
	owned := 0
	for slot := range testSlots {
		before, _ := full.Owner(slot)
		after, _ := without.Owner(slot)
		if before == "instance-3" {
			owned++
			assert.Assert(t, after != "instance-3")
			continue
		}
		assert.Equal(t, before, after)
	}
	assert.Equal(t, movedSlots(full, without), owned)
	assert.Assert(t, owned > 0)
	assert.Equal(t, movedSlots(full, without.With("instance-3")), 0)
}

func TestRendezvousIsIndependentOfMembershipOrder(t *testing.T) {
	up := newAssignment(t, 20)
	down, err := policy.NewRendezvous[string](policy.RendezvousConfig{Slots: testSlots})
	assert.NilError(t, err)
	for i := 19; i >= 0; i-- {
		down = down.With(fmt.Sprintf("instance-%d", i)).With("passing")
	}
	assert.Equal(t, movedSlots(up, down.Without("passing")), 0)
}

func TestRendezvousSharesSlotsEvenly(t *testing.T) {
	r := newAssignment(t, 7)
	count := make(map[string]int)
	for slot := range testSlots {
		owner, ok := r.Owner(slot)
		assert.Assert(t, ok)
		count[owner]++
	}
	for member, n := range count {
		assert.Assert(t, n > testSlots/7/2 && n < testSlots/7*2, "%s owns %d", member, n)
	}
}

func TestRendezvousWithoutMembersHasNoOwner(t *testing.T) {
	r := newAssignment(t, 1).Without("instance-0")
	_, ok := r.Owner(0)
	assert.Assert(t, !ok)
	_, ok = newAssignment(t, 1).Owner(testSlots)
	assert.Assert(t, !ok)
	_, err := policy.NewRendezvous[string](policy.RendezvousConfig{})
	assert.ErrorContains(t, err, "no slots")
}

func TestTopIsStableUnderUnrelatedChanges(t *testing.T) {
	r := newAssignment(t, 20)
	top := r.Top("readers", 3)
	assert.Equal(t, len(top), 3)
	for i := range 20 {
		member := fmt.Sprintf("instance-%d", i)
		next := r.Without(member).Top("readers", 3)
		if slices.Contains(top, member) {
			assert.Assert(t, !slices.Contains(next, member))
			continue
		}
		assert.DeepEqual(t, next, top)
	}
	assert.Equal(t, len(r.Top("readers", 30)), 20)
	assert.Equal(t, len(r.Top("readers", 0)), 0)
}

func BenchmarkRendezvousChange(b *testing.B) {
	for _, n := range []int{7, 100, 1000, 2300} {
		b.Run(fmt.Sprintf("Instances%d", n), func(b *testing.B) {
			r := newAssignment(b, n)
			for b.Loop() {
				r = r.Without("instance-3").With("instance-3")
			}
		})
	}
}
