// Package flow carries each request through its life, on the goroutine of its caller.
//
// A life is a looplab/fsm machine; what happens at each state is decided by the
// queries of core over the snapshot of the moment.
package flow
