package daemon_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair/daemon"
	"cuminstair.org/cuminstair/settings"
	"cuminstair.org/cuminstair/standin/instance"
)

// certify writes a self-signed certificate, which is also its own authority, and its key into dir.
func certify(t *testing.T, dir, name string, now time.Time) settings.Files {
	t.Helper()
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             now.Add(-time.Hour),
		NotAfter:              now.Add(time.Hour),
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA:                  true,
		BasicConstraintsValid: true,
	}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	is.NoErr(err)
	der, err := x509.MarshalPKCS8PrivateKey(key)
	is.NoErr(err)
	write := func(suffix, kind string, data []byte) string {
		path := filepath.Join(dir, name+suffix)
		is.NoErr(os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600))
		return path
	}
	f := settings.Files{Certificate: write(".crt", "CERTIFICATE", cert), Key: write(".key", "PRIVATE KEY", der)}
	f.Authority = f.Certificate
	return f
}

// Guards against listeners that serve plain HTTP although TLS files are set, or accept clients without a certificate.
func TestListenersUseTLS(t *testing.T) {
	is := is.New(t)
	clock := realClock(t)
	files := certify(t, t.TempDir(), "e1", clock.Now())
	s := loadSettings(t, []string{serve(t, &instance.Server{Timer: clock})}, `"wait": "0s"`)
	s.Listen.Operators = "127.0.0.1:0"
	s.TLS = settings.TLS{Callers: files, Operators: files}
	d := start(t, s, clock, func(d *daemon.Daemon) { d.Operators = http.NotFoundHandler() })

	config, err := files.Config()
	is.NoErr(err)
	noClientCert := config.Clone()
	noClientCert.Certificates = nil
	for _, name := range []string{"callers", "operators"} {
		addr := d.Addr(name).String()
		get := func(url string, config *tls.Config) error {
			client := &http.Client{Transport: &http.Transport{TLSClientConfig: config, DisableKeepAlives: true}}
			resp, err := client.Get(url)
			if err != nil {
				return err
			}
			is.NoErr(resp.Body.Close())
			if resp.StatusCode == http.StatusBadRequest {
				return http.ErrNotSupported // the answer of a TLS listener to plain HTTP
			}
			return nil
		}
		is.NoErr(get("https://"+addr+"/live", config))
		is.True(get("https://"+addr+"/live", noClientCert) != nil)
		is.True(get("http://"+addr+"/live", nil) != nil)
	}
	d.stop()
	is.NoErr(<-d.ended)
}
