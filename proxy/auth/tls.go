package auth

import (
	"crypto/tls"
	"fmt"
	"os"
	"sync"
	"time"
)

// reloadInterval bounds how often the certificate files are looked at.
const reloadInterval = time.Second

// Certificate is a key pair that is read again when its files change.
type Certificate struct {
	certFile, keyFile string

	mu      sync.Mutex
	cert    *tls.Certificate
	stamp   [2]time.Time
	checked time.Time
}

// LoadCertificate reads a key pair.
func LoadCertificate(certFile, keyFile string) (*Certificate, error) {
	c := &Certificate{certFile: certFile, keyFile: keyFile}
	if err := c.reload(); err != nil {
		return nil, err
	}
	return c, nil
}

func (c *Certificate) reload() error {
	var stamp [2]time.Time
	for i, f := range []string{c.certFile, c.keyFile} {
		st, err := os.Stat(f)
		if err != nil {
			return fmt.Errorf("read TLS file: %w; correct the path in the settings", err)
		}
		stamp[i] = st.ModTime()
	}
	if c.cert != nil && stamp == c.stamp {
		return nil
	}
	cert, err := tls.LoadX509KeyPair(c.certFile, c.keyFile)
	if err != nil {
		return fmt.Errorf("load TLS key pair: %w; write certificate and key that belong together", err)
	}
	c.cert, c.stamp = &cert, stamp
	return nil
}

// GetCertificate returns the current certificate. A pair that cannot be loaded, for
// instance because only one of the two files has been replaced so far, leaves
// the previous one in use.
func (c *Certificate) GetCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); now.Sub(c.checked) >= reloadInterval {
		c.checked = now
		_ = c.reload()
	}
	return c.cert, nil
}

// ServerConfig returns a server configuration that uses the certificate.
func (c *Certificate) ServerConfig() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: c.GetCertificate}
}
