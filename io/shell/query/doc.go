// Package query holds the commands of the command line that ask and change nothing, one a file.
package query
