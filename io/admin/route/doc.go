// Package route holds what all routes of the operators' API share, on the server and on the client.
//
// New makes a Route of a function with a typed request and result: both are encoded as JSON, and an
// error becomes an RFC 9457 problem document. A Client calls such a route by Call or Query, which
// turn the problem document back into an error of the type that the function returned.
package route
