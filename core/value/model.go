package value

import "time"

// Model is a set of versions that answer the same kinds of request.
type Model struct {
	Name     ModelName
	Versions []Version
}

// Version is one version of a model, with its price and its expected quality.
type Version struct {
	Name string
	// InputMicros is the price of 1,000 prompt tokens in micro-units of currency.
	InputMicros int64
	// OutputMicros is the price of 1,000 generated tokens in micro-units of currency.
	OutputMicros int64
	// Quality is the expected share of acceptable answers before any rating, from 0 to 1.
	Quality float64
	// QualityWeight is the number of ratings that Quality counts for; zero means the default.
	QualityWeight int
	// FirstToken is the expected time to the first token.
	FirstToken time.Duration
	// TokenTime is the expected time between tokens.
	TokenTime time.Duration
	Pool      PoolName
	// Withdrawn is set for a version that receives no new work.
	Withdrawn bool
}

// tokensPerPrice is the number of tokens that a price is stated for.
const tokensPerPrice = 1000

// Cost returns the price of an attempt in micro-units of currency, rounded up.
func (v Version) Cost(inputTokens, outputTokens int) int64 {
	sum := v.InputMicros*int64(inputTokens) + v.OutputMicros*int64(outputTokens)
	return (sum + tokensPerPrice - 1) / tokensPerPrice
}

// Latency returns the expected time to a complete answer of that many tokens.
func (v Version) Latency(outputTokens int) time.Duration {
	return v.FirstToken + time.Duration(outputTokens)*v.TokenTime
}

// WithWithdrawn returns a copy that is withdrawn or not.
func (v Version) WithWithdrawn(withdrawn bool) Version {
	v.Withdrawn = withdrawn
	return v
}

// WithQuality returns a copy with another expected quality.
func (v Version) WithQuality(quality float64) Version {
	v.Quality = quality
	return v
}

// Key returns the key of the model's version of that name.
func (m Model) Key(version string) VersionKey {
	return NewVersionKey(m.Name, version)
}

// WithVersions returns a copy with another list of versions.
func (m Model) WithVersions(versions ...Version) Model {
	m.Versions = append([]Version(nil), versions...)
	return m
}
