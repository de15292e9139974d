package start

import (
	"crypto/tls"
	"fmt"

	"endivehitch/io/shell/exit"
	"endivehitch/io/shell/reach"
)

// peerTLS holds both sides of the mutually authenticated connections between instances; nil goes without TLS.
type peerTLS struct {
	server *tls.Config
	client *tls.Config
}

func readPeerTLS(ca, cert, key string) (peerTLS, error) {
	if ca == "" && cert == "" && key == "" {
		return peerTLS{}, nil
	}
	if ca == "" || cert == "" || key == "" {
		return peerTLS{}, exit.UsageError{What: "--peer-ca, --peer-cert and --peer-key go together"}
	}
	pool, err := reach.Authorities(ca)
	if err != nil {
		return peerTLS{}, fmt.Errorf("read authority of instances: %w", err)
	}
	own, err := tls.LoadX509KeyPair(cert, key)
	if err != nil {
		return peerTLS{}, fmt.Errorf("read certificate towards instances: %w", err)
	}
	return peerTLS{
		server: &tls.Config{
			Certificates: []tls.Certificate{own}, ClientCAs: pool,
			ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13,
		},
		client: &tls.Config{Certificates: []tls.Certificate{own}, RootCAs: pool, MinVersion: tls.VersionTLS13},
	}, nil
}
