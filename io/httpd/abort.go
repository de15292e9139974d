package httpd

import (
	"net"
	"net/http"
)

// Abort ends the connection of a request of whose answer a part may have been written; it panics and doesn't return. A caller
// with HTTP/1.0 gets a reset: the plain end of the connection would complete an answer without a length.
func Abort(r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		reset(Conn(r.Context()))
	}
	panic(http.ErrAbortHandler)
}

// reset closes the TCP connection beneath c at once, so that no TLS layer can announce its end.
func reset(c net.Conn) {
	for c != nil {
		if tcp, ok := c.(*net.TCPConn); ok {
			// An error means that the caller has closed the connection.
			_ = tcp.SetLinger(0)
			_ = tcp.Close()
			return
		}
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return
		}
		c = wrapper.NetConn()
	}
}
