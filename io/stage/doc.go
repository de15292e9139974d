// Package stage does the input and output of roll-outs.
//
// A Persister stores the positions of roll-outs and the withdrawals of versions in the key-value
// service, and installs the records that are in force there. A Collector passes counts of attempts
// and quality ratings to the sequential tests that evaluate a roll-out, and takes the steps of
// roll-outs that are due.
package stage
