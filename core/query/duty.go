package query

import (
	"slices"
	"strconv"
	"time"

	"endivehitch/core/state"
)

const (
	// dutyCandidates is how many instances contend for a duty's lease. The limit keeps the number of
	// calls to the key-value service independent of the fleet's size.
	dutyCandidates = 3
	// DutyRotation is how long the candidates stay the same. If none of them can reach the
	// key-value service, other instances become candidates after this time.
	DutyRotation = 5 * time.Minute
)

// IsDutyCandidate reports whether the instance is one of the few that contend for the duty at
// present.
//
// A duty is a singleton task of the fleet, run by the instance that holds its lease.
func IsDutyCandidate(s state.State, duty string, now time.Time) bool {
	if s.Leaving {
		return false
	}
	epoch := now.UnixNano() / int64(DutyRotation)
	subject := "duty/" + duty + "/" + strconv.FormatInt(epoch, 10)
	return slices.Contains(s.Owners().Top(subject, dutyCandidates), s.Self.ID)
}
