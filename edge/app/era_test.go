package app

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillahinge/vanillahinge/core/catalog"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/kvstore"
	"github.com/vanillahinge/vanillahinge/core/relay"
	"github.com/vanillahinge/vanillahinge/platform"
	"github.com/vanillahinge/vanillahinge/platform/standin"
)

// restore makes the store go away for a moment and come back from a copy.
func (f *testFleet) restore(c standin.Copy) {
	f.store.Refuse(503)
	time.Sleep(300 * time.Millisecond)
	f.store.Restore(c)
	f.store.Refuse(0)
}

// rewrite writes again what the operator and the endpoints have written.
func (f *testFleet) rewrite() {
	f.store.Put("op", "config", f.config)
	for _, e := range f.endpoints {
		if !e.Down() {
			e.Register()
		}
	}
}

// inForce reports whether all instances use the configuration of a version.
func (f *testFleet) inForce(version int) bool {
	for _, a := range f.apps {
		if c := a.control.View().Catalog; c == nil || c.Version != uint64(version) {
			return false
		}
	}
	return true
}

// primary returns the record of the primary on which an instance acts.
func primary(a *app) catalog.Leadership { return a.control.View().Leaders["bookings"] }

// changePrimary crashes the primary and waits until all instances use its successor.
func (f *testFleet) changePrimary() fleet.EndpointID {
	f.t.Helper()
	f.endpoint(primary(f.apps[0]).Primary).Crash()
	d, _ := dial(f.t, f.apps[0], "latest", "key-acme")
	f.waitUntil(8*time.Second, func() bool {
		if !succeeded(d.query("PUT roof changed")) {
			return false
		}
		for _, a := range f.apps {
			if l := primary(a); !l.Settled || l.Primary != primary(f.apps[0]).Primary || !f.endpoint(l.Primary).IsPrimary() || f.endpoint(l.Primary).Down() {
				return false
			}
		}
		return true
	})
	return primary(f.apps[0]).Primary
}

func (f *testFleet) endpoint(id fleet.EndpointID) *standin.Endpoint {
	for _, e := range f.endpoints {
		if e.ID == string(id) {
			return e
		}
	}
	f.t.Fatalf("unknown endpoint %q", id)
	return nil
}

// firstInOrder returns a name for an instance that precedes others in the order of
// package relay, and so reads the store.
func firstInOrder(others ...fleet.InstanceID) string {
	for i := 0; ; i++ {
		id := fleet.InstanceID(fmt.Sprint("edge-new-", i))
		members := []relay.Member{{ID: id}}
		for _, o := range others {
			members = append(members, relay.Member{ID: o})
		}
		if relay.Order(members)[0].ID == id {
			return string(id)
		}
	}
}

// Guards against a configuration that is not in force because its store version is below
// one from before the restore.
func TestConfigurationAfterRestoreIsInForce(t *testing.T) {
	f := newTestFleet(t)
	f.startInstance("edge-1", true)
	f.startInstance("edge-2", true)
	c := f.store.Copy()
	for range 20 {
		f.publish()
	}
	f.waitUntil(3*time.Second, func() bool { return f.inForce(f.version) })
	f.store.Refuse(503)
	time.Sleep(300 * time.Millisecond)
	f.store.Restore(c)
	f.rewrite()
	f.publish()
	for range 20 { // the versions go beyond those of before
		f.store.Put("op", "other", 1)
	}
	f.store.Refuse(0)
	f.waitUntil(3*time.Second, func() bool { return f.inForce(f.version) })
}

// Guards against a change of primary with a lower fencing token than one used before the
// restore.
func TestFencingTokenRisesAcrossRestore(t *testing.T) {
	f := newTestFleet(t)
	a, _ := f.startInstance("edge-1", true)
	f.startInstance("edge-2", true)
	c := f.store.Copy()
	for range 50 {
		f.publish()
	}
	f.changePrimary()
	f.restore(c)
	f.rewrite()
	d, _ := dial(t, a, "latest", "key-acme")
	f.waitUntil(5*time.Second, func() bool { return succeeded(d.query("PUT roof first")) })
	f.changePrimary()
	assert.Equal(t, len(f.group.Violations()), 0, "%v", f.group.Violations())
	f.waitUntil(5*time.Second, func() bool { return succeeded(d.query("PUT roof second")) })
}

// Guards against a withdrawn key that comes back into force through the copy, at an
// instance that starts after the restore.
func TestWithdrawnKeyStaysWithdrawnAfterRestore(t *testing.T) {
	f := newTestFleet(t)
	a, _ := f.startInstance("edge-1", true)
	f.startInstance("edge-2", true)
	c := f.store.Copy()
	f.config["tenants"] = f.config["tenants"].([]any)[1:]
	f.publish()
	f.waitUntil(3*time.Second, func() bool { return f.inForce(2) })
	f.restore(c)
	b, _ := f.startInstance(firstInOrder("edge-1", "edge-2"), true)
	f.waitUntil(3*time.Second, func() bool { return f.inForce(2) })
	for _, in := range []*app{a, b} {
		_, hello := dial(t, in, "latest", "key-acme")
		assert.Assert(t, strings.HasPrefix(hello, "ERR NOAUTH"), hello)
	}
}

