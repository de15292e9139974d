package logs

import (
	"errors"
	"slices"

	"go.uber.org/zap"

	"endivehitch/core/policy"
	"endivehitch/core/value"
)

// RecorderConfig sets up a Recorder.
type RecorderConfig struct {
	Log *zap.Logger
	// Capacity is the number of latest decisions that are stored.
	Capacity int
}

// Recorder logs routing decisions and stores the latest of them.
type Recorder struct {
	log    *zap.Logger
	latest *policy.Cell[policy.Ring[value.Decision]]
}

// NewRecorder returns a recorder, or an error that names what the configuration lacks.
func NewRecorder(c RecorderConfig) (*Recorder, error) {
	if c.Log == nil {
		return nil, errors.New("recorder: no logger")
	}
	return &Recorder{log: c.Log, latest: policy.NewCell(policy.NewRing[value.Decision](c.Capacity))}, nil
}

// Record logs and stores the decision; it stores without a lock.
func (r *Recorder) Record(d value.Decision) {
	LogDecision(r.log, d)
	r.latest.Update(func(ring policy.Ring[value.Decision]) policy.Ring[value.Decision] {
		return ring.With(d)
	})
}

// ForRequest returns the stored decisions about the request, oldest first.
func (r *Recorder) ForRequest(id value.RequestID) []value.Decision {
	var found []value.Decision
	for d := range r.latest.Get().All() {
		if d.Request == id {
			found = append(found, d)
		}
	}
	slices.Reverse(found)
	return found
}
