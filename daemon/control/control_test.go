package control

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/vanillahinge/vanillahinge/bundle"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/membership"
	"github.com/vanillahinge/vanillahinge/core/slot"
	peerv1 "github.com/vanillahinge/vanillahinge/peer/v1"
	"github.com/vanillahinge/vanillahinge/tablestore"
)

// Guards against a published bundle that does not come into force at every
// instance within the bound of guarantee G13, and against a rejected bundle that
// takes effect in part.
func TestPublish(t *testing.T) {
	f := newFixture(t, "i1", "i2", "i3", "i4")
	ctx := context.Background()
	assert.ErrorContains(t, f.controllers["i1"].Ready(), "no bundle is in force")
	f.waitForFresh(5 * time.Second)
	res, err := f.controllers["i1"].Accept(ctx, f.bundle(1, nil))
	assert.NilError(t, err)
	assert.Assert(t, res.Accepted && res.Row)
	t.Logf("in force everywhere after %v", f.waitForVersion(1, 5*time.Second))

	// Repeat the request, as an operator does whose response was lost.
	again := f.store.objects["bundles/1"]
	res, err = f.controllers["i2"].Accept(ctx, []byte(again))
	assert.NilError(t, err)
	assert.Assert(t, res.Accepted)

	for name, c := range map[string]struct {
		envelope []byte
		want     error
	}{
		"older version":      {f.bundle(1, nil), bundle.ErrOlderVersion},
		"database in use":    {f.bundle(2, func(d *bundle.Document) { d.Databases[0].Name, d.Accounts[0].Databases = "other", nil }), bundle.ErrDatabaseInUse},
		"malformed envelope": {[]byte("{"), nil},
		"invalid document":   {f.bundle(2, func(d *bundle.Document) { d.Groups[0].Endpoints[0].Addr = "nowhere" }), nil},
	} {
		_, err := f.controllers["i3"].Accept(ctx, c.envelope)
		assert.Assert(t, err != nil, name)
		if c.want != nil {
			assert.ErrorIs(t, err, c.want, name)
		}
	}
	assert.Equal(t, f.version("i3"), uint64(1))
	assert.Assert(t, hasRecordForRule(f.recorders["i3"], "bundle-refused"))
}

