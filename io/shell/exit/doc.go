// Package exit defines the exit codes of the command line.
//
// CodeOf returns the Code for the error of a command. UsageError is the error of an invalid command
// line.
package exit
