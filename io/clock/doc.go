// Package clock provides waits that end with a context, a clock that goes on while the machine is suspended, and the
// random numbers that policies draw.
//
// Wait and WaitFully wait for a duration or until a context ends. Steady tells the time by which a process decides
// whether what it knows still holds. Random is passed to policies,
// which take their source of random numbers as an argument.
package clock
