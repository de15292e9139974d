package ledger

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"endivehitch/core/value"
)

// CallID identifies a call that must execute at most once: a client account and its idempotency key.
type CallID string

// NewCallID joins the account and the key so that no two pairs give the same identifier. The result is
// printable ASCII, so that no encoding changes it, whatever bytes the caller sent.
func NewCallID(a value.AccountName, k value.IdempotencyKey) CallID {
	return CallID(strconv.Itoa(len(a)) + strconv.QuoteToASCII(string(a)+string(k)))
}

// Slot returns the hash slot, from 0 to slots-1, whose journal has the call.
func (c CallID) Slot(slots int) int {
	return int(xxhash.Sum64String(string(c)) % uint64(slots))
}

// RunState is the state of a call's execution.
type RunState string

// The states of an execution.
const (
	// RunIntended means that the holder may have dispatched the call or may still do so.
	RunIntended RunState = "Intended"
	// RunFinished means that the execution ended in a complete answer.
	RunFinished RunState = "Finished"
	// RunInDoubt means that the execution may or may not have taken effect. While the record exists, no
	// other claim is granted; the holder may still finish or release it.
	RunInDoubt RunState = "Doubted"
	// RunReleased means that the claim was released before any dispatch; the call may be claimed again.
	RunReleased RunState = "Released"
)

// Answer is the stored answer of a finished execution.
type Answer struct {
	Status      int
	ContentType string
	// Body is empty where the answer was too large to store.
	Body []byte
	// Digest is the hexadecimal SHA-256 sum of the complete body.
	Digest string
	// Bytes is the length of the complete body.
	Bytes int
}

// IsComplete reports whether the complete body is stored.
func (a Answer) IsComplete() bool {
	return len(a.Body) == a.Bytes
}

// WithoutBody returns a copy without the body, which keeps the digest and the length.
func (a Answer) WithoutBody() Answer {
	a.Body = nil
	return a
}

// Record is the state of one call in a journal.
type Record struct {
	ID   CallID
	Kind value.KindName
	// RequestHash is the hash of the request's content.
	RequestHash uint64
	// Token identifies the claim; each claim has its own.
	Token  string
	Holder value.InstanceID
	State  RunState
	Answer Answer
	// Since is when the state was reached.
	Since time.Time
	// Until is the deadline of the execution.
	Until time.Time
}

// WithState returns a copy with another state, reached at the given time.
func (r Record) WithState(s RunState, at time.Time) Record {
	r.State = s
	r.Since = at
	return r
}

// WithAnswer returns a copy with another answer.
func (r Record) WithAnswer(a Answer) Record {
	r.Answer = a
	return r
}

const (
	// recordBytes is the most that a record takes in its stored form, the digest included and the body and
	// all other strings apart.
	recordBytes = 384
	// A body is stored in base64, which takes four bytes for three.
	bodyNumerator, bodyDenominator = 4, 3
	// escapeBytes is the most that one byte takes where the encoding has to escape it.
	escapeBytes = 6
)

// storedLen returns an upper bound of the string's size in the stored form, in bytes.
func storedLen[S ~string](s S) int {
	n := len(s)
	for i := range len(s) {
		if c := s[i]; c < ' ' || c > '~' || c == '"' || c == '\\' {
			n += escapeBytes - 1
		}
	}
	return n
}

// Size returns an upper bound of the record's size in its stored form, in bytes; it allows for a digest,
// even if the record has none yet.
func (r Record) Size() int {
	bodyBytes := len(r.Answer.Body)*bodyNumerator/bodyDenominator + bodyNumerator
	textBytes := storedLen(r.ID) + storedLen(r.Kind) + storedLen(r.Token) + storedLen(r.Holder) + storedLen(r.Answer.ContentType)
	return recordBytes + textBytes + bodyBytes
}
