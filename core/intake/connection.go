package intake

import "time"

// Waiting is a connection that waits for a head.
type Waiting[K comparable] struct {
	Key K
	// Fresh is set if the connection has had no request yet.
	Fresh bool
	Since time.Time
}

// Connections counts the callers' connections.
type Connections struct {
	Open  int
	Fresh int
}

// SelectClosed returns the connection to close for one that was just accepted and is not counted yet. The first result is
// false if none needs to be closed; the second is false if the new connection has to be refused.
//
// Of the connections without a request so far, the one that has waited longest goes first. Connections between two requests
// stay, since a request may be in transit on them, unless nothing else is left.
func SelectClosed[K comparable](limits Limits, count Connections, waiting func(yield func(Waiting[K]) bool)) (key K, needed, found bool) {
	isFull := count.Open >= limits.Connections
	if !isFull && count.Fresh < limits.Fresh {
		return key, false, true
	}
	var oldest Waiting[K]
	for w := range waiting {
		if !w.Fresh && !isFull {
			continue
		}
		if !found || (w.Fresh && !oldest.Fresh) || (w.Fresh == oldest.Fresh && w.Since.Before(oldest.Since)) {
			oldest, found = w, true
		}
	}
	return oldest.Key, true, found
}
