// Package front is the HTTP API for callers: chat completions and requests to plain services.
//
// A Front authenticates the caller, bounds what one request may cost, turns the HTTP request into a
// value.Request with an engine.Call, and writes the answer or a problem document. It decides nothing
// about versions or backend servers: that is left to the JobServer, which in a running instance is
// flow.Flow. A Signer signs the session tokens that keep a session on one version at any instance.
package front
