package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillahinge/vanillahinge/daemon"
	"github.com/vanillahinge/vanillahinge/daemon/config"
	"github.com/vanillahinge/vanillahinge/daemon/logging"
	"github.com/vanillahinge/vanillahinge/standin/table"
)

// runTool runs the tool and returns its exit code, standard output and standard
// error.
func runTool(t *testing.T, in string, args ...string) (int, string, string) {
	t.Helper()
	var out, errw bytes.Buffer
	code := run(args, strings.NewReader(in), &out, &errw)
	return code, out.String(), errw.String()
}

// mustRun runs a command that must succeed and returns its standard output.
func mustRun(t *testing.T, in string, args ...string) string {
	t.Helper()
	code, out, errw := runTool(t, in, args...)
	assert.Equal(t, code, exitOK, "%v: %s%s", args, out, errw)
	return out
}

// workspace is a directory with the keys of two operators.
type workspace struct {
	dir      string
	operator string // trusted_operators in YAML
}

func (w workspace) path(name string) string { return filepath.Join(w.dir, name) }

func (w workspace) write(t *testing.T, name, content string) string {
	t.Helper()
	assert.NilError(t, os.WriteFile(w.path(name), []byte(content), 0o600))
	return w.path(name)
}

func newWorkspace(t *testing.T) workspace {
	t.Helper()
	w := workspace{dir: t.TempDir()}
	for _, id := range []string{"anna", "bela"} {
		var k struct {
			PublicKey string `json:"public_key"`
		}
		assert.NilError(t, json.Unmarshal([]byte(mustRun(t, "", "bundle", "keygen", "--id", id, "--out", w.path(id+".key"), "--output", "json")), &k))
		w.operator += fmt.Sprintf("- {id: %s, public_key: %s}\n", id, k.PublicKey)
	}
	return w
}

func (w workspace) bundle(t *testing.T, version int) string {
	t.Helper()
	verifier := strings.TrimSpace(mustRun(t, "rye\n", "bundle", "verifier"))
	token := strings.TrimSpace(mustRun(t, "", "bundle", "keygen", "--token"))
	return w.write(t, fmt.Sprintf("b%d.yaml", version), fmt.Sprintf(`kind: bundle
version: %d
fleet_slots: 1
accounts:
- {id: booking, weight: 1, rate: 100, burst: 10, keys: [{id: k1, verifier: "%s"}], databases: [jobs]}
databases:
- {name: jobs, group: g1}
groups:
- id: g1
  endpoints:
  - {id: a, data_centre: dc1, addr: "127.0.0.1:1", slots: 3, connections: 20}
  - {id: b, data_centre: dc1, addr: "127.0.0.1:2", slots: 3, connections: 20}
  - {id: c, data_centre: dc1, addr: "127.0.0.1:3", slots: 3, connections: 20}
token_keys: [{id: t1, secret: "%s"}]
`, version, verifier, token))
}

// Guards against commands that accept an unsigned, incompletely signed or invalid
// document, and against undocumented exit codes.
func TestSigningRejectsInvalidDocuments(t *testing.T) {
	w := newWorkspace(t)
	doc, env := w.bundle(t, 1), w.path("b1.json")
	mustRun(t, "", "bundle", "validate", doc)
	mustRun(t, "", "bundle", "sign", doc, "--key", w.path("anna.key"), "--out", env)
	code, _, errw := runTool(t, "", "bundle", "sign-off", env, "--key", w.path("anna.key"))
	assert.Equal(t, code, exitRefused)
	assert.Assert(t, strings.Contains(errw, "second operator"), errw)
	mustRun(t, "", "bundle", "sign-off", env, "--key", w.path("bela.key"))

	settings := w.write(t, "vh.yaml", "instance: e1\ndata_centre: dc1\nplatform: {addr: 127.0.0.1:9}\nendpoint_credentials: "+
		w.write(t, "cred.yaml", "user: vh\npassword: oats\n")+"\ntrusted_operators:\n"+w.operator)
	mustRun(t, "", "config", "check", settings)
	assert.Assert(t, strings.Contains(mustRun(t, "", "bundle", "validate", env, "--settings", settings), "two trusted operators"))

	bad := w.write(t, "bad.yaml", "kind: bundle\nversion: 1\nshards: 3\n")
	code, out, _ := runTool(t, "", "bundle", "validate", bad, "--output", "json")
	assert.Equal(t, code, exitRefused)
	assert.Assert(t, strings.Contains(out, "bad.yaml:3:1"), out)
	code, _, _ = runTool(t, "", "bundle", "publish", doc, "--instance", "127.0.0.1:9")
	assert.Equal(t, code, exitRefused)
	code, _, _ = runTool(t, "", "bundle", "publish", env)
	assert.Equal(t, code, exitUsage)
	code, _, _ = runTool(t, "", "bundle", "publish", env, "--instance", "127.0.0.1:1")
	assert.Equal(t, code, exitNoAnswer)
	code, _, _ = runTool(t, "", "bundle", "keygen", "--id", "anna", "--out", w.path("anna.key"))
	assert.Equal(t, code, exitFailed, "an operator's key must not be overwritten")
}

