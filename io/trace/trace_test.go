package trace_test

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/value"
	"endivehitch/io/fakes"
	"endivehitch/io/trace"
)

// finders returns a finder for each instance, with the request whose decisions it keeps.
func finders(t *testing.T, keeps map[value.InstanceID]value.RequestID, listed ...value.InstanceID) map[value.InstanceID]*trace.Finder {
	t.Helper()
	var mesh fakes.Mesh
	var fleet []value.Instance
	for _, id := range listed {
		fleet = append(fleet, value.Instance{ID: id, PeerAddress: string(id) + ":1"})
	}
	all := make(map[value.InstanceID]*trace.Finder)
	for id, kept := range keeps {
		port := mesh.Join(value.Instance{ID: id, PeerAddress: string(id) + ":1"})
		one, err := trace.New(trace.Config{
			Self: id,
			Local: func(r value.RequestID) []value.Decision {
				if kept != r {
					return nil
				}
				return []value.Decision{{Request: r, Step: value.StepAdmit, Detail: string(id)}, {Request: r, Step: value.StepBill}}
			},
			Instances: func() []value.Instance { return fleet },
			Caller:    port,
			Parallel:  2,
			Timeout:   time.Second,
		})
		assert.NilError(t, err)
		assert.NilError(t, one.Register(port))
		all[id] = one
	}
	return all
}

func TestFindAsksTheInstanceThatServed(t *testing.T) {
	all := finders(t, map[value.InstanceID]value.RequestID{"a": "qa", "b": "qb", "c": "qc"}, "a", "b", "c", "gone")
	for _, request := range []value.RequestID{"qa", "qc"} {
		list, err := all["a"].Find(t.Context(), request)
		assert.NilError(t, err, "an instance that is gone keeps no other from answering")
		assert.Equal(t, list[0].Detail, string(request[1:]))
		assert.Equal(t, list[1].Step, value.StepBill)
	}
	_, err := all["a"].Find(t.Context(), "unknown")
	var unavailable value.ChangeUnavailable
	assert.Assert(t, errors.As(err, &unavailable), "an instance gave no answer: %v", err)
}

func TestFindSaysWhenNoInstanceKnows(t *testing.T) {
	all := finders(t, map[value.InstanceID]value.RequestID{"a": "qa", "b": "qb"}, "a", "b")
	_, err := all["a"].Find(t.Context(), "unknown")
	var refused value.ChangeRefused
	assert.Assert(t, errors.As(err, &refused), "%v", err)
	assert.Equal(t, refused.Reason, value.ReasonUnknownRequest)
}
