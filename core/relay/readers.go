package relay

import "time"

// ReaderHealth is what one instance has found of the other instances that read the store for it.
type ReaderHealth struct {
	suspectedUntil map[MemberName]time.Time
	takeoverUntil  map[FailureDomain]time.Time
}

const (
	// readerSuspicionTime is how long a reader that failed is not asked again.
	readerSuspicionTime = 5 * time.Second
	// readerTakeoverTime is how long the successor of a suspected reader may take to find that it is the
	// reader now, and to ask the store.
	readerTakeoverTime = 600 * time.Millisecond
)

// IsSuspected reports whether the instance is currently not to be asked.
func (h ReaderHealth) IsSuspected(name MemberName, now time.Time) bool {
	return now.Before(h.suspectedUntil[name])
}

// IsTakingOver reports whether a reader of the failure domain was suspected so shortly before that its
// successor may not have asked the store yet.
func (h ReaderHealth) IsTakingOver(domain FailureDomain, now time.Time) bool {
	return now.Before(h.takeoverUntil[domain])
}

// WithSuspected returns a copy in which the instances are suspected from the given time on; those whose
// suspicion has ended are left out.
func (h ReaderHealth) WithSuspected(now time.Time, readers ...Member) ReaderHealth {
	suspected, takeover := withoutPast(h.suspectedUntil, now), withoutPast(h.takeoverUntil, now)
	for _, reader := range readers {
		suspected[reader.Name] = now.Add(readerSuspicionTime)
		takeover[reader.Domain] = now.Add(readerTakeoverTime)
	}
	return ReaderHealth{suspectedUntil: suspected, takeoverUntil: takeover}
}

// withoutPast returns a copy of the map without the times that have passed.
func withoutPast[K comparable](times map[K]time.Time, now time.Time) map[K]time.Time {
	left := make(map[K]time.Time, len(times)+1)
	for key, until := range times {
		if now.Before(until) {
			left[key] = until
		}
	}
	return left
}
