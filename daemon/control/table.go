package control

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/vanillahinge/vanillahinge/core/controlstate"
	"github.com/vanillahinge/vanillahinge/core/decision"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/membership"
	"github.com/vanillahinge/vanillahinge/core/slot"
	peerv1 "github.com/vanillahinge/vanillahinge/peer/v1"
	"github.com/vanillahinge/vanillahinge/tablestore"
)

// controlRows holds one read of the rows that freshness depends on.
type controlRows struct {
	current     currentBundleRow
	slots       receivedSlots
	withdrawals withdrawalRow
}

// pollTable reads the control rows from the table and schedules the next poll. An
// instance that is not fresh polls at once and then backs off exponentially, so
// that a simultaneous restart of many instances does not flood the store.
func (c *Controller) pollTable(now time.Duration) {
	switch {
	case c.memberCore.PollsTable(pollRankKey):
		c.pollBackoff = pollInterval
	case !c.isFresh:
		c.pollBackoff = min(2*c.pollBackoff, slowPollInterval)
	default:
		c.pollBackoff = slowPollInterval
	}
	c.nextPoll = now + c.pollBackoff
	c.polling = true
	c.polls.Add(1)
	// The read returns every put that took effect before start.
	start := now
	c.startWorker(tableTimeout, func(ctx context.Context) {
		r, err := c.readRows(ctx)
		var docs map[string]verifiedWithdrawal
		if err == nil {
			docs = c.verifyWithdrawals(r.withdrawals.Envelopes)
		}
		c.post(func(now time.Duration) {
			c.polling = false
			if err != nil {
				c.pollErrors.Add(1)
				c.cfg.Log.Debug("could not read the table", "error", err.Error())
				return
			}
			c.lastStoreAnswer, c.storeSeen = now, true
			c.addWithdrawals(now, docs, "table")
			s := controlstate.State{Bundle: r.current.Version, SlotEpoch: r.slots.table.Epoch}
			for sum, w := range docs {
				c.withdrawalsInRow[sum] = true
				s.Withdrawn = append(s.Withdrawn, w.doc.Keys...)
			}
			c.applySlotRow(now, r.slots)
			c.stepControlState(now, controlstate.TableRead{Start: start, State: s})
		})
	})
}

// readRows reads the three control rows in parallel. A missing row is left empty.
func (c *Controller) readRows(ctx context.Context) (controlRows, error) {
	var r controlRows
	r.slots.fromRow = true
	var wg sync.WaitGroup
	var errs [3]error
	get := func(i int, key string, into func(tablestore.Row) error) {
		wg.Go(func() {
			row, err := c.cfg.Table.Get(ctx, key)
			if errors.Is(err, tablestore.ErrNotFound) {
				return
			}
			if err == nil {
				err = into(row)
			}
			if err != nil {
				errs[i] = fmt.Errorf("control: row %s: %w", key, err)
			}
		})
	}
	get(0, bundleRow, func(row tablestore.Row) error { return json.Unmarshal(row.Value, &r.current) })
	get(1, slotsRow, func(row tablestore.Row) error {
		r.slots.version = row.Version
		return json.Unmarshal(row.Value, &r.slots.table)
	})
	get(2, withdrawalsRow, func(row tablestore.Row) error { return json.Unmarshal(row.Value, &r.withdrawals) })
	wg.Wait()
	return r, errors.Join(errs[:]...)
}

// applySlotRow processes a slot table read from the table's row.
func (c *Controller) applySlotRow(now time.Duration, in receivedSlots) {
	if c.slotCore == nil {
		if in.table.Epoch >= c.slotTable().Epoch {
			c.pendingSlots = &in
		}
	} else {
		c.stepSlot(now, slot.TableRow{Table: in.table, Version: in.version})
	}
	c.stepControlState(now, controlstate.Installed{State: c.state()})
}

