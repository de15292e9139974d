// Package steps is the life of a roll-out as a looplab/fsm machine: which step may follow which.
//
// Each step is a pure function from a plan and a position to the next position.
package steps
