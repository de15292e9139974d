package conns

import (
	"errors"
	"net"
	"syscall"
)

// PeekResult is what a connection has to read.
type PeekResult int

// The results of Peek.
const (
	// PeekNothing means that the connection is open and has nothing to read.
	PeekNothing PeekResult = iota
	// PeekData means that there is something to read.
	PeekData
	// PeekEnd means that the connection has ended or failed.
	PeekEnd
)

// Beneath returns the first connection of the type T, of c and those that it wraps.
func Beneath[T any](c net.Conn) (T, bool) {
	for c != nil {
		if found, ok := c.(T); ok {
			return found, true
		}
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		c = wrapper.NetConn()
	}
	var none T
	return none, false
}

// Peek returns what the connection has to read, without reading or waiting. It may be called while another goroutine reads. A
// connection whose socket can't be reached counts as open.
func Peek(c net.Conn) PeekResult {
	result := PeekEnd
	var peeked [1]byte
	hasSocket := control(c, func(fd int) {
		n, _, err := syscall.Recvfrom(fd, peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EWOULDBLOCK):
			result = PeekNothing
		case err == nil && n > 0:
			result = PeekData
		}
	})
	if !hasSocket {
		return PeekNothing
	}
	return result
}

// IsWritable reports whether the connection may be written to, whether or not there is room in its buffer. It may be called while
// another goroutine writes. A connection whose socket can't be reached counts as writable.
func IsWritable(c net.Conn) bool {
	result := false
	hasSocket := control(c, func(fd int) {
		// Sending nothing fails on a socket that has been reset, and has no effect on another one.
		_, err := syscall.SendmsgN(fd, nil, nil, nil, syscall.MSG_DONTWAIT|syscall.MSG_NOSIGNAL)
		result = err == nil || errors.Is(err, syscall.EAGAIN)
	})
	return result || !hasSocket
}

// control calls the function with the connection's descriptor, unless it is closed, and reports whether there is one.
func control(c net.Conn, use func(fd int)) bool {
	socket, ok := Beneath[syscall.Conn](c)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err == nil {
		// An error means that the connection is closed.
		_ = raw.Control(func(fd uintptr) { use(int(fd)) })
	}
	return true
}