// Guards against two operators who publish concurrently and are both told that
// their bundle is in force.
func TestConcurrentPublish(t *testing.T) {
	f := newFixture(t, "i1", "i2", "i3")
	f.waitForFresh(5 * time.Second)
	_, err := f.controllers["i1"].Accept(context.Background(), f.bundle(1, nil))
	assert.NilError(t, err)
	f.waitForVersion(1, 5*time.Second)
	// The operator at i2 skips a version, so that its object has another key and
	// only the conditional put of the row decides.
	versions := map[string]uint64{"i1": 2, "i2": 3, "i3": 2}
	errs := map[string]error{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	rate := 200.0
	for id, v := range versions {
		rate++
		env := f.bundle(v, func(d *bundle.Document) { d.Accounts[0].Rate = rate })
		wg.Go(func() {
			_, err := f.controllers[id].Accept(context.Background(), env)
			mu.Lock()
			errs[id] = err
			mu.Unlock()
		})
	}
	wg.Wait()
	var winner uint64
	succeeded := 0
	for id, err := range errs {
		if err == nil {
			succeeded++
			winner = max(winner, versions[id])
			continue
		}
		assert.Assert(t, errors.Is(err, ErrConflict) || errors.Is(err, bundle.ErrOlderVersion), "%v", err)
	}
	// Versions 2 and 3 may succeed one after the other, but version 2 must not
	// succeed twice.
	assert.Assert(t, succeeded >= 1 && succeeded <= 2, "%v", errs)
	f.waitForVersion(winner, 5*time.Second)
	var cur currentBundleRow
	assert.NilError(t, json.Unmarshal(f.store.rows[bundleRow].Value, &cur))
	assert.Equal(t, cur.Version, winner)
}

// Guards against a change that is reported as failed, or made twice, although its
// put took effect and only the table's response was lost.
func TestLostTableAnswers(t *testing.T) {
	f := newFixture(t, "i1", "i2", "i3")
	f.waitForFresh(5 * time.Second)
	f.store.mu.Lock()
	f.store.loseAnswers[bundleRow], f.store.loseAnswers[slotsRow], f.store.loseAnswers[withdrawalsRow] = 1, 3, 1
	f.store.mu.Unlock()
	res, err := f.controllers["i1"].Accept(context.Background(), f.bundle(1, nil))
	assert.NilError(t, err)
	assert.Assert(t, res.Accepted && res.Row)
	assert.Equal(t, f.store.rows[bundleRow].Version, uint64(1))
	res, err = f.controllers["i2"].Withdraw(context.Background(), f.withdrawal("a-1"))
	assert.NilError(t, err)
	assert.Assert(t, res.Accepted && res.Row)
	f.eventually("a slot for each instance", 10*time.Second, func() bool {
		n := 0
		for _, c := range f.controllers {
			n += c.Snapshots().Load().OwnSlots
		}
		return n == 3
	})
}

// Guards against an instance that starts without state and serves before it holds
// the bundle in force, and against one that needs the store to obtain it.
func TestStartWithoutStateOrStore(t *testing.T) {
	f := newFixture(t, "i1", "i2", "i3")
	f.waitForFresh(5 * time.Second)
	_, err := f.controllers["i1"].Accept(context.Background(), f.bundle(4, nil))
	assert.NilError(t, err)
	f.waitForVersion(4, 5*time.Second)
	f.stop("i3")
	// i3 has read the list of instances before the outage.
	c := f.start("i3")
	assert.Assert(t, !isFresh(c))
	c.post(func(now time.Duration) { c.applyInstanceList(now, f.store.listed) })
	f.store.setDown(true)
	f.eventually("fresh from peers", 5*time.Second, func() bool { return isFresh(c) })
	assert.Equal(t, f.version("i3"), uint64(4), "fresh without the bundle in force")
}

// Guards against a partial rollout when the store fails. If it fails before the
// put of the row, nothing changes. If it fails after the put, the bundle comes
// into force at every instance without the store.
func TestStoreOutageDuringRollout(t *testing.T) {
	f := newFixture(t, "i1", "i2", "i3")
	f.waitForFresh(5 * time.Second)
	_, err := f.controllers["i1"].Accept(context.Background(), f.bundle(1, nil))
	assert.NilError(t, err)
	f.waitForVersion(1, 5*time.Second)

	f.store.setDown(true)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	_, err = f.controllers["i1"].Accept(ctx, f.bundle(2, nil))
	assert.ErrorIs(t, err, ErrStoreUnavailable)
	assert.Equal(t, f.version("i1"), uint64(1))

	f.store.mu.Lock()
	f.store.down, f.store.downAfter = false, bundleRow
	f.store.mu.Unlock()
	res, err := f.controllers["i2"].Accept(context.Background(), f.bundle(3, nil))
	assert.NilError(t, err)
	assert.Assert(t, res.Accepted)
	f.waitForVersion(3, 5*time.Second)
	f.waitForFresh(time.Second)
}

// Guards against an older bundle version that replaces the one in force, whether
// it comes from the table, an object or a peer.
func TestBundleVersionNeverDecreases(t *testing.T) {
	f := newFixture(t, "i1", "i2", "i3")
	f.waitForFresh(5 * time.Second)
	old := f.bundle(1, nil)
	for _, env := range [][]byte{old, f.bundle(2, nil)} {
		_, err := f.controllers["i1"].Accept(context.Background(), env)
		assert.NilError(t, err)
	}
	f.waitForVersion(2, 5*time.Second)
	f.store.mu.Lock()
	row := f.store.rows[bundleRow]
	value, err := json.Marshal(currentBundleRow{Version: 1, SHA256: bundle.Sum(old), Object: "bundles/1"})
	assert.NilError(t, err)
	f.store.rows[bundleRow] = tablestore.Row{Key: bundleRow, Version: row.Version + 1, Value: value}
	f.store.mu.Unlock()
	res, err := f.controllers["i3"].PeerService().Accept(context.Background(), &peerv1.AcceptRequest{From: "i9", Bundle: old})
	assert.NilError(t, err)
	assert.Equal(t, res.Have.Bundle, uint64(2))
	time.Sleep(2500 * time.Millisecond)
	for id := range f.controllers {
		assert.Equal(t, f.version(id), uint64(2))
	}
}

// Guards against an instance that serves keyed requests while it can reach neither
// the store nor its peers (guarantee G6).
func TestIsolationEndsFreshness(t *testing.T) {
	f := newFixture(t, "i1", "i2", "i3")
	f.waitForFresh(5 * time.Second)
	_, err := f.controllers["i1"].Accept(context.Background(), f.bundle(1, nil))
	assert.NilError(t, err)
	f.waitForVersion(1, 5*time.Second)
	f.net.setIsolated("i3", true)
	d := f.eventually("i3 is stale", 4*time.Second, func() bool { return !isFresh(f.controllers["i3"]) })
	t.Logf("stale %v after the isolation began", d)
	assert.Assert(t, d <= maxProofAge+100*time.Millisecond)
	assert.ErrorContains(t, f.controllers["i3"].Ready(), "not fresh")
	assert.Assert(t, isFresh(f.controllers["i1"]) && isFresh(f.controllers["i2"]))

	res, err := f.controllers["i1"].Withdraw(context.Background(), f.withdrawal("a-1"))
	assert.NilError(t, err)
	assert.Assert(t, res.Accepted)
	// Once reconnected, i3 must not be fresh before it has the withdrawal.
	f.net.setIsolated("i3", false)
	f.eventually("i3 is fresh", 5*time.Second, func() bool { return isFresh(f.controllers["i3"]) })
	assert.Assert(t, f.controllers["i3"].Snapshots().Load().Withdrawn["a-1"])
}

// Guards against a withdrawal that cannot take effect without the store, and
// against one that is not written to the store once it is available again.
func TestWithdrawalWithoutStore(t *testing.T) {
	f := newFixture(t, "i1", "i2", "i3", "i4")
	// A witness counts in majorities only from 1 s after its start.
	f.eventually("all instances count in majorities", 5*time.Second, func() bool {
		for _, c := range f.controllers {
			counts := false
			assert.NilError(t, c.call(context.Background(), func(time.Duration) { counts = c.stateCore.Voting() }))
			if !counts {
				return false
			}
		}
		return true
	})
	f.store.setDown(true)
	start := time.Now()
	res, err := f.controllers["i2"].Withdraw(context.Background(), f.withdrawal("a-1", "b-2"))
	assert.NilError(t, err)
	assert.Assert(t, res.Accepted && !res.Row, "%+v", res)
	f.eventually("withdrawn everywhere", 5*time.Second, func() bool {
		for _, c := range f.controllers {
			if !c.Snapshots().Load().Withdrawn["b-2"] {
				return false
			}
		}
		return true
	})
	t.Logf("withdrawn everywhere %v after the request", time.Since(start))
	f.store.setDown(false)
	f.eventually("row holds the withdrawal", 5*time.Second, func() bool {
		f.store.mu.Lock()
		defer f.store.mu.Unlock()
		return f.store.rows[withdrawalsRow].Version > 0
	})
	_, err = f.controllers["i1"].Withdraw(context.Background(), f.bundle(1, nil))
	assert.ErrorContains(t, err, "holds a bundle")
}

// Guards against slots that no instance uses after a graceful shutdown.
func TestSlotsAreHandedOver(t *testing.T) {
	f := newFixture(t, "i1", "i2", "i3")
	f.waitForFresh(5 * time.Second)
	_, err := f.controllers["i1"].Accept(context.Background(), f.bundle(1, nil))
	assert.NilError(t, err)
	slotsInUse := func() int {
		n := 0
		for _, c := range f.controllers {
			n += c.Snapshots().Load().OwnSlots
		}
		return n
	}
	f.eventually("all slots are used", 10*time.Second, func() bool { return slotsInUse() == 3 })
	f.controllers["i3"].Leave()
	f.controllers["i3"].HandOver()
	f.eventually("handed over", 10*time.Second, func() bool { return f.controllers["i3"].HandedOver(context.Background()) })
	assert.Equal(t, f.controllers["i3"].Snapshots().Load().OwnSlots, 0)
	d := f.eventually("slots are used by the others", 10*time.Second, func() bool { return slotsInUse() == 3 })
	t.Logf("slot in use again %v after the hand-over", d)
	var table slot.Table
	assert.NilError(t, json.Unmarshal(f.store.rows[slotsRow].Value, &table))
	for _, o := range table.Slots {
		assert.Assert(t, o.Instance != "i3")
	}
}

// Guards against a selection of pull partners in a large fleet that leaves some
// instances without partners or makes every instance pull from every other.
func TestPullPartnersOfLargeFleet(t *testing.T) {
	var all []membership.Instance
	for dc := range 9 {
		for i := range 60 {
			all = append(all, membership.Instance{ID: fleet.InstanceID(string(rune('a'+dc)) + "-" + time.Duration(i).String()), DataCentre: fleet.DataCentre(rune('a' + dc)), Addr: "x"})
		}
	}
	ids := make([]fleet.InstanceID, len(all))
	for i := range all {
		ids[i] = all[i].ID
	}
	witnesses := fleet.Rank("witness", ids)[:9]
	relays, most := 0, 0
	for i, m := range all {
		others := append(append([]membership.Instance{}, all[:i]...), all[i+1:]...)
		p := selectPartners(m.ID, m.DataCentre, others, witnesses)
		most = max(most, len(p))
		if len(p) > 2 {
			relays++
		}
		assert.Assert(t, len(p) >= 1)
	}
	assert.Equal(t, relays, 18)
	assert.Assert(t, most <= 17+9)
	assert.Equal(t, len(selectPartners("x", "dc", all[:3], nil)), 3)
}

// Guards against an entry of the withdrawals row that this instance cannot verify
// and that keeps the other entries from taking effect, and against the loss of
// that entry when the row is written again, because others may accept it.
func TestUnverifiableWithdrawalInRow(t *testing.T) {
	f := newFixture(t, "i1", "i2", "i3")
	f.waitForFresh(5 * time.Second)
	unverifiable := []byte(`{"kind":"withdrawal","document":"e30=","signatures":[]}`)
	value, err := json.Marshal(withdrawalRow{Envelopes: [][]byte{unverifiable, f.withdrawal("a-1")}})
	assert.NilError(t, err)
	f.store.mu.Lock()
	f.store.rows[withdrawalsRow] = tablestore.Row{Key: withdrawalsRow, Version: 1, Value: value}
	f.store.mu.Unlock()
	f.eventually("a-1 is withdrawn", 5*time.Second, func() bool { return f.controllers["i1"].Snapshots().Load().Withdrawn["a-1"] })
	res, err := f.controllers["i1"].Withdraw(context.Background(), f.withdrawal("b-1"))
	assert.NilError(t, err)
	assert.Assert(t, res.Row)
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	var row withdrawalRow
	assert.NilError(t, json.Unmarshal(f.store.rows[withdrawalsRow].Value, &row))
	assert.Equal(t, len(row.Envelopes), 3)
	assert.Equal(t, string(row.Envelopes[0]), string(unverifiable))
}

// Guards against a status that arrives after a newer one and moves an endpoint's
// position backwards.
func TestOutdatedStatus(t *testing.T) {
	at := func(fence, term fleet.Term, pos fleet.Position) fleet.EndpointStatus {
		return fleet.EndpointStatus{FenceTerm: fence, Term: term, Received: pos, Applied: pos}
	}
	assert.Assert(t, isOutdated(at(2, 2, 10), at(2, 2, 9)))
	assert.Assert(t, isOutdated(at(2, 2, 10), at(1, 1, 20)))
	assert.Assert(t, !isOutdated(at(2, 2, 10), at(2, 2, 11)))
	assert.Assert(t, !isOutdated(at(2, 1, 12), at(2, 2, 10)), "the log was truncated when it followed the new primary")
	joining := at(2, 2, 0)
	joining.Joining = true
	assert.Assert(t, !isOutdated(at(2, 2, 10), joining))
}

// Guards against a proved age that is based on a former primary, on a divergent
// log or on a status requested before the sample.
func TestProvedAge(t *testing.T) {
	start := time.Now()
	var a ageTracker
	a.addSample(primarySample{sent: start, term: 2, position: fleet.LogPosition{Term: 2, Position: 11}})
	a.addSample(primarySample{sent: start.Add(time.Second), term: 2, position: fleet.LogPosition{Term: 2, Position: 20}})
	later := start.Add(2 * time.Second)
	s := fleet.EndpointStatus{FenceTerm: 2, AppliedTerm: 2, Applied: 15}
	at, ok := a.appliedAsOf(s, later)
	assert.Assert(t, ok && at.Equal(start))
	s.Applied = 20
	at, ok = a.appliedAsOf(s, later)
	assert.Assert(t, ok && at.Equal(start.Add(time.Second)))
	at, ok = a.appliedAsOf(s, start.Add(time.Millisecond))
	assert.Assert(t, ok && at.Equal(start), "requested before the second sample")
	for name, bad := range map[string]fleet.EndpointStatus{
		"fenced with a higher term": {FenceTerm: 3, AppliedTerm: 2, Applied: 30},
		"divergent log":             {FenceTerm: 2, AppliedTerm: 1, Applied: 30},
		"joining":                   {FenceTerm: 2, AppliedTerm: 2, Applied: 30, Joining: true},
	} {
		_, ok := a.appliedAsOf(bad, later)
		assert.Assert(t, !ok, name)
	}
	a.addSample(primarySample{sent: later, term: 3, position: fleet.LogPosition{Term: 3, Position: 31}})
	_, ok = a.appliedAsOf(s, later.Add(time.Second))
	assert.Assert(t, !ok, "samples of the former primary must not count")
}

// Guards against publishing a snapshot for every heartbeat, and against a changed
// endpoint status that is published only with the next update of the ages.
func TestSnapshotOfAges(t *testing.T) {
	f := newFixture(t, "i1")
	f.waitForFresh(5 * time.Second)
	_, err := f.controllers["i1"].Accept(context.Background(), f.bundle(1, nil))
	assert.NilError(t, err)
	c := f.controllers["i1"]
	s := fleet.EndpointStatus{Endpoint: "g1-0", Group: "g1", Role: fleet.RolePrimary, Term: 1, FenceTerm: 1, LastLogTerm: 1, AppliedTerm: 1, Received: 5, Applied: 5}
	ctx := context.Background()
	applyStatus := func(s fleet.EndpointStatus) (dirty bool) {
		assert.NilError(t, c.call(ctx, func(now time.Duration) {
			c.publish()
			c.applyStatus(now, s)
			dirty = c.dirty
			assert.Check(t, c.agesChanged)
		}))
		return dirty
	}
	assert.Assert(t, applyStatus(s), "first status")
	assert.Assert(t, !applyStatus(s), "heartbeat")
	s.Received, s.Applied = 6, 6
	assert.Assert(t, applyStatus(s), "new position")
	assert.NilError(t, c.call(ctx, func(time.Duration) {
		e := c.groups["g1"].endpointStates["g1-0"]
		e.statusAt = e.statusAt.Add(-2 * silenceThreshold)
	}))
	assert.Assert(t, applyStatus(s), "first status after a silence")
	publishedStatusAt := func() time.Time { return c.Snapshots().Load().Groups["g1"].Endpoints[0].StatusAt }
	before := publishedStatusAt()
	applyStatus(s)
	f.eventually("younger age", time.Second, func() bool { return publishedStatusAt().After(before) })
}

// Guards against a fleet that counts an odd entry of the list of instances as a witness.
func TestOddInstanceEntryIsNoWitness(t *testing.T) {
	f := newFixture(t, "i1", "i2", "i3")
	f.store.mu.Lock()
	f.store.listed = append(f.store.listed, tablestore.InstanceEntry{ID: "odd", Invalid: "registry: port is not from 1 to 65535"},
		tablestore.InstanceEntry{Invalid: "registry: the id is missing"}, tablestore.InstanceEntry{Invalid: "registry: the id is missing"})
	f.store.mu.Unlock()
	c := f.controllers["i1"]
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if c.Counts().InvalidInstances < 2 {
			return poll.Continue("the entries have not been read")
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
	time.Sleep(2 * pollInterval)
	assert.Equal(t, c.Counts().InvalidInstances, int64(2), "each fault is counted once")
	listed := make(chan int, 1)
	c.post(func(time.Duration) { listed <- len(c.instances) })
	assert.Equal(t, <-listed, 3)
}
