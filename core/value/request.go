package value

import "time"

// QualityClass is a caller's wish for an answer better than the kind's target asks.
type QualityClass string

// The quality classes; without one the kind's own target applies.
const (
	QualityTarget QualityClass = ""
	QualityBest   QualityClass = "Best"
)

// Valid reports whether the class is a known one.
func (q QualityClass) Valid() bool {
	return q == QualityTarget || q == QualityBest
}

// Request is what the decisions need to know of a caller's request; its body stays with the front end.
type Request struct {
	ID      RequestID
	Account AccountName
	Kind    KindName
	Session SessionID
	// Pinned is the version that the session has used, or empty.
	Pinned VersionKey
	// Quality is the caller's wish for a better answer than the kind's target asks.
	Quality QualityClass
	// Key is the caller's idempotency key, or empty.
	Key      IdempotencyKey
	Deadline time.Time
	Arrived  time.Time
	// InputTokens is an estimate of the prompt's length.
	InputTokens int
	// MaxTokens bounds the answer's length.
	MaxTokens int
	// Prefix identifies the prompt's leading part, for prefix locality; zero means none.
	Prefix uint64
	// Question identifies the whole question, for the sharing of runs; zero means none.
	Question uint64
	Stream   bool
}

// WithPinned returns a copy whose session is pinned to the version.
func (r Request) WithPinned(v VersionKey) Request {
	r.Pinned = v
	return r
}

// WithDeadline returns a copy with another deadline.
func (r Request) WithDeadline(d time.Time) Request {
	r.Deadline = d
	return r
}

// WithKind returns a copy of another kind.
func (r Request) WithKind(k KindName) Request {
	r.Kind = k
	return r
}

// WithAccount returns a copy from another client account.
func (r Request) WithAccount(a AccountName) Request {
	r.Account = a
	return r
}
