package slot

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillahinge/vanillahinge/core/fleet"
)

const second = time.Second

// fleetSim simulates a fleet of cores that share one table, in steps of 100 ms.
type fleetSim struct {
	now       time.Duration
	cores     map[fleet.InstanceID]*Core
	ids       []fleet.InstanceID
	stopped   map[fleet.InstanceID]bool
	table     Table
	version   uint64
	tableDown bool
	// dropAnswers loses the answers to puts, including those that took effect.
	dropAnswers bool
}

func newFleet(n int) *fleetSim {
	f := &fleetSim{now: second, cores: map[fleet.InstanceID]*Core{}, stopped: map[fleet.InstanceID]bool{}}
	for i := range n {
		id := fleet.InstanceID(fmt.Sprintf("I%d", i+1))
		f.ids = append(f.ids, id)
		f.cores[id] = New(Config{Self: id, Run: "r", SlotCount: n})
	}
	return f
}

func (f *fleetSim) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += second / 10 {
		var live, gone []fleet.InstanceID
		for _, id := range f.ids {
			if f.stopped[id] {
				gone = append(gone, id)
			} else {
				live = append(live, id)
			}
		}
		for _, id := range live {
			f.step(id, Freshness{Fresh: true})
			f.step(id, Members{Live: live, Gone: gone})
			if !f.tableDown && f.now%second == 0 {
				f.step(id, TableRow{Table: f.table, Version: f.version})
			}
			f.step(id, Tick{})
		}
	}
}

func (f *fleetSim) step(id fleet.InstanceID, e Event) {
	for _, a := range f.cores[id].Step(f.now, e) {
		switch a := a.(type) {
		case ReadTable:
			if !f.tableDown {
				f.step(id, TableRow{Table: f.table, Version: f.version})
			}
		case PutTable:
			r := Conflict
			switch {
			case f.tableDown:
				r = NoAnswer
			case a.IfVersion == f.version:
				f.table, f.version, r = a.Table, f.version+1, Applied
			}
			if f.dropAnswers {
				r = NoAnswer
			}
			f.step(id, PutAnswer{Nonce: a.Table.Nonce, Result: r, Version: f.version})
		case Announce:
			f.step(id, Accepted{Epoch: a.Table.Epoch})
		}
	}
}

func (f *fleetSim) usedSlots() (n int) {
	for _, id := range f.ids {
		if !f.stopped[id] {
			n += len(f.cores[id].UsableSlots())
		}
	}
	return n
}

// Guards G7 and the connection limit of endpoints: each slot has exactly one
// owner, even if all instances start at the same time and every answer to a put
// is lost.
func TestEachInstanceGetsOneSlotAtStart(t *testing.T) {
	for _, lose := range []bool{false, true} {
		f := newFleet(4)
		f.dropAnswers = lose
		f.run(4 * second)
		for _, id := range f.ids {
			assert.Equal(t, len(f.cores[id].UsableSlots()), 1, "%s, lost answers %v", id, lose)
		}
	}
}

// Guards against a slot in use by two instances: the new owner waits for F + 2 s,
// and no slot changes its owner while the table is down.
func TestTakeoverWaitsForFormerOwner(t *testing.T) {
	f := newFleet(4)
	f.run(3 * second)
	f.stopped["I2"], f.tableDown = true, true
	f.run(20 * second)
	assert.Equal(t, f.usedSlots(), 3, "table down")
	f.tableDown = false
	f.run(4900 * time.Millisecond)
	assert.Equal(t, f.usedSlots(), 3, "takeover wait")
	f.run(2 * second)
	assert.Equal(t, f.usedSlots(), 4)
}

// Guards against refusals for lack of slots after a graceful shutdown: slots that
// were released in the table need no takeover wait.
func TestShutdownReleasesWithoutTakeoverWait(t *testing.T) {
	f := newFleet(2)
	f.run(3 * second)
	f.step("I1", Shutdown{})
	assert.Equal(t, len(f.cores["I1"].UsableSlots()), 0, "a shutdown stops the use of slots at once")
	f.run(1900 * time.Millisecond)
	assert.Equal(t, f.table.Slots[f.cores["I2"].UsableSlots()[0]].Instance, fleet.InstanceID("I2"))
	f.run(200 * time.Millisecond)
	f.stopped["I1"] = true
	f.run(1500 * time.Millisecond)
	assert.Equal(t, f.usedSlots(), 2)
}

// Guards against the use of slots by an instance that may have lost them, because
// it has no freshness proof or has learnt of a newer table.
func TestStaleInstanceUsesNoSlot(t *testing.T) {
	f := newFleet(2)
	f.run(3 * second)
	f.step("I1", Freshness{})
	assert.Equal(t, len(f.cores["I1"].UsableSlots()), 0)
	f.step("I1", Freshness{Fresh: true})
	assert.Equal(t, len(f.cores["I1"].UsableSlots()), 1)
	f.step("I1", PeerTable{Table: Table{Epoch: 99, Slots: []Owner{{Instance: "I2"}, {Instance: "I2"}}}})
	assert.Equal(t, len(f.cores["I1"].UsableSlots()), 0)
}

// Guards against a restarted instance that uses its slot while loans from its
// earlier run may still be in use, and against a new instance that gets no slot.
func TestRestartedAndNewInstances(t *testing.T) {
	f := newFleet(2)
	f.run(3 * second)
	f.cores["I1"] = New(Config{Self: "I1", Run: "r2", SlotCount: 2})
	f.run(4900 * time.Millisecond)
	assert.Equal(t, len(f.cores["I1"].UsableSlots()), 0)
	f.run(2 * second)
	assert.Equal(t, len(f.cores["I1"].UsableSlots()), 1)

	f.stopped["I2"] = true
	f.run(8 * second)
	assert.Equal(t, len(f.cores["I1"].UsableSlots()), 2)
	f.stopped["I2"] = false
	f.run(5 * second)
	assert.Equal(t, len(f.cores["I2"].UsableSlots()), 1, "the instance that owned both releases one")
}
