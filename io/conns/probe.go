package conns

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"endivehitch/io/clock"
)

// probeTime is how long a connection must last for its server to be up. What stands in front of a server that is down may
// accept connections and close them.
const probeTime = 20 * time.Millisecond

// ErrClosedAtOnce means that a server has accepted a connection and closed it.
var ErrClosedAtOnce = errors.New("server closed the connection at once")

// Probe opens a connection to a server and returns it if the server keeps it for a moment.
func Probe[C net.Conn](ctx context.Context, open func(ctx context.Context) (C, error)) (C, error) {
	var none C
	conn, err := open(ctx)
	if err != nil {
		return none, fmt.Errorf("probe: %w", err)
	}
	err = clock.Wait(ctx, probeTime)
	if err == nil && Peek(conn) != PeekNothing {
		err = ErrClosedAtOnce
	}
	if err != nil {
		// The connection has not been used, so an error on closing has no consequence.
		_ = conn.Close()
		return none, fmt.Errorf("probe: %w", err)
	}
	return conn, nil
}

// IsGone reports whether the error of a probe shows that the server's process has ended: it has refused the connection or closed
// it at once. A server that doesn't answer is not known to be gone.
func IsGone(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, ErrClosedAtOnce)
}
