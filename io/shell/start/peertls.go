package start

import (
	"crypto/tls"
	"fmt"

	"endivehitch/io/shell/exit"
	"endivehitch/io/shell/reach"
)

// peerTLS holds the TLS settings of both sides of the connections between instances, which
// authenticate each other. Without TLS both are nil.
type peerTLS struct {
	server *tls.Config
	client *tls.Config
}

func readPeerTLS(ca, cert, key string) (peerTLS, error) {
	if ca == "" && cert == "" && key == "" {
		return peerTLS{}, nil
	}
	if ca == "" || cert == "" || key == "" {
		return peerTLS{}, exit.UsageError{Message: "--peer-ca, --peer-cert and --peer-key go together"}
	}
	pool, err := reach.ReadAuthorities(ca)
	if err != nil {
		return peerTLS{}, fmt.Errorf("read authority of instances' certificates: %w", err)
	}
	certificate, err := tls.LoadX509KeyPair(cert, key)
	if err != nil {
		return peerTLS{}, fmt.Errorf("read certificate for connections to other instances: %w", err)
	}
	return peerTLS{
		server: &tls.Config{
			Certificates: []tls.Certificate{certificate}, ClientCAs: pool,
			ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13,
		},
		client: &tls.Config{Certificates: []tls.Certificate{certificate}, RootCAs: pool, MinVersion: tls.VersionTLS13},
	}, nil
}
