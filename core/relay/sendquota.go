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
	// Burst is how many requests may be sent at once after a pause; zero means those of one second.
	Burst float64
	// Cold is set if the claiming instance counts the server as cold.
	Cold bool
	// Second is set if the first keeper can't be reached, so that the second one is asked.
	Second bool
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
	// quotaIdleTime is the time without claims after which the account of a cold server holds at most one request: another
	// instance may have granted requests to the server meanwhile.
	quotaIdleTime = time.Second
	// maxClaimPause bounds how long an instance waits for the next claim.
	maxClaimPause = 2 * time.Second
)

// SendQuota is the keeper's account of the requests to a server with a limit. A new one starts empty, so that a change of
// keepers allows nothing that was used up before.
type SendQuota struct {
	bucket policy.TokenBucket
	// denied counts the claims that were denied since the last grant.
	denied int
	// claimedAt is when the last claim was answered.
	claimedAt time.Time
	// cold is the last claim for the server as a cold one, answered at coldAt.
	cold   SendClaim
	coldAt time.Time
}

// WithClaim returns the quota after a claim of an instance, and the answer to it. With each denied claim the next one is
// told to wait for longer, so that many instances don't return at once.
func (q SendQuota) WithClaim(claim SendClaim, now time.Time) (SendQuota, SendGrant) {
	config := q.bucketFor(claim, now)
	if config.PerSecond <= 0 {
		return q, SendGrant{RetryAfter: maxClaimPause}
	}
	q.claimedAt = now
	if claim.Cold {
		q.cold, q.coldAt = claim, now
	}
	var granted bool
	if q.bucket, granted = q.bucket.WithoutToken(config, now); granted {
		q.denied = 0
		return q, SendGrant{Granted: true}
	}
	others := time.Duration(float64(q.denied) / config.PerSecond * float64(time.Second))
	q.denied++
	return q, SendGrant{RetryAfter: min(maxClaimPause, q.bucket.Wait(config, now)+others)}
}

// bucketFor returns the rate and burst of the claim. One of an instance that doesn't know yet that the server is cold is
// answered as the claims of those that do.
func (q SendQuota) bucketFor(claim SendClaim, now time.Time) policy.TokenBucketConfig {
	config := claim.bucket()
	switch {
	case claim.Cold && now.Sub(q.claimedAt) > quotaIdleTime:
		config.Burst = min(config.Burst, 1)
	case !claim.Cold && now.Sub(q.coldAt) < quotaIdleTime:
		known := q.cold.bucket()
		config.PerSecond, config.Burst = min(config.PerSecond, known.PerSecond), min(config.Burst, known.Burst)
	}
	return config
}

func (c SendClaim) bucket() policy.TokenBucketConfig {
	burst := c.Burst
	if burst == 0 {
		burst = c.Limit * quotaBurstTime.Seconds()
	}
	return policy.TokenBucketConfig{PerSecond: c.Limit, Burst: max(1, burst)}
}
