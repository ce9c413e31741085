package app

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillahinge/vanillahinge/core/catalog"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/platform"
)

// settingsEnv names the settings file of an instance that runs in a process of its own.
const settingsEnv = "VH_TEST_EDGE_SETTINGS"

// TestInstanceProcess is the process of an instance that another test kills.
func TestInstanceProcess(t *testing.T) {
	path := os.Getenv(settingsEnv)
	if path == "" {
		t.Skip("run by other tests in a process of its own")
	}
	out := io.Writer(io.Discard)
	if os.Getenv("VH_TEST_LOG") != "" {
		out = os.Stderr
	}
	assert.NilError(t, Run(path, out))
}

// process is an instance in a process of its own.
type process struct {
	*app
	kill func()
}

// startProcess starts an instance in a process of its own, which is killed with the test.
func (f *testFleet) startProcess(name string, firstStart bool) process {
	t := f.t
	port := freePorts(t, 5)
	raw, err := json.Marshal(map[string]any{
		"node_name": name, "ip": "127.0.0.1", "zone": "z1", "bootstrap": firstStart,
		"listen":         map[string]any{"front": fmt.Sprintf("127.0.0.1:%d", port+3), "ready": fmt.Sprintf("127.0.0.1:%d", port+4)},
		"internal_ports": []int{port, port + 2},
		"bounds":         map[string]any{"grace_s": 2, "config_apply_ms": 3000, "quota_window_s": 5, "quota_overshoot": 0.1, "quota_slack": 20},
		"platform":       map[string]any{"addr": f.storeAddr}, "cloud": map[string]any{"addr": f.promoterAddr},
	})
	assert.NilError(t, err)
	path := filepath.Join(t.TempDir(), "settings.json")
	assert.NilError(t, os.WriteFile(path, raw, 0o600))
	s, err := platform.LoadSettings(path)
	assert.NilError(t, err)
	cmd := exec.Command(os.Args[0], "-test.run=^TestInstanceProcess$")
	cmd.Env = append(os.Environ(), settingsEnv+"="+path)
	if os.Getenv("VH_TEST_LOG") != "" {
		cmd.Stderr = os.Stderr
	}
	assert.NilError(t, cmd.Start())
	killed := false
	kill := func() {
		if !killed {
			killed = true
			_ = cmd.Process.Kill()
			_ = cmd.Wait()
		}
	}
	t.Cleanup(kill)
	return process{&app{settings: s}, kill}
}

// record returns the record of the group's primary.
func (f *testFleet) record() (l catalog.Leadership) {
	rows, _, err := platform.NewStore(f.storeAddr).ReadTable(context.Background(), platform.FleetTable)
	assert.NilError(f.t, err)
	for _, r := range rows {
		if r.Key == "leader/bookings" {
			assert.NilError(f.t, json.Unmarshal(r.Value, &l))
		}
	}
	return l
}

// serves reports whether a new session at an instance can write.
func (f *testFleet) serves(p process) bool {
	conn, err := platform.Dial(p.settings.CallerAddr, 100*time.Millisecond)
	if err != nil {
		return false
	}
	_ = conn.Close()
	c, hello := dial(f.t, p.app, "latest", "key-acme")
	defer c.conn.Close()
	return hello == "READY I -" && succeeded(c.query("PUT roof here"))
}

// awaitUsers waits until there are n users of the primary, none of which is about to be
// removed, and each instance serves.
func (f *testFleet) awaitUsers(n int, running map[fleet.InstanceID]process) catalog.Leadership {
	f.waitUntil(20*time.Second, func() bool {
		l := f.record()
		if !l.Settled || len(l.Users) != n || len(l.Removed) > 0 {
			return false
		}
		for _, p := range running {
			if !f.serves(p) {
				return false
			}
		}
		return true
	})
	time.Sleep(time.Second) // the users have told each other
	return f.record()
}

// recoveryTime is the users' bound after the last loss.
const recoveryTime = 12 * time.Second

