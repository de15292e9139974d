package fakes

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
)

// MaxEndlessBytes is how much a RawServer sends that would never stop, if the connection stays open.
const MaxEndlessBytes = 64 << 20

// RawAnswer is what a RawServer writes for one request.
type RawAnswer struct {
	// Text is written as it is.
	Text string
	// Endless, if not empty, is repeated after the text until the connection is closed.
	Endless string
	// Close ends the connection after the answer, and Reset does so by a reset.
	Close bool
	Reset bool
	// HalfClose ends only what the server sends; it reads on until its caller closes the connection.
	HalfClose bool
}

// RawConfig configures a RawServer.
type RawConfig struct {
	// IDHeader is the header of a request that holds its identifier.
	IDHeader string
	// Answer returns the answer to the nth request on a connection, from 0.
	Answer func(n int, id string) RawAnswer
	// Early makes the server answer once it has read the head of a request, with the body still to come.
	Early bool
}

// RawServer is a server on a loopback address that writes its answers byte by byte, for faults that an HTTP
// server can't produce: answers that are late, cut off, or without end.
type RawServer struct {
	config   RawConfig
	listener net.Listener
	// sent counts the bytes of answers that callers have taken.
	sent atomic.Int64
	// accepted counts the connections.
	accepted atomic.Int64
}

// StartRawServer starts a server, which runs until it is closed.
func StartRawServer(c RawConfig) (*RawServer, error) {
	if c.IDHeader == "" || c.Answer == nil {
		return nil, errors.New("raw server: IDHeader and Answer are required")
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("start raw server: %w", err)
	}
	s := &RawServer{config: c, listener: l}
	go s.accept()
	return s, nil
}

// StartTextServer starts a server that answers each request with the text and closes the connection.
func StartTextServer(text string) (*RawServer, error) {
	return StartRawServer(RawConfig{IDHeader: "X-Request-Id", Answer: func(int, string) RawAnswer {
		return RawAnswer{Text: text, Close: true}
	}})
}

// Address returns the server's IP:PORT.
func (s *RawServer) Address() string {
	return s.listener.Addr().String()
}

// Sent returns how many bytes of answers callers have taken, those in the kernel's buffers included.
func (s *RawServer) Sent() int64 {
	return s.sent.Load()
}

// Accepted returns how many connections callers have opened.
func (s *RawServer) Accepted() int64 {
	return s.accepted.Load()
}

// Close stops accepting connections.
func (s *RawServer) Close() error {
	return s.listener.Close()
}

func (s *RawServer) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.accepted.Add(1)
		go s.serve(c)
	}
}

func (s *RawServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	requests := bufio.NewReader(c)
	for n := 0; ; n++ {
		r, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		id := r.Header.Get(s.config.IDHeader)
		if s.config.Early {
			s.answerEarly(c, requests, id)
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if ended := s.write(c, s.config.Answer(n, id)); ended {
			return
		}
	}
}

// answerEarly writes the answer to a request whose body is still to come.
func (s *RawServer) answerEarly(c net.Conn, requests io.Reader, id string) {
	a := s.config.Answer(0, id)
	if ended := s.write(c, a); ended {
		return
	}
	if tcp, ok := c.(*net.TCPConn); ok && a.HalfClose {
		// An error means that the caller has closed the connection, which ends the copy below.
		_ = tcp.CloseWrite()
	}
	_, _ = io.Copy(io.Discard, requests)
}

// write writes the answer and reports whether the connection ends after it.
func (s *RawServer) write(c net.Conn, a RawAnswer) bool {
	n, err := io.WriteString(c, a.Text)
	s.sent.Add(int64(n))
	if a.Endless != "" {
		s.writeEndlessly(c, a.Endless)
		return true
	}
	if tcp, ok := c.(*net.TCPConn); ok && a.Reset {
		// With no time to linger, closing the connection resets it.
		_ = tcp.SetLinger(0)
	}
	return err != nil || a.Close || a.Reset
}

func (s *RawServer) writeEndlessly(c net.Conn, text string) {
	const chunkBytes = 64 << 10
	chunk := []byte(strings.Repeat(text, 1+chunkBytes/len(text)))
	for s.sent.Load() < MaxEndlessBytes {
		n, err := c.Write(chunk)
		s.sent.Add(int64(n))
		if err != nil {
			return
		}
	}
}
