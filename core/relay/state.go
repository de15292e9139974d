package relay

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"endivehitch/core/policy"
)

// State is the control state of one instance; traffic reads it as an immutable snapshot.
type State struct {
	Self Member
	// Revision is the newest store revision that the state includes.
	Revision int64
	// Config is the configuration in force; its version is 0 before the first one.
	Config Config
	// ConfigRevision is the revision of the configuration's entry.
	ConfigRevision int64
	// Leaving is set while the instance shuts down: from LeavingSince until LeavesBy at the latest.
	Leaving      bool
	LeavingSince time.Time
	LeavesBy     time.Time
	// Startup is what the instance knows of its start.
	Startup Startup
	// StoreUnreachableSince is when the store became unreachable; zero means that it is reachable.
	StoreUnreachableSince time.Time
	// StoreRecoveredAt is when the store last became reachable again after an outage that may have
	// affected all instances and servers; zero means that there was none.
	StoreRecoveredAt time.Time
	// StoreAnsweredAt is when the store last answered this instance or, as peers report, another one.
	StoreAnsweredAt time.Time
	// AnswerReceivedAt is when this instance last received an answer from the store or another instance.
	AnswerReceivedAt time.Time

	entries map[string]Change
	// missing holds, by key, the end of the grace period of entries whose removal is in doubt.
	missing map[string]time.Time
	// outdated holds, by key, the entries in the store that are older than the ones known, and departed the last entries of
	// servers that are gone.
	outdated map[string]outdatedEntry
	departed policy.Table[string, departure]
	// history holds the changes after revision historyStart, for readers that have missed them.
	history      policy.List[Change]
	historyStart int64
	hosts        map[string][]Route
	services     map[ServiceName]Service
	keys         map[string]Account
	servers      map[ServiceName][]Server
	byID         map[ServerID]*Server
	rollOuts     map[ServiceName]RollOutState
	duties       map[ServiceName]Duty
	members      []Member
	// evacuations is sorted by failure domain and nil if there are none, so that queries can skip them.
	evacuations []Evacuation
	reopened    map[FailureDomain]time.Time
	// regions holds the region of each failure domain; it doesn't change.
	regions map[FailureDomain]Region
}

// RollOutState is a roll-out's order together with its progress.
type RollOutState struct {
	Order RollOut
	// OrderedAt is when the order was given; it is an estimate unless AgeKnown is set.
	OrderedAt time.Time
	// AgeKnown is set when this instance, or a peer that reported it, observed the order.
	AgeKnown bool
	Progress Progress
	// ProgressRevision is the revision of the progress's entry; 0 means that there is none.
	ProgressRevision int64
}

// Phase returns the phase of the current order; progress of an earlier order doesn't count.
func (r RollOutState) Phase() Phase {
	if r.Progress.Target != r.Order.Target || r.ProgressRevision < r.Order.Revision {
		return PhaseNone
	}
	return r.Progress.Phase
}

// New returns the initial state of an instance, which has read nothing from the store.
func New(self Member) State {
	return State{Self: self}
}

// WithRegions returns a state with the region of each failure domain; the map must not be changed afterwards.
func (s State) WithRegions(regions map[FailureDomain]Region) State {
	s.regions = regions
	return s
}

// Regions returns the region of each failure domain; the map must not be changed.
func (s State) Regions() map[FailureDomain]Region {
	return s.regions
}

