// Package proxy is the reverse proxy of the router: it relays a request to a backend server and the
// answer to the caller. It selects the server, retries on another one where the route allows it, steps
// up from a smaller to a larger model, and resumes interrupted event streams.
//
// A Dispatcher serves each Job on its caller's goroutine. It sends each Attempt through the Backend and
// writes the Answer to the ResponseWriter. The control state comes from Config.Snapshot, and each
// decision goes to the Recorder. A request with a part of a prompt on which servers crash is refused; what
// is known of such parts is exchanged through PartReports and MergePartReports.
//
// The package encodes no messages: the type parameter H is the front end's own type of message heads,
// which only the Backend and the ResponseWriter interpret.
package proxy
