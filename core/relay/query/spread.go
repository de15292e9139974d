package query

import "endivehitch/core/relay"

// Spread returns the service that receives the request, by the weights of the route's targets;
// spread is a number that is even over requests.
func Spread(r relay.Route, spread uint64) relay.ServiceName {
	total := 0
	for _, t := range r.Targets {
		total += max(0, t.Weight)
	}
	if total == 0 {
		if len(r.Targets) == 0 {
			return ""
		}
		return r.Targets[0].Service
	}
	at := int(spread % uint64(total))
	for _, t := range r.Targets {
		at -= max(0, t.Weight)
		if at < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}
