package place

import (
	"slices"

	"endivehitch/core/relay"
)

// Restriction lists the regions that a request may reach. The zero value allows all.
type Restriction struct {
	// Route and Account are the lists of the request's route and client account. A request must be allowed by both; an
	// empty list allows all regions.
	Route   []relay.Region
	Account []relay.Region
}

// RestrictionOf returns the restriction of the requests of the client account to the route.
func RestrictionOf(route relay.Route, account relay.Account) Restriction {
	return Restriction{Route: route.AllowedRegions, Account: account.AllowedRegions}
}

func (r Restriction) isEmpty() bool {
	return len(r.Route) == 0 && len(r.Account) == 0
}

// allows reports whether the request may reach the region.
func (r Restriction) allows(region relay.Region) bool {
	return (len(r.Route) == 0 || slices.Contains(r.Route, region)) && (len(r.Account) == 0 || slices.Contains(r.Account, region))
}

// domains returns the failure domains that the request may reach, evacuated or not. One whose region isn't known has none.
func (r Restriction) domains(state relay.State) []relay.FailureDomain {
	var allowed []relay.FailureDomain
	for domain, region := range state.Regions() {
		if r.allows(region) {
			allowed = append(allowed, domain)
		}
	}
	return allowed
}

// Filter says which failure domains a request may reach. The zero value allows all.
type Filter struct {
	evacuations []relay.Evacuation
	// allowed lists the failure domains in allowed regions, if isRestricted is set.
	allowed      []relay.FailureDomain
	isRestricted bool
}

// NewFilter returns the filter for a request with the restriction.
func NewFilter(state relay.State, restriction Restriction) Filter {
	f := Filter{evacuations: state.Evacuations()}
	if !restriction.isEmpty() {
		f.isRestricted, f.allowed = true, restriction.domains(state)
	}
	return f
}

// Allows reports whether the request may reach the servers of the failure domain.
func (f Filter) Allows(domain relay.FailureDomain) bool {
	return (f.evacuations == nil || !isEvacuated(f.evacuations, domain)) && f.isPermitted(domain)
}

// isPermitted reports whether the request may reach the region of the failure domain.
func (f Filter) isPermitted(domain relay.FailureDomain) bool {
	return !f.isRestricted || slices.Contains(f.allowed, domain)
}

// Verdict says whether a service has servers that a request may reach.
type Verdict int

// The verdicts.
const (
	// Open is the verdict for a service with a server that the request may reach, and for one without servers.
	Open Verdict = iota
	// Evacuated is the verdict if the request could reach a server once an evacuation is withdrawn.
	Evacuated
	// Forbidden is the verdict if no server is in a region that the request may reach.
	Forbidden
)

// VerdictOf returns the verdict for the servers of the failure domain.
func (f Filter) VerdictOf(domain relay.FailureDomain) Verdict {
	switch {
	case f.Allows(domain):
		return Open
	case f.isPermitted(domain):
		return Evacuated
	}
	return Forbidden
}

// Check returns the verdict for the service and a request with the restriction; draining servers don't count.
func Check(state relay.State, service relay.ServiceName, restriction Restriction) Verdict {
	filter, verdict := NewFilter(state, restriction), Open
	for _, server := range state.Servers(service) {
		if server.Draining {
			continue
		}
		switch v := filter.VerdictOf(server.Domain); {
		case v == Open:
			return Open
		case v == Evacuated, verdict == Open:
			verdict = v
		}
	}
	return verdict
}
