package auth

import (
	"crypto/tls"
	"fmt"
	"os"
	"sync"
	"time"
)

// reloadInterval is the minimum time between two checks of the certificate files.
const reloadInterval = time.Second

// Certificate is a TLS key pair that is reloaded when its files change.
type Certificate struct {
	certFile, keyFile string

	mu        sync.Mutex
	cert      *tls.Certificate
	modTimes  [2]time.Time
	lastCheck time.Time
}

// LoadCertificate loads a key pair from PEM files.
func LoadCertificate(certFile, keyFile string) (*Certificate, error) {
	c := &Certificate{certFile: certFile, keyFile: keyFile}
	if err := c.reload(); err != nil {
		return nil, err
	}
	return c, nil
}

// reload loads the key pair if the modification time of a file has changed.
func (c *Certificate) reload() error {
	var modTimes [2]time.Time
	for i, f := range []string{c.certFile, c.keyFile} {
		st, err := os.Stat(f)
		if err != nil {
			return fmt.Errorf("check TLS file: %w; correct the path in the settings", err)
		}
		modTimes[i] = st.ModTime()
	}
	if c.cert != nil && modTimes == c.modTimes {
		return nil
	}
	cert, err := tls.LoadX509KeyPair(c.certFile, c.keyFile)
	if err != nil {
		return fmt.Errorf("load TLS key pair: %w; provide a certificate and its matching key", err)
	}
	c.cert, c.modTimes = &cert, modTimes
	return nil
}

// GetCertificate returns the current certificate. If the key pair cannot be
// loaded, for instance because only one of the two files has been replaced so
// far, the previous certificate stays in use.
func (c *Certificate) GetCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); now.Sub(c.lastCheck) >= reloadInterval {
		c.lastCheck = now
		_ = c.reload()
	}
	return c.cert, nil
}

// ServerConfig returns a TLS server configuration that uses the certificate.
func (c *Certificate) ServerConfig() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: c.GetCertificate}
}
