// Package bills keeps one bill for each request, so that it survives the loss of the instance that
// served the request.
//
// An instance appends its bills to a tail and copies each at once to holders in other failure
// domains; Keep returns when enough of them have it. Every few seconds the tail goes to the
// platform's store as one segment. The segments of an instance form a chain: each is created by
// compare-and-swap under the owner and its first sequence number, and only behind one that is known
// to be there. When an instance is gone, whoever holds its tail writes the rest of the chain; owner
// and holders may do so at the same time without harm.
//
// docs/BILLS.md has the ways that were weighed, and what happens when neither holders nor the store
// can be reached.
package bills
