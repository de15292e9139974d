package query

import (
	"slices"
	"time"

	"endivehitch/core/policy"
	"endivehitch/core/state"
	"endivehitch/core/value"
)

// LoadLookup returns the load of a backend server as this instance has observed it.
type LoadLookup func(value.ServerID) value.Load

// Target is what a request needs a backend server for: a version of a model, or a plain service.
type Target struct {
	Version value.VersionKey
	Service value.ServiceName
	// Tried lists the servers already used for this request, which are not chosen again.
	Tried []value.ServerID
	// Long is set if the attempt is expected to take much longer than most.
	Long bool
	// Prefix is the hash of the prompt's prefix; zero means none.
	Prefix uint64
}

// Choice is the backend server chosen, the number of candidates and the reason.
type Choice struct {
	Server     value.BackendServer
	Candidates int
	Reason     value.Reason
}

// Route picks a backend server for the target; the error is a value.Refusal. Its reason is Overloaded
// if no server can take the target and at least one was excluded for lack of capacity.
func Route(s state.State, t Target, loads LoadLookup, rnd policy.Rand, now time.Time) (Choice, error) {
	if IsWithdrawn(s, t) {
		return Choice{}, refuse(value.ReasonVersionWithdrawn, "version "+string(t.Version)+" is withdrawn")
	}
	servers := Servers(s, t)
	r := router{state: s, target: t, loads: loads, now: now}
	randomChoice := policy.RandomChoice[value.BackendServer]{Tries: sampleSize, Score: r.score}
	b, ok := randomChoice.Pick(servers, rnd)
	if ok {
		return r.preferPrefix(b, servers), nil
	}
	if r.saturated {
		return Choice{}, refuse(value.ReasonOverloaded, "backend servers have no room")
	}
	// No server was excluded for lack of capacity, so all were tried or are ejected. The ejected ones
	// are allowed now, since a slow answer is better than none.
	r.includeEjected = true
	if b, ok = randomChoice.Pick(servers, rnd); ok {
		return Choice{Server: b, Candidates: len(servers), Reason: value.ReasonLeastLoaded}, nil
	}
	if r.saturated {
		return Choice{}, refuse(value.ReasonOverloaded, "backend servers have no room")
	}
	return Choice{}, refuse(value.ReasonNoServer, "no backend server can take the request")
}

// IsWithdrawn reports whether the target's version has been withdrawn, so that it receives no new
// work.
func IsWithdrawn(s state.State, t Target) bool {
	return t.Version != "" && s.IsWithdrawn(t.Version)
}

// sampleSize is how many random servers are compared. Two remove most of the imbalance of a random
// choice; with more, instances that observe the same loads would often choose the same server.
const sampleSize = 2

const (
	// estimateHalfLife is the age at which an observed time to first token counts half.
	estimateHalfLife = 10 * time.Second
	// reportMaxAge is the age from which a server's load report is ignored.
	reportMaxAge = 2 * time.Second
	// otherDomainFactor is the penalty on the score of servers in other failure domains. As a
	// factor on a score that grows with load, it cannot overload the instance's own domain.
	otherDomainFactor = 1.15
	// minEstimate is the time to first token assumed for a server without observations; it is
	// small, so that the server is tried soon.
	minEstimate = time.Millisecond
	// affinityBound is the highest score of a server that is chosen for its cached prefix, as a
	// multiple of the sampled server's score.
	affinityBound = 2.0
	// affinityTries is how many servers are considered as those that have the prefix cached.
	affinityTries = 3
	// minWarmUp is the least share of normal work that a server gets during its warm-up period.
	minWarmUp = 0.1
)

// Servers returns the live backend servers that serve the target; the slice must not be changed.
func Servers(s state.State, t Target) []value.BackendServer {
	if t.Version != "" {
		return s.VersionServers(t.Version)
	}
	service, ok := s.Service(t.Service)
	if !ok {
		return nil
	}
	return s.PoolServers(service.Pool)
}