// Route returns the host's route with the longest prefix of the path.
func (s State) Route(host, path string) (Route, bool) {
	for _, r := range s.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// Account returns the client account that holds the key.
func (s State) Account(key string) (Account, bool) {
	a, ok := s.keys[key]
	return a, ok
}

// Service returns the service of that name.
func (s State) Service(n ServiceName) (Service, bool) {
	v, ok := s.services[n]
	return v, ok
}

// Servers returns the service's servers, sorted by identifier; the slice must not be changed.
func (s State) Servers(n ServiceName) []Server {
	return s.servers[n]
}

// Server returns the server of that identifier.
func (s State) Server(id ServerID) (Server, bool) {
	v, ok := s.byID[id]
	if !ok {
		return Server{}, false
	}
	return *v, true
}

// RollOut returns the roll-out of the service.
func (s State) RollOut(n ServiceName) (RollOutState, bool) {
	r, ok := s.rollOuts[n]
	return r, ok
}

// RollOuts returns the roll-outs of all services; the map must not be changed.
func (s State) RollOuts() map[ServiceName]RollOutState {
	return s.rollOuts
}

// Duty returns the record of the instance that runs the service's roll-out.
func (s State) Duty(n ServiceName) (Duty, bool) {
	d, ok := s.duties[n]
	return d, ok
}

// Members returns the live instances, sorted by name; the slice must not be changed.
func (s State) Members() []Member {
	return s.members
}

// HasMember reports whether the instance is registered.
func (s State) HasMember(name MemberName) bool {
	_, ok := slices.BinarySearchFunc(s.members, name, func(m Member, name MemberName) int { return cmp.Compare(m.Name, name) })
	return ok
}

// MissingEntries returns how many removed entries are still in use because their grace period runs.
func (s State) MissingEntries() int {
	return len(s.missing)
}

// ChangesSince returns the changes after the revision, or a full snapshot if the history lacks it.
func (s State) ChangesSince(revision int64) Feed {
	if revision < s.historyStart || revision > s.Revision || revision == 0 {
		return Feed{Whole: true, Changes: slices.Collect(maps.Values(s.entries)), Revision: s.Revision}
	}
	var changes []Change
	for c := range s.history.From(0) {
		if c.Revision > revision {
			changes = append(changes, c)
		}
	}
	return Feed{Changes: changes, After: revision, Revision: s.Revision}
}

// WithLeaving returns a state in which the instance shuts down from since until end at the latest.
func (s State) WithLeaving(since, end time.Time) State {
	s.Leaving, s.LeavingSince, s.LeavesBy = true, since, end
	return s
}

// WithStoreUnreachable returns a state in which the store is unreachable; an outage keeps its start.
func (s State) WithStoreUnreachable(at time.Time) State {
	if s.StoreUnreachableSince.IsZero() {
		s.StoreUnreachableSince = at
	}
	return s
}

// storeAnswerLifetime is how recent an answer of the store to any instance must be to show that it
// kept serving the others. A shorter outage doesn't expire the entry of a live server.
const storeAnswerLifetime = 2500 * time.Millisecond

// WithStoreRecovered returns a state in which the store is reachable again. An outage that affected
// only this instance does not set StoreRecoveredAt, since the servers could renew their entries.
func (s State) WithStoreRecovered(at time.Time) State {
	if s.StoreUnreachableSince.IsZero() {
		return s
	}
	onlyThisInstance := s.StoreAnsweredAt.After(s.StoreUnreachableSince) && at.Sub(s.StoreAnsweredAt) < storeAnswerLifetime
	s.StoreUnreachableSince = time.Time{}
	if !onlyThisInstance {
		s.StoreRecoveredAt = at
	}
	return s
}

// WithStoreAnswered returns a state that records that the store answered some instance at the time.
func (s State) WithStoreAnswered(at time.Time) State {
	if at.After(s.StoreAnsweredAt) {
		s.StoreAnsweredAt = at
	}
	return s
}

// WithAnswerReceived returns a state that records that the store or another instance answered at the time.
func (s State) WithAnswerReceived(at time.Time) State {
	s.AnswerReceivedAt = at
	return s
}

// WithReportedRecovery returns a state with a recovery of the store that another instance reported.
func (s State) WithReportedRecovery(at time.Time) State {
	if at.After(s.StoreRecoveredAt) {
		s.StoreRecoveredAt = at
	}
	return s
}