// applyPeerSlots adopts the slot table that a peer sent if its epoch is newer, or keeps
// it until there is a slot core, and tells the peers.
func (c *Controller) applyPeerSlots(now time.Duration, t slot.Table) {
	if t.Epoch <= c.slotTable().Epoch {
		return
	}
	if c.slotCore == nil {
		c.pendingSlots = &receivedSlots{table: t}
	} else {
		c.stepSlot(now, slot.PeerTable{Table: t})
	}
	c.stepControlState(now, controlstate.Installed{State: c.state()})
	c.notifyPeers()
}

// fetchState fetches newer state that a peer or the table announced.
func (c *Controller) fetchState(f controlstate.Fetch) {
	if f.From != "" {
		// The peer's response contained everything that the peer holds. The next
		// pull returns what is still missing.
		c.pullSoon = true
		return
	}
	if c.doc != nil && f.State.Bundle <= c.doc.Version || f.State.Bundle == 0 {
		return
	}
	c.startWorker(2*tableTimeout, func(ctx context.Context) {
		row, err := c.cfg.Table.Get(ctx, bundleRow)
		var cur currentBundleRow
		if err == nil {
			err = json.Unmarshal(row.Value, &cur)
		}
		var env []byte
		if err == nil {
			env, err = c.readEnvelope(ctx, cur)
		}
		var o *verifiedBundle
		if err == nil {
			o, err = c.verifyBundle(env)
		}
		if err != nil {
			c.cfg.Log.Warn("could not install the bundle that the table refers to", "version", f.State.Bundle, "error", err.Error())
			return
		}
		c.post(func(now time.Duration) { c.install(now, o, "table") })
	})
}

// register registers this instance with the platform as running or leaving.
func (c *Controller) register() {
	l := tablestore.InstanceEntry{ID: c.cfg.Instance, DataCentre: c.cfg.DataCentre, PeerAddr: c.cfg.PeerAddr, OpsAddr: c.cfg.OpsAddr, Leaving: c.leaving}
	c.startWorker(tableTimeout, func(ctx context.Context) {
		if err := c.cfg.Instances.Register(ctx, l); err != nil {
			c.cfg.Log.Debug("could not register this instance with the platform", "error", err.Error())
		}
	})
}

// listInstances reads the platform's list of instances in a worker.
func (c *Controller) listInstances() {
	c.startWorker(tableTimeout, func(ctx context.Context) {
		l, err := c.cfg.Instances.List(ctx)
		if err != nil {
			c.cfg.Log.Debug("could not read the list of instances", "error", err.Error())
			return
		}
		c.post(func(now time.Duration) { c.applyInstanceList(now, l) })
	})
}

// applyInstanceList processes the platform's list of instances.
func (c *Controller) applyInstanceList(now time.Duration, l []tablestore.InstanceEntry) {
	l = c.refuseInvalidInstances(l)
	if len(l) == 0 {
		// The first registration has not arrived yet. An empty list has no
		// witnesses, and would delay every acceptance because the lists of the
		// last 30 s count too.
		return
	}
	c.instances = l
	ids := make([]fleet.InstanceID, 0, len(l))
	in := make([]membership.Instance, 0, len(l))
	for _, e := range l {
		ids = append(ids, e.ID)
		in = append(in, membership.Instance{ID: e.ID, DataCentre: e.DataCentre, Addr: e.PeerAddr, Leaving: e.Leaving})
	}
	first := !c.listKnown
	c.listKnown = true
	c.stepControlState(now, controlstate.InstanceList{IDs: ids})
	c.stepMembership(now, membership.PlatformList{Instances: in})
	if first {
		c.nextPull = now
	}
}

// refuseInvalidInstances returns the entries that can be used. The others are logged and
// counted once, until their fault changes or they have left the list.
func (c *Controller) refuseInvalidInstances(l []tablestore.InstanceEntry) []tablestore.InstanceEntry {
	refused := map[string]bool{}
	valid := slices.DeleteFunc(slices.Clone(l), func(e tablestore.InstanceEntry) bool {
		if e.Invalid != "" && !c.refusedInstances[e.Invalid] && !refused[e.Invalid] {
			c.invalidInstances.Add(1)
			c.cfg.Log.Warn("invalid entry of the list of instances ignored", "error", e.Invalid)
		}
		refused[e.Invalid] = e.Invalid != ""
		return e.Invalid != ""
	})
	c.refusedInstances = refused
	return valid
}

