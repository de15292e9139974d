package relay

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"endivehitch/core/policy"
)

// State is all that one instance's control loop knows; traffic reads it as a snapshot.
type State struct {
	Self Member
	// Revision is the newest revision of the store that the state includes.
	Revision int64
	// Config is the configuration in force; its version is 0 before the first one.
	Config Config
	// ConfigRevision is the revision of the configuration's entry.
	ConfigRevision int64
	// Leaving is set once the instance is shutting down, which it does from LeavingSince until LeavesBy.
	Leaving      bool
	LeavingSince time.Time
	LeavesBy     time.Time
	// Away is since when the store has been out of reach; zero means that it is in reach.
	Away time.Time
	// Back is when the store came into reach again; zero means that it was never away for all.
	Back time.Time
	// Served is when the store last answered this instance, or another as that one tells.
	Served time.Time

	entries  map[string]Change
	missing  map[string]time.Time
	recent   policy.List[Change]
	floor    int64
	hosts    map[string][]Route
	services map[ServiceName]Service
	keys     map[string]Account
	servers  map[ServiceName][]Server
	byID     map[ServerID]*Server
	rollOuts map[ServiceName]Plan
	duties   map[ServiceName]Duty
	members  []Member
}

// Plan is a roll-out together with where it stands.
type Plan struct {
	Order RollOut
	// Seen is when the order was given, as far as this instance knows.
	Seen time.Time
	// AgeKnown is set when this instance, or one that told it, saw the order being given.
	AgeKnown bool
	Progress Progress
	// ProgressRevision is the revision of the progress's entry; 0 means that there is none.
	ProgressRevision int64
}

// Phase returns the phase of the plan's own order; progress of an earlier order doesn't count.
func (p Plan) Phase() Phase {
	if p.Progress.Target != p.Order.Target || p.ProgressRevision < p.Order.Revision {
		return PhaseNone
	}
	return p.Progress.Phase
}

// New returns the state of an instance that knows nothing yet but itself.
func New(self Member) State {
	return State{Self: self}
}

// Route returns the route of the host with the longest prefix that begins the path.
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

// Servers returns the service's servers in the order of their identifiers; the slice must not be changed.
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

// Plan returns the roll-out of the service.
func (s State) Plan(n ServiceName) (Plan, bool) {
	p, ok := s.rollOuts[n]
	return p, ok
}

// Plans returns the roll-outs of all services; the map must not be changed.
func (s State) Plans() map[ServiceName]Plan {
	return s.rollOuts
}

// Duty returns which instance looks after the service's roll-out.
func (s State) Duty(n ServiceName) (Duty, bool) {
	d, ok := s.duties[n]
	return d, ok
}

// Members returns the live instances in the order of their names; the slice must not be changed.
func (s State) Members() []Member {
	return s.members
}

// Missing returns how many entries have been lost but still count.
func (s State) Missing() int {
	return len(s.missing)
}

// Since returns what a reader that has seen the revision has missed.
func (s State) Since(revision int64) Feed {
	if revision < s.floor || revision > s.Revision || revision == 0 {
		return Feed{Whole: true, Changes: slices.Collect(maps.Values(s.entries)), Revision: s.Revision}
	}
	var missed []Change
	for c := range s.recent.From(0) {
		if c.Revision > revision {
			missed = append(missed, c)
		}
	}
	return Feed{Changes: missed, After: revision, Revision: s.Revision}
}

// WithLeaving returns a state in which the instance is shutting down from one time to the other.
func (s State) WithLeaving(since, by time.Time) State {
	s.Leaving, s.LeavingSince, s.LeavesBy = true, since, by
	return s
}

// WithAway returns a state in which the store is out of reach since the time.
func (s State) WithAway(at time.Time) State {
	if s.Away.IsZero() {
		s.Away = at
	}
	return s
}

// servedLife is how old the store's last answer to another instance may be to tell that the store
// served on: an outage that is shorter than this ends no entry of a live server.
const servedLife = 2500 * time.Millisecond

// WithBack returns a state in which the store is in reach again. An outage of this instance alone
// says nothing of the servers' entries.
func (s State) WithBack(at time.Time) State {
	if s.Away.IsZero() {
		return s
	}
	alone := s.Served.After(s.Away) && at.Sub(s.Served) < servedLife
	s.Away = time.Time{}
	if !alone {
		s.Back = at
	}
	return s
}

// WithServed returns a state in which the store answered somebody at the time.
func (s State) WithServed(at time.Time) State {
	if at.After(s.Served) {
		s.Served = at
	}
	return s
}

// WithBackSince returns a state in which the store came back at the time, as another instance tells.
func (s State) WithBackSince(at time.Time) State {
	if at.After(s.Back) {
		s.Back = at
	}
	return s
}

// WithFeed returns a state that includes what a reader learned; grace is how long entries of
// servers that vanished while the store was away still count.
func (s State) WithFeed(f Feed, at time.Time, grace time.Duration) State {
	if f.Revision < s.Revision || (f.Revision == s.Revision && s.Revision > 0) {
		return s
	}
	if !f.Whole && f.After > s.Revision {
		return s
	}
	next := s
	next.entries = maps.Clone(s.entries)
	next.missing = maps.Clone(s.missing)
	if next.entries == nil {
		next.entries = make(map[string]Change)
		next.missing = make(map[string]time.Time)
	}
	news := f.Changes
	if f.Whole {
		news = s.difference(f)
		next.floor, next.recent = f.Revision, policy.List[Change]{}
	}
	for _, c := range news {
		if !f.Whole && c.Revision <= s.Revision {
			continue
		}
		next = next.withChange(c, at, grace)
	}
	next.Revision = f.Revision
	// News that an outage held up tells of orders that were given at some time before.
	witnessed := !f.Whole && s.Away.IsZero() && !s.Back.Equal(at)
	return next.indexed().withOrders(s.rollOuts, witnessed, at)
}

