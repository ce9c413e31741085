package control

import (
	"bytes"
	"encoding/json"
	"errors"
	"maps"
	"strings"

	"github.com/vanillahinge/vanillahinge/core/catalog"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/kvstore"
	"github.com/vanillahinge/vanillahinge/core/relay"
	"github.com/vanillahinge/vanillahinge/edge/peerrpc"
)

// memberRow is a decoded member record.
type memberRow struct {
	version uint64
	member  catalog.Member
}

// table is this instance's copy of a table.
type table struct {
	rows map[string]kvstore.Row
	asOf uint64
	// digest covers the keys and versions of the rows.
	digest uint64
	loaded bool
	// deleted holds the rows deleted since version deletionsKnownSince.
	deleted             map[string]kvstore.Row
	deletionsKnownSince uint64
	// damaged is set if the copy has turned out to differ from another one.
	damaged bool
	// refused holds the rows that could not be used, by key.
	refused map[string]refusal
	// entries caches the decoded entries of endpoints, by key.
	entries map[string]entry
}

// refusal tells which version of a row was refused and why.
type refusal struct {
	version uint64
	reason  string
}

// entry is the decoded entry of an endpoint.
type entry struct {
	row      kvstore.Row
	endpoint catalog.Endpoint
	err      error
}

// refuse records that a row cannot be used. It is counted once for each version, and
// logged once until its reason changes.
func (c *Controller) refuse(t *table, r kvstore.Row, event, metric string, err error) {
	now := refusal{version: r.Version, reason: err.Error()}
	before, known := t.refused[r.Key]
	if known && before == now {
		return
	}
	if t.refused == nil {
		t.refused = map[string]refusal{}
	}
	t.refused[r.Key] = now
	c.Metrics.Count(metric)
	if before.reason != now.reason {
		c.Log.Warn(event, "key", r.Key, "version", r.Version, "error", now.reason)
	}
}

// forgetRefusals forgets the refused rows that have been replaced or deleted.
func (t *table) forgetRefusals() {
	maps.DeleteFunc(t.refused, func(key string, r refusal) bool { return t.rows[key].Version != r.version })
}

// maxDeletedRows bounds the deleted rows that are kept for other instances.
const maxDeletedRows = 1000

// replaceTable installs a complete copy of a table, unless it is from an earlier era than
// the one in use.
func (c *Controller) replaceTable(name string, all []kvstore.Row, asOf uint64) {
	t := c.tables[name]
	if t.loaded && asOf < t.asOf {
		return
	}
	if name == c.Schema.FleetTable {
		c.seeEra(asOf)
	}
	before := t.rows
	t.rows = make(map[string]kvstore.Row, len(all))
	for _, r := range all {
		t.rows[r.Key] = r
	}
	t.asOf, t.loaded = max(t.asOf, asOf), true
	clear(t.deleted)
	t.deletionsKnownSince = t.asOf
	if !maps.EqualFunc(before, t.rows, func(a, b kvstore.Row) bool { return a.Version == b.Version }) || name != c.Schema.FleetTable {
		c.tableChanged(name)
	}
}

// applyChanges installs changed rows, except those older than the copy's.
func (c *Controller) applyChanges(name string, changed []kvstore.Row, asOf uint64) {
	t := c.tables[name]
	completeTo := t.asOf
	t.asOf = max(t.asOf, asOf)
	modified := false
	for _, r := range changed {
		if r.Version <= completeTo {
			continue // the copy has it, or something newer
		}
		delete(t.rows, r.Key)
		delete(t.deleted, r.Key)
		if r.Deleted {
			t.deleted[r.Key] = r
		} else {
			t.rows[r.Key] = r
		}
		modified = true
	}
	if len(t.deleted) > maxDeletedRows {
		clear(t.deleted)
		t.deletionsKnownSince = t.asOf
	}
	if modified {
		c.tableChanged(name)
	}
}

