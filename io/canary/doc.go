// Package canary judges new releases during their roll-outs by canary analysis: it compares the failed
// and slow answers of a release with those of the release before. Judging a service's roll-out is a
// duty, a singleton task that is performed by the holder of a lease in the store.
//
// A Runner on each instance tries to take the duty of an open roll-out. The one that holds it collects
// the tallies of all instances through its TallySource, and records in the Store whether the roll-out is
// under way, completed or reverted. An AgeLearner asks other instances, through its AgeSource, for the ages
// of roll-out orders that this instance can only estimate.
package canary
