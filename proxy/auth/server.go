// Package auth authenticates callers against SCRAM-SHA-256 verifiers,
// authenticates the instance to endpoints, and provides TLS certificates that
// are reloaded when their files change.
package auth

import (
	"bytes"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"fmt"

	"github.com/xdg-go/scram"

	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/outcome"
	"github.com/vanillahinge/vanillahinge/core/snapshot"
)

// Mechanism is the only supported SASL mechanism.
const Mechanism = "SCRAM-SHA-256"

// mockIterations is the iteration count sent for an unknown account. It is the
// usual iteration count of verifiers, so that the reply does not reveal whether
// the account exists.
const mockIterations = 4096

// errBadKey returns the same error for an unknown account, a wrong key and a
// malformed exchange, so that a caller cannot find out which accounts exist.
func errBadKey() error {
	return outcome.New(outcome.BadKey, outcome.NotRun, "the key was not accepted for this account",
		"check the user name and the key; an operator can list the account's key ids in the bundle")
}

// KeyWithdrawnError returns the error for a login or request with a withdrawn
// key.
func KeyWithdrawnError(o outcome.Outcome) error {
	return outcome.New(outcome.KeyWithdrawn, o, "the key has been withdrawn",
		"use the account's current key, or ask an operator for a new one")
}

// ServerExchange is the server side of one SCRAM exchange with a caller. An
// account has several keys during key rotation. The server-first message can
// carry only one salt, so all keys with the same salt and iteration count are
// tried; a caller whose key has another salt selects it by its key id.
type ServerExchange struct {
	keys  []snapshot.SCRAMVerifier
	convs []*scram.ServerConversation
	// accountKnown is false for an unknown account. keys then holds a mock verifier,
	// and the exchange always fails.
	accountKnown bool
}

// mockSaltSecret is the key from which the salt of an unknown account is derived,
// so that repeated logins get the same salt for the lifetime of the process.
var mockSaltSecret = func() []byte {
	b := make([]byte, 32)
	if _, err := rand.Read(b); err != nil {
		panic(err)
	}
	return b
}()

// NewServerExchange starts an exchange for a client account; a is nil if the
// account is unknown. keyID selects the key whose salt is sent; if it is empty
// or not found, the first key that is not withdrawn is used.
func NewServerExchange(user string, a *snapshot.Account, keyID fleet.KeyID, withdrawn map[fleet.KeyID]bool) (*ServerExchange, error) {
	e := &ServerExchange{}
	if a != nil && len(a.Keys) > 0 {
		e.accountKnown = true
		e.keys = keysWithSameSalt(a.Keys, chooseKey(a.Keys, keyID, withdrawn))
	} else {
		m := hmac.New(sha256.New, mockSaltSecret)
		m.Write([]byte(user))
		sum := m.Sum(nil)
		e.keys = []snapshot.SCRAMVerifier{{Salt: sum[:16], Iterations: mockIterations, StoredKey: sum, ServerKey: sum}}
	}
	var raw [18]byte
	if _, err := rand.Read(raw[:]); err != nil {
		return nil, fmt.Errorf("generate SCRAM nonce: %w", err)
	}
	nonce := base64.StdEncoding.EncodeToString(raw[:])
	for _, k := range e.keys {
		creds := scram.StoredCredentials{
			KeyFactors: scram.KeyFactors{Salt: string(k.Salt), Iters: k.Iterations},
			StoredKey:  k.StoredKey,
			ServerKey:  k.ServerKey,
		}
		// The user name in the SCRAM messages is ignored, as in PostgreSQL: the
		// startup message names the account.
		srv, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return creds, nil })
		if err != nil {
			return nil, fmt.Errorf("create SCRAM server: %w", err)
		}
		srv.WithNonceGenerator(func() string { return nonce })
		e.convs = append(e.convs, srv.NewConversation())
	}
	return e, nil
}

// chooseKey returns the key with the given id, else the first key that is not
// withdrawn, else the first key.
func chooseKey(keys []snapshot.SCRAMVerifier, id fleet.KeyID, withdrawn map[fleet.KeyID]bool) snapshot.SCRAMVerifier {
	for _, k := range keys {
		if id != "" && k.ID == id {
			return k
		}
	}
	for _, k := range keys {
		if !withdrawn[k.ID] {
			return k
		}
	}
	return keys[0]
}

// keysWithSameSalt returns first, followed by the other keys with its salt and
// iteration count.
func keysWithSameSalt(keys []snapshot.SCRAMVerifier, first snapshot.SCRAMVerifier) []snapshot.SCRAMVerifier {
	out := []snapshot.SCRAMVerifier{first}
	for _, k := range keys {
		if k.ID != first.ID && k.Iterations == first.Iterations && bytes.Equal(k.Salt, first.Salt) {
			out = append(out, k)
		}
	}
	return out
}

// HandleClientFirst processes the client-first message and returns the
// server-first message.
func (e *ServerExchange) HandleClientFirst(msg string) (string, error) {
	var reply string
	for _, c := range e.convs {
		r, err := c.Step(msg)
		if err != nil {
			return "", errBadKey()
		}
		reply = r
	}
	return reply, nil
}

// HandleClientFinal verifies the client-final message. It returns the
// server-final message and the id of the key that the caller presented.
func (e *ServerExchange) HandleClientFinal(msg string, withdrawn map[fleet.KeyID]bool) (string, fleet.KeyID, error) {
	for i, c := range e.convs {
		reply, err := c.Step(msg)
		if err != nil || !c.Valid() || !e.accountKnown {
			continue
		}
		if withdrawn[e.keys[i].ID] {
			return "", e.keys[i].ID, KeyWithdrawnError(outcome.NotRun)
		}
		return reply, e.keys[i].ID, nil
	}
	return "", "", errBadKey()
}

// KeyValid reports whether the account still has the key in the snapshot and the
// key is not withdrawn.
func KeyValid(v *snapshot.Snapshot, account fleet.AccountID, key fleet.KeyID) bool {
	if v.Withdrawn[key] {
		return false
	}
	a := v.Accounts[account]
	if a == nil {
		return false
	}
	for i := range a.Keys {
		if a.Keys[i].ID == key {
			return true
		}
	}
	return false
}

// NewVerifier derives the SCRAM verifier of a key. It is used by tests and by
// tools that create keys.
func NewVerifier(id fleet.KeyID, key string, salt []byte, iterations int) (snapshot.SCRAMVerifier, error) {
	if len(salt) == 0 || iterations < 4096 {
		return snapshot.SCRAMVerifier{}, errors.New("a verifier needs a salt and at least 4096 iterations")
	}
	c, err := scram.SHA256.NewClient("", key, "")
	if err != nil {
		return snapshot.SCRAMVerifier{}, errors.New("the key contains characters that SCRAM does not allow")
	}
	sc, err := c.GetStoredCredentialsWithError(scram.KeyFactors{Salt: string(salt), Iters: iterations})
	if err != nil {
		return snapshot.SCRAMVerifier{}, errors.New("deriving the verifier from the key failed")
	}
	return snapshot.SCRAMVerifier{ID: id, Salt: salt, Iterations: iterations, StoredKey: sc.StoredKey, ServerKey: sc.ServerKey}, nil
}