// Guards against a group that nobody may use once most users of its primary are gone for good:
// two of the three, with a third one and an instance that is no user left.
func TestMostUsersLostAtOnce(t *testing.T) {
	f := newTestFleet(t)
	f.config["services"] = []any{map[string]any{"name": "bookings", "max_conns": 8, "sync_replicas": 0}}
	f.publish()
	running := map[fleet.InstanceID]process{}
	for i := range 4 {
		id := fmt.Sprint("edge-", i+1)
		running[fleet.InstanceID(id)] = f.startProcess(id, true)
	}
	users := f.awaitUsers(3, running).Users
	for _, id := range users[:2] {
		running[id].kill()
		delete(running, id)
	}
	lost := time.Now()
	for id, p := range running {
		f.waitUntil(recoveryTime-time.Since(lost), func() bool { return f.serves(p) })
		t.Logf("%s serves %v after the loss, user: %v", id, time.Since(lost), id == users[2])
	}
	f.waitUntil(recoveryTime-time.Since(lost), func() bool {
		l := f.record()
		return len(l.Users) == 2 && len(l.Removed) == 0
	})
	t.Logf("two users %v after the loss", time.Since(lost))
}

// Guards against a fleet that serves nothing once its machines have been replaced two at a
// time (review/1): users of the primary and members that are gone for good count in majorities.
func TestMachinesReplacedTwoAtATime(t *testing.T) {
	if testing.Short() {
		t.Skip("takes 40 s")
	}
	f := newTestFleet(t)
	f.config["services"] = []any{map[string]any{"name": "bookings", "max_conns": 8, "sync_replicas": 0}}
	f.publish()
	running := map[fleet.InstanceID]process{}
	for i := range 4 {
		id := fmt.Sprint("edge-", i+1)
		running[fleet.InstanceID(id)] = f.startProcess(id, true)
	}
	users := f.awaitUsers(3, running).Users
	first := users[:2]
	var second []fleet.InstanceID
	for id := range running {
		if id != first[0] && id != first[1] {
			second = append(second, id)
		}
	}
	for k, gone := range [][]fleet.InstanceID{first, second} {
		for _, id := range gone {
			running[id].kill()
			delete(running, id)
		}
		lost := time.Now()
		time.Sleep(2 * time.Second)
		for i := range 2 {
			id := fmt.Sprint("new-", 2*k+i)
			running[fleet.InstanceID(id)] = f.startProcess(id, false)
		}
		f.waitUntil(recoveryTime-time.Since(lost), func() bool {
			l := f.record()
			for _, u := range l.Users {
				if _, ok := running[u]; !ok {
					return false
				}
			}
			return len(l.Users) == 3 && len(l.Removed) == 0
		})
		t.Logf("round %d: three users %v after the loss", k, time.Since(lost))
		for id, p := range running {
			f.waitUntil(recoveryTime-time.Since(lost), func() bool { return f.serves(p) })
			t.Logf("round %d: %s serves %v after the loss", k, id, time.Since(lost))
		}
		time.Sleep(recoveryTime - time.Since(lost))
		for id, p := range running {
			assert.Assert(t, f.servesRate(p), "round %d: %s serves less than the rate %v after the loss", k, id, recoveryTime)
			time.Sleep(time.Second) // the account earns what was used
		}
		time.Sleep(19*time.Second - time.Since(lost))
	}
}

// servesRate reports whether an instance admits more of an account of 20 statements a second
// than the share of one of many instances.
func (f *testFleet) servesRate(p process) bool {
	if !f.serves(p) {
		return false
	}
	c, _ := dial(f.t, p.app, "latest", "key-small")
	defer c.conn.Close()
	for i := range 5 {
		if answer := c.query("FETCH roof"); !succeeded(answer) {
			f.t.Logf("statement %d: %s", i, answer)
			return false
		}
	}
	return true
}

// loseAllButOne starts four instances, kills all but one that is a user of the primary, and
// returns that one and the time of the loss.
func (f *testFleet) loseAllButOne() (process, time.Time) {
	f.config["services"] = []any{map[string]any{"name": "bookings", "max_conns": 8, "sync_replicas": 0}}
	f.publish()
	running := map[fleet.InstanceID]process{}
	for i := range 4 {
		id := fmt.Sprint("edge-", i+1)
		running[fleet.InstanceID(id)] = f.startProcess(id, true)
	}
	last := f.awaitUsers(3, running).Users[2]
	for id, p := range running {
		if id != last {
			p.kill()
		}
	}
	return running[last], time.Now()
}

