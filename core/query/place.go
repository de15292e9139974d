package query

import (
	"cmp"
	"math"
	"slices"

	"endivehitch/core/state"
	"endivehitch/core/value"
)

// The reasons for placements, the most pressing first.
const (
	ReasonNoCarrier  value.Reason = "NoServerCarriesVersion"
	ReasonOneDomain  value.Reason = "TooFewFailureDomains"
	ReasonDemand     value.Reason = "DemandExceedsCarriers"
	ReasonWithdrawn  value.Reason = "VersionWithdrawn"
	ReasonMakingRoom value.Reason = "RoomForAnotherVersion"
)

// PlaceRule sets up placement.
type PlaceRule struct {
	// VersionsPerServer is how many versions one server holds.
	VersionsPerServer int
	// Domains is in how many failure domains each version is kept, where the pool has so many.
	Domains int
}

// Wants is what placement has to meet at the moment.
type Wants struct {
	// Demand is each version's work, in servers that it would keep busy.
	Demand map[value.VersionKey]float64
	// Sessions counts the sessions that are pinned to each version.
	Sessions map[value.VersionKey]int
	// Loads is how many loads the weight store would serve now.
	Loads int
}

// Placement is an order for a backend server, in no engine's terms.
type Placement struct {
	Server  value.BackendServer
	Version value.VersionKey
	// Carry is true for a load and false for an unload.
	Carry  bool
	Reason value.Reason
}

// Place returns which orders bring the backend servers closest to what is wanted, the most useful first.
//
// The orders are to be carried out in turn, as a load that needs room follows the unload that
// makes it; after a failure Place is to be asked anew.
func Place(s state.State, r PlaceRule, w Wants) []Placement {
	p := &placing{
		state:    s,
		rule:     r,
		wants:    w,
		carried:  make(map[value.ServerID][]value.VersionKey),
		carriers: make(map[value.VersionKey][]value.BackendServer),
		domains:  make(map[value.PoolName]int),
	}
	for _, pool := range s.Config.Document.Pools {
		p.domains[pool.Name] = domainsOf(s.Members(pool.Name))
	}
	orders := p.unloadWithdrawn()
	return append(orders, p.load()...)
}

// placing is one placement under way.
type placing struct {
	state state.State
	rule  PlaceRule
	wants Wants
	// carried and carriers hold what the orders so far change.
	carried  map[value.ServerID][]value.VersionKey
	carriers map[value.VersionKey][]value.BackendServer
	// domains counts each pool's failure domains.
	domains map[value.PoolName]int
}

// versionsOf returns what the server carries once the orders so far are carried out.
func (p *placing) versionsOf(b value.BackendServer) []value.VersionKey {
	if changed, ok := p.carried[b.ID]; ok {
		return changed
	}
	return b.Versions
}

// carriersOf returns the servers that carry the version once the orders so far are carried out.
func (p *placing) carriersOf(k value.VersionKey) []value.BackendServer {
	if changed, ok := p.carriers[k]; ok {
		return changed
	}
	return p.state.Carriers(k)
}

// enoughDomains returns in how many failure domains a version of the pool is to be kept.
func (p *placing) enoughDomains(pool value.PoolName) int {
	return min(p.rule.Domains, p.domains[pool])
}

func (p *placing) unloadWithdrawn() []Placement {
	var orders []Placement
	for _, b := range p.state.Servers().All() {
		if b.State != value.ServerLive {
			continue
		}
		for _, k := range b.Versions {
			if !p.state.Withdrawn(k) || p.isLastForSessions(k) {
				continue
			}
			orders = append(orders, p.unload(b, k, ReasonWithdrawn))
		}
	}
	return orders
}

// load spends what the weight store allows on the most pressing needs.
func (p *placing) load() []Placement {
	var orders []Placement
	for left := p.wants.Loads; left > 0; {
		n, ok := p.mostPressing()
		if !ok {
			break
		}
		order := p.meet(n)
		orders = append(orders, order)
		if order.Carry {
			left--
		}
	}
	return orders
}

// need is a version that lacks carriers, with the server that is best placed to be the next.
type need struct {
	version value.VersionKey
	pool    value.PoolName
	reason  value.Reason
	// shortage is the version's work for each server that carries it.
	shortage float64
	server   value.BackendServer
	// evict is the version that must go first, or empty.
	evict value.VersionKey
}

// mostPressing returns the most pressing need for which there is a server.
func (p *placing) mostPressing() (need, bool) {
	for _, n := range p.needs() {
		if placed, ok := p.withServer(n); ok {
			return placed, true
		}
	}
	return need{}, false
}

