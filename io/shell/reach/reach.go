package reach

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"endivehitch/io/admin/route"
	"endivehitch/io/shell/exit"
)

// The flags' names.
const (
	flagInstance = "instance"
	flagKey      = "key"
	flagCA       = "ca"
	flagTimeout  = "timeout"
)

const defaultTimeout = 15 * time.Second

// Flags returns the flags, which can also be set by environment variables.
func Flags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{
			Name: flagInstance, Usage: "address of any instance's operators' face",
			Value: "http://127.0.0.1:7701", Sources: cli.EnvVars("ENDIVEHITCH_INSTANCE"),
		},
		&cli.StringFlag{
			Name: flagKey, Usage: "operator's key",
			Sources: cli.EnvVars("ENDIVEHITCH_OPERATOR_KEY"),
		},
		&cli.StringFlag{
			Name: flagCA, Usage: "PEM file of the authorities that the instance's certificate is checked by", TakesFile: true,
			Sources: cli.EnvVars("ENDIVEHITCH_CA"),
		},
		&cli.DurationFlag{
			Name: flagTimeout, Usage: "how long to wait for the answer",
			Value: defaultTimeout, Sources: cli.EnvVars("ENDIVEHITCH_TIMEOUT"),
		},
	}
}

// With returns the shared flags and those of the command itself.
func With(own ...cli.Flag) []cli.Flag {
	return append(own, Flags()...)
}

// Client returns the client that the flags describe.
func Client(c *cli.Command) (route.Client, error) {
	if c.String(flagKey) == "" {
		return route.Client{}, exit.UsageError{What: "an operator's key is needed: --key or ENDIVEHITCH_OPERATOR_KEY"}
	}
	transport := &http.Transport{DisableKeepAlives: true}
	if path := c.String(flagCA); path != "" {
		roots, err := Authorities(path)
		if err != nil {
			return route.Client{}, err
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS12}
	}
	return route.Client{
		Base: c.String(flagInstance),
		Key:  c.String(flagKey),
		HTTP: &http.Client{Transport: transport, Timeout: c.Duration(flagTimeout)},
	}, nil
}

// Authorities reads the certificates of a PEM file.
func Authorities(path string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read authorities: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, exit.UsageError{What: path + " holds no certificate in PEM"}
	}
	return pool, nil
}
