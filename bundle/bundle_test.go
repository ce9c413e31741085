package bundle

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/xdg-go/scram"
	"gotest.tools/v3/assert"
)

const example = `kind: bundle
version: 3
fleet_slots: 4
accounts:
- id: booking
  weight: 4
  rate: 200
  burst: 40
  keys:
  - id: booking-1
    verifier: VERIFIER
  databases: [jobs, board]
- id: portal
  weight: 1
  rate: 50
  burst: 10
  keys: []
  databases: [jobs]
databases:
- name: jobs
  group: g1
  max_age: 2s
- name: board
  group: g1
- name: weather
  group: g1
  open: true
- name: archive
  group: g1
groups:
- id: g1
  endpoints:
  - {id: g1-a, data_centre: kecskemet, addr: "127.0.0.1:6001", slots: 3, connections: 20}
  - {id: g1-b, data_centre: szeged, addr: "127.0.0.1:6002", slots: 3, connections: 20}
  - {id: g1-c, data_centre: bekescsaba, addr: "127.0.0.1:6003", slots: 3, connections: 20, leaving: true}
token_keys:
- id: t1
  secret: MDEyMzQ1Njc4OTAxMjM0NTY3ODkwMTIzNDU2Nzg5MDE=
objectives:
- {account: booking, route: jobs, availability: 0.999, latency: 50ms, latency_share: 0.99}
`

func exampleYAML(t testing.TB) string {
	t.Helper()
	v, err := NewVerifier("sickle and sheaf 2026")
	assert.NilError(t, err)
	return strings.ReplaceAll(example, "VERIFIER", string(v))
}

func exampleDoc(t testing.TB) *Document {
	t.Helper()
	d, w, err := Decode("bundle.yaml", []byte(exampleYAML(t)))
	assert.NilError(t, err)
	assert.Assert(t, w == nil)
	return d
}

// operators returns the keys of anna, bela and csaba. All but csaba are trusted.
func operators(t testing.TB) (Operators, []PrivateKey) {
	t.Helper()
	ops, keys := Operators{}, []PrivateKey{}
	for _, id := range []string{"anna", "bela", "csaba"} {
		k, err := NewPrivateKey(id)
		assert.NilError(t, err)
		pub, err := ParsePublicKey(k.Public())
		assert.NilError(t, err)
		if id != "csaba" {
			ops[id] = pub
		}
		keys = append(keys, k)
	}
	return ops, keys
}

// seal returns an encoded envelope of d, signed by author and second.
func seal(t testing.TB, d *Document, author, second PrivateKey) []byte {
	t.Helper()
	e, err := Seal(d)
	assert.NilError(t, err)
	assert.NilError(t, e.Sign(RoleAuthor, author.ID, author.Key))
	assert.NilError(t, e.Sign(RoleSignOff, second.ID, second.Key))
	b, err := e.Encode()
	assert.NilError(t, err)
	return b
}

