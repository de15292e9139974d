package value

import "time"

// QualityClass is the quality that a caller asks for.
type QualityClass string

// The quality classes: the kind's quality target, and the best quality available.
const (
	QualityTarget QualityClass = ""
	QualityBest   QualityClass = "Best"
)

// IsValid reports whether the class is one of the defined ones.
func (q QualityClass) IsValid() bool {
	return q == QualityTarget || q == QualityBest
}

// Request holds the properties of a caller's request that decisions depend on; the body stays with
// the front end.
type Request struct {
	ID      RequestID
	Account AccountName
	Kind    KindName
	Session SessionID
	// Pinned is the version that the session is pinned to by an earlier request, or empty.
	Pinned VersionKey
	// Quality is the quality that the caller asks for.
	Quality QualityClass
	// Key is the caller's idempotency key, or empty.
	Key      IdempotencyKey
	Deadline time.Time
	Arrived  time.Time
	// InputTokens is the estimated length of the prompt.
	InputTokens int
	// MaxTokens bounds the length of the answer.
	MaxTokens int
	// Prefix identifies the beginning of the prompt, for prefix-cache locality; zero means none.
	Prefix uint64
	// RequestHash is a hash of the request's content. Requests with the same hash may share one attempt, and
	// an idempotency key that is reused with another hash is refused; zero means none.
	RequestHash uint64
	Stream      bool
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
