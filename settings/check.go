package settings

import (
	"crypto/tls"
	"crypto/x509"
	"net/netip"
	"os"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"cuminstair.org/cuminstair"
)

// Defaults of optional fields.
const (
	// DefaultStop bounds a planned stop: the platform's usual notice before it takes an entry host is 60 s.
	DefaultStop = 30 * time.Second
	// DefaultWait is the time that the load balancer needs to see that a daemon is unready: two checks of 1 s and the
	// 2 s of section 6 of docs/design.md.
	DefaultWait = 4 * time.Second
	// DefaultShare lets one daemon use all connections of an upstream.
	DefaultShare = 1.0
)

// MinKey is the shortest key of tickets, in bytes: the size of the SHA-256 block that HMAC signs with.
const MinKey = 32

// defaults sets what the file and the flags leave out, and makes paths relative to the file.
func (c *checker) defaults(s *Settings) {
	if s.Stop == 0 && !c.isSet("stop") {
		s.Stop = cuminstair.Duration(DefaultStop)
	}
	if s.Wait == 0 && !c.isSet("wait") {
		s.Wait = cuminstair.Duration(DefaultWait)
	}
	if s.Share == 0 && !c.isSet("share") {
		s.Share = DefaultShare
	}
	if s.Log == "" && !c.isSet("log") {
		s.Log = "info"
	}
	for _, name := range []*string{&s.Key, &s.Fleet} {
		*name = c.path(*name)
	}
	for _, f := range []*Files{&s.TLS.Callers, &s.TLS.Operators, &s.TLS.Peers} {
		f.Certificate, f.Key, f.Authority = c.path(f.Certificate), c.path(f.Key), c.path(f.Authority)
	}
}

func (c *checker) isSet(field string) bool {
	_, flag := c.flags[field]
	return flag || c.lines[field] > 0
}

// check is the one place that says which settings are valid.
func (c *checker) check(s *Settings) {
	c.required("name", s.Name)
	c.required("centre", s.Centre)
	c.required("listen.callers", s.Listen.Callers)
	c.addresses(s)
	c.times(s)
	if s.Share <= 0 || s.Share > 1 {
		c.faultf("share", "%v is not above 0 and at most 1", s.Share)
	}
	if hclog.LevelFromString(s.Log) == hclog.NoLevel {
		c.faultf("log", "%q is not debug, info, warn or error", s.Log)
	}
	c.sources(s)
	c.peers(s)
	c.key(s.Key)
	c.files("tls.callers", s.TLS.Callers, s.Listen.Callers)
	c.files("tls.operators", s.TLS.Operators, s.Listen.Operators)
	c.files("tls.peers", s.TLS.Peers, s.Listen.Peers)
}

func (c *checker) required(field, value string) {
	if value == "" {
		c.faultf(field, "is missing")
	}
}

func (c *checker) addresses(s *Settings) {
	seen := map[string]string{}
	for _, l := range []struct{ field, addr string }{
		{"listen.callers", s.Listen.Callers},
		{"listen.operators", s.Listen.Operators},
		{"listen.peers", s.Listen.Peers},
		{"listen.metrics", s.Listen.Metrics},
	} {
		port := c.address(l.field, l.addr)
		// Peers speak QUIC, which uses UDP ports.
		if port == 0 || l.field == "listen.peers" {
			continue
		}
		if other := seen[l.addr]; other != "" {
			c.faultf(l.field, "%s is the address of %s, too", l.addr, other)
		}
		seen[l.addr] = l.field
	}
	c.address("platform", s.Platform)
	for _, text := range s.Peers {
		name, addr := SplitPeer(text)
		if name == "" || addr == "" {
			c.faultf("peers", "%q is not a name and an address such as e2=10.0.0.2:7003", text)
			continue
		}
		c.address("peers", addr)
	}
}

// address checks an IP address and port, and returns the port. An empty address is none.
func (c *checker) address(field, addr string) uint16 {
	if addr == "" {
		return 0
	}
	parsed, err := netip.ParseAddrPort(addr)
	if err != nil {
		c.faultf(field, "%q is not an IP address and port such as 127.0.0.1:8080", addr)
		return 0
	}
	return parsed.Port()
}

func (c *checker) times(s *Settings) {
	if s.Stop <= 0 {
		c.faultf("stop", "must be above zero")
		return
	}
	if s.Wait >= s.Stop {
		c.faultf("wait", "%s leaves no time of stop, which is %s", s.Wait, s.Stop)
	}
}

func (c *checker) sources(s *Settings) {
	switch {
	case s.Platform == "" && s.Fleet == "":
		c.faultf("fleet", "is missing: set platform, or fleet for a daemon without platform")
	case s.Platform != "" && s.Fleet != "":
		c.faultf("fleet", "contradicts platform: the platform holds the fleet configuration")
	}
	if s.Fleet != "" {
		c.readable("fleet", s.Fleet)
	}
}

func (c *checker) peers(s *Settings) {
	if len(s.Peers) > 0 && s.Listen.Peers == "" {
		c.faultf("listen.peers", "is missing: there are peers")
	}
	if s.Listen.Peers != "" && (!s.TLS.Peers.Used() || s.TLS.Peers.Authority == "") {
		c.faultf("tls.peers", "is missing: peers prove who they are with certificate, key and authority")
	}
}

func (c *checker) readable(field, path string) bool {
	if _, err := os.ReadFile(path); err != nil {
		c.faultf(field, "%s", err)
		return false
	}
	return true
}

// key checks the key of tickets without showing it.
func (c *checker) key(path string) {
	if path == "" || !c.readable("key", path) {
		return
	}
	if data, _ := os.ReadFile(path); len(data) < MinKey {
		c.faultf("key", "the key in %s has less than %d bytes", path, MinKey)
	}
}

func (c *checker) files(field string, f Files, listen string) {
	if !f.Used() {
		return
	}
	if listen == "" {
		c.faultf(field, "is set for a listener that has no address")
	}
	c.required(field+".certificate", f.Certificate)
	c.required(field+".key", f.Key)
	if f.Certificate == "" || f.Key == "" {
		return
	}
	if _, err := f.Config(); err != nil {
		c.faultf(field, "%s", err)
	}
}

// Config returns the TLS configuration of a listener, or nil if it has none.
func (f Files) Config() (*tls.Config, error) {
	if !f.Used() {
		return nil, nil //nolint:nilnil // no TLS is a valid setting
	}
	pair, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return nil, err
	}
	config := &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS13}
	if f.Authority == "" {
		return config, nil
	}
	pem, err := os.ReadFile(f.Authority)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("%s holds no certificate", f.Authority)
	}
	config.ClientCAs, config.RootCAs = pool, pool
	config.ClientAuth = tls.RequireAndVerifyClientCert
	return config, nil
}
