// Package ledger holds the pure decisions of what must last: the journals that let a call run at
// most once, and the tails and segments that let each request be billed once.
//
// A journal is decided on as a whole and written by compare-and-swap, so two writers can't both
// decide on the same revision. Operations carry a token of the claim and are idempotent by it: an
// operation whose write may or may not have taken effect is simply decided again on what stands.
package ledger
