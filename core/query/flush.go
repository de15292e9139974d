package query

import (
	"time"

	"endivehitch/core/state"
)

const (
	// leastFlush is the time between two flushes of bills in a small fleet.
	leastFlush = 5 * time.Second
	// flushShare is the flushes a second that all instances together may make at the key-value service.
	flushShare = 100
)

// FlushEvery returns the time between two flushes of an instance's bills, which grows with the fleet
// so that all flushes together keep to their share of the key-value service's writes.
func FlushEvery(s state.State) time.Duration {
	byShare := time.Duration(s.LiveInstances()) * time.Second / flushShare
	return max(leastFlush, byShare)
}
