package query

import "endivehitch/core/relay"

// SelectTarget returns the service that receives the request, in proportion to the weights of the
// route's targets; uniform is a number that is uniformly distributed over requests.
func SelectTarget(route relay.Route, uniform uint64) relay.ServiceName {
	total := 0
	for _, t := range route.Targets {
		total += max(0, t.Weight)
	}
	if total == 0 {
		if len(route.Targets) == 0 {
			return ""
		}
		return route.Targets[0].Service
	}
	remaining := int(uniform % uint64(total))
	for _, t := range route.Targets {
		remaining -= max(0, t.Weight)
		if remaining < 0 {
			return t.Service
		}
	}
	return route.Targets[len(route.Targets)-1].Service
}