// tableChanged updates the derived state after a table's rows have changed and
// publishes a view.
func (c *Controller) tableChanged(name string) {
	t := c.tables[name]
	t.digest = digest(t.rows)
	switch name {
	case c.Schema.OperatorTable:
		c.updateCatalog(t)
		c.updateEvacuations(t)
	case c.Schema.EndpointTable:
		c.updateEndpoints(t)
	case c.Schema.FleetTable:
		c.updateFleet(t)
	}
	t.forgetRefusals()
	c.publishView()
	c.signalChange()
}

// updateCatalog puts a newer configuration into force.
func (c *Controller) updateCatalog(t *table) {
	c.catalogAhead = c.catalog != nil
	row, ok := t.rows[c.Schema.ConfigKey]
	if !ok {
		return
	}
	next, err := c.Schema.DecodeCatalog(row.Value)
	if row.Unreadable != "" {
		err = errors.New(row.Unreadable)
	}
	if err != nil {
		c.refuse(t, row, "control: invalid configuration ignored", "catalogs_rejected", err)
		return
	}
	c.catalogAhead = c.catalog != nil && next.Version < c.catalog.Version
	c.installCatalog(next)
}

// adoptCatalog puts a configuration into force that another instance passes on, because
// the store has lost it. It reports whether it is newer than the one in force.
func (c *Controller) adoptCatalog(raw []byte) bool {
	next, err := c.Schema.DecodeCatalog(raw)
	if err != nil {
		c.Log.Warn("control: invalid configuration from another instance ignored", "error", err.Error())
		return false
	}
	if !c.installCatalog(next) {
		return false
	}
	c.catalogAhead = true
	c.signalChange()
	return true
}

// installCatalog puts a configuration into force if it is newer than the one in force by
// the operator's version. It reports whether it is.
func (c *Controller) installCatalog(next *catalog.Catalog) bool {
	if c.catalog != nil && next.Version <= c.catalog.Version {
		return false
	}
	c.catalog = next
	c.resetKeepers()
	c.Limiter.SetAccounts(c.Clock.Now(), next.Accounts)
	c.assignHomes()
	c.Metrics.Gauge("catalog_version", int64(next.Version))
	for _, p := range next.Problems {
		c.Metrics.Count("catalog_parts_ignored")
		c.Log.Warn("control: part of the configuration ignored", "version", next.Version, "error", p.Error())
	}
	c.Log.Info("control: configuration in force", "version", next.Version, "bytes", len(next.Raw), "routes", len(next.Routes),
		"accounts", len(next.Accounts), "keys", len(next.Keys))
	return true
}

// updateEndpoints installs the platform's list of endpoints.
func (c *Controller) updateEndpoints(t *table) {
	now := c.Clock.Now()
	before := c.listed
	c.listed = make(map[fleet.EndpointID]catalog.Endpoint, len(t.rows))
	decoded := t.entries
	t.entries = make(map[string]entry, len(t.rows))
	for key, r := range t.rows {
		d, ok := decoded[key]
		if !ok || !bytes.Equal(d.row.Value, r.Value) || d.row.Unreadable != r.Unreadable {
			d.endpoint, d.err = c.Schema.DecodeEndpoint(r)
		}
		d.row = r
		t.entries[key] = d
		if d.err != nil {
			c.refuse(t, r, "control: invalid endpoint entry ignored", "endpoint_rows_ignored", d.err)
			continue
		}
		e, ok := c.latestEntry(d.endpoint, r.Version)
		if !ok {
			continue
		}
		c.listed[e.ID] = e
		if c.groupDataCentres[e.Group] == nil {
			c.groupDataCentres[e.Group] = map[fleet.DataCentre]bool{}
		}
		if !c.groupDataCentres[e.Group][e.DataCentre] {
			c.groupDataCentres[e.Group][e.DataCentre] = true
			c.resetKeepers()
		}
		c.lastEntries[e.ID] = e
		delete(c.unlisted, e.ID)
		if old, known := before[e.ID]; !known || old != e {
			c.Log.Info("control: endpoint listed", "endpoint", string(e.ID), "group", string(e.Group), "leaving", e.Leaving,
				"primary", e.Primary)
		}
	}
	c.listedByGroup = make(map[fleet.GroupID][]catalog.Endpoint, len(c.listedByGroup))
	for _, e := range c.listed {
		c.listedByGroup[e.Group] = append(c.listedByGroup[e.Group], e)
	}
	for id, e := range before {
		if _, ok := c.listed[id]; !ok {
			c.Log.Info("control: endpoint no longer listed", "endpoint", string(id), "group", string(e.Group))
			c.unlisted[id] = now
			if k := c.entries[id]; k != nil {
				k.gone, k.goneAt, k.goneEra = true, now, kvstore.Era(t.asOf)
			}
		}
	}
	c.indexGone()
}

