package bundle

import (
	"bytes"
	"crypto/ed25519"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// Signature roles. The signed bytes include the role, so an author's signature
// cannot be reused as a sign-off.
const (
	RoleAuthor  = "author"
	RoleSignOff = "sign-off"
)

// Errors returned when an envelope is signed or verified, or when a bundle is
// to replace the one in force.
var (
	// ErrUnsigned is returned if the author's signature or the sign-off is
	// missing.
	ErrUnsigned = errors.New("bundle: two signatures are needed; run vanillahinge bundle sign, then another operator runs vanillahinge bundle sign-off")
	// ErrUnknownKey is returned if the signer is not a trusted operator.
	ErrUnknownKey = errors.New("bundle: signed by an unknown key; add the operator's public key to trusted_operators of every instance or sign with a trusted key")
	// ErrBadSignature is returned if a signature does not match the document.
	ErrBadSignature = errors.New("bundle: signature does not match the document; sign it again")
	// ErrSameOperator is returned if one operator gave both the author's
	// signature and the sign-off.
	ErrSameOperator = errors.New("bundle: author and sign-off use the same key; let a second operator sign off")
	// ErrOlderVersion is returned if the version is not higher than the one in
	// force.
	ErrOlderVersion = errors.New("bundle: version is not higher than the one in force; take the bundle in force, apply the change and raise the version")
	// ErrDatabaseInUse is returned if a bundle removes a database that clients
	// can still connect to.
	ErrDatabaseInUse = errors.New("bundle: removes a database that is still in use; publish a bundle that removes it from every account and from the open routes first")
)

// Signature is an operator's signature in one role.
type Signature struct {
	Role string `json:"role"`
	// Key is the operator's key id.
	Key       string `json:"key"`
	Signature []byte `json:"signature"`
}

// Envelope holds the canonical bytes of a document and its signatures.
type Envelope struct {
	Kind       string      `json:"kind"`
	Document   []byte      `json:"document"`
	Signatures []Signature `json:"signatures"`
}

// Operators maps the key ids of the trusted operators to their public keys.
type Operators map[string]ed25519.PublicKey

// Seal returns an unsigned envelope that holds the document.
func Seal(d *Document) (*Envelope, error) {
	b, err := d.Canonical()
	if err != nil {
		return nil, err
	}
	return &Envelope{Kind: KindBundle, Document: b}, nil
}

// SealWithdrawal returns an unsigned envelope that holds the withdrawal.
func SealWithdrawal(w *Withdrawal) (*Envelope, error) {
	b, err := w.Canonical()
	if err != nil {
		return nil, err
	}
	return &Envelope{Kind: KindWithdrawal, Document: b}, nil
}

// signedBytes returns the bytes that a signature in the given role covers.
func (e *Envelope) signedBytes(role string) []byte {
	return append([]byte("vanillahinge "+e.Kind+" "+role+"\x00"), e.Document...)
}

// Sign adds a signature in the given role and replaces an existing one of that
// role. Signing as the author also removes an existing sign-off.
func (e *Envelope) Sign(role, keyID string, key ed25519.PrivateKey) error {
	switch role {
	case RoleAuthor:
		e.Signatures = nil
	case RoleSignOff:
		if len(e.Signatures) == 0 || e.Signatures[0].Role != RoleAuthor {
			return fmt.Errorf("bundle: the author's signature must precede the sign-off: %w", ErrUnsigned)
		}
		if e.Signatures[0].Key == keyID {
			return ErrSameOperator
		}
		e.Signatures = e.Signatures[:1]
	default:
		return fmt.Errorf("bundle: unknown role %q; use %s or %s", role, RoleAuthor, RoleSignOff)
	}
	e.Signatures = append(e.Signatures, Signature{Role: role, Key: keyID, Signature: ed25519.Sign(key, e.signedBytes(role))})
	return nil
}

// Verify checks that two different trusted operators have signed: one as the
// author and one as the sign-off.
func (e *Envelope) Verify(ops Operators) error {
	if len(e.Signatures) != 2 || e.Signatures[0].Role != RoleAuthor || e.Signatures[1].Role != RoleSignOff {
		return ErrUnsigned
	}
	for _, s := range e.Signatures {
		pub, ok := ops[s.Key]
		if !ok {
			return fmt.Errorf("%w: key %q", ErrUnknownKey, s.Key)
		}
		if len(pub) != ed25519.PublicKeySize || !ed25519.Verify(pub, e.signedBytes(s.Role), s.Signature) {
			return fmt.Errorf("%w: %s by key %q", ErrBadSignature, s.Role, s.Key)
		}
	}
	a, b := e.Signatures[0].Key, e.Signatures[1].Key
	// The keys are compared too: one key listed under two ids would let a single
	// operator act in both roles.
	if a == b || bytes.Equal(ops[a], ops[b]) {
		return ErrSameOperator
	}
	return nil
}

// Encode returns the JSON form of the envelope.
func (e *Envelope) Encode() ([]byte, error) { return marshalJSON(e) }

// DecodeEnvelope decodes the JSON form of an envelope without verifying its
// signatures.
func DecodeEnvelope(data []byte) (*Envelope, error) {
	var e Envelope
	if err := decodeJSON(data, &e); err != nil {
		return nil, fmt.Errorf("bundle: malformed envelope: %w; make it with vanillahinge bundle sign", err)
	}
	if e.Kind != KindBundle && e.Kind != KindWithdrawal {
		return nil, fmt.Errorf("bundle: envelope has unknown kind %q; make it with vanillahinge bundle sign", e.Kind)
	}
	if len(e.Signatures) > 2 {
		return nil, fmt.Errorf("bundle: envelope has %d signatures, at most 2 are allowed; sign the document again", len(e.Signatures))
	}
	return &e, nil
}

// Open verifies an encoded bundle envelope and returns its document. The
// document must be valid and in canonical form.
func Open(data []byte, ops Operators) (*Document, error) {
	e, err := DecodeEnvelope(data)
	if err != nil {
		return nil, err
	}
	if e.Kind != KindBundle {
		return nil, fmt.Errorf("bundle: envelope holds a %s; send it to its own path", e.Kind)
	}
	if err := e.Verify(ops); err != nil {
		return nil, err
	}
	return e.bundle()
}

// bundle decodes the document of an envelope without verifying signatures.
func (e *Envelope) bundle() (*Document, error) {
	var d Document
	if err := decodeJSON(e.Document, &d); err != nil {
		return nil, fmt.Errorf("bundle: malformed document: %w; sign it again from its YAML file", err)
	}
	if err := d.Validate(); err != nil {
		return nil, err
	}
	c, err := d.Canonical()
	if err != nil {
		return nil, err
	}
	if !bytes.Equal(c, e.Document) {
		return nil, errors.New("bundle: document is not in canonical form; sign it again from its YAML file")
	}
	return &d, nil
}

// OpenWithdrawal verifies an encoded withdrawal envelope and returns its
// document, which must be valid and in canonical form.
func OpenWithdrawal(data []byte, ops Operators) (*Withdrawal, error) {
	e, err := DecodeEnvelope(data)
	if err != nil {
		return nil, err
	}
	if e.Kind != KindWithdrawal {
		return nil, fmt.Errorf("bundle: envelope holds a %s; send it to its own path", e.Kind)
	}
	if err := e.Verify(ops); err != nil {
		return nil, err
	}
	return e.withdrawal()
}

// withdrawal decodes the withdrawal of an envelope without verifying signatures.
func (e *Envelope) withdrawal() (*Withdrawal, error) {
	var w Withdrawal
	if err := decodeJSON(e.Document, &w); err != nil {
		return nil, fmt.Errorf("bundle: malformed document: %w; sign it again from its YAML file", err)
	}
	if err := w.Validate(); err != nil {
		return nil, err
	}
	c, err := w.Canonical()
	if err != nil {
		return nil, err
	}
	if !bytes.Equal(c, e.Document) {
		return nil, errors.New("bundle: document is not in canonical form; sign it again from its YAML file")
	}
	return &w, nil
}

// Inspect decodes an envelope for display, without verifying signatures. On
// success, exactly one of the Document and the Withdrawal is non-nil.
func Inspect(data []byte) (*Envelope, *Document, *Withdrawal, error) {
	e, err := DecodeEnvelope(data)
	if err != nil {
		return nil, nil, nil, err
	}
	if e.Kind == KindWithdrawal {
		w, err := e.withdrawal()
		return e, nil, w, err
	}
	d, err := e.bundle()
	return e, d, nil, err
}

// Sum returns the SHA-256 digest of an encoded envelope in hexadecimal.
func Sum(envelope []byte) string {
	s := sha256.Sum256(envelope)
	return hex.EncodeToString(s[:])
}

// Succeeds returns an error unless next may replace current, which is nil if
// there is no bundle yet.
func Succeeds(current, next *Document) error {
	if current == nil {
		return nil
	}
	if next.Version <= current.Version {
		return fmt.Errorf("%w: new version %d, version in force %d", ErrOlderVersion, next.Version, current.Version)
	}
	kept := map[string]bool{}
	for _, db := range next.Databases {
		kept[db.Name] = true
	}
	var dropped []string
	for _, db := range current.Databases {
		if !kept[db.Name] && current.inUse(db) {
			dropped = append(dropped, db.Name)
		}
	}
	if len(dropped) > 0 {
		return fmt.Errorf("%w: %s", ErrDatabaseInUse, strings.Join(dropped, ", "))
	}
	return nil
}

// inUse reports whether clients can still connect to the database: it is open,
// or an account lists it. The rule does not depend on live sessions, so every
// instance and the command line reach the same decision.
func (d *Document) inUse(db Database) bool {
	if db.Open {
		return true
	}
	for _, a := range d.Accounts {
		for _, n := range a.Databases {
			if n == db.Name {
				return true
			}
		}
	}
	return false
}

// PrivateKey is an operator's signing key with its id.
type PrivateKey struct {
	ID  string
	Key ed25519.PrivateKey
}

// keyFile is the JSON form of a PrivateKey.
type keyFile struct {
	ID   string `json:"id"`
	Seed []byte `json:"seed"`
}

// NewPrivateKey generates a signing key for an operator.
func NewPrivateKey(id string) (PrivateKey, error) {
	if !validName(id) {
		return PrivateKey{}, fmt.Errorf("bundle: invalid key id %q: %s", id, nameRemedy)
	}
	_, key, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return PrivateKey{}, fmt.Errorf("bundle: generate key: %w", err)
	}
	return PrivateKey{ID: id, Key: key}, nil
}