// difference turns a whole image into changes, with removals for the entries that it lacks.
func (s State) difference(f Feed) []Change {
	have := make(map[string]bool, len(f.Changes))
	news := make([]Change, 0, len(f.Changes))
	for _, c := range f.Changes {
		have[c.Key] = true
		if was, ok := s.entries[c.Key]; !ok || was.Revision < c.Revision || s.lost(c.Key) {
			news = append(news, c)
		}
	}
	for key := range s.entries {
		if !have[key] {
			news = append(news, Change{Key: key, Revision: f.Revision, Gone: true})
		}
	}
	return news
}

func (s State) lost(key string) bool {
	_, ok := s.missing[key]
	return ok
}

// keptChanges bounds the changes that are kept for other instances.
const keptChanges = 1024

func (s State) withChange(c Change, at time.Time, grace time.Duration) State {
	// The pages of a whole image are read one after the other, so a later change may be known already.
	if s.entries[c.Key].Revision > c.Revision {
		return s
	}
	s.recent = s.recent.With(c)
	if s.recent.Len() > keptChanges {
		s.floor = s.recent.At(0).Revision
		s.recent = s.recent.Without(1)
	}
	was, had := s.entries[c.Key]
	delete(s.missing, c.Key)
	if !c.Gone {
		s.entries[c.Key] = c.timed(at)
		return s
	}
	if had && s.doubtful(was, at, grace) {
		s.missing[c.Key] = s.Back.Add(grace)
		return s
	}
	delete(s.entries, c.Key)
	return s
}

// timed returns a change whose server's cold time counts from the time at which it became known.
func (c Change) timed(at time.Time) Change {
	if v := c.Entry.Server; v != nil && v.Cold > 0 {
		warm := v.WithColdUntil(at.Add(v.Cold))
		c.Entry.Server = &warm
	}
	return c
}

// doubtful reports whether a removal may be an effect of the store's own trouble: a live server
// writes its entry again soon after the store is back. While this instance alone can't reach the
// store, others tell it of removals that the store has served, so those count.
func (s State) doubtful(was Change, at time.Time, grace time.Duration) bool {
	if was.Entry.Server == nil || was.Entry.Server.Draining || s.Back.IsZero() {
		return false
	}
	return s.Away.IsZero() && at.Sub(s.Back) < grace
}

// WithTick returns a state without the entries whose grace has ended.
func (s State) WithTick(at time.Time) State {
	var over []string
	for key, until := range s.missing {
		if s.Away.IsZero() && at.After(until) {
			over = append(over, key)
		}
	}
	if len(over) == 0 {
		return s
	}
	s.entries, s.missing = maps.Clone(s.entries), maps.Clone(s.missing)
	for _, key := range over {
		delete(s.entries, key)
		delete(s.missing, key)
	}
	return s.indexed().withOrders(s.rollOuts, true, at)
}

// indexed returns a state whose look-up tables fit its entries.
func (s State) indexed() State {
	s.servers, s.byID = make(map[ServiceName][]Server), make(map[ServerID]*Server, len(s.byID))
	s.rollOuts, s.members = make(map[ServiceName]Plan), nil
	s.duties = make(map[ServiceName]Duty)
	for _, c := range s.entries {
		switch e := c.Entry; {
		case e.Config != nil:
			s = s.withConfig(*e.Config, c.Revision)
		case e.Server != nil:
			s.byID[e.Server.ID] = e.Server
			s.servers[e.Server.Service] = append(s.servers[e.Server.Service], *e.Server)
		case e.RollOut != nil:
			p := s.rollOuts[e.RollOut.Service]
			p.Order = *e.RollOut
			p.Order.Revision = c.Revision
			s.rollOuts[e.RollOut.Service] = p
		case e.Progress != nil:
			p := s.rollOuts[e.Progress.Service]
			p.Progress, p.ProgressRevision = *e.Progress, c.Revision
			s.rollOuts[e.Progress.Service] = p
		case e.Duty != nil:
			s.duties[e.Duty.Service] = *e.Duty
		case e.Member != nil:
			s.members = append(s.members, *e.Member)
		}
	}
	for _, list := range s.servers {
		slices.SortFunc(list, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	}
	slices.SortFunc(s.members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return s
}

// withOrders returns a state whose orders are as old as was known before; witnessed says that new
// ones are being given now.
func (s State) withOrders(was map[ServiceName]Plan, witnessed bool, at time.Time) State {
	for n, p := range s.rollOuts {
		old, ok := was[n]
		switch {
		case ok && old.Order.Revision == p.Order.Revision:
			s.rollOuts[n] = p.withSeen(old.Seen, old.AgeKnown)
		case witnessed:
			s.rollOuts[n] = p.withSeen(at, true)
		default:
			s.rollOuts[n] = p.withSeen(p.presumed(s.servers[n], at), false)
		}
	}
	return s
}

// withConfig puts a configuration in force unless a newer one is.
func (s State) withConfig(c Config, revision int64) State {
	if revision <= s.ConfigRevision {
		return s
	}
	s.Config, s.ConfigRevision = c, revision
	s.hosts = make(map[string][]Route)
	s.services = make(map[ServiceName]Service, len(c.Services))
	s.keys = make(map[string]Account)
	for _, r := range c.Routes {
		s.hosts[r.Host] = append(s.hosts[r.Host], r)
	}
	for _, list := range s.hosts {
		slices.SortFunc(list, func(a, b Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for _, v := range c.Services {
		s.services[v.Name] = v
	}
	for _, a := range c.Accounts {
		for _, key := range a.Keys {
			s.keys[key] = a
		}
	}
	return s
}