// Guards against secrets in the output of a diff, and against a diff that does
// not report that the change would be refused.
func TestDiffHidesSecretsAndReportsRefusal(t *testing.T) {
	w := newWorkspace(t)
	a, b := w.bundle(t, 1), w.bundle(t, 2)
	out := mustRun(t, "", "bundle", "diff", a, b)
	assert.Assert(t, strings.Contains(out, "~ version: 1 -> 2") && strings.Contains(out, "[another secret]"), out)
	assert.Assert(t, !strings.Contains(out, "SCRAM"), out)
	out = mustRun(t, "", "bundle", "diff", b, a)
	assert.Assert(t, strings.Contains(out, "would be refused"), out)
}

func freeAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// Guards against an operators' tool that does not match the instance: publishes,
// follows, compares, withdraws and explains against a running instance.
func TestCommandsAgainstRunningInstance(t *testing.T) {
	w := newWorkspace(t)
	store, err := table.Start(table.Config{Listen: "127.0.0.1:0", FaultListen: "127.0.0.1:0"})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = store.Close() })
	opsAddr := freeAddr(t)
	settings := w.write(t, "vh.yaml", fmt.Sprintf("instance: e1\ndata_centre: dc1\nlisten: {callers: %q, peers: %q, operators: %q}\nplatform: {addr: %q}\nendpoint_credentials: %s\ntrusted_operators:\n%s",
		freeAddr(t), freeAddr(t), opsAddr, store.Addr(), w.write(t, "cred.yaml", "user: vh\npassword: oats\n"), w.operator))
	s, err := config.Load(settings)
	assert.NilError(t, err)
	d, err := daemon.New(s, logging.New(os.Stderr, "error"), "test")
	assert.NilError(t, err)
	ended := make(chan error, 1)
	go func() { ended <- d.Run() }()

	env := func(name, doc string) string {
		mustRun(t, "", "bundle", "sign", doc, "--key", w.path("anna.key"), "--out", w.path(name))
		mustRun(t, "", "bundle", "sign-off", w.path(name), "--key", w.path("bela.key"))
		return w.path(name)
	}
	b1, b2 := env("b1.json", w.bundle(t, 1)), env("b2.json", w.bundle(t, 2))
	// The instance registers itself within its first seconds.
	for range 50 {
		if code, _, _ := runTool(t, "", "bundle", "status", "--instance", opsAddr); code == exitOK {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	assert.Assert(t, strings.Contains(mustRun(t, "", "bundle", "publish", b1, "--instance", opsAddr), "is accepted"))
	assert.Assert(t, strings.Contains(mustRun(t, "", "bundle", "rollout", "--instance", opsAddr, "--timeout", "5s"), "all 1 instances"))
	out := mustRun(t, "", "bundle", "diff", w.path("b2.yaml"), "--instance", opsAddr)
	assert.Equal(t, strings.TrimSpace(out), "~ version: 1 -> 2")
	mustRun(t, "", "bundle", "publish", b2, "--instance", "127.0.0.1:1,"+opsAddr)
	code, _, _ := runTool(t, "", "bundle", "publish", b1, "--instance", opsAddr)
	assert.Equal(t, code, exitConflict)

	wd := env("w.json", w.write(t, "w.yaml", "kind: withdrawal\nkeys: [k1]\nreason: test\n"))
	assert.Assert(t, strings.Contains(mustRun(t, "", "bundle", "withdraw", wd, "--instance", opsAddr), "is accepted"))
	out = mustRun(t, "", "explain", "--instance", opsAddr, "--kind", "withdrawal")
	assert.Assert(t, strings.Contains(out, "key k1 is withdrawn"), out)
	assert.Assert(t, strings.Contains(mustRun(t, "", "bundle", "status", "--instance", opsAddr, "--output", "json"), `"bundle_version": 2`))
	assert.Assert(t, strings.Contains(mustRun(t, "", "report", "burn", "--instance", opsAddr), "no objectives"))

	assert.NilError(t, d.Stop())
	select {
	case err := <-ended:
		assert.NilError(t, err)
	case <-time.After(30 * time.Second):
		t.Fatal("instance did not stop")
	}
}