// needs returns the versions that lack carriers, the most pressing first and as yet without servers.
func (p *placing) needs() []need {
	var needs []need
	for _, m := range p.state.Config.Document.Models {
		for _, v := range m.Versions {
			if n, ok := p.needOf(m.Key(v.Name), v); ok {
				needs = append(needs, n)
			}
		}
	}
	slices.SortFunc(needs, compareNeeds)
	return needs
}

func (p *placing) needOf(k value.VersionKey, v value.Version) (need, bool) {
	if p.state.Withdrawn(k) {
		return need{}, false
	}
	carriers := p.carriersOf(k)
	n := need{version: k, pool: v.Pool, shortage: p.wants.Demand[k] / float64(max(1, len(carriers)))}
	switch {
	case len(carriers) == 0:
		n.reason = ReasonNoCarrier
	case domainsOf(carriers) < p.enoughDomains(v.Pool):
		n.reason = ReasonOneDomain
	case float64(len(carriers)) < math.Ceil(p.wants.Demand[k]):
		n.reason = ReasonDemand
	default:
		return need{}, false
	}
	return n, true
}

var urgency = map[value.Reason]int{ReasonNoCarrier: 0, ReasonOneDomain: 1, ReasonDemand: 2}

func compareNeeds(a, b need) int {
	return cmp.Or(
		cmp.Compare(urgency[a.reason], urgency[b.reason]),
		cmp.Compare(b.shortage, a.shortage),
		cmp.Compare(a.version, b.version),
	)
}

// withServer picks a server in the failure domain with the fewest carriers, then the emptiest one.
func (p *placing) withServer(n need) (need, bool) {
	inDomain := make(map[value.FailureDomain]int)
	for _, b := range p.carriersOf(n.version) {
		inDomain[b.FailureDomain]++
	}
	found := false
	for _, b := range p.state.Members(n.pool) {
		evict, ok := p.roomFor(b, n)
		if !ok || n.reason == ReasonOneDomain && inDomain[b.FailureDomain] > 0 {
			continue
		}
		if !found || p.compareServers(b, n.server, inDomain) < 0 {
			n.server, n.evict, found = b, evict, true
		}
	}
	return n, found
}

func (p *placing) compareServers(a, b value.BackendServer, inDomain map[value.FailureDomain]int) int {
	return cmp.Or(
		cmp.Compare(inDomain[a.FailureDomain], inDomain[b.FailureDomain]),
		cmp.Compare(len(p.versionsOf(a)), len(p.versionsOf(b))),
		cmp.Compare(a.ID, b.ID),
	)
}

// roomFor reports whether the server can take the version, and what it must give up for that.
func (p *placing) roomFor(b value.BackendServer, n need) (value.VersionKey, bool) {
	carried := p.versionsOf(b)
	if slices.Contains(carried, n.version) {
		return "", false
	}
	if len(carried) < p.rule.VersionsPerServer {
		return "", true
	}
	for _, k := range carried {
		if p.spare(b, k) {
			return k, true
		}
	}
	return "", false
}

// spare reports whether a version may leave the server without a need of its own arising.
func (p *placing) spare(b value.BackendServer, k value.VersionKey) bool {
	if p.isLastForSessions(k) {
		return false
	}
	rest := withoutServer(p.carriersOf(k), b.ID)
	if len(rest) == 0 || domainsOf(rest) < p.enoughDomains(b.Pool) {
		return false
	}
	return float64(len(rest)) >= math.Ceil(p.wants.Demand[k])
}

func (p *placing) meet(n need) Placement {
	if n.evict != "" {
		return p.unload(n.server, n.evict, ReasonMakingRoom)
	}
	p.carried[n.server.ID] = append(slices.Clone(p.versionsOf(n.server)), n.version)
	p.carriers[n.version] = append(slices.Clone(p.carriersOf(n.version)), n.server)
	return Placement{Server: n.server, Version: n.version, Carry: true, Reason: n.reason}
}

func (p *placing) unload(b value.BackendServer, k value.VersionKey, why value.Reason) Placement {
	p.carried[b.ID] = slices.DeleteFunc(slices.Clone(p.versionsOf(b)), func(have value.VersionKey) bool { return have == k })
	p.carriers[k] = withoutServer(p.carriersOf(k), b.ID)
	return Placement{Server: b, Version: k, Reason: why}
}

// isLastForSessions reports whether sessions would lose their only server.
func (p *placing) isLastForSessions(k value.VersionKey) bool {
	return p.wants.Sessions[k] > 0 && len(p.carriersOf(k)) <= 1
}

func withoutServer(list []value.BackendServer, id value.ServerID) []value.BackendServer {
	return slices.DeleteFunc(slices.Clone(list), func(b value.BackendServer) bool { return b.ID == id })
}

func domainsOf(list []value.BackendServer) int {
	domains := make(map[value.FailureDomain]struct{})
	for _, b := range list {
		domains[b.FailureDomain] = struct{}{}
	}
	return len(domains)
}
