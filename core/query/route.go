package query

import (
	"slices"
	"time"

	"endivehitch/core/policy"
	"endivehitch/core/state"
	"endivehitch/core/value"
)

// Loads looks up what the instance has observed of a backend server.
type Loads func(value.ServerID) value.Load

// Target says what is to be routed: a version of a model, or a plain service.
type Target struct {
	Version value.VersionKey
	Service value.ServiceName
	// Tried lists the servers that this request has already used.
	Tried []value.ServerID
	// Long is set when the run is expected to last much longer than most.
	Long bool
	// Prefix identifies the prompt's leading part; zero means none.
	Prefix uint64
}

// Choice is the backend server chosen and among how many.
type Choice struct {
	Server     value.BackendServer
	Candidates int
	Reason     value.Reason
}

// Route picks a backend server for the target; the error is a value.Refusal, whose reason is
// Overloaded where the servers that could take the target have no room at present.
func Route(s state.State, t Target, loads Loads, rnd policy.Rand, now time.Time) (Choice, error) {
	if Retired(s, t) {
		return Choice{}, refuse(value.ReasonVersionRetired, "version "+string(t.Version)+" is withdrawn")
	}
	servers := Servers(s, t)
	r := router{state: s, target: t, loads: loads, now: now}
	pick := policy.Sample[value.BackendServer]{Tries: sampleTries, Score: r.score}
	b, ok := pick.Pick(servers, rnd)
	if ok {
		return r.near(b, servers), nil
	}
	if r.crowded {
		return Choice{}, refuse(value.ReasonOverloaded, "backend servers have no room")
	}
	// Nothing but ejected servers is left, and a slow answer is better than none.
	r.lenient = true
	if b, ok = pick.Pick(servers, rnd); ok {
		return Choice{Server: b, Candidates: len(servers), Reason: value.ReasonLeastLoaded}, nil
	}
	if r.crowded {
		return Choice{}, refuse(value.ReasonOverloaded, "backend servers have no room")
	}
	return Choice{}, refuse(value.ReasonNoServer, "no backend server can take the request")
}

// Retired reports whether the target's version has been withdrawn, so that it receives no new work.
func Retired(s state.State, t Target) bool {
	return t.Version != "" && s.Withdrawn(t.Version)
}

// Two samples remove most of the imbalance of a random choice; more make
// instances with the same view herd on the same server.
const sampleTries = 2

const (
	estimateHalfLife = 10 * time.Second
	// reportLife is the age at which a report counts no more.
	reportLife = 2 * time.Second
	// farFactor is the preference for servers in the instance's own failure domain. As a factor of
	// a score that grows with load, it can't overload that domain.
	farFactor = 1.15
	// leastEstimate stands for a server that nothing is known of, so that it is tried soon.
	leastEstimate = time.Millisecond
	// affinityBound is how much worse than a sampled server the one that has the prefix may be.
	affinityBound = 2.0
	affinityTries = 3
	leastStart    = 0.1
)

// Servers returns the live backend servers that carry the target; the slice must not be changed.
func Servers(s state.State, t Target) []value.BackendServer {
	if t.Version != "" {
		return s.Carriers(t.Version)
	}
	service, ok := s.Service(t.Service)
	if !ok {
		return nil
	}
	return s.Members(service.Pool)
}

// Takes reports whether the one server can take the target now.
func Takes(s state.State, t Target, b value.BackendServer, loads Loads, now time.Time) (Choice, bool) {
	if b.State != value.ServerLive || !serves(s, t, b) {
		return Choice{}, false
	}
	r := router{state: s, target: t, loads: loads, now: now}
	return Choice{Server: b, Candidates: 1, Reason: value.ReasonPlaceFreed}, r.score(b) < policy.Never
}

func serves(s state.State, t Target, b value.BackendServer) bool {
	if t.Version != "" {
		return b.Carries(t.Version)
	}
	service, ok := s.Service(t.Service)
	return ok && service.Pool == b.Pool
}

// router is the scoring of one decision.
type router struct {
	state  state.State
	target Target
	loads  Loads
	now    time.Time
	// pool is that of the server scored last; most targets have one pool only.
	pool   value.Pool
	limits policy.LimiterConfig
	// crowded is set once a server was passed over for want of room.
	crowded bool
	// lenient scoring takes ejected servers too.
	lenient bool
}

func (r *router) score(b value.BackendServer) float64 {
	if slices.Contains(r.target.Tried, b.ID) {
		return policy.Never
	}
	l := r.loads(b.ID)
	if l.Ejected.After(r.now) && !r.lenient {
		return policy.Never
	}
	if b.Pool != r.pool.Name {
		r.pool, _ = r.state.Pool(b.Pool)
		r.limits = limitsOf(r.state, r.pool)
	}
	if r.pool.MaxInFlight > 0 && !hasRoom(r.limits, l, r.target.Long) {
		r.crowded = true
		return policy.Never
	}
	cost := expectedWait(l, r.now)
	if b.FailureDomain != r.state.Self.FailureDomain {
		cost *= farFactor
	}
	return cost / r.warmth(b, l)
}

// expectedWait weighs own observation before the server's report, which comes late.
func expectedWait(l value.Load, now time.Time) float64 {
	estimate := max(l.FirstToken.Aged(estimateHalfLife, now), l.OldestWait(now), leastEstimate)
	queue := float64(l.InFlight + 1)
	if l.ReportedQueue > 0 {
		age := now.Sub(l.Reported)
		queue += float64(l.ReportedQueue) * max(0, 1-float64(age)/float64(reportLife))
	}
	return float64(estimate) * queue
}

// warmth grows from little to 1 while a server is new or back from ejection.
func (r *router) warmth(b value.BackendServer, l value.Load) float64 {
	since := b.Since
	if l.Ejected.After(since) {
		since = l.Ejected
	}
	age := r.now.Sub(since)
	if r.pool.SlowStart <= 0 || age >= r.pool.SlowStart {
		return 1
	}
	return max(leastStart, float64(age)/float64(r.pool.SlowStart))
}

// near prefers the server that is likely to have the prompt's prefix cached, unless its load
// makes it much worse than the sampled one.
func (r *router) near(b value.BackendServer, servers []value.BackendServer) Choice {
	c := Choice{Server: b, Candidates: len(servers), Reason: value.ReasonLeastLoaded}
	if r.target.Prefix == 0 {
		return c
	}
	bound := affinityBound * r.score(b)
	first := state.Position(servers, r.target.Prefix)
	for i := range min(affinityTries, len(servers)) {
		home := servers[(first+i)%len(servers)]
		if r.score(home) <= bound {
			c.Server = home
			c.Reason = value.ReasonPrefix
			return c
		}
	}
	return c
}
