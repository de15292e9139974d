// Package bills stores one bill for each request, so that the bill survives the loss of the
// instance that served the request.
//
// The main type is Biller. It appends the bills of its instance to a ledger.Tail and copies each of
// them at once to holders: instances, preferably in other failure domains, that store copies of the
// tail in memory. A bill is safe, and Store returns, as soon as enough holders or the key-value
// service have it.
//
// At intervals a flush writes the tail to the key-value service as one or more segments. The
// segments of an instance form a chain: each is created by compare-and-swap under a key made of the
// owner and the segment's first sequence number, and only after the segment before it is known to
// be stored. When an instance has departed, its holders write the rest of its chain. Owner and
// holders may write the same chain concurrently: a writer that finds a segment continues after it.
// ReadSegments returns the segments of all instances.
//
// docs/BILLS.md describes the alternatives that were considered, and what happens while neither
// holders nor the key-value service can be reached.
package bills
