package auth

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/outcome"
	"github.com/vanillahinge/vanillahinge/core/snapshot"
)

func verifier(t *testing.T, id fleet.KeyID, key, salt string) snapshot.SCRAMVerifier {
	t.Helper()
	k, err := NewVerifier(id, key, []byte(salt), 4096)
	assert.NilError(t, err)
	return k
}

// login runs a SCRAM exchange with both sides and returns the id of the key that
// the server accepted.
func login(t *testing.T, a *snapshot.Account, keyID fleet.KeyID, key string, withdrawn map[fleet.KeyID]bool) (fleet.KeyID, error) {
	t.Helper()
	ex, err := NewServerExchange("studio", a, keyID, withdrawn)
	assert.NilError(t, err)
	creds, err := NewCredentials("studio", key)
	assert.NilError(t, err)
	c, msg, err := creds.Start()
	assert.NilError(t, err)
	if msg, err = ex.HandleClientFirst(msg); err != nil {
		return "", err
	}
	if msg, err = c.Step(msg); err != nil {
		return "", err
	}
	msg, id, err := ex.HandleClientFinal(msg, withdrawn)
	if err != nil {
		return id, err
	}
	_, err = c.Step(msg)
	assert.NilError(t, err)
	assert.Assert(t, c.Verified())
	return id, nil
}

// Checks that all keys of an account are accepted during rotation, that a key
// with another salt needs its key id, and that a withdrawn key, a wrong key and
// an unknown account are rejected without the key appearing in the error.
func TestKeysDuringRotation(t *testing.T) {
	a := &snapshot.Account{ID: "studio", Keys: []snapshot.SCRAMVerifier{
		verifier(t, "old", "first-key", "one salt"), verifier(t, "new", "second-key", "one salt"), verifier(t, "far", "third-key", "other salt"),
	}}
	for key, want := range map[string]fleet.KeyID{"first-key": "old", "second-key": "new"} {
		id, err := login(t, a, "", key, nil)
		assert.NilError(t, err)
		assert.Equal(t, id, want)
	}
	_, err := login(t, a, "", "third-key", nil)
	assert.Assert(t, outcome.IsKind(err, outcome.BadKey))
	id, err := login(t, a, "far", "third-key", nil)
	assert.NilError(t, err)
	assert.Equal(t, id, fleet.KeyID("far"))

	withdrawn := map[fleet.KeyID]bool{"old": true}
	_, err = login(t, a, "", "first-key", withdrawn)
	assert.Assert(t, outcome.IsKind(err, outcome.KeyWithdrawn))
	_, err = login(t, a, "", "second-key", withdrawn)
	assert.NilError(t, err)
	_, err = login(t, a, "", "wrong-key", nil)
	assert.Assert(t, outcome.IsKind(err, outcome.BadKey))
	assert.Assert(t, !strings.Contains(err.Error(), "wrong-key"))
	_, err = login(t, nil, "", "first-key", nil)
	assert.Assert(t, outcome.IsKind(err, outcome.BadKey))
}

// FuzzExchange checks that no sequence of caller messages authenticates without
// the key or causes a panic.
func FuzzExchange(f *testing.F) {
	f.Add("n,,n=,r=abc", "c=biws,r=abc,p=AAAA")
	f.Add("y,,n=x,r=", "")
	a := &snapshot.Account{ID: "studio", Keys: []snapshot.SCRAMVerifier{{ID: "k", Salt: []byte("salt"), Iterations: 4096,
		StoredKey: make([]byte, 32), ServerKey: make([]byte, 32)}}}
	f.Fuzz(func(t *testing.T, first, final string) {
		ex, err := NewServerExchange("studio", a, "", nil)
		assert.NilError(t, err)
		if _, err := ex.HandleClientFirst(first); err != nil {
			return
		}
		if _, _, err := ex.HandleClientFinal(final, nil); err == nil {
			t.Fatal("authenticated without the key")
		}
	})
}

func writeKeyPair(t *testing.T, dir, name string) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	tmpl := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	assert.NilError(t, err)
	kb, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	for file, block := range map[string]*pem.Block{
		"cert.pem": {Type: "CERTIFICATE", Bytes: der}, "key.pem": {Type: "EC PRIVATE KEY", Bytes: kb},
	} {
		assert.NilError(t, os.WriteFile(filepath.Join(dir, file), pem.EncodeToMemory(block), 0o600))
	}
}

// Guards against a renewed certificate that takes effect only after a restart,
// and against a partly written file that makes TLS handshakes fail.
func TestCertificateReload(t *testing.T) {
	dir := t.TempDir()
	writeKeyPair(t, dir, "first")
	c, err := LoadCertificate(filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem"))
	assert.NilError(t, err)
	name := func() string {
		c.lastCheck = time.Time{}
		cert, err := c.GetCertificate(nil)
		assert.NilError(t, err)
		x, err := x509.ParseCertificate(cert.Certificate[0])
		assert.NilError(t, err)
		return x.Subject.CommonName
	}
	assert.Equal(t, name(), "first")
	assert.NilError(t, os.WriteFile(filepath.Join(dir, "cert.pem"), []byte("half"), 0o600))
	assert.Equal(t, name(), "first")
	writeKeyPair(t, dir, "second")
	assert.Equal(t, name(), "second")
	_, err = LoadCertificate(filepath.Join(dir, "missing.pem"), filepath.Join(dir, "key.pem"))
	assert.ErrorContains(t, err, "correct the path")
}
