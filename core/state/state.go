package state

import (
	"time"

	"endivehitch/core/policy"
	"endivehitch/core/value"
)

// State is the control state of one instance.
type State struct {
	// Self is the instance that the state belongs to.
	Self value.Instance
	// Config is the document in force.
	Config value.AcceptedDocument
	// NewestKnown is the newest configuration revision that the instance knows to exist.
	NewestKnown int64
	// RejectedRevision is the latest revision with entries that could not be decoded; zero means none.
	RejectedRevision int64
	// Leaving is set once the instance is shutting down.
	Leaving bool
	// LastTick is the time of the latest Tick command, which checks membership time-outs.
	LastTick time.Time

	accounts       policy.Table[value.AccountName, value.ClientAccount]
	kinds          policy.Table[value.KindName, value.Kind]
	versions       policy.Table[value.VersionKey, value.Version]
	pools          policy.Table[value.PoolName, value.Pool]
	services       policy.Table[value.ServiceName, value.Service]
	servers        policy.Table[value.ServerID, value.BackendServer]
	departures     policy.Table[value.ServerID, value.Departure]
	versionServers policy.Table[value.VersionKey, []value.BackendServer]
	poolServers    policy.Table[value.PoolName, []value.BackendServer]
	instances      policy.Table[value.InstanceID, value.Instance]
	rollOuts       policy.Table[value.RollOutName, value.Progress]
	totalShares    float64
	membership     membership
	quality        quality
}

// New returns the state of an instance that knows only itself.
func New(self value.Instance) State {
	return State{membership: newMembership()}.WithSelf(self)
}

// Account returns the client account of that name.
func (s State) Account(n value.AccountName) (value.ClientAccount, bool) {
	return s.accounts.Get(n)
}

// Kind returns the kind of request of that name.
func (s State) Kind(n value.KindName) (value.Kind, bool) {
	return s.kinds.Get(n)
}

// Version returns the version of that key.
func (s State) Version(k value.VersionKey) (value.Version, bool) {
	return s.versions.Get(k)
}

// Pool returns the pool of that name.
func (s State) Pool(n value.PoolName) (value.Pool, bool) {
	return s.pools.Get(n)
}

// Service returns the plain service of that name.
func (s State) Service(n value.ServiceName) (value.Service, bool) {
	return s.services.Get(n)
}

// Server returns the backend server with the identifier.
func (s State) Server(id value.ServerID) (value.BackendServer, bool) {
	return s.servers.Get(id)
}

// Servers returns all backend servers, by identifier.
func (s State) Servers() policy.Table[value.ServerID, value.BackendServer] {
	return s.servers
}

// VersionServers returns the live backend servers that have the version loaded; the slice must not be
// changed.
func (s State) VersionServers(k value.VersionKey) []value.BackendServer {
	servers, _ := s.versionServers.Get(k)
	return servers
}

// PoolServers returns the live backend servers of the pool; the slice must not be changed.
func (s State) PoolServers(p value.PoolName) []value.BackendServer {
	servers, _ := s.poolServers.Get(p)
	return servers
}

// Instances returns the known instances, by identifier.
func (s State) Instances() policy.Table[value.InstanceID, value.Instance] {
	return s.instances
}

// TotalShares returns the sum of the shares of all client accounts, where a share below 1 counts as 1.
func (s State) TotalShares() float64 {
	return s.totalShares
}

// Progress returns the known position of the roll-out of that name.
func (s State) Progress(n value.RollOutName) (value.Progress, bool) {
	return s.rollOuts.Get(n)
}

// WithLeaving returns a state in which the instance is shutting down.
func (s State) WithLeaving() State {
	s.Leaving = true
	return s.WithSelf(s.Self.WithState(value.InstanceLeaving).WithIncarnation(s.Self.Incarnation + 1))
}

// WithProgress returns a state in which the roll-out has the position; the position of a withdrawn
// roll-out also withdraws its version.
func (s State) WithProgress(p value.Progress) State {
	s.rollOuts = s.rollOuts.With(p.Name, p)
	if p.Phase == value.PhaseWithdrawn {
		return s.WithWithdrawal(value.Withdrawal{Version: p.Version, Reason: value.Reason(p.Reason), At: p.Since})
	}
	return s.withAllCandidates()
}

// WithConfig returns a state with the accepted document in force.
func (s State) WithConfig(a value.AcceptedDocument) State {
	s.Config = a
	s = s.WithSelf(s.Self.WithDigest(a.Digest)).WithRevision(a.Revision)
	s.accounts = byName(a.Document.ClientAccounts, func(c value.ClientAccount) value.AccountName { return c.Name })
	s.kinds = byName(a.Document.Kinds, func(k value.Kind) value.KindName { return k.Name })
	s.pools = byName(a.Document.Pools, func(p value.Pool) value.PoolName { return p.Name })
	s.services = byName(a.Document.Services, func(v value.Service) value.ServiceName { return v.Name })
	s.versions = versionsOf(a.Document.Models)
	s.totalShares = 0
	for _, c := range a.Document.ClientAccounts {
		s.totalShares += float64(max(1, c.Share))
	}
	return s.withDocumentQuality()
}

func byName[K ~string, V any](list []V, name func(V) K) policy.Table[K, V] {
	entries := make(map[K]V, len(list))
	for _, v := range list {
		entries[name(v)] = v
	}
	return policy.NewTable(entries)
}

func versionsOf(models []value.Model) policy.Table[value.VersionKey, value.Version] {
	entries := make(map[value.VersionKey]value.Version)
	for _, m := range models {
		for _, v := range m.Versions {
			entries[m.Key(v.Name)] = v
		}
	}
	return policy.NewTable(entries)
}
