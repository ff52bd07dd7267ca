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
	// DefaultStop bounds a planned stop. The platform usually gives 60 s of notice before it takes down an entry host.
	DefaultStop = 30 * time.Second
	// DefaultWait is the time that the load balancer needs to detect that a daemon is not ready: two checks of 1 s, and
	// the 2 s of section 6 of docs/design.md.
	DefaultWait = 4 * time.Second
	// DefaultShare allows a daemon to use all connections of an upstream.
	DefaultShare = 1.0
)

// MinKey is the minimum length of the ticket key in bytes: the output size of SHA-256, which the HMAC uses.
const MinKey = 32

// setDefaults sets the fields that neither the file nor a flag sets, and resolves paths.
func (c *checker) setDefaults(s *Settings) {
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
		*name = c.resolve(*name)
	}
	for _, f := range []*Files{&s.TLS.Callers, &s.TLS.Operators, &s.TLS.Peers} {
		f.Certificate, f.Key, f.Authority = c.resolve(f.Certificate), c.resolve(f.Key), c.resolve(f.Authority)
	}
}

func (c *checker) isSet(field string) bool {
	_, flag := c.flags[field]
	return flag || c.lines[field] > 0
}

// check validates the settings. All rules for valid settings are here and in the functions that it calls.
func (c *checker) check(s *Settings) {
	c.required("name", s.Name)
	c.required("centre", s.Centre)
	c.required("listen.callers", s.Listen.Callers)
	c.checkAddresses(s)
	c.checkTimes(s)
	if s.Share <= 0 || s.Share > 1 {
		c.faultf("share", "%v is not above 0 and at most 1", s.Share)
	}
	if hclog.LevelFromString(s.Log) == hclog.NoLevel {
		c.faultf("log", "%q is not debug, info, warn or error", s.Log)
	}
	c.checkSources(s)
	c.checkPeers(s)
	c.checkKey(s.Key)
	c.checkFiles("tls.callers", s.TLS.Callers, s.Listen.Callers)
	c.checkFiles("tls.operators", s.TLS.Operators, s.Listen.Operators)
	c.checkFiles("tls.peers", s.TLS.Peers, s.Listen.Peers)
}

func (c *checker) required(field, value string) {
	if value == "" {
		c.faultf(field, "is missing")
	}
}

func (c *checker) checkAddresses(s *Settings) {
	seen := map[string]string{}
	for _, l := range []struct{ field, addr string }{
		{"listen.callers", s.Listen.Callers},
		{"listen.operators", s.Listen.Operators},
		{"listen.peers", s.Listen.Peers},
		{"listen.metrics", s.Listen.Metrics},
	} {
		port := c.checkAddress(l.field, l.addr)
		// The listener for peers uses QUIC and so a UDP port.
		if port == 0 || l.field == "listen.peers" {
			continue
		}
		if other := seen[l.addr]; other != "" {
			c.faultf(l.field, "%s is already the address of %s", l.addr, other)
		}
		seen[l.addr] = l.field
	}
	c.checkAddress("platform", s.Platform)
	for _, text := range s.Peers {
		name, addr := SplitPeer(text)
		if name == "" || addr == "" {
			c.faultf("peers", "%q is not a name and an address such as e2=10.0.0.2:7003", text)
			continue
		}
		c.checkAddress("peers", addr)
	}
}

// checkAddress checks an IP address and port, and returns the port. It returns 0 for an empty address, which is valid, and
// for an invalid one.
func (c *checker) checkAddress(field, addr string) uint16 {
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

func (c *checker) checkTimes(s *Settings) {
	if s.Stop <= 0 {
		c.faultf("stop", "must be above zero")
		return
	}
	if s.Wait >= s.Stop {
		c.faultf("wait", "%s must be shorter than stop, which is %s", s.Wait, s.Stop)
	}
}

func (c *checker) checkSources(s *Settings) {
	switch {
	case s.Platform == "" && s.Fleet == "":
		c.faultf("fleet", "is missing: set platform, or fleet for a daemon without platform")
	case s.Platform != "" && s.Fleet != "":
		c.faultf("fleet", "contradicts platform: the platform holds the fleet configuration")
	}
	if s.Fleet != "" {
		c.checkReadable("fleet", s.Fleet)
	}
}

func (c *checker) checkPeers(s *Settings) {
	if len(s.Peers) > 0 && s.Listen.Peers == "" {
		c.faultf("listen.peers", "is missing: there are peers")
	}
	if s.Listen.Peers != "" && (!s.TLS.Peers.Used() || s.TLS.Peers.Authority == "") {
		c.faultf("tls.peers", "is missing: peers authenticate each other with certificate, key and authority")
	}
}

func (c *checker) checkReadable(field, path string) bool {
	if _, err := os.ReadFile(path); err != nil {
		c.faultf(field, "%s", err)
		return false
	}
	return true
}

// checkKey checks the ticket key. It must not print the key.
func (c *checker) checkKey(path string) {
	if path == "" || !c.checkReadable("key", path) {
		return
	}
	if data, _ := os.ReadFile(path); len(data) < MinKey {
		c.faultf("key", "the key in %s has less than %d bytes", path, MinKey)
	}
}

func (c *checker) checkFiles(field string, f Files, listen string) {
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
