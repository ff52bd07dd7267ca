package peer

import (
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"os"
	"path/filepath"
)

// Permissions of the files that WriteCertificate creates.
const (
	certMode = 0o644
	keyMode  = 0o600
)

// WriteCertificate creates a certificate for a daemon and writes it in PEM to dir: <daemon>.crt, <daemon>.key and authority.crt.
// The certificate is also valid for the loopback addresses, so that the listeners for callers and operators can use it
// on one machine.
func (a *Authority) WriteCertificate(dir, daemon string) error {
	config, err := a.Config(daemon)
	if err != nil {
		return err
	}
	cert := config.Certificates[0]
	key, err := x509.MarshalPKCS8PrivateKey(cert.PrivateKey)
	if err != nil {
		return fmt.Errorf("encode key of %s: %w", daemon, err)
	}
	for _, f := range []struct {
		name    string
		pemType string
		der     []byte
		mode    os.FileMode
	}{
		{daemon + ".crt", "CERTIFICATE", cert.Certificate[0], certMode},
		{daemon + ".key", "PRIVATE KEY", key, keyMode},
		{"authority.crt", "CERTIFICATE", a.cert.Raw, certMode},
	} {
		data := pem.EncodeToMemory(&pem.Block{Type: f.pemType, Bytes: f.der})
		if err := os.WriteFile(filepath.Join(dir, f.name), data, f.mode); err != nil {
			return fmt.Errorf("write %s: %w", f.name, err)
		}
	}
	return nil
}
