package query

import (
	"cmp"
	"slices"

	"endivehitch/core/ledger"
	"endivehitch/core/value"
)

// Audit is the reconciliation of kept bills with the requests that were answered.
type Audit struct {
	// Charges holds one bill for each request, by request.
	Charges []value.Bill
	// Missing lists answered requests without a bill.
	Missing []value.RequestID
	// Doubled lists requests with more than one kept bill, of which the first is charged.
	Doubled []value.RequestID
	// Unknown lists requests that have a bill and no answer.
	Unknown []value.RequestID
}

// Clean reports whether every answered request has its charge and nobody else has one.
func (a Audit) Clean() bool {
	return len(a.Missing) == 0 && len(a.Doubled) == 0 && len(a.Unknown) == 0
}

// Reconcile charges each request once, however often and wherever its bill was kept: the earliest
// bill counts, and among equal ones that of the lowest owner and sequence.
func Reconcile(segments []ledger.Segment, answered []value.RequestID) Audit {
	kept := make(map[value.RequestID][]placed)
	for _, s := range segments {
		for _, e := range s.Entries {
			kept[e.Bill.Request] = append(kept[e.Bill.Request], placed{owner: s.Owner, entry: e})
		}
	}
	var a Audit
	for id, list := range kept {
		a.Charges = append(a.Charges, slices.MinFunc(list, comparePlaced).entry.Bill)
		if len(list) > 1 {
			a.Doubled = append(a.Doubled, id)
		}
	}
	known := make(map[value.RequestID]bool, len(answered))
	for _, id := range answered {
		if _, ok := kept[id]; !ok && !known[id] {
			a.Missing = append(a.Missing, id)
		}
		known[id] = true
	}
	for id := range kept {
		if !known[id] {
			a.Unknown = append(a.Unknown, id)
		}
	}
	return a.ordered()
}

// placed is an entry with the owner whose sequence it stands in.
type placed struct {
	owner value.InstanceID
	entry ledger.Entry
}

func comparePlaced(x, y placed) int {
	return cmp.Or(
		x.entry.Bill.At.Compare(y.entry.Bill.At),
		cmp.Compare(x.owner, y.owner),
		cmp.Compare(x.entry.Sequence, y.entry.Sequence),
	)
}

func (a Audit) ordered() Audit {
	slices.SortFunc(a.Charges, func(x, y value.Bill) int { return cmp.Compare(x.Request, y.Request) })
	slices.Sort(a.Missing)
	slices.Sort(a.Doubled)
	slices.Sort(a.Unknown)
	return a
}
