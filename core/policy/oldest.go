package policy

import (
	"maps"
	"slices"
	"time"
)

// Oldest returns the n keys with the earliest times, earliest first; it returns none if n is not positive.
func Oldest[K comparable](times map[K]time.Time, n int) []K {
	if n <= 0 {
		return nil
	}
	keys := slices.Collect(maps.Keys(times))
	slices.SortFunc(keys, func(a, b K) int { return times[a].Compare(times[b]) })
	return keys[:min(n, len(keys))]
}
