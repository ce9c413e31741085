package bundle

import (
	"crypto/hmac"
	"crypto/pbkdf2"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"fmt"
	"time"

	"github.com/xdg-go/stringprep"

	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/snapshot"
)

// Parts holds the parts of a snapshot that depend on the bundle alone.
type Parts struct {
	Accounts  map[fleet.AccountID]*snapshot.Account
	Databases map[string]*snapshot.Database
	// Groups have no endpoint status yet, and no connection limit for the slots
	// that the instance holds.
	Groups     map[fleet.GroupID]*snapshot.Group
	TokenKeys  [][]byte
	FleetSlots int
}

// Parts converts a valid document. MaxConns of each endpoint is the share of a
// single fleet slot and does not account for the status connection; the control
// goroutine multiplies it by the number of slots that the instance holds and
// subtracts that connection.
func (d *Document) Parts() (*Parts, error) {
	p := &Parts{
		Accounts:   make(map[fleet.AccountID]*snapshot.Account, len(d.Accounts)),
		Databases:  make(map[string]*snapshot.Database, len(d.Databases)),
		Groups:     make(map[fleet.GroupID]*snapshot.Group, len(d.Groups)),
		FleetSlots: d.FleetSlots,
	}
	for _, a := range d.Accounts {
		va := &snapshot.Account{ID: a.ID, Weight: a.Weight, Rate: a.Rate, Burst: a.Burst, Databases: make(map[string]bool, len(a.Databases))}
		for _, k := range a.Keys {
			vk, err := ParseVerifier(string(k.Verifier))
			if err != nil {
				return nil, fmt.Errorf("bundle: verifier of key %s: %w", k.ID, err)
			}
			vk.ID = k.ID
			va.Keys = append(va.Keys, vk)
		}
		for _, n := range a.Databases {
			va.Databases[n] = true
		}
		p.Accounts[a.ID] = va
	}
	for _, db := range d.Databases {
		p.Databases[db.Name] = newDatabase(db)
	}
	for _, g := range d.Groups {
		vg := &snapshot.Group{ID: g.ID}
		for _, e := range g.Endpoints {
			vg.Endpoints = append(vg.Endpoints, &snapshot.Endpoint{
				ID: e.ID, DataCentre: e.DataCentre, Addr: e.Addr, Leaving: e.Leaving, Slots: e.Slots,
				MaxConns: e.Connections / d.FleetSlots,
			})
		}
		p.Groups[g.ID] = vg
	}
	for _, k := range d.TokenKeys {
		b, err := base64.StdEncoding.DecodeString(string(k.Secret))
		if err != nil {
			return nil, fmt.Errorf("bundle: token key %s is not base64", k.ID)
		}
		p.TokenKeys = append(p.TokenKeys, b)
	}
	return p, nil
}

// newDatabase converts a database of the document to its snapshot form.
func newDatabase(db Database) *snapshot.Database {
	return &snapshot.Database{Name: db.Name, Group: db.Group, Open: db.Open, MaxAge: time.Duration(db.MaxAge)}
}

// NewVerifier derives the SCRAM-SHA-256 verifier of a key, using a random salt.
func NewVerifier(key string) (Secret, error) {
	if key == "" {
		return "", errors.New("bundle: the key is empty; give at least 16 random characters")
	}
	prepared, err := stringprep.SASLprep.Prepare(key)
	if err != nil {
		// Like PostgreSQL, use the raw bytes if SASLprep rejects the key.
		prepared = key
	}
	salt := make([]byte, 16)
	if _, err := rand.Read(salt); err != nil {
		return "", fmt.Errorf("bundle: generate salt: %w", err)
	}
	salted, err := pbkdf2.Key(sha256.New, prepared, salt, minIterations, sha256.Size)
	if err != nil {
		return "", fmt.Errorf("bundle: derive verifier: %w", err)
	}
	sum := func(label string) []byte {
		m := hmac.New(sha256.New, salted)
		m.Write([]byte(label))
		return m.Sum(nil)
	}
	stored := sha256.Sum256(sum("Client Key"))
	b64 := base64.StdEncoding.EncodeToString
	return Secret(fmt.Sprintf("SCRAM-SHA-256$%d:%s$%s:%s", minIterations, b64(salt), b64(stored[:]), b64(sum("Server Key")))), nil
}
