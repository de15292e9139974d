package peer_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/value"
	"endivehitch/io/peer"
)

// authority is a certificate authority of the test.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t testing.TB) authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "fleet"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	cert, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	return authority{cert: cert, key: key}
}

func (a authority) issue(t testing.TB) tls.Certificate {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	assert.NilError(t, err)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
}

func (a authority) pool() *x509.CertPool {
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	return pool
}

func TestOnlyInstancesWithCertificatesOfSameAuthorityConnect(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	server, err := peer.NewServer(peer.ServerConfig{TLS: &tls.Config{
		Certificates: []tls.Certificate{ours.issue(t)}, ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: ours.pool(),
	}})
	assert.NilError(t, err)
	ran := make(chan string, 1)
	assert.NilError(t, echo.Serve(server, func(a wireReq) (wireResp, error) {
		ran <- a.Text
		return wireResp(a), nil
	}))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(ctx, listener) }()
	to := value.Instance{ID: "b", PeerAddress: listener.Addr().String()}

	for _, c := range []struct {
		issuer, trusts authority
		connects       bool
	}{{ours, ours, true}, {theirs, ours, false}, {ours, theirs, false}} {
		client, err := peer.NewClient(peer.ClientConfig{TLS: &tls.Config{
			Certificates: []tls.Certificate{c.issuer.issue(t)}, RootCAs: c.trusts.pool(),
		}})
		assert.NilError(t, err)
		_, err = echo.Call(t.Context(), client, to, wireReq{Text: "hello"})
		assert.Equal(t, err == nil, c.connects, "%v", err)
		client.Close()
	}
	assert.Equal(t, len(ran), 1)
	stop()
	assert.NilError(t, <-ended)
}

func TestTLSConfigWithoutMutualAuthenticationIsRejected(t *testing.T) {
	_, err := peer.NewServer(peer.ServerConfig{TLS: &tls.Config{}})
	assert.ErrorContains(t, err, "does not verify")
	_, err = peer.NewClient(peer.ClientConfig{TLS: &tls.Config{}})
	assert.ErrorContains(t, err, "without a certificate")
}
