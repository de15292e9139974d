// Package strict holds the answers of HTTP servers to the protocol where net/http is lenient. PeekHead checks the head of an
// answer before it is parsed, a Conn tells the end of a connection from its loss, and a Transport does both for an http.Client.
package strict
