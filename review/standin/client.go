package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// outcome is what a client got for one attempt.
type outcome struct {
	status int
	header http.Header
	body   []byte
	// err says why there is no complete answer.
	err error
}

func (o outcome) String() string {
	if o.err != nil {
		return fmt.Sprintf("status %d, %d bytes, %v", o.status, len(o.body), o.err)
	}
	return fmt.Sprintf("status %d, %d bytes", o.status, len(o.body))
}

// connection is a client's connection to an instance.
type connection struct {
	raw    net.Conn
	reader *bufio.Reader
}

func dial(address string) (*connection, error) {
	raw, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, fmt.Errorf("connect: %w", err)
	}
	return &connection{raw: raw, reader: bufio.NewReader(raw)}, nil
}

// isOpen reports whether the instance hasn't closed the connection.
func (c *connection) isOpen() bool {
	_ = c.raw.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.reader.Peek(1)
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

func (c *connection) close() {
	_ = c.raw.Close()
}

// send sends a request and reads its answer.
func (c *connection) send(method, target, body string, header map[string]string, most time.Duration) outcome {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, target, hostName)
	for name, value := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	_ = c.raw.SetDeadline(time.Now().Add(most))
	if _, err := c.raw.Write(b.Bytes()); err != nil {
		return outcome{err: fmt.Errorf("send: %w", err)}
	}
	return c.receive(method)
}

func (c *connection) receive(method string) outcome {
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return outcome{err: fmt.Errorf("no answer: %w", err)}
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		err = fmt.Errorf("incomplete answer: %w", err)
	}
	return outcome{status: resp.StatusCode, header: resp.Header, body: data, err: err}
}

// sendOnce sends a request on a connection of its own.
func sendOnce(address, method, target, body string, header map[string]string, most time.Duration) outcome {
	c, err := dial(address)
	if err != nil {
		return outcome{err: err}
	}
	defer c.close()
	return c.send(method, target, body, header, most)
}
