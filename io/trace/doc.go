// Package trace finds the decisions about a request at whichever instance keeps them.
package trace
