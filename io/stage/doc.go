// Package stage does the input and output of roll-outs.
//
// A Keeper stores roll-out positions and withdrawals in the key-value service and installs the
// records that are in force there. A Feeder passes counts of attempts and quality ratings to the
// tests that evaluate a roll-out, and takes the steps of roll-outs that are due.
package stage
