package control

import (
	"context"
	"fmt"
	"sort"
	"time"

	"github.com/vanillahinge/vanillahinge/bundle"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/slot"
	"github.com/vanillahinge/vanillahinge/core/snapshot"
)

// publish builds a snapshot from the current state and publishes it. Only groups
// that changed are rebuilt. The parts of the bundle are shared between snapshots,
// because they are immutable.
func (c *Controller) publish() {
	c.dirty, c.agesChanged = false, false
	v := &snapshot.Snapshot{
		Instance:   c.cfg.Instance,
		DataCentre: c.cfg.DataCentre,
		Draining:   c.draining,
		OwnSlots:   c.ownSlots,
		Withdrawn:  make(map[fleet.KeyID]bool, len(c.withdrawnKeys)),
		Groups:     make(map[fleet.GroupID]*snapshot.Group, len(c.groups)),
	}
	if c.isFresh {
		v.FreshUntil = c.cfg.Start.Add(c.proofExpiry)
	}
	for k := range c.withdrawnKeys {
		v.Withdrawn[k] = true
	}
	if c.doc != nil {
		v.BundleVersion = c.doc.Version
		v.Accounts, v.Databases = c.parts.Accounts, c.parts.Databases
		v.TokenKeys, v.FleetSlots = c.parts.TokenKeys, c.parts.FleetSlots
	}
	for id, g := range c.groups {
		if g.published == nil || g.published != nil && len(g.published.Endpoints) > 0 && c.firstEndpointMaxConns(g) != g.published.Endpoints[0].MaxConns {
			g.published = c.groupSnapshot(g)
		}
		v.Groups[id] = g.published
	}
	for _, p := range c.memberCore.Peers() {
		if p.Addr != "" {
			v.Peers = append(v.Peers, snapshot.Peer{ID: p.ID, DataCentre: p.DataCentre, Addr: p.Addr})
		}
	}
	c.snapshots.Publish(v)
}

// firstEndpointMaxConns returns this instance's share of the connections of the
// group's first endpoint. publish compares it to detect a change of the slots.
func (c *Controller) firstEndpointMaxConns(g *group) int {
	return c.maxConns(c.parts.Groups[g.id].Endpoints[0])
}

// maxConns returns the number of connections to e that the slots in use allow.
// The status connection is not included; it takes the place of one connection of
// the first slot. An instance that is not fresh uses no slots and so has no
// connections, not even for databases open to callers without a key, because
// another instance may own its slots by then.
func (c *Controller) maxConns(e *snapshot.Endpoint) int {
	return max(0, c.ownSlots*e.MaxConns-1)
}

// groupSnapshot builds the group's part of a snapshot.
func (c *Controller) groupSnapshot(g *group) *snapshot.Group {
	out := &snapshot.Group{ID: g.id}
	out.Primary, out.Term = g.core.Primary()
	if out.Primary == "" {
		_, out.Term = g.core.LastKnown()
	}
	for _, e := range c.parts.Groups[g.id].Endpoints {
		ve := *e
		st := g.endpointStates[e.ID]
		ve.MaxConns = c.maxConns(e)
		ve.Status, ve.StatusAt, ve.AppliedAsOf = st.status, st.statusAt, st.appliedAsOf
		out.Endpoints = append(out.Endpoints, &ve)
	}
	return out
}

// updateQuota passes the accounts, the slots and the live instances to the quota.
func (c *Controller) updateQuota() {
	if c.parts == nil || c.cfg.Quota == nil {
		return
	}
	c.cfg.Quota.Update(c.parts.Accounts, c.parts.FleetSlots, c.ownSlots, c.memberCore.Live())
}

// Status is the state of an instance as reported to operators.
type Status struct {
	Instance      fleet.InstanceID `json:"instance"`
	DataCentre    fleet.DataCentre `json:"data_centre"`
	Run           string           `json:"run"`
	BundleVersion uint64           `json:"bundle_version"`
	BundleSHA256  string           `json:"bundle_sha256,omitempty"`
	Withdrawn     []fleet.KeyID    `json:"withdrawn"`
	Fresh         bool             `json:"fresh"`
	// ProofAge is the age of the freshness proof.
	ProofAge     string          `json:"proof_age,omitempty"`
	StoreAnswers bool            `json:"store_answers"`
	Leaving      bool            `json:"leaving"`
	FleetSlots   int             `json:"fleet_slots"`
	Slots        []int           `json:"slots"`
	SlotEpoch    uint64          `json:"slot_epoch"`
	SlotOwners   []slot.Owner    `json:"slot_owners,omitempty"`
	Witnesses    []string        `json:"witnesses"`
	Instances    []InstanceState `json:"instances"`
	Groups       []GroupState    `json:"groups"`
}

// InstanceState is the membership state of an instance as seen by the reporting
// one.
type InstanceState struct {
	ID         fleet.InstanceID `json:"id"`
	DataCentre fleet.DataCentre `json:"data_centre"`
	State      string           `json:"state"`
	OpsAddr    string           `json:"ops_addr,omitempty"`
}

// GroupState is the state of a database group as known to the reporting instance.
type GroupState struct {
	ID        fleet.GroupID    `json:"id"`
	Term      fleet.Term       `json:"term"`
	Primary   fleet.EndpointID `json:"primary,omitempty"`
	Suspected bool             `json:"suspected"`
	Endpoints []EndpointState  `json:"endpoints"`
}

