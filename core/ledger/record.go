package ledger

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"endivehitch/core/value"
)

// CallID identifies a call that must run at most once: a client account and its idempotency key.
type CallID string

// NewCallID joins the account and the key so that no two pairs give the same identifier; it is plain
// ASCII, so that no encoding changes it, whatever bytes a caller sent.
func NewCallID(a value.AccountName, k value.IdempotencyKey) CallID {
	return CallID(strconv.Itoa(len(a)) + strconv.QuoteToASCII(string(a)+string(k)))
}

// Slot returns the journal, from 0 to slots-1, that the call belongs to.
func (c CallID) Slot(slots int) int {
	return int(xxhash.Sum64String(string(c)) % uint64(slots))
}

// RunState is what is known of a call's one run.
type RunState string

// The states of a run.
const (
	// RunIntended runs may be dispatched by the holder at any moment, or have been.
	RunIntended RunState = "Intended"
	// RunFinished runs ended in a whole answer.
	RunFinished RunState = "Finished"
	// RunDoubted runs may or may not have taken effect, and nobody will find out.
	RunDoubted RunState = "Doubted"
	// RunReleased claims were given back before any dispatch; the call may be claimed anew.
	RunReleased RunState = "Released"
)

// Answer is what is kept of a finished run's answer.
type Answer struct {
	Status      int
	ContentType string
	// Body is empty where the answer was too large to keep.
	Body []byte
	// Digest identifies the whole body, as a hexadecimal SHA-256 sum.
	Digest string
	// Bytes is the length of the whole body.
	Bytes int
}

// Whole reports whether the body is kept.
func (a Answer) Whole() bool {
	return len(a.Body) == a.Bytes
}

// WithoutBody returns a copy that keeps the digest only.
func (a Answer) WithoutBody() Answer {
	a.Body = nil
	return a
}

// Record is what a journal holds about one call.
type Record struct {
	ID       CallID
	Kind     value.KindName
	Question uint64
	// Token identifies the claim; each claim has its own.
	Token  string
	Holder value.InstanceID
	State  RunState
	Answer Answer
	// Since is when the state was reached.
	Since time.Time
	// Until is the deadline of the run.
	Until time.Time
}

// WithState returns a copy that reached another state at the given time.
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
	// recordBytes bounds what a record takes beside its strings, in bytes of the stored form.
	recordBytes = 384
	// A body is stored in base64, which takes four bytes for three.
	bodyNumerator, bodyDenominator = 4, 3
	// An encoding may escape a byte that is not plain, in as many bytes.
	escapeBytes = 6
)

// storedLen returns a bound on the bytes that the string takes in a stored form.
func storedLen[S ~string](s S) int {
	n := len(s)
	for i := range len(s) {
		if c := s[i]; c < ' ' || c > '~' || c == '"' || c == '\\' {
			n += escapeBytes - 1
		}
	}
	return n
}

// Size returns a bound on the bytes that the record takes in its stored form, a digest included.
func (r Record) Size() int {
	body := len(r.Answer.Body)*bodyNumerator/bodyDenominator + bodyNumerator
	names := storedLen(r.ID) + storedLen(r.Kind) + storedLen(r.Token) + storedLen(r.Holder) + storedLen(r.Answer.ContentType)
	return recordBytes + names + body
}
