package cold

import (
	"time"

	"endivehitch/core/policy"
	"endivehitch/core/relay"
)

// Table holds what an instance knows of servers' cold periods besides their entries.
type Table = policy.Table[relay.ServerID, relay.Coldness]

// ReopenedAt returns when the evacuation of the failure domain was last withdrawn, or the zero time.
type ReopenedAt func(state relay.State, domain relay.FailureDomain) time.Time

// View is what an instance knows of servers' cold periods at one time; the zero View knows no cold server.
type View struct {
	State  relay.State
	Known  Table
	Limits Limits
	// Reopened may be nil, if no failure domain is evacuated.
	Reopened ReopenedAt
	Now      time.Time
}

// Source says from what an instance knows that a server is cold, in one Pascal-case word.
type Source string

// The sources of a cold period.
const (
	SourceEntry  Source = "Entry"
	SourceAnswer Source = "Answer"
	SourceLoss   Source = "Loss"
	SourceDomain Source = "Domain"
)

// Period is a server's cold period; the zero Period means that the server is warm.
type Period struct {
	// Until is when the server will be warm at the earliest.
	Until  time.Time
	Source Source
}

// IsCold reports whether the server counts as cold.
func (v View) IsCold(server relay.Server) bool {
	return v.PeriodOf(server).Source != ""
}

// PeriodOf returns the period for which the server counts as cold. Servers of a service without a cold rate never do.
func (v View) PeriodOf(server relay.Server) Period {
	service, _ := v.State.Service(server.Service)
	if service.ColdPerSecond <= 0 {
		return Period{}
	}
	known, _ := v.Known.Get(server.ID)
	longest := v.periodOfLoss(server, known, service.ColdTime)
	for _, period := range []Period{{Until: known.Until, Source: SourceAnswer}, periodOfEntry(server, known)} {
		if period.Until.After(v.Now) && period.Until.After(longest.Until) {
			longest = period
		}
	}
	return longest
}

// periodOfEntry returns the period that the server's entry states, unless the server has stated another one since.
func periodOfEntry(server relay.Server, known relay.Coldness) Period {
	if known.StatedAt.After(entryReadAt(server)) {
		return Period{}
	}
	return Period{Until: server.ColdUntil, Source: SourceEntry}
}

// entryReadAt returns when the entry of a server that is cold according to it was read.
func entryReadAt(server relay.Server) time.Time {
	return server.ColdUntil.Add(-server.Cold)
}

// periodOfLoss returns the period of a server that may have come back cold since it was lost, or since its failure domain
// reopened. It ends once the server's entry or an answer says how cold the server is, and a cold time after the server
// has first answered again at the latest.
func (v View) periodOfLoss(server relay.Server, known relay.Coldness, coldTime time.Duration) Period {
	lostAt, source := v.LostAt(server)
	if lostAt.IsZero() || !known.StatedAt.Before(lostAt) || (server.Cold > 0 && !entryReadAt(server).Before(lostAt)) {
		return Period{}
	}
	until := v.Now.Add(max(coldTime, 1))
	if !known.ReachedAt.Before(lostAt) {
		until = known.ReachedAt.Add(coldTime)
	}
	if !until.After(v.Now) {
		return Period{}
	}
	return Period{Until: until, Source: source}
}

// LostAt returns when the server was lost in its present incarnation, or its failure domain reopened, whichever was later,
// and the source of a cold period since.
func (v View) LostAt(server relay.Server) (time.Time, Source) {
	known, _ := v.Known.Get(server.ID)
	var lostAt, reopened time.Time
	if known.LostBorn.Equal(server.Born) {
		lostAt = known.LostAt
	}
	if v.Reopened != nil {
		reopened = v.Reopened(v.State, server.Domain)
	}
	if reopened.After(lostAt) {
		return reopened, SourceDomain
	}
	return lostAt, SourceLoss
}

// minKnownTime is the time for which a loss or statement is known. Reports of other instances that arrive within it are
// recognized as being of the same event.
const minKnownTime = 10 * time.Second

// unlistedLifetime is the time for which the latest news of a server is known after its entry is gone. A heartbeat that the store
// carries out late may list it again as it was before it was lost.
const unlistedLifetime = 10 * time.Minute

// IsNeededUnlisted reports whether what is known of a server without an entry may still decide on whether it is cold.
func (v View) IsNeededUnlisted(known relay.Coldness) bool {
	return v.Now.Sub(known.LatestNews()) < unlistedLifetime
}

// IsNeeded reports whether what is known of the server besides its entry may still decide on whether it is cold.
func (v View) IsNeeded(server relay.Server, known relay.Coldness) bool {
	isRecent := v.Now.Sub(known.LostAt) < minKnownTime || v.Now.Sub(known.StatedAt) < minKnownTime
	if isRecent || server.ColdUntil.After(v.Now) || v.IsCold(server) {
		return true
	}
	_, source := v.LostAt(server)
	return source == SourceDomain
}

// ClaimFor returns the claim for a request to the server, from its keeper in the role, and whether one is needed: for servers
// that are cold and those that have stated a limit.
func (v View) ClaimFor(server relay.Server, restriction relay.Restriction, role Role) (relay.SendClaim, bool) {
	claim := relay.SendClaim{Server: server.ID, Second: role == Second}
	if restriction.HasLimit {
		claim.Limit = restriction.FleetLimit()
	}
	if !v.IsCold(server) {
		return claim, restriction.HasLimit
	}
	service, _ := v.State.Service(server.Service)
	bucket := v.Limits.Bucket(service, role)
	claim.Cold, claim.Burst = true, bucket.Burst
	if restriction.HasLimit {
		claim.Limit, claim.Burst = min(claim.Limit, bucket.PerSecond), min(max(1, claim.Limit), bucket.Burst)
		return claim, true
	}
	claim.Limit = bucket.PerSecond
	return claim, true
}
