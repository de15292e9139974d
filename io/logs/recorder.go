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
	// Keep is how many of the latest decisions are kept.
	Keep int
}

// Recorder writes a log line for each decision and keeps the latest ones.
type Recorder struct {
	log    *zap.Logger
	latest *policy.Cell[policy.Ring[value.Decision]]
}

// NewRecorder returns a recorder, or an error that names what the configuration lacks.
func NewRecorder(c RecorderConfig) (*Recorder, error) {
	if c.Log == nil {
		return nil, errors.New("recorder: no logger")
	}
	return &Recorder{log: c.Log, latest: policy.NewCell(policy.NewRing[value.Decision](c.Keep))}, nil
}

// Record writes and keeps the decision; it doesn't wait for other callers.
func (r *Recorder) Record(d value.Decision) {
	Decision(r.log, d)
	r.latest.Update(func(ring policy.Ring[value.Decision]) policy.Ring[value.Decision] {
		return ring.With(d)
	})
}

// Of returns the kept decisions about the request, the first one first.
func (r *Recorder) Of(id value.RequestID) []value.Decision {
	var found []value.Decision
	for d := range r.latest.Get().All() {
		if d.Request == id {
			found = append(found, d)
		}
	}
	slices.Reverse(found)
	return found
}
