// Package start holds the decisions of an instance that starts and has no state yet: Schedule says when it reads
// the store for the first time, when it reads it again while no read has been answered, and when it registers;
// RetryAfter says when a caller that it can't serve should come back.
//
// All instances may start within a fraction of a second, so the pauses follow from the size of the fleet and
// from the calls that the store takes from all instances together. The decisions are pure: time, randomness and
// the size of the fleet are arguments.
package start
