package relay

import (
	"time"

	"endivehitch/core/policy"
)

// SendClaim asks the keeper of a server's limit for permission to send it one request.
type SendClaim struct {
	Server ServerID
	// Limit is the server's limit, in requests a second, as the claiming instance knows it.
	Limit float64
}

// SendGrant is the answer to a SendClaim.
type SendGrant struct {
	// Granted is set if the request may be sent at once.
	Granted bool
	// RetryAfter is the time after which the instance may claim again, if the request may not be sent.
	RetryAfter time.Duration
}

const (
	// quotaBurstTime is the time whose share of the limit may be sent at once after a pause.
	quotaBurstTime = time.Second
	// maxClaimPause bounds how long an instance waits for the next claim.
	maxClaimPause = 2 * time.Second
)

// SendQuota is the keeper's account of the requests to a server with a limit. A new one starts empty, so that a change of
// keepers allows nothing that was used up before.
type SendQuota struct {
	bucket policy.TokenBucket
	// denied counts the claims that were denied since the last grant.
	denied int
}

// WithClaim returns the quota after a claim of an instance, and the answer to it. With each denied claim the next one is
// told to wait for longer, so that many instances don't return at once.
func (q SendQuota) WithClaim(limit float64, now time.Time) (SendQuota, SendGrant) {
	config := policy.TokenBucketConfig{PerSecond: limit, Burst: max(1, limit*quotaBurstTime.Seconds())}
	var granted bool
	if q.bucket, granted = q.bucket.WithoutToken(config, now); granted {
		q.denied = 0
		return q, SendGrant{Granted: true}
	}
	others := time.Duration(float64(q.denied) / limit * float64(time.Second))
	q.denied++
	return q, SendGrant{RetryAfter: min(maxClaimPause, q.bucket.Wait(config, now)+others)}
}
