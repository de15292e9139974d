package query

import (
	"time"

	"endivehitch/core/relay"
)

const (
	// StoreCoalescePause is the pause between a reader's calls to the store, so that changes in quick
	// succession are read in one call.
	StoreCoalescePause = 250 * time.Millisecond
	// minStoreLongPoll and maxStoreLongPoll bound how long the store may hold a call that waits for changes.
	// Short calls cost the store work; in long ones a store that stops answering goes unnoticed.
	minStoreLongPoll = 300 * time.Millisecond
	maxStoreLongPoll = 1500 * time.Millisecond
	// takeoverTime is how long it may take, after the longest time between two answers of a sound store,
	// until the followers of a silent reader have the changes that its successor reads.
	takeoverTime = 1500 * time.Millisecond
)

// StoreLongPoll returns how long the store may hold a reader's call, so that followers have a change within
// the limit although the store has fallen silent to their reader.
func StoreLongPoll(applyWithin time.Duration) time.Duration {
	return min(max(applyWithin-takeoverTime, minStoreLongPoll), maxStoreLongPoll)
}

// IsSilentReader reports whether the feed shows that the store, asked by calls of the given length, has fallen
// silent to the instance that sent it. That instance doesn't know it until its call times out, and reports no
// changes meanwhile. The successor of a suspected reader is given time to ask the store.
func IsSilentReader(health relay.ReaderHealth, reader relay.Member, feed relay.Feed, longPoll time.Duration, now time.Time) bool {
	return feed.Served > longPoll+2*StoreCoalescePause && !health.IsTakingOver(reader.Domain, now)
}
