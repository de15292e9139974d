package httpd

import (
	"context"
	"fmt"
	"net"
)

// Listening is a server that serves a listener, such as an http.Server or a Server.
type Listening interface {
	Serve(l net.Listener) error
}

// ServeUntil serves the listener until the context ends; it then calls stop to shut the server down,
// and returns the error of stop. If the server fails first, ServeUntil returns the server's error
// without calling stop.
func ServeUntil[S Listening](ctx context.Context, server S, listener net.Listener, stop func(S) error) error {
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	select {
	case err := <-failed:
		return fmt.Errorf("serve %s: %w", listener.Addr(), err)
	case <-ctx.Done():
		return stop(server)
	}
}
