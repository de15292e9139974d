package intake

const (
	// OrdinaryBytes is what each request may hold of the part of the budget that is kept free of larger ones.
	OrdinaryBytes = 64 << 10
	// ordinaryShare is the part of the budget, as its reciprocal, that only holders of at most OrdinaryBytes may use.
	ordinaryShare = 4
	// scarceShare is the part of the budget, as its reciprocal, from which on it is scarce.
	scarceShare = 2
)

// Budget is the memory in bytes that all callers together may hold; it is immutable.
type Budget struct {
	limit int64
	used  int64
}

// NewBudget returns a budget of which nothing is used.
func NewBudget(limit int64) Budget {
	return Budget{limit: limit}
}

// Used returns the bytes that callers hold.
func (b Budget) Used() int64 {
	return b.used
}

// IsScarce reports whether buffers should start small.
func (b Budget) IsScarce() bool {
	return b.used > b.limit/scarceShare
}

// WithDraw returns the budget after n more bytes were drawn by a holder of the given number of bytes, and whether the
// budget allows that. A holder that is alone is always allowed, since there is no overload then.
func (b Budget) WithDraw(n, held int64) (Budget, bool) {
	if b.Missing(n, held) > 0 {
		return b, false
	}
	return b.WithForced(n), true
}

// Missing returns how many bytes others must return before a holder of the given number of bytes can draw n more.
func (b Budget) Missing(n, held int64) int64 {
	if b.used <= held {
		return 0
	}
	limit := b.limit
	if held+n > OrdinaryBytes {
		limit -= limit / ordinaryShare
	}
	return max(0, b.used+n-limit)
}

// WithForced returns the budget after n more bytes were drawn that can't be refused, such as those of an answer.
func (b Budget) WithForced(n int64) Budget {
	b.used += n
	return b
}

// WithReturned returns the budget after n bytes were returned.
func (b Budget) WithReturned(n int64) Budget {
	b.used -= n
	return b
}
