package httpd_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"endivehitch/io/httpd"
)

var errStopped = errors.New("stopped")

func TestServeUntilStopsOnContextEndOrServeError(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		ended <- httpd.ServeUntil(ctx, &http.Server{Handler: http.NotFoundHandler()}, listener, func(s *http.Server) error {
			return errors.Join(errStopped, s.Close())
		})
	}()
	resp, err := http.Get("http://" + listener.Addr().String())
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	cancel()
	assert.ErrorIs(t, <-ended, errStopped)
	err = httpd.ServeUntil(t.Context(), &http.Server{Handler: http.NotFoundHandler()}, listener, func(*http.Server) error { return errStopped })
	assert.ErrorContains(t, err, "use of closed network connection")
}
