package query

import (
	"cmp"
	"slices"

	"endivehitch/core/ledger"
	"endivehitch/core/value"
)

// Audit is the result of reconciling the stored bills with the requests that were answered.
type Audit struct {
	// Charges holds the bill that each request is charged by, in the order of request identifiers.
	Charges []value.Bill
	// Missing lists answered requests without a bill.
	Missing []value.RequestID
	// Duplicated lists requests with more than one stored bill; only the earliest is charged.
	Duplicated []value.RequestID
	// Unknown lists requests that have a bill but were not answered.
	Unknown []value.RequestID
}

// IsClean reports whether every answered request has exactly one bill and no other request has any.
func (a Audit) IsClean() bool {
	return len(a.Missing) == 0 && len(a.Duplicated) == 0 && len(a.Unknown) == 0
}

// Reconcile compares the stored bills with the answered requests. It charges each request once, even
// if several instances stored its bill: the earliest bill counts, and of bills with the same time
// the one with the lowest owner, then the lowest sequence number.
func Reconcile(segments []ledger.Segment, answered []value.RequestID) Audit {
	stored := make(map[value.RequestID][]ownedEntry)
	for _, s := range segments {
		for _, e := range s.Entries {
			stored[e.Bill.Request] = append(stored[e.Bill.Request], ownedEntry{owner: s.Owner, entry: e})
		}
	}
	var audit Audit
	for id, copies := range stored {
		audit.Charges = append(audit.Charges, slices.MinFunc(copies, compareOwnedEntries).entry.Bill)
		if len(copies) > 1 {
			audit.Duplicated = append(audit.Duplicated, id)
		}
	}
	answeredSet := make(map[value.RequestID]bool, len(answered))
	for _, id := range answered {
		if _, ok := stored[id]; !ok && !answeredSet[id] {
			audit.Missing = append(audit.Missing, id)
		}
		answeredSet[id] = true
	}
	for id := range stored {
		if !answeredSet[id] {
			audit.Unknown = append(audit.Unknown, id)
		}
	}
	return audit.sorted()
}

// ownedEntry is a ledger entry with the chain that it belongs to.
type ownedEntry struct {
	owner value.ChainID
	entry ledger.Entry
}

func compareOwnedEntries(x, y ownedEntry) int {
	return cmp.Or(
		x.entry.Bill.At.Compare(y.entry.Bill.At),
		cmp.Compare(x.owner, y.owner),
		cmp.Compare(x.entry.Sequence, y.entry.Sequence),
	)
}

func (a Audit) sorted() Audit {
	slices.SortFunc(a.Charges, func(x, y value.Bill) int { return cmp.Compare(x.Request, y.Request) })
	slices.Sort(a.Missing)
	slices.Sort(a.Duplicated)
	slices.Sort(a.Unknown)
	return a
}
