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

// Peek returns what the connection has to read, without reading or waiting. It may be called while another goroutine reads. A
// connection whose socket can't be reached counts as open.
func Peek(c net.Conn) PeekResult {
	if wrapped, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = wrapped.NetConn()
	}
	raw, ok := c.(syscall.Conn)
	if !ok {
		return PeekNothing
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return PeekEnd
	}
	result := PeekEnd
	var peeked [1]byte
	err = control.Control(func(fd uintptr) {
		n, _, recvErr := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(recvErr, syscall.EAGAIN) || errors.Is(recvErr, syscall.EWOULDBLOCK):
			result = PeekNothing
		case recvErr == nil && n > 0:
			result = PeekData
		}
	})
	if err != nil {
		return PeekEnd
	}
	return result
}
