package plat

import (
	"context"
	"time"

	"endivehitch/core/value"
)

// InstanceList is the platform's list of live and leaving instances and backend servers; it lags
// behind their present state.
type InstanceList interface {
	// Servers returns the listed backend servers.
	Servers(ctx context.Context) ([]value.BackendServer, error)
	// Instances returns the listed instances of the system.
	Instances(ctx context.Context) ([]value.Instance, error)
}

// Rating is the rating service's verdict on one answer.
type Rating struct {
	Request  value.RequestID
	Kind     value.KindName
	Version  value.VersionKey
	Accepted bool
	// Rate is the sampling rate, from 0 to 1, of answers with this verdict; zero means unknown.
	Rate float64
	At   time.Time
}

// RatingService rates some of the answers, with a delay.
type RatingService interface {
	// Ratings returns the ratings after the cursor, and the cursor for the next call.
	Ratings(ctx context.Context, cursor string) ([]Rating, string, error)
}

// WeightStore holds the weights of versions and is rate-limited.
type WeightStore interface {
	// Available returns how many loads the store would serve at present without refusing any.
	Available(ctx context.Context) (int, error)
}
