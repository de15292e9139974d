package node

import (
	"crypto/tls"
	"errors"
	"net"
	"time"

	"go.uber.org/zap"

	"endivehitch/core/intake"
	"endivehitch/core/value"
	"endivehitch/io/engine"
	"endivehitch/io/flow"
	"endivehitch/io/front"
	"endivehitch/io/plat"
)

// Config sets up a Node.
type Config struct {
	Self        value.Instance
	Environment value.Environment
	// Keys maps the hexadecimal SHA-256 sums of API keys to client accounts.
	Keys   map[string]value.AccountName
	Signer *front.Signer
	Runner engine.Runner
	// Reporter reads the load reports of backend servers. Without one, the instance relies on its
	// own observations.
	Reporter engine.Reporter
	// Judge assesses the answers of cascades. Without one, no cascade is run.
	Judge flow.Judge
	// Store is the platform's key-value service.
	Store plat.Store
	// StoreRates limits the instance's calls to Store.
	StoreRates StoreRates
	// List is the platform's list of instances and backend servers.
	List plat.InstanceList
	// Ratings is the platform's rating service. Without one, the quality estimates stay as the
	// environment document states them.
	Ratings plat.RatingService
	Peers   Peers
	Log     *zap.Logger
	Seed    uint64
	// TLS, if set, is used for connections from callers.
	TLS *tls.Config
	// ShutdownGrace is how long requests in flight may take to finish after the node has begun to
	// leave.
	ShutdownGrace time.Duration
	// Intake bounds what callers take of the instance; its zero fields stand for defaults.
	Intake intake.Limits
}

// StoreRates holds the numbers of calls per second that one instance may make to the key-value
// service.
type StoreRates struct {
	Reads  float64
	Writes float64
}

// Peers configures the connections between the instances of the fleet.
type Peers struct {
	Listener net.Listener
	// Server and Client are the TLS settings for incoming and outgoing connections; nil means no
	// TLS.
	Server *tls.Config
	Client *tls.Config
}

func (c Config) check() error {
	switch {
	case c.Self.ID == "" || c.Self.FailureDomain == "":
		return errors.New("node: instance has no identifier or failure domain")
	case c.Environment == "":
		return errors.New("node: no environment")
	case c.Signer == nil || c.Runner == nil:
		return errors.New("node: no signer or runner")
	case c.Store == nil || c.List == nil:
		return errors.New("node: no key-value service or instance list")
	case c.StoreRates.Reads <= 0 || c.StoreRates.Writes <= 0:
		return errors.New("node: rates of the key-value service must be positive")
	case c.Peers.Listener == nil:
		return errors.New("node: no listener for other instances")
	case c.Log == nil:
		return errors.New("node: no logger")
	}
	return nil
}
