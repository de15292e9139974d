// Package lease runs the fleet's duties. A duty is a singleton task: one instance at a time runs
// it, under a lease in the key-value service.
//
// A Runner contends for the leases of its duties, renews those that it holds and runs each Duty
// with a Term, which carries the fencing token and says whether the holder may still act.
// NewPlacement returns the duty that loads and unloads versions at backend servers; its Reconciler
// sends the orders and reads back their effect.
package lease