// Guards against accepting part of an invalid bundle, and against errors that
// do not include the position, the value and the remedy.
func TestDecodeRejectsInvalidDocuments(t *testing.T) {
	good := exampleYAML(t)
	for _, c := range []struct{ name, old, new, want string }{
		{"unknown field", "fleet_slots: 4", "fleet_slots: 4\nshards: 2", "bundle.yaml:4:1: "},
		{"unknown kind", "kind: bundle", "kind: parcel", "bundle.yaml:1:7: kind: unknown kind: \"parcel\""},
		{"version 0", "version: 3", "version: 0", "bundle.yaml:2:10: version: version is missing or 0"},
		{"rate text", "rate: 200", "rate: fast", "bundle.yaml:7:9: "},
		{"rate zero", "rate: 200", "rate: 0", "accounts[0].rate: rate is out of range"},
		{"rate NaN", "rate: 200", "rate: .nan", "accounts[0].rate: rate is out of range"},
		{"burst below slots", "burst: 10", "burst: 3", "accounts[1].burst: burst is out of range: \"3\""},
		{"unit missing", "max_age: 2s", "max_age: 2", "not a duration with a unit: \"2\""},
		{"unknown group", "- name: board\n  group: g1", "- name: board\n  group: g9", "databases[1].group: unknown group: \"g9\""},
		{"unknown database", "databases: [jobs]", "databases: [jobs, x]", "accounts[1].databases[1]: unknown database: \"x\""},
		{"host name", "127.0.0.1:6001", "db1.example:6001", "groups[0].endpoints[0].addr: bad address: \"db1.example:6001\""},
		{"address twice", "127.0.0.1:6002", "127.0.0.1:6001", "address occurs twice"},
		{"two endpoints", "  - {id: g1-b, data_centre: szeged, addr: \"127.0.0.1:6002\", slots: 3, connections: 20}\n", "", "group has 2 endpoints instead of 3"},
		{"few connections", "slots: 3, connections: 20}\n  - {id: g1-b", "slots: 3, connections: 7}\n  - {id: g1-b", "too few connections: \"7\" (give at least 8"},
		{"short token key", "MDEyMzQ1Njc4OTAxMjM0NTY3ODkwMTIzNDU2Nzg5MDE=", "c2hvcnQ=", "token_keys[0].secret: bad token key (give"},
		{"bad verifier", "SCRAM-SHA-256$4096", "SCRAM-SHA-256$12", "bad verifier: iterations"},
		{"account twice", "id: portal", "id: booking", "account id occurs twice"},
		{"objective share", "availability: 0.999", "availability: 99.9", "availability is out of range"},
		{"anchor", "id: portal", "id: &p portal", "anchors and aliases"},
	} {
		t.Run(c.name, func(t *testing.T) {
			in := strings.Replace(good, c.old, c.new, 1)
			assert.Assert(t, in != good, "the replacement does not change the document")
			_, _, err := Decode("bundle.yaml", []byte(in))
			assert.ErrorContains(t, err, c.want)
		})
	}
}

// Guards against secrets in error messages: a rejected verifier or token key
// must not be quoted.
func TestErrorsOmitSecrets(t *testing.T) {
	in := strings.Replace(exampleYAML(t), "MDEyMzQ1Njc4OTAxMjM0NTY3ODkwMTIzNDU2Nzg5MDE=", "dG9wc2VjcmV0", 1)
	in = strings.Replace(in, "SCRAM-SHA-256$4096", "SCRAM-SHA-256$hunter2", 1)
	_, _, err := Decode("b.yaml", []byte(in))
	assert.ErrorContains(t, err, "token key")
	assert.Assert(t, !strings.Contains(err.Error(), "dG9wc2VjcmV0"))
	assert.Assert(t, !strings.Contains(err.Error(), "hunter2"))
}

