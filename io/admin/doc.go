// Package admin serves the operators' API of an instance over HTTP.
//
// Admin collects the routes of two packages behind authentication: those of cmds change records in
// the key-value service, and those of query read the state of the fleet. Every request, also one
// for the metrics, needs the key of an operator; a reader's key is enough for GET requests. Package
// route holds what the routes share: the JSON encoding, the problem documents and the client.
package admin
