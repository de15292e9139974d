package place

import (
	"time"

	"endivehitch/core/relay"
)

// IsEvacuated reports whether the operators have ordered that no request may reach a server of the failure domain.
func IsEvacuated(state relay.State, domain relay.FailureDomain) bool {
	return isEvacuated(state.Evacuations(), domain)
}

// ReopenedAt returns when this instance learned that the last evacuation of the failure domain was withdrawn, or the zero
// time if it knows of none or if the domain is evacuated again.
func ReopenedAt(state relay.State, domain relay.FailureDomain) time.Time {
	if IsEvacuated(state, domain) {
		return time.Time{}
	}
	return state.ReopenedAt(domain)
}

// isEvacuated compares names one by one, as there are few failure domains.
func isEvacuated(evacuations []relay.Evacuation, domain relay.FailureDomain) bool {
	for i := range evacuations {
		if evacuations[i].Domain == domain {
			return true
		}
	}
	return false
}