// Guards against accepting a bundle that was not signed by two different
// trusted operators.
func TestOpenRejectsInvalidSignatures(t *testing.T) {
	ops, k := operators(t)
	d := exampleDoc(t)
	good := seal(t, d, k[0], k[1])
	_, err := Open(good, ops)
	assert.NilError(t, err)

	_, err = Open(seal(t, d, k[0], k[2]), ops)
	assert.ErrorIs(t, err, ErrUnknownKey)

	e, err := Seal(d)
	assert.NilError(t, err)
	assert.NilError(t, e.Sign(RoleAuthor, k[0].ID, k[0].Key))
	b, err := e.Encode()
	assert.NilError(t, err)
	_, err = Open(b, ops)
	assert.ErrorIs(t, err, ErrUnsigned)
	assert.ErrorIs(t, e.Sign(RoleSignOff, k[0].ID, k[0].Key), ErrSameOperator)

	// One key listed under two ids counts as one operator.
	two := Operators{"anna": ops["anna"], "anna2": ops["anna"]}
	assert.NilError(t, e.Sign(RoleSignOff, "anna2", k[0].Key))
	b, err = e.Encode()
	assert.NilError(t, err)
	_, err = Open(b, two)
	assert.ErrorIs(t, err, ErrSameOperator)

	// The author's signature is reused as the sign-off.
	e.Signatures[1] = Signature{Role: RoleSignOff, Key: "bela", Signature: e.Signatures[0].Signature}
	b, err = e.Encode()
	assert.NilError(t, err)
	_, err = Open(b, ops)
	assert.ErrorIs(t, err, ErrBadSignature)

	// The document is modified after it was signed.
	g, err := DecodeEnvelope(good)
	assert.NilError(t, err)
	g.Document = []byte(strings.Replace(string(g.Document), `"rate":200`, `"rate":900`, 1))
	b, err = g.Encode()
	assert.NilError(t, err)
	_, err = Open(b, ops)
	assert.ErrorIs(t, err, ErrBadSignature)

	// The signed bytes include the kind: an envelope whose kind is changed to
	// withdrawal must not verify.
	g.Kind = KindWithdrawal
	b, err = g.Encode()
	assert.NilError(t, err)
	_, err = OpenWithdrawal(b, ops)
	assert.ErrorIs(t, err, ErrBadSignature)
}

// Guards against signatures that depend on the order of list elements in the
// file.
func TestCanonicalIgnoresOrder(t *testing.T) {
	d := exampleDoc(t)
	a, err := d.Canonical()
	assert.NilError(t, err)
	d.Accounts[0], d.Accounts[1] = d.Accounts[1], d.Accounts[0]
	d.Databases[0], d.Databases[2] = d.Databases[2], d.Databases[0]
	e := d.Groups[0].Endpoints
	e[0], e[2] = e[2], e[0]
	b, err := d.Canonical()
	assert.NilError(t, err)
	assert.Equal(t, string(a), string(b))
	assert.Equal(t, d.Accounts[0].ID, exampleDoc(t).Accounts[1].ID, "Canonical must not reorder the document itself")
}

// Guards against going back to an older version, and against a bundle that
// removes a database that clients can still connect to.
func TestSucceeds(t *testing.T) {
	cur, next := exampleDoc(t), exampleDoc(t)
	assert.NilError(t, Succeeds(nil, cur))
	assert.ErrorIs(t, Succeeds(cur, next), ErrOlderVersion)
	next.Version = 2
	assert.ErrorIs(t, Succeeds(cur, next), ErrOlderVersion)
	next.Version = 4
	assert.NilError(t, Succeeds(cur, next))
	drop := func(name string) *Document {
		d := exampleDoc(t)
		d.Version = 4
		for i, db := range d.Databases {
			if db.Name == name {
				d.Databases = append(d.Databases[:i:i], d.Databases[i+1:]...)
				break
			}
		}
		return d
	}
	assert.ErrorIs(t, Succeeds(cur, drop("jobs")), ErrDatabaseInUse)
	assert.ErrorIs(t, Succeeds(cur, drop("weather")), ErrDatabaseInUse)
	assert.NilError(t, Succeeds(cur, drop("archive")))
}

// Guards against token keys and verifiers in diffs, formatted output and logs.
func TestDiffOmitsSecrets(t *testing.T) {
	a, b := exampleDoc(t), exampleDoc(t)
	b.Version, b.Accounts[0].Rate = 4, 300
	b.Databases[0].MaxAge = 0
	b.TokenKeys[0].Secret = "YW5vdGhlciBzZWNyZXQgdGhhdCBpcyBsb25nIGVub3VnaA=="
	var lines []string
	for _, c := range Diff(a, b) {
		lines = append(lines, c.String())
	}
	assert.DeepEqual(t, lines, []string{
		"~ accounts/booking/keys/booking-1: [secret] -> [another secret]", // NewVerifier generates a new salt
		"~ accounts/booking/rate: 200 -> 300",
		"~ databases/jobs/max_age: 2s -> 0s",
		"~ token_keys/t1: [secret] -> [another secret]",
		"~ version: 3 -> 4",
	})
	assert.Equal(t, len(Diff(a, a)), 0)
	red, err := b.Redacted()
	assert.NilError(t, err)
	for _, out := range []string{string(red), fmt.Sprintf("%v %+v %#v", b, *b, *b), fmt.Sprint(Diff(nil, b)), fmt.Sprint(Diff(b, nil))} {
		assert.Assert(t, !strings.Contains(out, string(b.TokenKeys[0].Secret)), out)
		assert.Assert(t, !strings.Contains(out, string(b.Accounts[0].Keys[0].Verifier)), out)
	}
	assert.Assert(t, b.Accounts[0].Keys[0].Verifier != "[secret]", "Redacted must not change the document")
}