// EndpointState is the last known status of an endpoint.
type EndpointState struct {
	fleet.EndpointStatus
	Leaving bool `json:"leaving,omitempty"`
	// SeenAge is the age of the last status. ProvedAge is the upper bound on the
	// staleness of the endpoint's data. Both are empty if unknown.
	SeenAge   string `json:"seen_age,omitempty"`
	ProvedAge string `json:"proved_age,omitempty"`
}

// stateNames holds the names of the membership states, indexed by
// membership.State.
var stateNames = []string{"unknown", "alive", "suspected", "leaving", "gone"}

// Describe returns the status to report to operators.
func (c *Controller) Describe(ctx context.Context) (Status, error) {
	var s Status
	err := c.call(ctx, func(now time.Duration) {
		s = Status{
			Instance: c.cfg.Instance, DataCentre: c.cfg.DataCentre, Run: c.cfg.RunID,
			Withdrawn: c.withdrawnKeyIDs(), Fresh: c.isFresh, StoreAnswers: c.storeAvailable(now), Leaving: c.leaving,
			Slots: []int{}, SlotEpoch: c.slotTable().Epoch, SlotOwners: c.slotTable().Slots,
		}
		if age, ok := c.stateCore.ProofAge(now); ok {
			s.ProofAge = age.Round(time.Millisecond).String()
		}
		if c.doc != nil {
			s.BundleVersion, s.BundleSHA256, s.FleetSlots = c.doc.Version, c.bundleSum, c.doc.FleetSlots
		}
		if c.slotCore != nil {
			s.Slots = append(s.Slots, c.slotCore.UsableSlots()...)
		}
		for _, w := range c.stateCore.Witnesses() {
			s.Witnesses = append(s.Witnesses, string(w))
		}
		for _, l := range c.instances {
			st := stateNames[c.memberCore.State(l.ID)]
			if l.ID == c.cfg.Instance && c.leaving {
				st = "leaving"
			}
			s.Instances = append(s.Instances, InstanceState{ID: l.ID, DataCentre: l.DataCentre, State: st, OpsAddr: l.OpsAddr})
		}
		wall := time.Now()
		for _, g := range c.groups {
			gs := GroupState{ID: g.id, Suspected: g.core.SuspectsPrimary()}
			gs.Primary, gs.Term = g.core.Primary()
			for _, e := range c.parts.Groups[g.id].Endpoints {
				st := g.endpointStates[e.ID]
				es := EndpointState{EndpointStatus: st.status, Leaving: e.Leaving}
				es.Endpoint, es.Group = e.ID, g.id
				if !st.statusAt.IsZero() {
					es.SeenAge = wall.Sub(st.statusAt).Round(time.Millisecond).String()
				}
				if !st.appliedAsOf.IsZero() {
					es.ProvedAge = wall.Sub(st.appliedAsOf).Round(time.Millisecond).String()
				}
				gs.Endpoints = append(gs.Endpoints, es)
			}
			s.Groups = append(s.Groups, gs)
		}
		sort.Slice(s.Groups, func(i, j int) bool { return s.Groups[i].ID < s.Groups[j].ID })
	})
	return s, err
}

// Bundle returns the bundle in force, or nil if there is none yet.
func (c *Controller) Bundle(ctx context.Context) (*bundle.Document, error) {
	var d *bundle.Document
	err := c.call(ctx, func(time.Duration) { d = c.doc })
	return d, err
}

// Ready returns nil if the instance can serve keyed requests, and otherwise an
// error that gives the reason.
func (c *Controller) Ready() error {
	v := c.snapshots.Load()
	switch {
	case v.Draining:
		return fmt.Errorf("instance is shutting down")
	case v.BundleVersion == 0:
		return fmt.Errorf("no bundle is in force; publish one with vanillahinge bundle publish")
	case !time.Now().Before(v.FreshUntil):
		return fmt.Errorf("control state is not fresh; check the store and the peers")
	case v.OwnSlots == 0:
		return fmt.Errorf("no fleet slot is owned; wait for a hand-over or raise fleet_slots")
	case c.now() < time.Duration(c.quotaUsableAt.Load()):
		return fmt.Errorf("the former owner of the slots may still use their quota shares; wait %v", (time.Duration(c.quotaUsableAt.Load()) - c.now()).Round(time.Millisecond))
	}
	return nil
}

// Leave reports to the platform and the peers that this instance is leaving.
func (c *Controller) Leave() {
	c.post(func(now time.Duration) {
		c.leaving = true
		c.register()
		c.notifyPeers()
	})
}

// Drain publishes a snapshot that makes idle sessions close.
func (c *Controller) Drain() {
	c.post(func(time.Duration) { c.draining, c.dirty = true, true })
}

// HandOver starts to hand over this instance's slots to other instances.
func (c *Controller) HandOver() {
	c.post(func(now time.Duration) { c.stepSlot(now, slot.Shutdown{}) })
}

// HandedOver reports whether this instance owns no slots any more.
func (c *Controller) HandedOver(ctx context.Context) bool {
	var done bool
	if err := c.call(ctx, func(time.Duration) { done = c.handedOver || c.slotCore == nil }); err != nil {
		return false
	}
	return done
}
