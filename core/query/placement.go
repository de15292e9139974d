package query

import (
	"cmp"
	"math"
	"slices"

	"endivehitch/core/state"
	"endivehitch/core/value"
)

// The reasons for placements: three for loads, the most urgent first, and two for unloads.
const (
	ReasonNoServerHasVersion   value.Reason = "NoServerCarriesVersion"
	ReasonTooFewDomains        value.Reason = "TooFewFailureDomains"
	ReasonDemandExceedsServers value.Reason = "DemandExceedsCarriers"
	ReasonWithdrawn            value.Reason = "VersionWithdrawn"
	ReasonFreesCapacity        value.Reason = "RoomForAnotherVersion"
)

// PlacementRule configures the placement of versions on backend servers.
type PlacementRule struct {
	// VersionsPerServer is how many versions one server can have loaded.
	VersionsPerServer int
	// Domains is in how many failure domains each version is to be loaded, if the pool has as many.
	Domains int
}

// PlacementDemand is the demand that placement has to meet at present.
type PlacementDemand struct {
	// Demand is each version's work as the number of servers that it would keep busy.
	Demand map[value.VersionKey]float64
	// Sessions counts the sessions that are pinned to each version.
	Sessions map[value.VersionKey]int
	// MaxLoads is how many loads the store of model weights allows now.
	MaxLoads int
}

// Placement is an order to load or unload a version, independent of the server's engine.
type Placement struct {
	Server  value.BackendServer
	Version value.VersionKey
	// Load is true for a load and false for an unload.
	Load   bool
	Reason value.Reason
}

// PlanPlacement returns the orders that bring the backend servers closer to what the rule and the
// demand require: first the unloads of withdrawn versions, then loads by urgency, with the unloads
// that free capacity for them.
//
// The orders have to be carried out in sequence, because a load may depend on the unload before it
// that frees the capacity. After a failed order the rest must not be carried out, and PlanPlacement
// has to be called again.
func PlanPlacement(s state.State, r PlacementRule, demand PlacementDemand) []Placement {
	p := &planner{
		state:    s,
		rule:     r,
		demand:   demand,
		versions: make(map[value.ServerID][]value.VersionKey),
		servers:  make(map[value.VersionKey][]value.BackendServer),
		domains:  make(map[value.PoolName]int),
	}
	for _, pool := range s.Config.Document.Pools {
		p.domains[pool.Name] = countDomains(s.PoolServers(pool.Name))
	}
	orders := p.unloadWithdrawn()
	return append(orders, p.load()...)
}

// planner computes the orders of one call of PlanPlacement.
type planner struct {
	state  state.State
	rule   PlacementRule
	demand PlacementDemand
	// versions holds the versions of each server, and servers the servers of each version, that the
	// orders so far change. What has no entry here is as in the state.
	versions map[value.ServerID][]value.VersionKey
	servers  map[value.VersionKey][]value.BackendServer
	// domains counts each pool's failure domains.
	domains map[value.PoolName]int
}

// plannedVersions returns the versions on the server once the orders so far are carried out.
func (p *planner) plannedVersions(b value.BackendServer) []value.VersionKey {
	if changed, ok := p.versions[b.ID]; ok {
		return changed
	}
	return b.Versions
}

// plannedServers returns the servers that have the version once the orders so far are carried out.
func (p *planner) plannedServers(k value.VersionKey) []value.BackendServer {
	if changed, ok := p.servers[k]; ok {
		return changed
	}
	return p.state.VersionServers(k)
}

// requiredDomains returns in how many failure domains a version of the pool is to be loaded.
func (p *planner) requiredDomains(pool value.PoolName) int {
	return min(p.rule.Domains, p.domains[pool])
}

// unloadWithdrawn returns the orders that unload withdrawn versions. The last server of a version with
// pinned sessions keeps it.
func (p *planner) unloadWithdrawn() []Placement {
	var orders []Placement
	for _, b := range p.state.Servers().All() {
		if b.State != value.ServerLive {
			continue
		}
		for _, k := range b.Versions {
			if !p.state.IsWithdrawn(k) || p.isLastServerForSessions(k) {
				continue
			}
			orders = append(orders, p.unload(b, k, ReasonWithdrawn))
		}
	}
	return orders
}

// load returns the orders for the most urgent needs, with at most as many loads as the store of
// model weights allows.
func (p *planner) load() []Placement {
	var orders []Placement
	for remaining := p.demand.MaxLoads; remaining > 0; {
		n, ok := p.mostUrgent()
		if !ok {
			break
		}
		order := p.orderFor(n)
		orders = append(orders, order)
		if order.Load {
			remaining--
		}
	}
	return orders
}

// need is a version that too few servers have, with the server that should load it.
type need struct {
	version value.VersionKey
	pool    value.PoolName
	reason  value.Reason
	// shortage is the version's demand divided by the number of servers that have it.
	shortage float64
	server   value.BackendServer
	// evict is the version to unload first to free capacity, or empty.
	evict value.VersionKey
}

// mostUrgent returns the most urgent need for which there is a server.
func (p *planner) mostUrgent() (need, bool) {
	for _, n := range p.needs() {
		if assigned, ok := p.assignServer(n); ok {
			return assigned, true
		}
	}
	return need{}, false
}

