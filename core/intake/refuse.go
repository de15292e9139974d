package intake

import (
	"cmp"
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
// request that stays within OrdinaryBytes comes after all that hold more.
func SelectRefused[K comparable](holdings []Holding[K], asking Holding[K], missing int64, now time.Time) ([]K, bool) {
	heavier := slices.DeleteFunc(slices.Clone(holdings), func(h Holding[K]) bool {
		return h.Key == asking.Key || h.Bytes == 0 || !isHeavier(h, asking, now)
	})
	slices.SortFunc(heavier, func(a, b Holding[K]) int { return cmp.Compare(b.weight(now), a.weight(now)) })
	var refused []K
	for _, h := range heavier {
		if missing <= 0 {
			break
		}
		refused = append(refused, h.Key)
		missing -= h.Bytes
	}
	if missing > 0 {
		return nil, false
	}
	return refused, true
}

func isHeavier[K comparable](h, asking Holding[K], now time.Time) bool {
	if asking.Bytes <= OrdinaryBytes && h.Bytes > OrdinaryBytes {
		return true
	}
	return h.weight(now) > asking.weight(now)
}
