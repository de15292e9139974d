package ledger

import (
	"endivehitch/core/policy"
	"endivehitch/core/value"
)

// Entry is a bill with its place in the sequence of the instance that made it, from 1.
type Entry struct {
	Sequence int64
	Bill     value.Bill
}

// entryBytes bounds what an entry takes beside its strings, in bytes of the stored form.
const entryBytes = 256

// Size returns a bound on the bytes that the entry takes in its stored form.
func (e Entry) Size() int {
	names := storedLen(e.Bill.Request) + storedLen(e.Bill.Account) + storedLen(e.Bill.Kind) + storedLen(e.Bill.Version)
	return entryBytes + names
}

// Segment is a run of an owner's entries as it is kept in the store.
type Segment struct {
	Owner   value.InstanceID
	Entries []Entry
}

// First returns the sequence number of the first entry, or zero where there is none.
func (s Segment) First() int64 {
	if len(s.Entries) == 0 {
		return 0
	}
	return s.Entries[0].Sequence
}

// Last returns the sequence number of the last entry, or zero where there is none.
func (s Segment) Last() int64 {
	if len(s.Entries) == 0 {
		return 0
	}
	return s.Entries[len(s.Entries)-1].Sequence
}

// Tail is the end of an owner's sequence of bills that is not yet known to be in the store; it is
// immutable, and both the owner and the holders of copies have one.
type Tail struct {
	owner   value.InstanceID
	flushed int64
	entries policy.List[Entry]
	// seen and before find the sequence numbers of requests since the last flush and the one before.
	seen   policy.Table[value.RequestID, int64]
	before policy.Table[value.RequestID, int64]
}

// NewTail returns an empty tail of the owner behind the given sequence number.
func NewTail(owner value.InstanceID, flushed int64) Tail {
	return Tail{owner: owner, flushed: flushed}
}

// Owner returns the instance whose bills these are.
func (t Tail) Owner() value.InstanceID {
	return t.owner
}

// Flushed returns the last sequence number that is known to be in the store.
func (t Tail) Flushed() int64 {
	return t.flushed
}

// Last returns the last sequence number.
func (t Tail) Last() int64 {
	return t.flushed + int64(t.entries.Len())
}

// Len returns the number of entries.
func (t Tail) Len() int {
	return t.entries.Len()
}

// Find returns the sequence number of a request that was billed lately.
func (t Tail) Find(r value.RequestID) (int64, bool) {
	if n, ok := t.seen.Get(r); ok {
		return n, true
	}
	return t.before.Get(r)
}

// With returns a tail that ends with the bill; a request that was billed lately keeps its bill.
func (t Tail) With(b value.Bill) Tail {
	if _, ok := t.Find(b.Request); ok {
		return t
	}
	n := t.Last() + 1
	t.entries = t.entries.With(Entry{Sequence: n, Bill: b})
	t.seen = t.seen.With(b.Request, n)
	return t
}

// WithCopies returns a holder's tail extended by the owner's entries. Known ones are left as they
// are, and entries behind a gap are not taken.
func (t Tail) WithCopies(entries []Entry) Tail {
	for _, e := range entries {
		if e.Sequence == t.Last()+1 {
			t.entries = t.entries.With(e)
		}
	}
	return t
}

// WithFlushed returns a tail without the entries up to the sequence number, which are in the store.
func (t Tail) WithFlushed(sequence int64) Tail {
	if sequence <= t.flushed {
		return t
	}
	t.entries = t.entries.Without(int(sequence - t.flushed))
	t.flushed = sequence
	t.before = t.seen
	t.seen = policy.Table[value.RequestID, int64]{}
	return t
}

// Since returns the entries after the sequence number, as many as fit into the bytes, but one at least.
func (t Tail) Since(sequence int64, bytes int) []Entry {
	skip := max(sequence-t.flushed, 0)
	var list []Entry
	for e := range t.entries.From(int(skip)) {
		bytes -= e.Size()
		if bytes < 0 && len(list) > 0 {
			break
		}
		list = append(list, e)
	}
	return list
}

// Segment returns the next segment to be written, of at most the given bytes.
//
// Its key is the owner and its first sequence number, and a writer starts a segment only behind one
// that it knows to be in the store. So there is one chain of segments for each owner, without gap
// or overlap, whoever writes it.
func (t Tail) Segment(bytes int) Segment {
	return Segment{Owner: t.owner, Entries: t.Since(t.flushed, bytes)}
}
