// Package query holds the questions that traffic asks of a snapshot, one a file.
//
// Each query is a pure function: the snapshot, the instance's own observations,
// the time and the randomness are arguments, and nothing is changed.
package query
