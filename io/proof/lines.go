package proof

import (
	"fmt"
	"slices"
	"time"

	"endivehitch/core/value"
)

// Line names one of the properties that must always hold.
type Line string

// The ten properties.
const (
	LineAllowed   Line = "AllowedVersion"
	LineWithdrawn Line = "WithdrawnGetsNoWork"
	LineSession   Line = "SessionKeepsVersion"
	LineBilled    Line = "BilledOnce"
	LineWhole     Line = "WholeOwnAnswer"
	LineNotRun    Line = "NotRunIsTrue"
	LineOnce      Line = "AtMostOnce"
	LineLeaving   Line = "LeavingGetsNoWork"
	LineShutdown  Line = "ShutdownCutsNothing"
	LineConfig    Line = "ConfigInForce"
)

// Lines lists the properties in the order of the brief.
func Lines() []Line {
	return []Line{
		LineAllowed, LineWithdrawn, LineSession, LineBilled, LineWhole,
		LineNotRun, LineOnce, LineLeaving, LineShutdown, LineConfig,
	}
}

// Bounds are the times that the properties allow for news to spread.
type Bounds struct {
	// Config is how long a configuration or withdrawal may take, from its acceptance or the end of faults.
	Config time.Duration
	// Leaving is how long a leaving backend server may still get work.
	Leaving time.Duration
	// Allowed lists the versions that each client account may use.
	Allowed map[value.AccountName][]value.VersionKey
	// Text returns the whole answer to a request.
	Text func(value.Request) string
}

// Breach is one violation of a property.
type Breach struct {
	Line   Line
	Detail string
}

// Check returns the breaches of all ten properties; it knows nothing of the product's decisions.
func Check(b Bounds, f Facts) []Breach {
	c := checker{bounds: b, facts: f, asked: make(map[value.RequestID]Reply)}
	for _, r := range f.Replies {
		c.asked[r.Request.ID] = r
	}
	c.runs()
	c.bills()
	c.replies()
	c.once()
	c.config()
	return c.found
}

type checker struct {
	bounds Bounds
	facts  Facts
	asked  map[value.RequestID]Reply
	found  []Breach
}

func (c *checker) expect(ok bool, l Line, format string, args ...any) {
	if !ok {
		c.found = append(c.found, Breach{Line: l, Detail: fmt.Sprintf(format, args...)})
	}
}

// since returns the time from which on news must have arrived.
func (c *checker) since(at time.Time, bound time.Duration) time.Time {
	if c.facts.Healed.After(at) {
		at = c.facts.Healed
	}
	return at.Add(bound)
}

func (c *checker) runs() {
	for _, r := range c.facts.Runs {
		q := c.asked[r.Request].Request
		if r.Version != "" {
			c.expect(slices.Contains(c.bounds.Allowed[q.Account], r.Version), LineAllowed, "%s ran on %s", r.Request, r.Version)
		}
		if q.Pinned != "" {
			c.expect(r.Version == q.Pinned, LineSession, "%s of a session on %s ran on %s", r.Request, q.Pinned, r.Version)
		}
		for _, w := range c.facts.Withdrawn {
			late := r.Version == w.Subject && r.At.After(c.since(w.At, c.bounds.Config))
			c.expect(!late, LineWithdrawn, "%s ran on %s %v after its withdrawal", r.Request, r.Version, r.At.Sub(w.At))
		}
		for _, s := range c.facts.Leaving {
			late := r.Server == s.Subject && r.At.After(c.since(s.At, c.bounds.Leaving))
			c.expect(!late, LineLeaving, "%s ran on %s %v after it began to leave", r.Request, r.Server, r.At.Sub(s.At))
		}
	}
}

func (c *checker) bills() {
	bills := make(map[value.RequestID]int)
	for _, s := range c.facts.Segments {
		for _, e := range s.Entries {
			bills[e.Bill.Request]++
		}
	}
	for id, n := range bills {
		c.expect(n == 1, LineBilled, "%s has %d bills", id, n)
		c.expect(c.ran(id) > 0, LineBilled, "%s has a bill and never ran", id)
	}
	for id, r := range c.asked {
		// An answer kept from an earlier run is not charged again.
		if r.Ended && c.ran(id) > 0 {
			c.expect(bills[id] > 0, LineBilled, "%s was answered and has no bill", id)
		}
	}
}

func (c *checker) ran(id value.RequestID) int {
	n := 0
	for _, r := range c.facts.Runs {
		if r.Request == id {
			n++
		}
	}
	return n
}

func (c *checker) replies() {
	for _, r := range c.facts.Replies {
		if r.Ended {
			want := c.bounds.Text(r.Request)
			c.expect(r.Text == want, LineWhole, "%s was answered %q instead of %q", r.Request.ID, r.Text, want)
		}
		if r.NotRun {
			c.expect(c.ran(r.Request.ID) == 0, LineNotRun, "%s ran", r.Request.ID)
		}
		c.expect(!r.Cut, LineShutdown, "%s was cut off", r.Request.ID)
	}
}

func (c *checker) once() {
	effects := make(map[value.IdempotencyKey]int)
	for _, r := range c.facts.Runs {
		if r.Key != "" {
			effects[r.Key]++
		}
	}
	for key, n := range effects {
		c.expect(n == 1, LineOnce, "%s took effect %d times", key, n)
	}
}

func (c *checker) config() {
	latest := make(map[value.InstanceID]int64)
	for _, e := range c.facts.InForce {
		c.expect(e.Revision >= latest[e.Subject], LineConfig, "%s went back from %d to %d", e.Subject, latest[e.Subject], e.Revision)
		latest[e.Subject] = e.Revision
	}
	for _, a := range c.facts.Accepted {
		for id := range latest {
			if slices.Contains(c.facts.Ended, id) {
				continue
			}
			c.expect(c.inForce(id, a), LineConfig, "revision %d is not in force at %s in time", a.Revision, id)
		}
	}
}

func (c *checker) inForce(id value.InstanceID, a Event[value.ChangeID]) bool {
	by := c.since(a.At, c.bounds.Config)
	return slices.ContainsFunc(c.facts.InForce, func(e Event[value.InstanceID]) bool {
		return e.Subject == id && e.Revision >= a.Revision && !e.At.After(by)
	})
}
