package query

import (
	"slices"
	"strconv"
	"time"

	"endivehitch/core/state"
)

const (
	// dutyCandidates is how many instances contend for a duty, which bounds the calls of the key-value service.
	dutyCandidates = 3
	// DutyRotation is how long the candidates stay the same: should none of them reach the
	// service, others try next.
	DutyRotation = 5 * time.Minute
)

// MayServe reports whether the instance is one of the few that contend for the duty at present.
func MayServe(s state.State, duty string, now time.Time) bool {
	if s.Leaving {
		return false
	}
	epoch := now.UnixNano() / int64(DutyRotation)
	subject := "duty/" + duty + "/" + strconv.FormatInt(epoch, 10)
	return slices.Contains(s.Owners().Top(subject, dutyCandidates), s.Self.ID)
}
