package intake

import (
	"io"
	"net/http"

	"endivehitch/io/httpd"
)

// discardedBytes is the size up to which a body that its handler has not read is dropped, so that the connection is kept.
const discardedBytes = 64 << 10

// Guard returns a handler that tells the connection where a request begins and ends. An answer that begins before the body
// has been read drops a small body first; otherwise the connection is closed after it.
func (p *Pool) Guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn := Of(httpd.Conn(r.Context()))
		if !conn.BeginRequest() {
			panic(http.ErrAbortHandler)
		}
		g := &guardedWriter{ResponseWriter: w, pool: p, request: r, body: guardedBody{ReadCloser: r.Body, left: r.ContentLength}}
		r.Body = &g.body
		next.ServeHTTP(g, r)
		g.begin()
		if g.body.isRead() {
			conn.EndRequest()
		}
	})
}

// guardedBody is a request's body that counts what is left of it.
type guardedBody struct {
	io.ReadCloser
	// left is the number of bytes that are left, negative if it is not known, and zero after the end.
	left int64
}

// Read reads a part of the body.
func (b *guardedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.left > 0 {
		b.left -= int64(n)
	} else if err == io.EOF {
		b.left = 0
	}
	return n, err
}

func (b *guardedBody) isRead() bool {
	return b.left == 0
}

// guardedWriter writes the answer to a request.
type guardedWriter struct {
	http.ResponseWriter
	pool    *Pool
	request *http.Request
	body    guardedBody
	began   bool
}

// WriteHeader sends the head of the answer.
func (g *guardedWriter) WriteHeader(status int) {
	if status >= http.StatusOK {
		g.begin()
	}
	g.ResponseWriter.WriteHeader(status)
}

// Write sends a part of the body, and the head before the first one.
func (g *guardedWriter) Write(b []byte) (int, error) {
	g.begin()
	return g.ResponseWriter.Write(b)
}

// Unwrap returns the wrapped writer, for http.ResponseController.
func (g *guardedWriter) Unwrap() http.ResponseWriter {
	return g.ResponseWriter
}

func (g *guardedWriter) begin() {
	if g.began {
		return
	}
	g.began = true
	if g.body.isRead() || g.Header().Get("Connection") == "close" {
		return
	}
	if g.body.left < 0 || g.body.left > discardedBytes || !g.pool.discard(g, g.request) {
		Linger(g)
	}
}
