package slot

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillahinge/vanillahinge/core/fleet"
)

const second = time.Second

// fleetOf runs cores against one table in steps of 100 ms.
type fleetOf struct {
	now     time.Duration
	cores   map[fleet.InstanceID]*Core
	ids     []fleet.InstanceID
	dead    map[fleet.InstanceID]bool
	table   Table
	version uint64
	down    bool
	// lose drops the answers of puts that took effect.
	lose bool
}

func newFleet(n int) *fleetOf {
	f := &fleetOf{now: second, cores: map[fleet.InstanceID]*Core{}, dead: map[fleet.InstanceID]bool{}}
	for i := range n {
		id := fleet.InstanceID(fmt.Sprintf("I%d", i+1))
		f.ids = append(f.ids, id)
		f.cores[id] = New(Config{Self: id, Run: "r", SlotCount: n})
	}
	return f
}

func (f *fleetOf) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += second / 10 {
		var live, gone []fleet.InstanceID
		for _, id := range f.ids {
			if f.dead[id] {
				gone = append(gone, id)
			} else {
				live = append(live, id)
			}
		}
		for _, id := range live {
			f.step(id, Freshness{Fresh: true})
			f.step(id, Members{Live: live, Gone: gone})
			if !f.down && f.now%second == 0 {
				f.step(id, TableRow{Table: f.table, Version: f.version})
			}
			f.step(id, Tick{})
		}
	}
}

func (f *fleetOf) step(id fleet.InstanceID, e Event) {
	for _, a := range f.cores[id].Step(f.now, e) {
		switch a := a.(type) {
		case ReadTable:
			if !f.down {
				f.step(id, TableRow{Table: f.table, Version: f.version})
			}
		case PutTable:
			r := Conflict
			switch {
			case f.down:
				r = NoAnswer
			case a.IfVersion == f.version:
				f.table, f.version, r = a.Table, f.version+1, Applied
			}
			if f.lose {
				r = NoAnswer
			}
			f.step(id, PutAnswer{Nonce: a.Table.Nonce, Result: r, Version: f.version})
		case Announce:
			f.step(id, Accepted{Epoch: a.Table.Epoch})
		}
	}
}

func (f *fleetOf) used() (n int) {
	for _, id := range f.ids {
		if !f.dead[id] {
			n += len(f.cores[id].UsableSlots())
		}
	}
	return n
}

// Guards G7 and the ceiling on connections: each slot has one owner, also when
// all instances start at once and every answer of the table is lost.
func TestStartSharesSlotsOut(t *testing.T) {
	for _, lose := range []bool{false, true} {
		f := newFleet(4)
		f.lose = lose
		f.run(4 * second)
		for _, id := range f.ids {
			assert.Equal(t, len(f.cores[id].UsableSlots()), 1, "%s, lost answers %v", id, lose)
		}
	}
}

// Guards against a slot used by two: the taker waits F + 2 s, and nothing
// changes hands while the store is down.
func TestTakeover(t *testing.T) {
	f := newFleet(4)
	f.run(3 * second)
	f.dead["I2"], f.down = true, true
	f.run(20 * second)
	assert.Equal(t, f.used(), 3, "store down")
	f.down = false
	f.run(4900 * time.Millisecond)
	assert.Equal(t, f.used(), 3, "waits")
	f.run(2 * second)
	assert.Equal(t, f.used(), 4)
}

// Guards against refusals after a graceful shutdown: no wait for the next owner.
func TestHandOver(t *testing.T) {
	f := newFleet(2)
	f.run(3 * second)
	f.step("I1", Shutdown{})
	assert.Equal(t, len(f.cores["I1"].UsableSlots()), 0, "stops at once")
	f.run(1900 * time.Millisecond)
	assert.Equal(t, f.table.Slots[f.cores["I2"].UsableSlots()[0]].Instance, fleet.InstanceID("I2"))
	f.run(200 * time.Millisecond)
	f.dead["I1"] = true
	f.run(1500 * time.Millisecond)
	assert.Equal(t, f.used(), 2)
}

// Guards against slots used by an instance that may have lost them.
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

// Guards against a restarted instance that uses its slot beside loans of its
// earlier run, and against a new instance that gets no slot.
func TestRestartAndNewcomer(t *testing.T) {
	f := newFleet(2)
	f.run(3 * second)
	f.cores["I1"] = New(Config{Self: "I1", Run: "r2", SlotCount: 2})
	f.run(4900 * time.Millisecond)
	assert.Equal(t, len(f.cores["I1"].UsableSlots()), 0)
	f.run(2 * second)
	assert.Equal(t, len(f.cores["I1"].UsableSlots()), 1)

	f.dead["I2"] = true
	f.run(8 * second)
	assert.Equal(t, len(f.cores["I1"].UsableSlots()), 2)
	f.dead["I2"] = false
	f.run(5 * second)
	assert.Equal(t, len(f.cores["I2"].UsableSlots()), 1, "one slot is handed back")
}