// updateFleet adopts the leadership records and members of the fleet's own table.
func (c *Controller) updateFleet(t *table) {
	rowsBefore := c.memberRows
	c.memberRows = make(map[string]memberRow, len(rowsBefore))
	c.members = make(map[fleet.InstanceID]catalog.Member, len(rowsBefore))
	membersChanged := false
	for id, g := range c.groups {
		if _, ok := t.rows[leaderPrefix+string(id)]; !ok {
			g.rowVersion, g.rowOrder = 0, 0
		}
	}
	for key, r := range t.rows {
		switch {
		case strings.HasPrefix(key, leaderPrefix):
			g := c.groupState(fleet.GroupID(key[len(leaderPrefix):]))
			if g.rowVersion == r.Version {
				continue
			}
			g.rowVersion, g.rowOrder = r.Version, 0
			var l catalog.Leadership
			err := decodeFleetRow(r, &l)
			if err == nil {
				err = l.Validate(fleet.GroupID(key[len(leaderPrefix):]))
			}
			if err != nil {
				c.refuse(t, r, "control: invalid leadership record ignored", "fleet_rows_ignored", err)
				continue
			}
			l.Version = r.Version
			g.rowOrder = announcedVersion(l)
			c.adoptLeadership(l)
		case strings.HasPrefix(key, memberPrefix):
			known, ok := rowsBefore[key]
			if !ok || known.version != r.Version {
				known = memberRow{version: r.Version}
				err := decodeFleetRow(r, &known.member)
				if err == nil {
					err = known.member.Validate(fleet.InstanceID(key[len(memberPrefix):]))
				}
				if err != nil {
					c.refuse(t, r, "control: invalid member record ignored", "fleet_rows_ignored", err)
					continue
				}
				// The store may have lost the mark of a process that has left.
				if before := rowsBefore[key].member; before.ID == known.member.ID && before.Incarnation == known.member.Incarnation {
					known.member.Left = known.member.Left || before.Left
				}
				membersChanged = true
			}
			c.memberRows[key] = known
			c.members[known.member.ID] = known.member
		}
	}
	c.retainMembers()
	c.updateEraRows(t)
	if membersChanged || len(rowsBefore) != len(c.memberRows) {
		c.updatePeers()
	}
	c.renewLease()
}

// decodeFleetRow decodes the value of a row of the fleet's own table.
func decodeFleetRow(r kvstore.Row, into any) error {
	if r.Unreadable != "" {
		return errors.New(r.Unreadable)
	}
	return json.Unmarshal(r.Value, into)
}

// updatePeers updates what depends on the list of members.
func (c *Controller) updatePeers() {
	for id, p := range c.peers {
		m, ok := c.members[id]
		if !ok || m.Addr != p.Addr {
			p.client.Close()
			delete(c.peers, id)
			continue
		}
		p.Member = m
	}
	members := make([]relay.Member, 0, len(c.members))
	for id, m := range c.members {
		members = append(members, relay.Member{ID: id, DataCentre: m.DataCentre, Region: c.Topology.Region(m.DataCentre)})
		if _, ok := c.peers[id]; !ok && id != c.Self.ID {
			c.peers[id] = &peer{Member: m, client: peerrpc.NewPeer(m.Addr)}
		}
	}
	c.order = relay.Order(members)
	c.resetKeepers()
	c.assignHomes()
}
