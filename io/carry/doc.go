// Package carry relays a request to backend servers and its answer to the caller. It selects a server,
// retries on another one where the route allows it, steps up from a smaller to a larger model, and
// resumes interrupted event streams.
//
// A Carrier serves each Job on its caller's goroutine. For each attempt it sends a Run through the
// Backend and writes the Answer to the Sink. The control state comes from Config.Snapshot, and each
// decision goes to the Recorder.
//
// The package encodes no messages: the type parameter H is the front end's own type of message heads,
// which only the Backend and the Sink interpret.
package carry
