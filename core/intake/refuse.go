package intake

import (
	"slices"
	"time"
)

// Holding is what an unfinished request holds.
type Holding[K comparable] struct {
	Key   K
	Bytes int64
	// Progress is when the holder last drew from the budget.
	Progress time.Time
}

// weight orders holders by what they hold and how long they have not made progress.
func (h Holding[K]) weight(now time.Time) float64 {
	return float64(h.Bytes) * max(now.Sub(h.Progress), time.Millisecond).Seconds()
}

// SelectRefused returns the unfinished requests to refuse so that the missing number of bytes is returned: those that hold
// the most for the longest time without progress. It returns false if the asking request itself is to be refused. An asking
// request that stays within OrdinaryBytes comes after all that hold more. A few are enough for what a request draws, so the
// heaviest is looked for each time.
func SelectRefused[K comparable](holdings []Holding[K], asking Holding[K], missing int64, now time.Time) ([]K, bool) {
	left := slices.Clone(holdings)
	var refused []K
	for missing > 0 {
		heaviest := -1
		for i, h := range left {
			if h.Key != asking.Key && h.Bytes > 0 && (heaviest < 0 || h.weight(now) > left[heaviest].weight(now)) {
				heaviest = i
			}
		}
		if heaviest < 0 || !isHeavier(left[heaviest], asking, now) {
			return nil, false
		}
		refused = append(refused, left[heaviest].Key)
		missing -= left[heaviest].Bytes
		left = slices.Delete(left, heaviest, heaviest+1)
	}
	return refused, true
}

func isHeavier[K comparable](h, asking Holding[K], now time.Time) bool {
	if asking.Bytes <= OrdinaryBytes && h.Bytes > OrdinaryBytes {
		return true
	}
	return h.weight(now) > asking.weight(now)
}
