// Package rolls judges the roll-outs of new releases. Judging a service's roll-out is a duty: a singleton
// task that is performed by the holder of a lease in the store.
//
// A Runner on each instance tries to take the duty of an open roll-out. Its holder collects the tallies
// of all instances through Peers, and records in the Store whether the roll-out is under way, completed
// or reverted. An AgeLearner asks other instances for the age of roll-out orders that were given before
// this instance started.
package rolls