// needs returns the versions that too few servers have, the most urgent first; no servers are
// assigned yet.
func (p *planner) needs() []need {
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

func (p *planner) needOf(k value.VersionKey, v value.Version) (need, bool) {
	if p.state.IsWithdrawn(k) {
		return need{}, false
	}
	servers := p.plannedServers(k)
	n := need{version: k, pool: v.Pool, shortage: p.demand.Demand[k] / float64(max(1, len(servers)))}
	switch {
	case len(servers) == 0:
		n.reason = ReasonNoServerHasVersion
	case countDomains(servers) < p.requiredDomains(v.Pool):
		n.reason = ReasonTooFewDomains
	case float64(len(servers)) < math.Ceil(p.demand.Demand[k]):
		n.reason = ReasonDemandExceedsServers
	default:
		return need{}, false
	}
	return n, true
}

var urgency = map[value.Reason]int{ReasonNoServerHasVersion: 0, ReasonTooFewDomains: 1, ReasonDemandExceedsServers: 2}

func compareNeeds(a, b need) int {
	return cmp.Or(
		cmp.Compare(urgency[a.reason], urgency[b.reason]),
		cmp.Compare(b.shortage, a.shortage),
		cmp.Compare(a.version, b.version),
	)
}

// assignServer picks a server in the failure domain where the fewest servers have the version, and
// there the server with the fewest versions. A version that is in too few failure domains is assigned
// only to one that does not have it yet.
func (p *planner) assignServer(n need) (need, bool) {
	serversByDomain := make(map[value.FailureDomain]int)
	for _, b := range p.plannedServers(n.version) {
		serversByDomain[b.FailureDomain]++
	}
	found := false
	for _, b := range p.state.PoolServers(n.pool) {
		evict, ok := p.evictionFor(b, n)
		if !ok || n.reason == ReasonTooFewDomains && serversByDomain[b.FailureDomain] > 0 {
			continue
		}
		if !found || p.compareServers(b, n.server, serversByDomain) < 0 {
			n.server, n.evict, found = b, evict, true
		}
	}
	return n, found
}

func (p *planner) compareServers(a, b value.BackendServer, serversByDomain map[value.FailureDomain]int) int {
	return cmp.Or(
		cmp.Compare(serversByDomain[a.FailureDomain], serversByDomain[b.FailureDomain]),
		cmp.Compare(len(p.plannedVersions(a)), len(p.plannedVersions(b))),
		cmp.Compare(a.ID, b.ID),
	)
}

// evictionFor reports whether the server can take the version, and returns the version that has to
// be unloaded first, if any.
func (p *planner) evictionFor(b value.BackendServer, n need) (value.VersionKey, bool) {
	versions := p.plannedVersions(b)
	if slices.Contains(versions, n.version) {
		return "", false
	}
	if len(versions) < p.rule.VersionsPerServer {
		return "", true
	}
	for _, k := range versions {
		if p.canEvict(b, k) {
			return k, true
		}
	}
	return "", false
}

// canEvict reports whether enough other servers have the version for it to be unloaded from this
// one.
func (p *planner) canEvict(b value.BackendServer, k value.VersionKey) bool {
	if p.isLastServerForSessions(k) {
		return false
	}
	remaining := withoutServer(p.plannedServers(k), b.ID)
	if len(remaining) == 0 || countDomains(remaining) < p.requiredDomains(b.Pool) {
		return false
	}
	return float64(len(remaining)) >= math.Ceil(p.demand.Demand[k])
}

func (p *planner) orderFor(n need) Placement {
	if n.evict != "" {
		return p.unload(n.server, n.evict, ReasonFreesCapacity)
	}
	p.versions[n.server.ID] = append(slices.Clone(p.plannedVersions(n.server)), n.version)
	p.servers[n.version] = append(slices.Clone(p.plannedServers(n.version)), n.server)
	return Placement{Server: n.server, Version: n.version, Load: true, Reason: n.reason}
}

func (p *planner) unload(b value.BackendServer, k value.VersionKey, reason value.Reason) Placement {
	p.versions[b.ID] = slices.DeleteFunc(slices.Clone(p.plannedVersions(b)), func(have value.VersionKey) bool { return have == k })
	p.servers[k] = withoutServer(p.plannedServers(k), b.ID)
	return Placement{Server: b, Version: k, Reason: reason}
}

// isLastServerForSessions reports whether the version has pinned sessions and at most one server.
func (p *planner) isLastServerForSessions(k value.VersionKey) bool {
	return p.demand.Sessions[k] > 0 && len(p.plannedServers(k)) <= 1
}

func withoutServer(list []value.BackendServer, id value.ServerID) []value.BackendServer {
	return slices.DeleteFunc(slices.Clone(list), func(b value.BackendServer) bool { return b.ID == id })
}

func countDomains(list []value.BackendServer) int {
	domains := make(map[value.FailureDomain]struct{})
	for _, b := range list {
		domains[b.FailureDomain] = struct{}{}
	}
	return len(domains)
}
