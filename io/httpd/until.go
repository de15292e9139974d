package httpd

import (
	"context"
	"fmt"
	"net"
	"net/http"
)

// Until serves the listener until the context ends, and then ends the server by stop, whose error it
// returns; a server that fails before that ends it with its error.
func Until(ctx context.Context, s *http.Server, l net.Listener, stop func(*http.Server) error) error {
	failed := make(chan error, 1)
	go func() { failed <- s.Serve(l) }()
	select {
	case err := <-failed:
		return fmt.Errorf("serve %s: %w", l.Addr(), err)
	case <-ctx.Done():
		return stop(s)
	}
}