// Guards against a verifier that SCRAM clients cannot authenticate against.
func TestNewVerifierMatchesSCRAMClient(t *testing.T) {
	v, err := NewVerifier("pá\u00adssword") // SASLprep removes the soft hyphen
	assert.NilError(t, err)
	k, err := ParseVerifier(string(v))
	assert.NilError(t, err)
	cl, err := scram.SHA256.NewClient("", "pássword", "")
	assert.NilError(t, err)
	want, err := cl.GetStoredCredentialsWithError(scram.KeyFactors{Salt: string(k.Salt), Iters: k.Iterations})
	assert.NilError(t, err)
	assert.DeepEqual(t, k.StoredKey, want.StoredKey)
	assert.DeepEqual(t, k.ServerKey, want.ServerKey)
}

// Guards against fields lost in the conversion from the bundle to the snapshot.
func TestParts(t *testing.T) {
	p, err := exampleDoc(t).Parts()
	assert.NilError(t, err)
	assert.Equal(t, p.FleetSlots, 4)
	assert.Equal(t, len(p.TokenKeys[0]), 32)
	a := p.Accounts["booking"]
	assert.Assert(t, a.Databases["jobs"] && a.Databases["board"] && !a.Databases["archive"])
	assert.Equal(t, a.Keys[0].ID, exampleDoc(t).Accounts[0].Keys[0].ID)
	assert.Equal(t, p.Databases["jobs"].MaxAge.String(), "2s")
	e := p.Groups["g1"].Endpoints
	assert.Equal(t, e[0].MaxConns, 5)
	assert.Assert(t, e[2].Leaving)
}

// Guards against a key file that does not decode to the same key, and against
// errors that quote the key.
func TestOperatorKeyFile(t *testing.T) {
	_, k := operators(t)
	b, err := k[0].Encode()
	assert.NilError(t, err)
	got, err := DecodePrivateKey(b)
	assert.NilError(t, err)
	assert.Equal(t, got.Public(), k[0].Public())
	_, err = DecodePrivateKey(b[:len(b)/2])
	assert.ErrorContains(t, err, "malformed operator key file")
	var m map[string]string
	assert.NilError(t, json.Unmarshal(b, &m))
	assert.Assert(t, !strings.Contains(err.Error(), m["seed"][:8]))
}

// Guards against a withdrawal that is accepted as a bundle or lists no keys.
func TestWithdrawal(t *testing.T) {
	ops, k := operators(t)
	_, w, err := Decode("w.yaml", []byte("kind: withdrawal\nkeys: [b-1, a-1]\nreason: laptop stolen\n"))
	assert.NilError(t, err)
	e, err := SealWithdrawal(w)
	assert.NilError(t, err)
	assert.NilError(t, e.Sign(RoleAuthor, k[0].ID, k[0].Key))
	assert.NilError(t, e.Sign(RoleSignOff, k[1].ID, k[1].Key))
	b, err := e.Encode()
	assert.NilError(t, err)
	got, err := OpenWithdrawal(b, ops)
	assert.NilError(t, err)
	assert.Equal(t, string(got.Keys[0]), "a-1")
	_, err = Open(b, ops)
	assert.ErrorContains(t, err, "holds a withdrawal")
	_, _, err = Decode("w.yaml", []byte("kind: withdrawal\nkeys: []\n"))
	assert.ErrorContains(t, err, "no keys")
}

