package reach

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"endivehitch/io/admin/route"
	"endivehitch/io/shell/exit"
	"endivehitch/io/strict"
)

// The names of the flags.
const (
	flagInstance = "instance"
	flagKey      = "key"
	flagCA       = "ca"
	flagTimeout  = "timeout"
)

const defaultTimeout = 15 * time.Second

// Flags returns the shared flags, which can also be set by environment variables.
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

// WithFlags returns the command's own flags followed by the shared ones.
func WithFlags(flags ...cli.Flag) []cli.Flag {
	return append(flags, Flags()...)
}

// EdgeFlags returns the flags of commands that ask an instance of the platform program, which needs no key.
func EdgeFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{
			Name: flagInstance, Usage: "address of the instance's metrics, such as http://10.0.0.5:9105",
			Required: true, Sources: cli.EnvVars("ENDIVEHITCH_EDGE"),
		},
		&cli.DurationFlag{
			Name: flagTimeout, Usage: "how long to wait for the answer",
			Value: defaultTimeout, Sources: cli.EnvVars("ENDIVEHITCH_TIMEOUT"),
		},
	}
}

// NewEdgeClient returns a client for the instance that EdgeFlags name; the error is an exit.UsageError if that is no
// address.
func NewEdgeClient(c *cli.Command) (route.Client, error) {
	address, err := url.Parse(c.String(flagInstance))
	if err != nil || address.Host == "" || (address.Scheme != "http" && address.Scheme != "https") {
		return route.Client{}, exit.UsageError{Message: fmt.Sprintf("--%s: %q is no address such as http://10.0.0.5:9105", flagInstance, c.String(flagInstance))}
	}
	return route.Client{
		Base: c.String(flagInstance),
		HTTP: newHTTPClient(&http.Transport{DisableKeepAlives: true}, c),
	}, nil
}

// NewClient returns a client for the instance that the flags name; the error is an exit.UsageError if
// no key is given.
func NewClient(c *cli.Command) (route.Client, error) {
	if c.String(flagKey) == "" {
		return route.Client{}, exit.UsageError{Message: "an operator's key is needed: --key or ENDIVEHITCH_OPERATOR_KEY"}
	}
	transport := &http.Transport{DisableKeepAlives: true}
	if path := c.String(flagCA); path != "" {
		roots, err := ReadAuthorities(path)
		if err != nil {
			return route.Client{}, err
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS12}
	}
	return route.Client{
		Base: c.String(flagInstance),
		Key:  c.String(flagKey),
		HTTP: newHTTPClient(transport, c),
	}, nil
}

func newHTTPClient(transport *http.Transport, c *cli.Command) *http.Client {
	client := strict.NewClient(transport)
	client.Timeout = c.Duration(flagTimeout)
	return client
}

// ReadAuthorities returns a pool of the certificates in a PEM file.
func ReadAuthorities(path string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read certificates of authorities: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, exit.UsageError{Message: path + " holds no certificate in PEM"}
	}
	return pool, nil
}
