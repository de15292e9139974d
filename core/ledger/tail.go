package ledger

import (
	"endivehitch/core/policy"
	"endivehitch/core/value"
)

// Entry is a bill with its sequence number, which each process counts from 1 for its own bills.
type Entry struct {
	Sequence int64
	Bill     value.Bill
}

// entryBytes is the most that an entry takes in its stored form, its strings apart.
const entryBytes = 256

// Size returns an upper bound of the entry's size in its stored form, in bytes.
func (e Entry) Size() int {
	textBytes := storedLen(e.Bill.Request) + storedLen(e.Bill.Account) + storedLen(e.Bill.Kind) + storedLen(e.Bill.Version)
	return entryBytes + textBytes
}

// Segment is a series of an owner's consecutive entries, as it is stored.
type Segment struct {
	Owner   value.ChainID
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

// Tail is the end of an owner's sequence of bills, not yet known to be in the store. It is immutable;
// the owner has one and so does each holder of a copy.
type Tail struct {
	owner   value.ChainID
	flushed int64
	entries policy.List[Entry]
	// recent and previous map requests to the sequence numbers of their bills: recent those billed since
	// the latest flush, previous those billed between the two latest flushes.
	recent   policy.Table[value.RequestID, int64]
	previous policy.Table[value.RequestID, int64]
}

// NewTail returns an empty tail of the owner's bills that starts after the given sequence number.
func NewTail(owner value.ChainID, flushed int64) Tail {
	return Tail{owner: owner, flushed: flushed}
}

// Owner returns the chain of the process that made the bills.
func (t Tail) Owner() value.ChainID {
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

// Find returns the sequence number of the request's bill, if it was made since the flush before
// the latest.
func (t Tail) Find(r value.RequestID) (int64, bool) {
	if n, ok := t.recent.Get(r); ok {
		return n, true
	}
	return t.previous.Get(r)
}

// With returns a tail that ends with the bill; a request that Find knows is not billed again.
func (t Tail) With(b value.Bill) Tail {
	if _, ok := t.Find(b.Request); ok {
		return t
	}
	n := t.Last() + 1
	t.entries = t.entries.With(Entry{Sequence: n, Bill: b})
	t.recent = t.recent.With(b.Request, n)
	return t
}

// WithCopies returns the tail of a holder of a copy, extended by the owner's entries. Entries that it
// has already and entries after a gap are skipped; Find does not return copied entries.
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
	t.previous = t.recent
	t.recent = policy.Table[value.RequestID, int64]{}
	return t
}

// Since returns the entries after the sequence number: as many as fit into the given bytes, but always
// the first.
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

// Segment returns the next segment to be written, limited to the given bytes as in Since.
//
// Its key consists of the owner and its first sequence number, and a writer starts a segment only after
// one that it knows to be in the store. So the segments of an owner have no gaps or overlaps, whichever
// instances write them.
func (t Tail) Segment(bytes int) Segment {
	return Segment{Owner: t.owner, Entries: t.Since(t.flushed, bytes)}
}