// Guards against panics, and against valid documents that have no canonical form
// or cannot be converted.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(exampleYAML(f)))
	f.Add([]byte("kind: withdrawal\nkeys: [a]\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		d, w, err := Decode("f.yaml", in)
		if err != nil {
			return
		}
		// The canonical form of every valid document must be accepted again.
		if w != nil {
			if _, err := w.Canonical(); err != nil {
				t.Fatal(err)
			}
			return
		}
		c, err := d.Canonical()
		if err != nil {
			t.Fatal(err)
		}
		e := Envelope{Kind: KindBundle, Document: c}
		if _, err := e.bundle(); err != nil {
			t.Fatalf("canonical form rejected: %v", err)
		}
		if _, err := d.Parts(); err != nil {
			t.Fatalf("Parts failed for a valid bundle: %v", err)
		}
	})
}

// Guards against panics on malformed envelopes, key files and verifiers.
func FuzzEnvelope(f *testing.F) {
	ops, k := operators(f)
	f.Add(seal(f, exampleDoc(f), k[0], k[1]))
	f.Add([]byte(`{"kind":"withdrawal","document":"e30=","signatures":[]}`))
	f.Fuzz(func(t *testing.T, in []byte) {
		_, _, _, _ = Inspect(in)
		if d, err := Open(in, ops); err == nil && d.Version == 0 {
			t.Fatal("Open accepted a bundle without a version")
		}
		if _, err := OpenWithdrawal(in, ops); err != nil && errors.Is(err, ErrOlderVersion) {
			t.Fatal("OpenWithdrawal returned ErrOlderVersion, but withdrawals have no version")
		}
		_, _ = DecodePrivateKey(in)
		_, _ = ParseVerifier(string(in))
	})
}

// Guards against a process that ends over a document or envelope with very deep nesting, a too large number or a port out of range.
func TestOddEndpointInDocumentIsRefused(t *testing.T) {
	good := exampleYAML(t)
	nested := strings.Repeat("[", 1<<12) + strings.Repeat("]", 1<<12)
	for name, c := range map[string]struct{ old, new string }{
		"port 70000": {"127.0.0.1:6001", "127.0.0.1:70000"}, "port 0": {"127.0.0.1:6001", "127.0.0.1:0"}, "negative port": {"127.0.0.1:6001", "127.0.0.1:-1"},
		"slots 10^18": {"slots: 3,", "slots: 1000000000000000000,"}, "slots 1e999": {"slots: 3,", "slots: 1e999,"}, "slots -1": {"slots: 3,", "slots: -1,"},
		"slots 10^40":        {"slots: 3,", "slots: 1" + strings.Repeat("0", 40) + ","},
		"id with line break": {"{id: g1-a,", `{id: "g1-a\r\nx",`}, "id twice": {"{id: g1-a,", "{id: g1-a, id: g1-z,"},
		"nested slots": {"slots: 3,", "slots: " + nested + ","}, "nested id": {"{id: g1-a,", "{id: " + nested + ","},
	} {
		in := strings.Replace(good, c.old, c.new, 1)
		assert.Assert(t, in != good, name)
		_, _, err := Decode("bundle.yaml", []byte(in))
		assert.Assert(t, err != nil, name)
		assert.Assert(t, len(err.Error()) < 2000, "%s: error of %d bytes", name, len(err.Error()))
	}
	for _, data := range []string{nested, `{"kind":"bundle","document":` + nested + `}`, `{"kind":` + strings.Repeat(`{"a":`, 1<<16)} {
		_, err := DecodeEnvelope([]byte(data))
		assert.Assert(t, err != nil)
		_, err = Open([]byte(data), nil)
		assert.Assert(t, err != nil)
	}
}
