package lookup_test

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/value"
	"endivehitch/io/fakes"
	"endivehitch/io/lookup"
)

// newFinders returns a finder for each instance in the map, which stores the decisions about one
// request; each finder queries the listed instances, including those that do not exist.
func newFinders(t *testing.T, requests map[value.InstanceID]value.RequestID, listed ...value.InstanceID) map[value.InstanceID]*lookup.Finder {
	t.Helper()
	var mesh fakes.Mesh
	var fleet []value.Instance
	for _, id := range listed {
		fleet = append(fleet, value.Instance{ID: id, PeerAddress: string(id) + ":1"})
	}
	byInstance := make(map[value.InstanceID]*lookup.Finder)
	for id, requestID := range requests {
		port := mesh.Join(value.Instance{ID: id, PeerAddress: string(id) + ":1"})
		finder, err := lookup.New(lookup.Config{
			Self: id,
			LocalDecisions: func(r value.RequestID) []value.Decision {
				if requestID != r {
					return nil
				}
				return []value.Decision{{Request: r, Step: value.StepAdmit, Detail: string(id)}, {Request: r, Step: value.StepBill}}
			},
			Instances:   func() []value.Instance { return fleet },
			Caller:      port,
			MaxParallel: 2,
			Timeout:     time.Second,
		})
		assert.NilError(t, err)
		assert.NilError(t, finder.Register(port))
		byInstance[id] = finder
	}
	return byInstance
}

func TestFindReturnsDecisionsOfInstanceThatServed(t *testing.T) {
	byInstance := newFinders(t, map[value.InstanceID]value.RequestID{"a": "qa", "b": "qb", "c": "qc"}, "a", "b", "c", "gone")
	for _, request := range []value.RequestID{"qa", "qc"} {
		list, err := byInstance["a"].Find(t.Context(), request)
		assert.NilError(t, err, "an unreachable instance must not prevent another from answering")
		assert.Equal(t, list[0].Detail, string(request[1:]))
		assert.Equal(t, list[1].Step, value.StepBill)
	}
	_, err := byInstance["a"].Find(t.Context(), "unknown")
	var unavailable value.ChangeUnavailable
	assert.Assert(t, errors.As(err, &unavailable), "an instance did not answer: %v", err)
}

func TestFindRefusesRequestUnknownToAllInstances(t *testing.T) {
	byInstance := newFinders(t, map[value.InstanceID]value.RequestID{"a": "qa", "b": "qb"}, "a", "b")
	_, err := byInstance["a"].Find(t.Context(), "unknown")
	var refused value.ChangeRefused
	assert.Assert(t, errors.As(err, &refused), "%v", err)
	assert.Equal(t, refused.Reason, value.ReasonUnknownRequest)
}
