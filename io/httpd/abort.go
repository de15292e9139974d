package httpd

import (
	"net"
	"net/http"

	"endivehitch/io/conns"
)

// Abort ends the connection of a request of whose answer a part may have been written; it panics and doesn't return. A caller
// with HTTP/1.0 gets a reset: the plain end of the connection would complete an answer without a length.
func Abort(r *http.Request) {
	if tcp, ok := conns.Beneath[*net.TCPConn](Conn(r.Context())); ok && !r.ProtoAtLeast(1, 1) {
		// Closed beneath TLS, which would announce the end. An error means that the caller has closed the connection.
		_ = tcp.SetLinger(0)
		_ = tcp.Close()
	}
	panic(http.ErrAbortHandler)
}
