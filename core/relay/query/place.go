package query

import (
	"time"

	"endivehitch/core/relay"
	"endivehitch/core/relay/place"
)

// placeRetryAfter is how long a caller should wait before a retry if no server may get its request. An evacuation lasts
// seconds at least, and no instance can serve the request meanwhile.
const placeRetryAfter = 2 * time.Second

// PlaceRefusal returns the refusal of a request that no server has run, if the service has servers but all of them are in
// evacuated failure domains or in regions that the request may not reach. It reports false otherwise.
func PlaceRefusal(state relay.State, service relay.ServiceName, regions place.Restriction) (relay.Refusal, bool) {
	refusal := relay.Refusal{NotRun: true, RetryAfter: placeRetryAfter}
	switch place.Check(state, service, regions) {
	case place.Evacuated:
		refusal.Reason = relay.ReasonEvacuated
		refusal.Detail = "the failure domains of all servers of " + string(service) + " that the request may reach are evacuated"
	case place.Forbidden:
		refusal.Reason = relay.ReasonRegion
		refusal.Detail = "no server of " + string(service) + " is in a region that the request may reach"
	default:
		return relay.Refusal{}, false
	}
	return refusal, true
}
