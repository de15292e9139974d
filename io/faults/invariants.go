package faults

import (
	"fmt"
	"slices"
	"time"

	"endivehitch/core/value"
)

// Invariant names a property that must hold whatever fails.
type Invariant string

// The ten invariants.
const (
	InvariantAllowedVersion      Invariant = "AllowedVersion"
	InvariantWithdrawnGetsNoWork Invariant = "WithdrawnGetsNoWork"
	InvariantSessionKeepsVersion Invariant = "SessionKeepsVersion"
	InvariantBilledOnce          Invariant = "BilledOnce"
	InvariantCompleteOwnAnswer   Invariant = "WholeOwnAnswer"
	InvariantNotRunIsTrue        Invariant = "NotRunIsTrue"
	InvariantAtMostOnce          Invariant = "AtMostOnce"
	InvariantLeavingGetsNoWork   Invariant = "LeavingGetsNoWork"
	InvariantShutdownCutsNothing Invariant = "ShutdownCutsNothing"
	InvariantConfigInForce       Invariant = "ConfigInForce"
)

// Invariants returns all invariants, in the order in which the requirements list them.
func Invariants() []Invariant {
	return []Invariant{
		InvariantAllowedVersion, InvariantWithdrawnGetsNoWork, InvariantSessionKeepsVersion, InvariantBilledOnce, InvariantCompleteOwnAnswer,
		InvariantNotRunIsTrue, InvariantAtMostOnce, InvariantLeavingGetsNoWork, InvariantShutdownCutsNothing, InvariantConfigInForce,
	}
}

// Bounds is what Check needs to know about the scenario: how long updates may take to reach all
// instances, and what is allowed and expected of requests.
type Bounds struct {
	// ConfigDelay is how long a configuration or withdrawal may take to come into force, counted
	// from its acceptance or from the end of the last fault if that is later.
	ConfigDelay time.Duration
	// LeavingDelay is how long a leaving backend server may still receive attempts, counted in the
	// same way.
	LeavingDelay time.Duration
	// AllowedVersions lists the versions that each client account may use.
	AllowedVersions map[value.AccountName][]value.VersionKey
	// AnswerText returns the complete answer to a request.
	AnswerText func(value.Request) string
}

// Violation is one case in which an invariant did not hold.
type Violation struct {
	Invariant Invariant
	Detail    string
}

// Check returns all violations of the ten invariants. It judges by the observations alone and shares
// no code with the decisions that it checks.
func Check(bounds Bounds, observations Observations) []Violation {
	c := checker{bounds: bounds, observations: observations, replies: make(map[value.RequestID]Reply)}
	for _, r := range observations.Replies {
		c.replies[r.Request.ID] = r
	}
	c.checkAttempts()
	c.checkBills()
	c.checkReplies()
	c.checkIdempotency()
	c.checkConfig()
	return c.violations
}

type checker struct {
	bounds       Bounds
	observations Observations
	replies      map[value.RequestID]Reply
	violations   []Violation
}

func (c *checker) require(holds bool, invariant Invariant, format string, args ...any) {
	if !holds {
		c.violations = append(c.violations, Violation{Invariant: invariant, Detail: fmt.Sprintf(format, args...)})
	}
}

// deadline returns when a change must have reached all instances: the delay after the change, or
// after the end of the last fault if that is later.
func (c *checker) deadline(changed time.Time, delay time.Duration) time.Time {
	if c.observations.FaultsEndedAt.After(changed) {
		changed = c.observations.FaultsEndedAt
	}
	return changed.Add(delay)
}

