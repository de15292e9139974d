// Package lookup looks up the decisions about a request at the instance that stores them.
//
// Each instance stores the decisions about the requests that it served. A Finder returns them from
// its own instance or, if that has none, queries the others, a bounded number at once.
package lookup
