// Package steps implements the life cycle of a roll-out as a state machine (looplab/fsm).
//
// A value.RollOut is the plan and a value.Progress the position in it: a phase and a stage. Start,
// Advance, ForceAdvance and Withdraw are pure functions from a plan and a position to the next position,
// or to an error where the state machine or the stage's conditions don't allow the step. ApplyOrder
// carries out an operator's Order by means of them.
package steps
