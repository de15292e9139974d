// Package clock provides waits that end with a context, and the random numbers that policies draw.
//
// Wait and WaitFully wait for a duration or until a context ends. Random is passed to policies,
// which take their source of random numbers as an argument.
package clock
