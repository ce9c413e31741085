package peer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	peerv1 "github.com/vanillahinge/vanillahinge/peer/v1"
	"github.com/vanillahinge/vanillahinge/peer/v1/peerv1connect"
)

type echoHandler struct {
	peerv1connect.UnimplementedPeerHandler
}

func (echoHandler) Pull(_ context.Context, r *peerv1.PullRequest) (*peerv1.PullResponse, error) {
	return &peerv1.PullResponse{From: "b", Have: r.Have, Bundle: make([]byte, 5<<20)}, nil
}

func startServer(t *testing.T, tlsConfig *tls.Config) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := NewServer(echoHandler{}, tlsConfig)
	go func() { _ = Serve(s, l) }()
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

func pull(c *Clients, addr string) (*peerv1.PullResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return c.Client(addr).Pull(ctx, &peerv1.PullRequest{From: "a", Have: &peerv1.Versions{Bundle: 7}})
}

// Guards against a message size limit that rejects a pull response with a bundle
// of several megabytes.
func TestPullPlaintext(t *testing.T) {
	addr := startServer(t, nil)
	c := NewClients(nil)
	defer c.Close()
	res, err := pull(c, addr)
	assert.NilError(t, err)
	assert.Equal(t, res.Have.Bundle, uint64(7))
	assert.Equal(t, len(res.Bundle), 5<<20)
	c.RetainOnly(map[string]bool{})
	assert.Equal(t, len(c.byAddr), 0)
}

// Guards against an instance that accepts peers without a client certificate.
func TestPullMutualTLS(t *testing.T) {
	cert, pool := selfSignedCertificate(t)
	addr := startServer(t, &tls.Config{Certificates: []tls.Certificate{cert}, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13})
	trusted := NewClients(&tls.Config{Certificates: []tls.Certificate{cert}, RootCAs: pool, MinVersion: tls.VersionTLS13})
	defer trusted.Close()
	_, err := pull(trusted, addr)
	assert.NilError(t, err)
	for _, c := range []*Clients{NewClients(&tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}), NewClients(nil)} {
		_, err := pull(c, addr)
		assert.Assert(t, err != nil)
		c.Close()
	}
}

func selfSignedCertificate(t *testing.T) (tls.Certificate, *x509.CertPool) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "entry"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	assert.NilError(t, err)
	leaf, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	pool := x509.NewCertPool()
	pool.AddCert(leaf)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key, Leaf: leaf}, pool
}
