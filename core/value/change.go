package value

import (
	"fmt"
	"time"
)

// ChangeID identifies one change by an operator. An operator that lost the answer sends the change
// again under the same identifier to learn its outcome.
type ChangeID string

// Environment names where a document is in force, such as trial or production.
type Environment string

// Change is one operator's change of an environment's record in the key-value service.
type Change struct {
	ID  ChangeID
	Who string
	At  time.Time
	// Expect is the revision that the change replaces; zero means that no record exists yet.
	Expect int64
	// Digest identifies the document's bytes, as a hexadecimal SHA-256 sum.
	Digest string
}

// WithDigest returns a copy for a document with another digest.
func (c Change) WithDigest(digest string) Change {
	c.Digest = digest
	return c
}

// CurrentRecord is an environment's record in force in the key-value service, without the document's
// bytes.
type CurrentRecord struct {
	// Revision is zero where there is no record.
	Revision int64
	// Change is the change that created the revision.
	Change Change
	// History is the change history: the stored earlier changes, the latest first.
	History []Change
}

// AppliedChange is a change with the revision that it created.
type AppliedChange struct {
	Change   Change
	Revision int64
	// Superseded reports that a later change has already replaced it.
	Superseded bool
}

// ChangeConflict is the error of a change that expected a revision other than the current one.
type ChangeConflict struct {
	Attempted Change
	Current   CurrentRecord
}

// Error describes the rejected change and the current record.
func (c ChangeConflict) Error() string {
	current := c.Current
	return fmt.Sprintf(
		"conflict: change %s by %s (digest %s) expected revision %d, but revision %d stands: change %s by %s at %s (digest %s)",
		c.Attempted.ID, c.Attempted.Who, digestPrefix(c.Attempted.Digest), c.Attempted.Expect,
		current.Revision, current.Change.ID, current.Change.Who, current.Change.At.UTC().Format(time.RFC3339), digestPrefix(current.Change.Digest),
	)
}

// ChangeRefused is the error of a change that was refused and took no effect.
type ChangeRefused struct {
	Reason Reason
	Detail string
}

// Error returns the reason and the detail.
func (r ChangeRefused) Error() string {
	return fmt.Sprintf("refused: %s: %s", r.Reason, r.Detail)
}

// ChangeUnavailable is the error of a call that changed nothing because the instance or the key-value
// service was not reached or, for a query, did not answer.
type ChangeUnavailable struct {
	Detail string
}

// Error returns the detail.
func (u ChangeUnavailable) Error() string {
	return "unavailable, nothing changed: " + u.Detail
}

// ChangeUnknown is the error of a change whose outcome is unknown.
type ChangeUnknown struct {
	Change ChangeID
	Detail string
}

// Error asks the caller to resend the change, which returns its outcome.
func (u ChangeUnknown) Error() string {
	return fmt.Sprintf("outcome unknown: send change %s again to find out: %s", u.Change, u.Detail)
}

// The reasons for refusing a change.
const (
	ReasonNotInTrial     Reason = "NotAcceptedInTrial"
	ReasonAlreadyInForce Reason = "AlreadyInForce"
	ReasonNothingStored  Reason = "NothingKept"
	ReasonUnknownRollOut Reason = "UnknownRollOut"
	ReasonWrongPhase     Reason = "WrongPhase"
	ReasonNotOperator    Reason = "NotAnOperator"
	ReasonUnknownRequest Reason = "UnknownRequest"
	ReasonDigestMismatch Reason = "DigestDoesNotMatch"
)

// digestPrefixLength is the number of digits of a digest that error texts show, enough to distinguish
// documents.
const digestPrefixLength = 12

func digestPrefix(digest string) string {
	return digest[:min(len(digest), digestPrefixLength)]
}
