// Package ledger holds the decisions behind durable records: the journals that let a call with an
// idempotency key execute at most once, and the tails and segments that let each request be billed
// once. It does not itself access the store, which is the key-value service.
//
// A Journal holds a Record for each call of one hash slot. Journal.Decide applies a batch of
// operations (Op) under a JournalRule and DecisionInputs and returns a Verdict for each. The journal is
// written as one value by compare-and-swap, so two writers can't both decide on the same revision. An
// operation carries the token of its claim, which makes it idempotent: if the result of a write is
// unknown, the operation is decided again on the current journal.
//
// A Tail holds the bills (Entry) of one instance that are not yet known to be in the store; the owner
// and the holders of copies each have one. Segments are the parts of a tail that are written.
package ledger