// stepSlot applies an event to core/slot and performs the resulting actions.
func (c *Controller) stepSlot(now time.Duration, e slot.Event) {
	if c.slotCore == nil {
		return
	}
	core := c.slotCore
	before := core.Table().Epoch
	for _, a := range core.Step(now, e) {
		switch a := a.(type) {
		case slot.PutTable:
			c.putSlots(core, a)
		case slot.ReadTable:
			c.readSlots(core)
		case slot.Announce:
			c.announceSlots(now, core, a.Table)
		case slot.UseSlots:
			if c.ownSlots == 0 && len(a.Slots) > 0 {
				c.quotaUsableAt.Store(int64(now + quotaSettleTime))
			}
			c.ownSlots = len(a.Slots)
			c.dirty = true
			c.cfg.Log.Info("slots in use changed", "slots", fmt.Sprint(a.Slots))
			c.record(decision.Record{Kind: decision.Slot, Rule: "slots-in-use", Outcome: fmt.Sprintf("slots %v are in use", a.Slots),
				Inputs: []decision.Input{{Name: "epoch", Value: fmt.Sprint(core.Table().Epoch)}}})
			c.updateQuota()
		case slot.AllReleased:
			c.handedOver = true
			c.record(decision.Record{Kind: decision.Slot, Rule: "slots-handed-over", Outcome: "all slots are handed over"})
		}
	}
	if core.Table().Epoch > before && core == c.slotCore {
		c.stepControlState(now, controlstate.Installed{State: c.state()})
		c.notifyPeers()
	}
}

// putSlots writes the slot table to its row.
func (c *Controller) putSlots(core *slot.Core, a slot.PutTable) {
	value, err := json.Marshal(a.Table)
	if err != nil {
		c.cfg.Log.Error("slot table is not encoded", "error", err.Error())
		return
	}
	c.startWorker(tableTimeout, func(ctx context.Context) {
		row, err := c.cfg.Table.Put(ctx, slotsRow, a.IfVersion, value)
		ans := slot.PutAnswer{Nonce: a.Table.Nonce}
		switch {
		case err == nil:
			ans.Result, ans.Version = slot.Applied, row.Version
		case errors.Is(err, tablestore.ErrConflict):
			ans.Result = slot.Conflict
		default:
			ans.Result = slot.NoAnswer
		}
		c.post(func(now time.Duration) {
			if core == c.slotCore {
				c.stepSlot(now, ans)
			}
		})
	})
}

// readSlots reads the slot table from its row.
func (c *Controller) readSlots(core *slot.Core) {
	c.startWorker(tableTimeout, func(ctx context.Context) {
		row, err := c.cfg.Table.Get(ctx, slotsRow)
		var t slot.Table
		switch {
		case errors.Is(err, tablestore.ErrNotFound):
		case err != nil:
			return
		default:
			if err := json.Unmarshal(row.Value, &t); err != nil {
				c.cfg.Log.Error("slots row is malformed", "error", err.Error())
				return
			}
		}
		c.post(func(now time.Duration) {
			if core == c.slotCore {
				c.stepSlot(now, slot.TableRow{Table: t, Version: row.Version})
			}
		})
	})
}

// announceSlots rolls out a slot table that the row holds, and reports to
// core/slot when a majority of the witnesses hold it.
func (c *Controller) announceSlots(now time.Duration, core *slot.Core, t slot.Table) {
	data, err := json.Marshal(t)
	if err != nil {
		c.cfg.Log.Error("slot table is not encoded", "error", err.Error())
		return
	}
	s := controlstate.State{SlotEpoch: t.Epoch}
	c.stepControlState(now, controlstate.Installed{State: c.state()})
	c.startRollout(now, s, true, &peerv1.AcceptRequest{Slots: data}, func() {
		c.post(func(now time.Duration) {
			if core == c.slotCore {
				c.stepSlot(now, slot.Accepted{Epoch: t.Epoch})
			}
		})
	})
}