// Encode returns the key in its JSON file format.
func (k PrivateKey) Encode() ([]byte, error) {
	b, err := json.Marshal(keyFile{ID: k.ID, Seed: k.Key.Seed()})
	if err != nil {
		return nil, fmt.Errorf("bundle: encode key: %w", err)
	}
	return append(b, '\n'), nil
}

// Public returns the public key as the trusted_operators setting expects it, in
// base64.
func (k PrivateKey) Public() string {
	return base64.StdEncoding.EncodeToString(k.Key.Public().(ed25519.PublicKey))
}

// DecodePrivateKey decodes a key from its JSON file format.
func DecodePrivateKey(data []byte) (PrivateKey, error) {
	var f keyFile
	if err := decodeJSON(data, &f); err != nil || len(f.Seed) != ed25519.SeedSize || !validName(f.ID) {
		// The underlying error is omitted because it may quote the key.
		return PrivateKey{}, errors.New("bundle: malformed operator key file; make one with vanillahinge bundle keygen")
	}
	return PrivateKey{ID: f.ID, Key: ed25519.NewKeyFromSeed(f.Seed)}, nil
}

// ParsePublicKey parses the base64 form of an operator's public key.
func ParsePublicKey(s string) (ed25519.PublicKey, error) {
	b, err := base64.StdEncoding.DecodeString(s)
	if err != nil || len(b) != ed25519.PublicKeySize {
		return nil, errors.New("not an ed25519 public key in base64")
	}
	return b, nil
}
