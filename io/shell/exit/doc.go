// Package exit turns errors into the exit codes of the command line.
package exit
