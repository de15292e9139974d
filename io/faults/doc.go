// Package faults is the fault matrix: it injects every fault at every step of the system's work into
// a small fleet in memory, and checks the invariants that must hold whatever fails.
//
// A Cell is a Step with the Faults that begin when the step is first reached. RunCell starts a Fleet
// of three instances over a faulty store, network and scripted backend servers, sends it requests
// and operators' orders, and returns an Outcome: the Observations made from outside and each
// Violation that Check finds in them. StateCounts sums up the outcomes of many cells by step.
package faults
