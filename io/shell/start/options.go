package start

import (
	"crypto/rand"
	"crypto/tls"
	"encoding/hex"
	"fmt"
	"os"
	"time"

	"github.com/google/uuid"
	"github.com/urfave/cli/v3"
	"go.uber.org/zap/zapcore"

	"endivehitch/core/value"
	"endivehitch/io/conf"
	"endivehitch/io/front"
	"endivehitch/io/node"
	"endivehitch/io/shell/exit"
)

// options holds the values of the flags of serve and what the files that they name contain.
type options struct {
	self        value.Instance
	environment value.Environment
	// callers, operators and peers are the addresses to listen on.
	callers   string
	operators string
	peers     string
	peerTLS   peerTLS
	rates     node.StoreRates
	// platform is the address of the key-value service; empty means an embedded one.
	platform string
	document string
	settings conf.Settings
	signer   *front.Signer
	tls      *tls.Config
	grace    time.Duration
	level    zapcore.Level
	intake   intakeOptions
}

const (
	defaultGrace = 30 * time.Second
	// defaultReadRate and defaultWriteRate, in calls a second, are low enough for seven instances
	// to share one key-value service.
	defaultReadRate  = 100
	defaultWriteRate = 30
)

func serveFlags() []cli.Flag {
	return append([]cli.Flag{
		stringFlag("id", "identifier of this instance; a restarted one needs a new one (default: a new one)", ""),
		stringFlag("failure-domain", "failure domain that this instance runs in", "local"),
		stringFlag("environment", "environment whose document is in force here", "trial"),
		stringFlag("callers", "address on which callers are served", "127.0.0.1:7700"),
		stringFlag("operators", "address on which operators are served", "127.0.0.1:7701"),
		stringFlag("peers", "address on which other instances are served", "127.0.0.1:7702"),
		stringFlag("peer-ca", "PEM file of the authority of all instances' certificates; without it instances talk without TLS", ""),
		stringFlag("peer-cert", "PEM file of this instance's certificate towards other instances", ""),
		stringFlag("peer-key", "PEM file of that certificate's private key", ""),
		floatFlag("store-reads", "calls a second that read the key-value service, at most", defaultReadRate),
		floatFlag("store-writes", "calls a second that change the key-value service, at most", defaultWriteRate),
		stringFlag("platform", "address of the platform's key-value service, such as http://10.0.0.5:2379 (default: an embedded one in memory)", ""),
		stringFlag("settings", "file of key hashes and backend servers", ""),
		stringFlag("document", "document to start with; only with the embedded key-value service", ""),
		stringFlag("tls-cert", "PEM file of the certificate for callers and operators", ""),
		stringFlag("tls-key", "PEM file of the certificate's private key", ""),
		&cli.StringSliceFlag{
			Name: "session-key", Usage: "key for session tokens as 64 or more hexadecimal digits; the first signs, all are accepted (default: a new one, for a single instance)",
			Sources: cli.EnvVars("ENDIVEHITCH_SESSION_KEY"),
		},
		&cli.DurationFlag{
			Name: "grace", Usage: "how long requests in flight may take after SIGTERM",
			Value: defaultGrace, Sources: cli.EnvVars("ENDIVEHITCH_GRACE"),
		},
		stringFlag("log-level", "least level of log lines: debug, info, warn or error", "info"),
	}, intakeFlags()...)
}

func stringFlag(name, usage, defaultValue string) cli.Flag {
	return &cli.StringFlag{Name: name, Usage: usage, Value: defaultValue, Sources: cli.EnvVars(environmentVariable(name))}
}

func floatFlag(name, usage string, defaultValue float64) cli.Flag {
	return &cli.FloatFlag{Name: name, Usage: usage, Value: defaultValue, Sources: cli.EnvVars(environmentVariable(name))}
}

func readOptions(c *cli.Command) (options, error) {
	o := options{
		self: value.Instance{
			ID:            value.InstanceID(c.String("id")),
			FailureDomain: value.FailureDomain(c.String("failure-domain")),
			State:         value.InstanceLive,
		},
		environment: value.Environment(c.String("environment")),
		callers:     c.String("callers"),
		operators:   c.String("operators"),
		peers:       c.String("peers"),
		rates:       node.StoreRates{Reads: c.Float("store-reads"), Writes: c.Float("store-writes")},
		platform:    c.String("platform"),
		document:    c.String("document"),
		grace:       c.Duration("grace"),
	}
	if o.self.ID == "" {
		o.self.ID = value.InstanceID(uuid.NewString())
	}
	if o.platform != "" && o.document != "" {
		return options{}, exit.UsageError{Message: "--document is for the embedded key-value service; use apply with a platform"}
	}
	level, err := zapcore.ParseLevel(c.String("log-level"))
	if err != nil {
		return options{}, exit.UsageError{Message: err.Error()}
	}
	o.level = level
	if o.intake, err = readIntake(c); err != nil {
		return options{}, err
	}
	return o.withFiles(c)
}

func (o options) withFiles(c *cli.Command) (options, error) {
	var err error
	if o.settings, err = readSettings(c.String("settings")); err != nil {
		return options{}, err
	}
	if o.signer, err = newSigner(c.StringSlice("session-key"), o.platform != ""); err != nil {
		return options{}, err
	}
	if o.tls, err = readTLS(c.String("tls-cert"), c.String("tls-key")); err != nil {
		return options{}, err
	}
	o.peerTLS, err = readPeerTLS(c.String("peer-ca"), c.String("peer-cert"), c.String("peer-key"))
	return o, err
}

func readSettings(path string) (conf.Settings, error) {
	if path == "" {
		return conf.Settings{}, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return conf.Settings{}, fmt.Errorf("read settings: %w", err)
	}
	s, err := conf.ParseSettings(data)
	if err != nil {
		return conf.Settings{}, fmt.Errorf("check %s:\n%w", path, err)
	}
	return s, nil
}

// sessionKeyBytes is the length of a generated session key.
const sessionKeyBytes = 32

// newSigner returns a signer with the given keys, or with a new key if there is none. Instances
// that share a platform must be given their keys, since each has to accept the others' session
// tokens.
func newSigner(hexKeys []string, shared bool) (*front.Signer, error) {
	if len(hexKeys) == 0 && shared {
		return nil, exit.UsageError{Message: "instances that share a platform need the same --session-key"}
	}
	var keys [][]byte
	for _, hexKey := range hexKeys {
		key, err := hex.DecodeString(hexKey)
		if err != nil {
			return nil, exit.UsageError{Message: "a session key is not hexadecimal"}
		}
		keys = append(keys, key)
	}
	if len(keys) == 0 {
		key := make([]byte, sessionKeyBytes)
		if _, err := rand.Read(key); err != nil {
			return nil, fmt.Errorf("generate session key: %w", err)
		}
		keys = append(keys, key)
	}
	s, err := front.NewSigner(keys...)
	if err != nil {
		return nil, exit.UsageError{Message: err.Error()}
	}
	return s, nil
}

func readTLS(cert, key string) (*tls.Config, error) {
	if cert == "" && key == "" {
		return nil, nil
	}
	pair, err := tls.LoadX509KeyPair(cert, key)
	if err != nil {
		return nil, fmt.Errorf("read certificate: %w", err)
	}
	return &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS12}, nil
}
