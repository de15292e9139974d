// Package once lets a request that is not idempotent run at most once across the fleet.
//
// A claim is kept in the journal of its slot, in the platform's key-value store, before anything is
// dispatched. Claims that arrive while a journal is being written go together into its next write,
// and an instance that owns a slot takes the claims of the others, so that they share its writes.
// Ownership only saves writes: what makes a claim safe is that the journal is written by
// compare-and-swap on the revision that the decision was made on. A deposed or paused owner's write
// fails, and its claims are decided again on the journal that stands.
package once
