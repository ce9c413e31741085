package config

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillahinge/vanillahinge/bundle"
)

func goodSettings(t *testing.T) (string, string) {
	t.Helper()
	dir := t.TempDir()
	cred := filepath.Join(dir, "endpoint.yaml")
	assert.NilError(t, os.WriteFile(cred, []byte("user: vh\npassword: rye-and-barley\n"), 0o600))
	var pubs []string
	for _, id := range []string{"anna", "bela"} {
		k, err := bundle.NewPrivateKey(id)
		assert.NilError(t, err)
		pubs = append(pubs, k.Public())
	}
	return fmt.Sprintf(`instance: entry-1
data_centre: szeged
platform:
  addr: 127.0.0.1:7000
  timeout: 500ms
trusted_operators:
- {id: anna, public_key: %s}
- {id: bela, public_key: %s}
endpoint_credentials: %s
`, pubs[0], pubs[1], cred), cred
}

func TestDecode(t *testing.T) {
	in, _ := goodSettings(t)
	s, err := Decode("vh.yaml", []byte(in))
	assert.NilError(t, err)
	assert.Equal(t, time.Duration(s.Platform.Timeout), 500*time.Millisecond)
	assert.Equal(t, time.Duration(s.Timeouts.Acknowledge), 2*time.Second)
	assert.Equal(t, s.Advertise.Peers, "127.0.0.1:6433")
	assert.Equal(t, s.Credentials.User, "vh")
	assert.Equal(t, len(s.Operators), 2)
	assert.Assert(t, !strings.Contains(fmt.Sprintf("%+v", s), "rye-and-barley"))
}

// Guards against an instance that starts with a bad setting, and against
// messages that do not say where it is and what to do.
func TestDecodeRefuses(t *testing.T) {
	good, cred := goodSettings(t)
	for _, c := range []struct{ name, old, new, want string }{
		{"unknown field", "data_centre: szeged", "data_centre: szeged\nzone: x", "vh.yaml:3:1: "},
		{"no instance", "instance: entry-1\n", "", "instance: missing or bad instance id"},
		{"unit missing", "timeout: 500ms", "timeout: 500", `vh.yaml:5:12: platform.timeout: not a duration with a unit: "500"`},
		{"out of range", "timeout: 500ms", "timeout: 5h", `platform.timeout: duration is out of range: "5h" (give a duration from 10ms to 10s)`},
		{"host name", "addr: 127.0.0.1:7000", "addr: store:7000", `vh.yaml:4:9: platform.addr: missing or bad address: "store:7000"`},
		{"one operator", "id: bela", "id: anna", "trusted_operators[1].id: key id occurs twice"},
		{"missing file", cred, cred + ".gone", "no such file or directory"},
		{"level", "instance: entry-1", "instance: entry-1\nlog: {level: loud}", `vh.yaml:2:14: log.level: unknown level: "loud"`},
		{"certificate", "instance: entry-1", "instance: entry-1\ntls:\n  peers: {certificate: /none/a.pem, key: /none/b.pem}", "tls.peers.certificate: "},
		{"half a certificate", "instance: entry-1", "instance: entry-1\ntls:\n  callers: {certificate: /none/a.pem}", "certificate or key is missing"},
		{"listen everywhere", "instance: entry-1", "instance: entry-1\nlisten: {peers: 0.0.0.0:6433}", "advertise.peers: address cannot be reached"},
	} {
		t.Run(c.name, func(t *testing.T) {
			in := strings.Replace(good, c.old, c.new, 1)
			assert.Assert(t, in != good)
			_, err := Decode("vh.yaml", []byte(in))
			assert.ErrorContains(t, err, c.want)
		})
	}
	assert.NilError(t, os.WriteFile(cred, []byte("user: vh\npasswort: rye-and-barley\n"), 0o600))
	_, err := Decode("vh.yaml", []byte(good))
	assert.ErrorContains(t, err, "malformed credentials")
	assert.Assert(t, !strings.Contains(err.Error(), "rye-and-barley"))
	_, err = Load("/none/vh.yaml")
	assert.ErrorContains(t, err, "give its path with --config")
}

// Guards against printed defaults that the daemon itself refuses.
func TestPrintedDefaultsDecode(t *testing.T) {
	out, err := MarshalDefaults()
	assert.NilError(t, err)
	_, err = Decode("defaults.yaml", out)
	assert.ErrorContains(t, err, "missing or bad instance id")
	assert.Assert(t, !strings.Contains(err.Error(), "unknown field"), "%v", err)
	assert.Assert(t, !strings.Contains(err.Error(), "duration"), "%v", err)
	assert.Assert(t, strings.Contains(string(out), "acknowledge: 2s"), "%s", out)
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte("instance: a\nplatform: {addr: 127.0.0.1:1}\n"))
	f.Fuzz(func(t *testing.T, in []byte) { _, _ = Decode("f.yaml", in) })
}
