package cold

import (
	"endivehitch/core/policy"
	"endivehitch/core/relay"
)

// Limits bound the requests that a cold server may receive in any single second, from all instances together.
type Limits struct {
	// Overshoot is the factor on the service's cold rate, and Allowance the number of requests on top of that.
	Overshoot float64
	Allowance float64
}

// DefaultLimits apply where the settings state none.
func DefaultLimits() Limits {
	return Limits{Overshoot: 1.5, Allowance: 5}
}

// Role is the position of a keeper among the instances that may grant requests to a server.
type Role int

// The roles of the keepers of a server.
const (
	// First is the role of the instance that is asked first.
	First Role = iota
	// Second is the role of the one that is asked if the first can't be reached.
	Second
)

// Shares of the bound that a keeper may grant, by its role and by whether its list of instances is current. One with an
// outdated list may have been replaced without knowing, so all four may grant at once. The rest covers requests of instances
// that don't know yet that the server is cold, grants that arrive together, and a change of keepers.
const (
	firstShare          = 0.60
	secondShare         = 0.12
	outdatedFirstShare  = 0.08
	outdatedSecondShare = 0.05
)

const (
	// burstShare is the part of a keeper's share that it may grant at once after a pause. A bucket lets through its burst
	// and its rate in one second.
	burstShare = 0.25
	// rateShare bounds what the first keeper grants in the long run, as a share of the cold rate.
	rateShare = 0.8
	// minRate is the least rate of a bucket, in requests a second. Below one, no second has two grants.
	minRate = 0.5
)

// Bound returns the number of requests that a cold server of the service may receive in a second.
func (l Limits) Bound(service relay.Service) float64 {
	return service.ColdPerSecond*l.Overshoot + l.Allowance
}

// Bucket returns the rate and burst of a keeper in the role; a zero rate grants nothing.
func (l Limits) Bucket(service relay.Service, role Role) policy.TokenBucketConfig {
	bound := l.Bound(service)
	share := max(firstShare*bound, min(1, bound))
	if role == Second {
		share = secondShare * bound
	}
	bucket := bucketOf(share)
	bucket.PerSecond = min(bucket.PerSecond, max(minRate, rateShare*service.ColdPerSecond))
	return bucket
}

// bucketOf returns the bucket that lets through the number of requests in any second.
func bucketOf(perSecond float64) policy.TokenBucketConfig {
	if perSecond < 1 {
		return policy.TokenBucketConfig{}
	}
	burst := max(1, burstShare*perSecond)
	return policy.TokenBucketConfig{PerSecond: max(minRate, perSecond-burst), Burst: burst}
}

// Reduced returns the claim with the limits of a keeper whose list of instances is outdated.
func Reduced(claim relay.SendClaim) relay.SendClaim {
	share := outdatedFirstShare / firstShare
	if claim.Second {
		share = outdatedSecondShare / secondShare
	}
	bucket := bucketOf((claim.Limit + claim.Burst) * share)
	claim.Limit, claim.Burst = min(claim.Limit, bucket.PerSecond), bucket.Burst
	return claim
}
