package peer

import (
	"crypto/ed25519"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"fmt"
	"io"
	"math/big"
	"net"
	"os"
	"time"

	"github.com/juju/errors"
	"github.com/quic-go/quic-go"
)

// ErrCertificate means that a certificate file holds no usable certificate.
const ErrCertificate = errors.ConstError("no usable certificate")

// certValidity is how long the certificates of an Authority are valid.
const certValidity = 365 * 24 * time.Hour

// Config returns the TLS settings for a daemon with a certificate from an authority. The name of the daemon is the
// first DNS name of the certificate.
func Config(cert tls.Certificate, authority *x509.CertPool) *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{cert},
		RootCAs:      authority,
		ClientCAs:    authority,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		NextProtos:   []string{protocol},
		MinVersion:   tls.VersionTLS13,
	}
}

// LoadConfig reads PEM files: the daemon's certificate and key, and the authority that signed the certificates of all
// daemons. Error: ErrCertificate.
func LoadConfig(certFile, keyFile, authorityFile string) (*tls.Config, error) {
	cert, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, fmt.Errorf("load certificate of the daemon: %w: %w", ErrCertificate, err)
	}
	pem, err := os.ReadFile(authorityFile)
	if err != nil {
		return nil, fmt.Errorf("read authority: %w: %w", ErrCertificate, err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("read authority %s: %w", authorityFile, ErrCertificate)
	}
	return Config(cert, pool), nil
}

// Authority signs certificates in memory, for tests, cmd/quickstart and the command that writes certificate files.
type Authority struct {
	rand io.Reader
	now  time.Time
	key  ed25519.PrivateKey
	cert *x509.Certificate
}

// NewAuthority returns an authority whose certificates are valid for a year from now. random is crypto/rand.Reader.
func NewAuthority(random io.Reader, now time.Time) (*Authority, error) {
	_, key, err := ed25519.GenerateKey(random)
	if err != nil {
		return nil, fmt.Errorf("generate key of the authority: %w", err)
	}
	a := &Authority{rand: random, now: now, key: key}
	template := a.template("authority")
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(random, template, template, key.Public(), key)
	if err != nil {
		return nil, fmt.Errorf("sign authority: %w", err)
	}
	a.cert, err = x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("parse authority: %w", err)
	}
	return a, nil
}

func (a *Authority) template(name string) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(a.now.UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    a.now.Add(-time.Hour),
		NotAfter:     a.now.Add(certValidity),
	}
}

// Config returns the TLS settings of a daemon.
func (a *Authority) Config(daemon string) (*tls.Config, error) {
	_, key, err := ed25519.GenerateKey(a.rand)
	if err != nil {
		return nil, fmt.Errorf("generate key of %s: %w", daemon, err)
	}
	template := a.template(daemon)
	template.DNSNames = []string{daemon}
	template.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1), net.IPv6loopback}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(a.rand, template, a.cert, key.Public(), a.key)
	if err != nil {
		return nil, fmt.Errorf("sign certificate of %s: %w", daemon, err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	return Config(tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, pool), nil
}

// daemonName returns the name of the daemon at the other end, from its certificate.
func daemonName(conn *quic.Conn) (string, error) {
	certs := conn.ConnectionState().TLS.PeerCertificates
	if len(certs) == 0 || len(certs[0].DNSNames) == 0 {
		return "", fmt.Errorf("certificate without a name: %w", ErrName)
	}
	return certs[0].DNSNames[0], nil
}

// resetKey derives the key of stateless resets from the daemon's private key, so that a daemon that was restarted with
// the same certificate can reset the connections to its previous process. It returns nil if the key can't be encoded.
func resetKey(c *tls.Config) *quic.StatelessResetKey {
	if len(c.Certificates) == 0 {
		return nil
	}
	der, err := x509.MarshalPKCS8PrivateKey(c.Certificates[0].PrivateKey)
	if err != nil {
		return nil
	}
	key := quic.StatelessResetKey(sha256.Sum256(append([]byte("stateless reset "), der...)))
	return &key
}

func (p *Peers) serverTLS() *tls.Config {
	c := p.TLS.Clone()
	c.Time = p.Timer.Now
	return c
}

func (p *Peers) clientTLS(daemon string) *tls.Config {
	c := p.TLS.Clone()
	c.Time = p.Timer.Now
	c.ServerName = daemon
	return c
}
