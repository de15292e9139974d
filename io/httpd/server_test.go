package httpd_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/io/httpd"
)

// heldListener accepts connections whose reads return late, as those of a process do that is off the processor.
type heldListener struct {
	net.Listener
	// received gets a value for each read that has taken data while held is set, and returns once release is closed.
	held     atomic.Bool
	received chan struct{}
	release  chan struct{}
}

type heldConn struct {
	net.Conn
	listener *heldListener
}

func (l *heldListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &heldConn{Conn: c, listener: l}, nil
}

func (c *heldConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.listener.held.Load() {
		c.listener.received <- struct{}{}
		<-c.listener.release
	}
	return n, err
}

// Guards against a request that runs and gets no answer: it had arrived on a kept connection, and the server closed the
// connection as an idle one before it had parsed the request.
func TestRequestThatCrossesTheCloseOfItsConnectionDoesNotRun(t *testing.T) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := &heldListener{Listener: raw, received: make(chan struct{}), release: make(chan struct{})}
	var runs atomic.Int32
	server, err := httpd.New(httpd.ServerConfig{EndCause: errStopped, HTTP: &http.Server{
		Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) }),
	}})
	assert.NilError(t, err)
	go func() { assert.Check(t, server.Serve(l)) }()
	c, err := net.Dial("tcp", raw.Addr().String())
	assert.NilError(t, err)
	answers := bufio.NewReader(c)
	send := func() {
		_, err := c.Write([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"))
		assert.NilError(t, err)
	}
	send()
	_, err = http.ReadResponse(answers, nil)
	assert.NilError(t, err)
	server.AwaitIdle(t.Context())

	l.held.Store(true)
	send()
	<-l.received
	drained := make(chan error, 1)
	go func() { drained <- server.Drain(t.Context()) }()
	_, err = http.ReadResponse(answers, nil)
	assert.Assert(t, err != nil, "the connection is closed as an idle one")
	close(l.release)
	assert.NilError(t, <-drained)
	assert.Equal(t, runs.Load(), int32(1), "the second request has run without an answer")
}

// Guards against a stop that cuts the answer of a request, or waits for a caller that keeps its connection.
func TestDrainAnswersWhatItHasReadAndClosesWhatIsIdle(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	started, finish := make(chan struct{}), make(chan struct{})
	server, err := httpd.New(httpd.ServerConfig{EndCause: errStopped, HTTP: &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/slow" {
				close(started)
				<-finish
			}
			w.WriteHeader(http.StatusNoContent)
		}),
	}})
	assert.NilError(t, err)
	go func() { assert.Check(t, server.Serve(l)) }()
	for range 3 {
		resp, err := (&http.Client{Transport: &http.Transport{}}).Get("http://" + l.Addr().String())
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
	}
	// A caller may have its answer shortly before its connection counts as idle.
	server.AwaitIdle(t.Context())
	answered := make(chan *http.Response, 1)
	go func() {
		resp, err := http.Get("http://" + l.Addr().String() + "/slow")
		assert.Check(t, err)
		answered <- resp
	}()
	<-started
	assert.Equal(t, server.Active(), 1)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	drained := make(chan error, 1)
	go func() { drained <- server.Drain(ctx) }()
	close(finish)
	resp := <-answered
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, resp.StatusCode, http.StatusNoContent)
	assert.NilError(t, <-drained)
	assert.NilError(t, ctx.Err())
	assert.Equal(t, server.Active(), 0)
}