func (c *checker) checkAttempts() {
	for _, attempt := range c.observations.Attempts {
		request := c.replies[attempt.Request].Request
		if attempt.Version != "" {
			c.require(slices.Contains(c.bounds.AllowedVersions[request.Account], attempt.Version), InvariantAllowedVersion, "%s ran on %s", attempt.Request, attempt.Version)
		}
		if request.Pinned != "" {
			c.require(attempt.Version == request.Pinned, InvariantSessionKeepsVersion, "%s of a session on %s ran on %s", attempt.Request, request.Pinned, attempt.Version)
		}
		for _, withdrawal := range c.observations.Withdrawn {
			late := attempt.Version == withdrawal.Subject && attempt.StartedAt.After(c.deadline(withdrawal.At, c.bounds.ConfigDelay))
			c.require(!late, InvariantWithdrawnGetsNoWork, "%s ran on %s %v after its withdrawal", attempt.Request, attempt.Version, attempt.StartedAt.Sub(withdrawal.At))
		}
		for _, leaving := range c.observations.Leaving {
			late := attempt.Server == leaving.Subject && attempt.StartedAt.After(c.deadline(leaving.At, c.bounds.LeavingDelay))
			c.require(!late, InvariantLeavingGetsNoWork, "%s ran on %s %v after it began to leave", attempt.Request, attempt.Server, attempt.StartedAt.Sub(leaving.At))
		}
	}
}

func (c *checker) checkBills() {
	bills := make(map[value.RequestID]int)
	for _, s := range c.observations.BillSegments {
		for _, e := range s.Entries {
			bills[e.Bill.Request]++
		}
	}
	for id, n := range bills {
		c.require(n == 1, InvariantBilledOnce, "%s has %d bills", id, n)
		c.require(c.countAttempts(id) > 0, InvariantBilledOnce, "%s has a bill and never ran", id)
	}
	for id, r := range c.replies {
		// A stored answer that is returned again has no attempt and is not billed again.
		if r.Complete && c.countAttempts(id) > 0 {
			c.require(bills[id] > 0, InvariantBilledOnce, "%s was answered and has no bill", id)
		}
	}
}

func (c *checker) countAttempts(id value.RequestID) int {
	n := 0
	for _, a := range c.observations.Attempts {
		if a.Request == id {
			n++
		}
	}
	return n
}

func (c *checker) checkReplies() {
	for _, r := range c.observations.Replies {
		if r.Complete {
			want := c.bounds.AnswerText(r.Request)
			c.require(r.Text == want, InvariantCompleteOwnAnswer, "%s was answered %q instead of %q", r.Request.ID, r.Text, want)
		}
		if r.NotRun {
			c.require(c.countAttempts(r.Request.ID) == 0, InvariantNotRunIsTrue, "%s ran", r.Request.ID)
		}
		c.require(!r.CutOff, InvariantShutdownCutsNothing, "%s was cut off", r.Request.ID)
	}
}

func (c *checker) checkIdempotency() {
	effects := make(map[value.IdempotencyKey]int)
	for _, a := range c.observations.Attempts {
		if a.Key != "" {
			effects[a.Key]++
		}
	}
	for key, n := range effects {
		c.require(n == 1, InvariantAtMostOnce, "%s took effect %d times", key, n)
	}
}

func (c *checker) checkConfig() {
	latest := make(map[value.InstanceID]int64)
	for _, e := range c.observations.InForce {
		c.require(e.Revision >= latest[e.Subject], InvariantConfigInForce, "%s went back from %d to %d", e.Subject, latest[e.Subject], e.Revision)
		latest[e.Subject] = e.Revision
	}
	for _, accepted := range c.observations.Accepted {
		for id := range latest {
			if slices.Contains(c.observations.EndedInstances, id) {
				continue
			}
			c.require(c.isInForceInTime(id, accepted), InvariantConfigInForce, "revision %d is not in force at %s in time", accepted.Revision, id)
		}
	}
}

func (c *checker) isInForceInTime(id value.InstanceID, accepted Event[value.ChangeID]) bool {
	deadline := c.deadline(accepted.At, c.bounds.ConfigDelay)
	return slices.ContainsFunc(c.observations.InForce, func(e Event[value.InstanceID]) bool {
		return e.Subject == id && e.Revision >= accepted.Revision && !e.At.After(deadline)
	})
}
