package value

import (
	"fmt"
	"time"
)

// ChangeID identifies one change of an operator, so that a lost answer can be resolved.
type ChangeID string

// Environment names where a document is in force, such as trial or production.
type Environment string

// Change is one operator's change of what the key-value service keeps.
type Change struct {
	ID  ChangeID
	Who string
	At  time.Time
	// Expect is the revision that the change replaces; zero means that there is none yet.
	Expect int64
	// Digest identifies the document's bytes, as a hexadecimal SHA-256 sum.
	Digest string
}

// WithDigest returns a copy about a document of another digest.
func (c Change) WithDigest(digest string) Change {
	c.Digest = digest
	return c
}

// Standing is what the key-value service keeps for an environment, without the document's bytes.
type Standing struct {
	// Revision is zero where nothing is kept.
	Revision int64
	// Change is the change that led to the revision.
	Change Change
	// Trail lists the changes before it, the latest first, as far as they are remembered.
	Trail []Change
}

// Applied is a change with the revision that it led to.
type Applied struct {
	Change   Change
	Revision int64
	// Overtaken is set where a later change already stands in its place.
	Overtaken bool
}

// ChangeConflict is the error of a change that expected another revision than the one that stands.
type ChangeConflict struct {
	Mine    Change
	Present Standing
}

// Error shows both changes.
func (c ChangeConflict) Error() string {
	p := c.Present
	return fmt.Sprintf(
		"conflict: change %s by %s (digest %s) expected revision %d, but revision %d stands: change %s by %s at %s (digest %s)",
		c.Mine.ID, c.Mine.Who, short(c.Mine.Digest), c.Mine.Expect,
		p.Revision, p.Change.ID, p.Change.Who, p.Change.At.UTC().Format(time.RFC3339), short(p.Change.Digest),
	)
}

// ChangeRefused is the error of a change that is declined; nothing changed.
type ChangeRefused struct {
	Reason Reason
	Detail string
}

// Error returns the reason and the detail.
func (r ChangeRefused) Error() string {
	return fmt.Sprintf("refused: %s: %s", r.Reason, r.Detail)
}

// ChangeUnavailable is the error of a change that reached no service; nothing changed.
type ChangeUnavailable struct {
	Detail string
}

// Error returns the detail.
func (u ChangeUnavailable) Error() string {
	return "unavailable, nothing changed: " + u.Detail
}

// ChangeUnknown is the error of a change of which it is not known whether it took effect.
type ChangeUnknown struct {
	Change ChangeID
	Detail string
}

// Error says how to find out.
func (u ChangeUnknown) Error() string {
	return fmt.Sprintf("outcome unknown: send change %s again to find out: %s", u.Change, u.Detail)
}

// The reasons for which a change is refused.
const (
	ReasonNotInTrial     Reason = "NotAcceptedInTrial"
	ReasonAlreadyInForce Reason = "AlreadyInForce"
	ReasonNothingKept    Reason = "NothingKept"
	ReasonUnknownRollOut Reason = "UnknownRollOut"
	ReasonWrongPhase     Reason = "WrongPhase"
	ReasonNotOperator    Reason = "NotAnOperator"
	ReasonUnknownRequest Reason = "UnknownRequest"
	ReasonDamaged        Reason = "DigestDoesNotMatch"
)

// shortDigest is how many digits of a digest tell documents apart for a reader.
const shortDigest = 12

func short(digest string) string {
	return digest[:min(len(digest), shortDigest)]
}
