package peer_test

import (
	"context"
	"crypto/tls"
	"net"
	"sync/atomic"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"endivehitch/core/value"
	"endivehitch/io/peer"
)

// countingConn counts the bytes of a connection in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkMeasureCall measures small calls with mutual TLS on loopback: over a persistent
// connection and, as the baseline, over a new connection for each call. Bytes include both
// directions, CPU time includes both sides.
func BenchmarkMeasureCall(b *testing.B) {
	ours := newAuthority(b)
	server, err := peer.NewServer(peer.ServerConfig{TLS: &tls.Config{
		Certificates: []tls.Certificate{ours.issue(b)}, ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: ours.pool(),
	}})
	assert.NilError(b, err)
	assert.NilError(b, echo.Serve(server, func(a wireReq) (wireResp, error) { return wireResp(a), nil }))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(ctx, listener) }()
	var bytes atomic.Int64
	certificate := ours.issue(b)
	newClient := func() *peer.Client {
		c, err := peer.NewClient(peer.ClientConfig{
			TLS: &tls.Config{Certificates: []tls.Certificate{certificate}, RootCAs: ours.pool()},
			Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := new(net.Dialer).DialContext(ctx, network, address)
				return countingConn{Conn: conn, bytes: &bytes}, err
			},
		})
		assert.NilError(b, err)
		return c
	}
	to := value.Instance{ID: "b", PeerAddress: listener.Addr().String()}
	client := newClient()
	measure := func(b *testing.B, after func()) {
		bytesBefore, cpuBefore := bytes.Load(), cpuMicros()
		for range b.N {
			_, err := echo.Call(ctx, client, to, wireReq{Text: "hello"})
			assert.NilError(b, err)
			after()
		}
		b.ReportMetric(float64(bytes.Load()-bytesBefore)/float64(b.N), "wire-B/call")
		b.ReportMetric(float64(cpuMicros()-cpuBefore)/float64(b.N), "cpu-us/call")
	}
	b.Run("Kept", func(b *testing.B) { measure(b, func() {}) })
	b.Run("BaselineNew", func(b *testing.B) {
		measure(b, func() {
			client.Close()
			client = newClient()
		})
	})
	client.Close()
	stop()
	assert.NilError(b, <-ended)
}

func cpuMicros() int64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return (u.Utime.Nano() + u.Stime.Nano()) / 1000
}
