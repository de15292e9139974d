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

// Filter says which failure domains a request may reach. The zero value allows all.
type Filter struct {
	evacuations []relay.Evacuation
}

// NewFilter returns the filter for a request.
func NewFilter(state relay.State) Filter {
	return Filter{evacuations: state.Evacuations()}
}

// Allows reports whether the request may reach the servers of the failure domain.
func (f Filter) Allows(domain relay.FailureDomain) bool {
	return f.evacuations == nil || !isEvacuated(f.evacuations, domain)
}

// IsServiceEvacuated reports whether the service has servers, and all of them are in evacuated failure domains or draining,
// at least one in an evacuated one.
func IsServiceEvacuated(state relay.State, service relay.ServiceName) bool {
	found := false
	for _, server := range state.Servers(service) {
		switch {
		case IsEvacuated(state, server.Domain):
			found = true
		case !server.Draining:
			return false
		}
	}
	return found
}