// CheckServer returns the given server as the choice for the target, and false if it cannot take
// the target now.
func CheckServer(s state.State, t Target, b value.BackendServer, loads LoadLookup, now time.Time) (Choice, bool) {
	if b.State != value.ServerLive || !servesTarget(s, t, b) {
		return Choice{}, false
	}
	r := router{state: s, target: t, loads: loads, now: now}
	return Choice{Server: b, Candidates: 1, Reason: value.ReasonCapacityFreed}, r.score(b) < policy.Excluded
}

func servesTarget(s state.State, t Target, b value.BackendServer) bool {
	if t.Version != "" {
		return b.HasVersion(t.Version)
	}
	service, ok := s.Service(t.Service)
	return ok && service.Pool == b.Pool
}

// router scores the servers in one routing decision; lower scores are better.
type router struct {
	state  state.State
	target Target
	loads  LoadLookup
	now    time.Time
	// pool and limits are cached from the server scored last, because most targets have only one
	// pool.
	pool   value.Pool
	limits policy.LimiterConfig
	// saturated is set once a server was skipped because it has no capacity.
	saturated bool
	// includeEjected allows ejected servers.
	includeEjected bool
}

func (r *router) score(b value.BackendServer) float64 {
	if slices.Contains(r.target.Tried, b.ID) {
		return policy.Excluded
	}
	l := r.loads(b.ID)
	if l.EjectedUntil.After(r.now) && !r.includeEjected {
		return policy.Excluded
	}
	if b.Pool != r.pool.Name {
		r.pool, _ = r.state.Pool(b.Pool)
		r.limits = limiterConfig(r.state, r.pool)
	}
	if r.pool.MaxInFlight > 0 && !hasCapacity(r.limits, l, r.target.Long) {
		r.saturated = true
		return policy.Excluded
	}
	cost := expectedFirstToken(l, r.now)
	if b.FailureDomain != r.state.Self.FailureDomain {
		cost *= otherDomainFactor
	}
	return cost / r.warmUp(b, l)
}

// expectedFirstToken estimates a new request's time to first token, in nanoseconds, from the
// observed time to first token and the queue length. The queue length in the server's own report
// counts less the older it is, because reports arrive late.
func expectedFirstToken(l value.Load, now time.Time) float64 {
	estimate := max(l.TimeToFirstToken.MeanAt(estimateHalfLife, now), l.OldestWait(now), minEstimate)
	queue := float64(l.InFlight + 1)
	if l.ReportedQueue > 0 {
		age := now.Sub(l.ReportedAt)
		queue += float64(l.ReportedQueue) * max(0, 1-float64(age)/float64(reportMaxAge))
	}
	return float64(estimate) * queue
}

// warmUp returns the server's share of normal work, which grows from minWarmUp to 1 during the
// pool's warm-up period after the server became live or its ejection ended.
func (r *router) warmUp(b value.BackendServer, l value.Load) float64 {
	since := b.Since
	if l.EjectedUntil.After(since) {
		since = l.EjectedUntil
	}
	age := r.now.Sub(since)
	if r.pool.SlowStart <= 0 || age >= r.pool.SlowStart {
		return 1
	}
	return max(minWarmUp, float64(age)/float64(r.pool.SlowStart))
}

// preferPrefix returns a server that is likely to have the prompt's prefix cached, unless its score
// is much worse than that of the sampled server b; then it returns b.
func (r *router) preferPrefix(b value.BackendServer, servers []value.BackendServer) Choice {
	c := Choice{Server: b, Candidates: len(servers), Reason: value.ReasonLeastLoaded}
	if r.target.Prefix == 0 {
		return c
	}
	maxScore := affinityBound * r.score(b)
	start := state.RingIndex(servers, r.target.Prefix)
	for i := range min(affinityTries, len(servers)) {
		candidate := servers[(start+i)%len(servers)]
		if r.score(candidate) <= maxScore {
			c.Server = candidate
			c.Reason = value.ReasonPrefix
			return c
		}
	}
	return c
}
