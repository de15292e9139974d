// Package value holds the immutable domain values that every other package
// exchanges.
//
// A value is never changed after construction: a With method returns a new
// one, and slices are replaced whole. Durations are time.Duration, money is in
// micro-units of the operator's currency, lengths are in tokens.
package value
