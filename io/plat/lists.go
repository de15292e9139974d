package plat

import (
	"context"
	"time"

	"endivehitch/core/value"
)

// InstanceList shows live and leaving instances and backend servers, with a lag.
type InstanceList interface {
	// Servers returns the backend servers as listed.
	Servers(ctx context.Context) ([]value.BackendServer, error)
	// Instances returns the instances of the system as listed.
	Instances(ctx context.Context) ([]value.Instance, error)
}

// Rating is the rating service's verdict on one answer.
type Rating struct {
	Request  value.RequestID
	Kind     value.KindName
	Version  value.VersionKey
	Accepted bool
	// Rate is the share, from 0 to 1, at which answers with this verdict are rated; zero means unknown.
	Rate float64
	At   time.Time
}

// RatingService rates answers, late and not all of them.
type RatingService interface {
	// Ratings returns the ratings after the cursor and the next cursor.
	Ratings(ctx context.Context, cursor string) ([]Rating, string, error)
}

// WeightStore holds the weights of versions and is rate-limited.
type WeightStore interface {
	// Available returns how many loads the store would serve at once.
	Available(ctx context.Context) (int, error)
}
