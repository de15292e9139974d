// Package shell is the command line: one command a file, registered in one table.
package shell