// Guards against an instance that follows the copy's older record back to the former
// primary.
func TestPrimaryStaysAfterRestore(t *testing.T) {
	f := newTestFleet(t)
	a, _ := f.startInstance("edge-1", true)
	f.startInstance("edge-2", true)
	c := f.store.Copy()
	now := f.changePrimary()
	f.restore(c)
	f.rewrite()
	b, _ := f.startInstance(firstInOrder("edge-1", "edge-2"), true)
	for range 40 {
		assert.Equal(t, primary(a).Primary, now)
		time.Sleep(50 * time.Millisecond)
	}
	f.waitUntil(5*time.Second, func() bool { return primary(b).Primary == now })
	for _, in := range []*app{a, b} {
		d, _ := dial(t, in, "latest", "key-acme")
		assert.Assert(t, succeeded(d.query("PUT roof kept")))
	}
}

// Guards against an endpoint that comes back into use through the copy although it had
// announced its end.
func TestDrainingEndpointStaysOutAfterRestore(t *testing.T) {
	f := newTestFleet(t)
	a, _ := f.startInstance("edge-1", true)
	f.startInstance("edge-2", true)
	leaving := func() bool {
		for _, e := range a.control.View().Endpoints["bookings"] {
			if e.ID == "bookings-2" {
				return e.Leaving
			}
		}
		return true
	}
	c := f.store.Copy()
	f.endpoints[2].Drain()
	f.waitUntil(2*time.Second, leaving)
	f.restore(c)
	for range 40 {
		assert.Assert(t, leaving())
		time.Sleep(50 * time.Millisecond)
	}
}

// Guards against writes that fail, or run at two primaries, while the store is restored
// twice with a change of primary in between.
func TestWritesGoOnThroughTwoRestores(t *testing.T) {
	f := newTestFleet(t)
	a, _ := f.startInstance("edge-1", true)
	f.startInstance("edge-2", true)
	f.startInstance("edge-3", true)
	d, _ := dial(t, a, "latest", "key-acme")
	for round := range 2 {
		c := f.store.Copy()
		f.publish()
		if round == 0 {
			f.changePrimary()
		}
		f.restore(c)
		f.rewrite()
		for i := range 30 {
			value := fmt.Sprintf("%d-%d", round, i)
			f.waitUntil(2*time.Second, func() bool { return succeeded(d.query("PUT roof " + value)) })
			time.Sleep(20 * time.Millisecond)
		}
	}
	assert.Equal(t, len(f.group.Violations()), 0, "%v", f.group.Violations())
}

// Guards against an endpoint that comes back into use through the copy although it had
// left the list, and against one that stays out although it has registered again.
func TestGoneEndpointStaysOutAfterRestore(t *testing.T) {
	f := newTestFleet(t)
	a, _ := f.startInstance("edge-1", true)
	f.startInstance("edge-2", true)
	listed := func() bool {
		for _, e := range a.control.View().Endpoints["bookings"] {
			if e.ID == "bookings-2" {
				return true
			}
		}
		return false
	}
	c := f.store.Copy()
	f.store.Delete("servers", "bookings-2")
	f.waitUntil(4*time.Second, func() bool { return !listed() })
	f.restore(c)
	for range 40 {
		assert.Assert(t, !listed())
		time.Sleep(50 * time.Millisecond)
	}
	f.endpoints[2].Register()
	f.waitUntil(2*time.Second, listed)
}

// Guards against a write of an earlier era that the store applies late, to a row whose
// version has been given out again: the fleet's writes record the era.
func TestLateWriteAfterRestoreIsRejected(t *testing.T) {
	f := newTestFleet(t)
	f.startInstance("edge-1", true)
	c := f.store.Copy()
	f.restore(c)
	store := platform.NewStore(f.storeAddr)
	late := kvstore.Transaction{Require: []kvstore.Row{{Table: platform.FleetTable, Key: "era/2"}},
		Put: []kvstore.Row{{Table: platform.FleetTable, Key: "leader/bookings", Value: []byte("{}")}}}
	f.waitUntil(3*time.Second, func() bool {
		rows, _, err := store.ReadTable(context.Background(), platform.FleetTable)
		assert.NilError(t, err)
		return slices.ContainsFunc(rows, func(r kvstore.Row) bool { return r.Key == "era/2" })
	})
	_, err := store.Apply(context.Background(), late)
	assert.Assert(t, errors.Is(err, kvstore.ErrConflict), "%v", err)
}

// Guards against a group that stays without a primary, or a lower fencing token, when the
// store is restored in the middle of a change of primary.
func TestRestoreDuringChangeOfPrimary(t *testing.T) {
	f := newTestFleet(t)
	a, _ := f.startInstance("edge-1", true)
	f.startInstance("edge-2", true)
	f.startInstance("edge-3", true)
	f.group.PromoteTime = 400 * time.Millisecond
	c := f.store.Copy()
	d, _ := dial(t, a, "latest", "key-acme")
	assert.Assert(t, succeeded(d.query("PUT roof before")))
	f.endpoints[0].Crash()
	go func() {
		for primary(a).Settled {
			time.Sleep(5 * time.Millisecond)
		}
		f.store.Restore(c)
		f.rewrite()
	}()
	f.waitUntil(15*time.Second, func() bool { return succeeded(d.query("PUT roof after")) && f.inForce(f.version) })
	assert.Equal(t, len(f.group.Violations()), 0, "%v", f.group.Violations())
}
