// Package once ensures that a request that is not idempotent runs at most once across the fleet.
//
// A Guard hashes the client account and idempotency key of a request to a slot. Each slot has one
// journal, a value in the platform's key-value service, and a claim is recorded there before
// anything is dispatched. The claim ends with Finish, Release or MarkInDoubt, which record in the
// journal what later calls with the same key get. One worker per slot writes the journal in
// groups: operations that arrive during a write go into the next one. Instances forward their
// operations to the owner of the slot, so that they share its writes.
//
// Ownership only reduces the number of writes. What makes a claim safe is that the journal is
// written by compare-and-swap on the revision that the decision was based on: the write of an owner
// that has been replaced or paused fails, and its operations are decided again on the current
// journal.
package once
