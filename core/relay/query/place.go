package query

import (
	"time"

	"endivehitch/core/relay"
	"endivehitch/core/relay/place"
)

// evacuatedRetryAfter is how long a caller should wait before a retry if all servers of a service are evacuated. An
// evacuation lasts seconds at least, and no instance can serve the request meanwhile.
const evacuatedRetryAfter = 2 * time.Second

// PlaceRefusal returns the refusal of a request that no server has run, if the failure domains of all servers of the service
// are evacuated. It reports false otherwise.
func PlaceRefusal(state relay.State, service relay.ServiceName) (relay.Refusal, bool) {
	if !place.IsServiceEvacuated(state, service) {
		return relay.Refusal{}, false
	}
	return relay.Refusal{
		Reason: relay.ReasonEvacuated, NotRun: true, RetryAfter: evacuatedRetryAfter,
		Detail: "the failure domains of all servers of " + string(service) + " are evacuated",
	}, true
}
