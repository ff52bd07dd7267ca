package main

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/urfave/cli/v2"

	"cuminstair.org/cuminstair/operator"
)

// options are the checked global flags.
type options struct {
	servers []string // at least one, each an http or https URL
	json    bool
	timeout time.Duration // for each request, above zero
	tls     *tls.Config   // nil without --ca and --cert
}

func globalFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{
			Name:    "server",
			Aliases: []string{"s"},
			Usage:   "operators' `URL` of an entry daemon; may be given several times",
			EnvVars: []string{"CUMINSTAIR_SERVER"},
			Value:   cli.NewStringSlice("http://127.0.0.1:7002"),
		},
		&cli.StringFlag{Name: "output", Aliases: []string{"o"}, Usage: "`FORMAT` of the output: table or json", Value: "table"},
		&cli.DurationFlag{Name: "timeout", Usage: "longest `TIME` for one request", Value: 10 * time.Second},
		&cli.StringFlag{Name: "ca", Usage: "`FILE` with the authority's certificate, for https"},
		&cli.StringFlag{Name: "cert", Usage: "`FILE` with the operator's certificate"},
		&cli.StringFlag{Name: "key", Usage: "`FILE` with the key of that certificate"},
	}
}

// readOptions returns the global flags, and an error if one of them is invalid.
func readOptions(c *cli.Context) (*options, error) {
	o := &options{servers: c.StringSlice("server"), timeout: c.Duration("timeout")}
	for _, s := range o.servers {
		u, err := url.Parse(s)
		if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
			return nil, fmt.Errorf("--server %q is not a URL such as http://127.0.0.1:7002: %w", s, errUsage)
		}
	}
	if len(o.servers) == 0 {
		return nil, fmt.Errorf("--server is missing: %w", errUsage)
	}
	switch c.String("output") {
	case "table":
	case "json":
		o.json = true
	default:
		return nil, fmt.Errorf("--output %q is neither table nor json: %w", c.String("output"), errUsage)
	}
	if o.timeout <= 0 {
		return nil, fmt.Errorf("--timeout %s is not above zero: %w", o.timeout, errUsage)
	}
	return o, o.readTLS(c.String("ca"), c.String("cert"), c.String("key"))
}

func (o *options) readTLS(ca, cert, key string) error {
	if (cert == "") != (key == "") {
		return fmt.Errorf("--cert and --key go together: %w", errUsage)
	}
	if ca == "" && cert == "" {
		return nil
	}
	o.tls = &tls.Config{MinVersion: tls.VersionTLS13}
	if ca != "" {
		data, err := os.ReadFile(ca)
		if err != nil {
			return fmt.Errorf("read --ca: %w", err)
		}
		o.tls.RootCAs = x509.NewCertPool()
		if !o.tls.RootCAs.AppendCertsFromPEM(data) {
			return fmt.Errorf("--ca %s has no certificate: %w", ca, errUsage)
		}
	}
	if cert != "" {
		pair, err := tls.LoadX509KeyPair(cert, key)
		if err != nil {
			return fmt.Errorf("read --cert and --key: %w", err)
		}
		o.tls.Certificates = []tls.Certificate{pair}
	}
	return nil
}

func (o *options) client() *operator.Client {
	return &operator.Client{
		Servers: o.servers,
		HTTP:    &http.Client{Timeout: o.timeout, Transport: &http.Transport{TLSClientConfig: o.tls}},
	}
}

// connect returns the checked options and a client.
func connect(c *cli.Context) (*options, *operator.Client, error) {
	o, err := readOptions(c)
	if err != nil {
		return nil, nil, err
	}
	return o, o.client(), nil
}

// argument returns the only argument of a command.
func argument(c *cli.Context, name string) (string, error) {
	if c.NArg() != 1 {
		return "", fmt.Errorf("%s takes one argument: %s: %w", c.Command.FullName(), name, errUsage)
	}
	return c.Args().First(), nil
}
