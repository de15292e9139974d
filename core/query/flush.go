package query

import (
	"time"

	"endivehitch/core/state"
)

const (
	// minFlushInterval is the time between an instance's flushes of bills in a small fleet.
	minFlushInterval = 5 * time.Second
	// maxFleetFlushRate is how many flushes per second all instances together may make at the
	// key-value service.
	maxFleetFlushRate = 100
)

// FlushInterval returns the time between an instance's flushes of bills; it grows with the fleet, so
// that the flushes of all instances stay within their part of the key-value service's write
// capacity.
func FlushInterval(s state.State) time.Duration {
	byRate := time.Duration(s.LiveInstances()) * time.Second / maxFleetFlushRate
	return max(minFlushInterval, byRate)
}