// Guards against a last instance that is no majority of the users and can't change the primary.
func TestAllInstancesButOneLost(t *testing.T) {
	f := newTestFleet(t)
	last, lost := f.loseAllButOne()
	f.waitUntil(recoveryTime, func() bool { l := f.record(); return len(l.Users) == 1 && len(l.Removed) == 0 })
	t.Logf("one user %v after the loss", time.Since(lost))
	f.endpoints[0].Crash()
	f.waitUntil(recoveryTime-time.Since(lost), func() bool { return f.serves(last) })
	t.Logf("serves after a change of primary %v after the loss", time.Since(lost))
}

// Guards against a last instance that admits only its part of the rates: it is no majority of
// the members, so nobody announces the others as absent.
func TestLastInstanceHasWholeRate(t *testing.T) {
	f := newTestFleet(t)
	last, lost := f.loseAllButOne()
	time.Sleep(recoveryTime - time.Since(lost))
	assert.Assert(t, f.servesRate(last))
}

// loseMostUsers starts three instances, lets the primary crash, and kills two of its users at
// the same time, so that a change of primary is claimed and never confirmed by a majority. It
// returns the user that is left.
func (f *testFleet) loseMostUsers() process {
	f.config["services"] = []any{map[string]any{"name": "bookings", "max_conns": 8, "sync_replicas": 0}}
	f.publish()
	running := map[fleet.InstanceID]process{}
	for i := range 3 {
		id := fmt.Sprint("edge-", i+1)
		running[fleet.InstanceID(id)] = f.startProcess(id, true)
	}
	users := f.awaitUsers(3, running).Users
	f.endpoints[0].Crash()
	for _, id := range users[1:] {
		running[id].kill()
	}
	go f.serves(running[users[0]]) // the instance notices the crash by a statement
	f.waitUntil(5*time.Second, func() bool { return !f.record().Settled })
	return running[users[0]]
}

// Guards against a change of primary that ends never (review/9): it was claimed, most users of the
// primary are lost for good, and their successors cannot become users. The primary comes back, and
// then all processes are killed.
func TestChangeWithoutMajorityIsWithdrawn(t *testing.T) {
	f := newTestFleet(t)
	last := f.loseMostUsers()
	time.Sleep(2 * time.Second)
	assert.NilError(t, f.endpoints[0].Restart())
	back := time.Now()
	f.waitUntil(recoveryTime, func() bool { return f.serves(last) })
	t.Logf("serves %v after the primary is back", time.Since(back))
	assert.Assert(t, f.endpoints[0].IsPrimary())
	last.kill()
	started := time.Now()
	for _, p := range []process{f.startProcess(string(last.settings.Instance), false), f.startProcess("new-1", false), f.startProcess("new-2", false)} {
		f.waitUntil(recoveryTime-time.Since(started), func() bool { return f.serves(p) })
		t.Logf("%s serves %v after the start", p.settings.Instance, time.Since(started))
	}
}

// Guards against the same when the primary does not come back: a replica is promoted once no lost
// user can have permission any more.
func TestChangeWithoutMajorityTakesEffect(t *testing.T) {
	f := newTestFleet(t)
	last := f.loseMostUsers()
	lost := time.Now()
	f.waitUntil(recoveryTime, func() bool { return f.serves(last) })
	t.Logf("serves %v after the loss", time.Since(lost))
}

// Guards against a primary that nobody may use for 33 s because all its users are lost for good.
func TestAllUsersLost(t *testing.T) {
	f := newTestFleet(t)
	f.config["services"] = []any{map[string]any{"name": "bookings", "max_conns": 8, "sync_replicas": 0}}
	f.publish()
	running := map[fleet.InstanceID]process{}
	for i := range 4 {
		id := fmt.Sprint("edge-", i+1)
		running[fleet.InstanceID(id)] = f.startProcess(id, true)
	}
	users := f.awaitUsers(3, running).Users
	for _, id := range users {
		running[id].kill()
		delete(running, id)
	}
	lost := time.Now()
	running["new-1"] = f.startProcess("new-1", false)
	for id, p := range running {
		f.waitUntil(recoveryTime-time.Since(lost), func() bool { return f.serves(p) })
		t.Logf("%s serves %v after the loss", id, time.Since(lost))
	}
	assert.Assert(t, f.record().Unacknowledged, "the lost users may still prove to each other that they know of no change")
}
