package control

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/vanillahinge/vanillahinge/core/catalog"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/kvstore"
	"github.com/vanillahinge/vanillahinge/core/lease"
	"github.com/vanillahinge/vanillahinge/edge/peerrpc"
)

const (
	// memberRetention is how long the members that were known before the store came back
	// from a copy count on; each writes its own record again within that time.
	memberRetention = 5 * time.Second
	// renewalStagger separates the attempts of the keepers of a group to write its record
	// again, renewalRetry the attempts of one of them.
	renewalStagger = 60 * time.Millisecond
	renewalRetry   = 150 * time.Millisecond
	// renewalGrace is how long a renewal asks for users whose process remembers the
	// earlier era, before those that have been restarted or have left count as well.
	renewalGrace = lease.Duration
	// recordedEras is how many of the latest eras have a row in the fleet's table. A write
	// that the store applies late is from one of the eras before.
	recordedEras = 3
	// learnInterval is the least time between two calls to an instance that knows what the
	// store has lost.
	learnInterval = 100 * time.Millisecond
)

// eraPrefix is the prefix of the keys of the rows that record the eras in which this
// fleet has written to its table.
const eraPrefix = "era/"

func eraKey(era uint64) string { return eraPrefix + strconv.FormatUint(era, 10) }

// seeEra begins the era of a version at which the fleet's table has been copied, if it is
// later than the current one. What the store acknowledged in the current era may be lost.
func (c *Controller) seeEra(asOf uint64) {
	era, before := kvstore.Era(asOf), c.era.Load()
	if era <= before {
		return
	}
	t := c.tables[c.Schema.FleetTable]
	c.era.Store(era)
	c.Metrics.Gauge("store_era", int64(era))
	c.Metrics.Count("store_eras")
	c.Log.Info("control: era of the store began", "era", era, "before", before, "version", kvstore.Count(asOf),
		"version_before", kvstore.Count(t.asOf), "started_in_it", !t.loaded)
	if !t.loaded {
		return
	}
	c.eraSeenAt = c.Clock.Now()
	proof, ok := c.lease.Proof()
	for _, g := range c.groups {
		if ok && g.record.Era == before {
			g.earlierProof = proof
		}
	}
	c.retained = c.memberRows
	select {
	case c.eraBegan <- struct{}{}:
	default:
	}
	c.signalChange()
}

// updateEraRows determines which of the rows for the latest eras the table lacks. An
// instance that has seen no era begin leaves them to others.
func (c *Controller) updateEraRows(t *table) {
	var missing []kvstore.Row
	if c.eraSeenAt > 0 {
		for era := c.era.Load(); era > 0 && c.era.Load()-era < recordedEras; era-- {
			if _, ok := t.rows[eraKey(era)]; !ok {
				missing = append(missing, kvstore.Row{Table: c.Schema.FleetTable, Key: eraKey(era), Value: []byte("{}")})
			}
		}
	}
	c.eraRows.Store(&missing)
}

// apply applies a transaction to the fleet's table, unless the fleet has written to it in
// a later era: the versions that the transaction requires may have been given out again.
// The error is one of Store.Apply.
func (c *Controller) apply(ctx context.Context, t kvstore.Transaction) (uint64, error) {
	for _, r := range t.Require {
		if r.Version > 0 && kvstore.Era(r.Version) < c.era.Load() {
			return 0, fmt.Errorf("%w: row %q was read in an earlier era", kvstore.ErrConflict, r.Key)
		}
	}
	t.Require = append(slices.Clone(t.Require), kvstore.Row{Table: c.Schema.FleetTable, Key: eraKey(c.era.Load() + 1)})
	t.Put = append(slices.Clone(t.Put), *c.eraRows.Load()...)
	return c.Store.Apply(ctx, t)
}

// retainMembers adds the members that were known before the era began to those of the
// table.
func (c *Controller) retainMembers() {
	for key, m := range c.retained {
		if _, ok := c.memberRows[key]; !ok && strings.HasPrefix(key, memberPrefix) {
			c.memberRows[key] = memberRow{member: m.member}
			c.members[m.member.ID] = m.member
		}
	}
}

// dropRetainedMembers ends the time for which members count that have not written their
// record again.
func (c *Controller) dropRetainedMembers(now time.Duration) {
	if c.retained != nil && now >= c.eraSeenAt+memberRetention {
		c.retained = nil
		c.tableChanged(c.Schema.FleetTable)
	}
}

// leaseExpiry returns the time until which this instance may use the primary of a group.
// A later era of the store proves nothing about a record that it may have lost: until the
// record is written again, the proofs from its own era and the majority of the users
// count, as while the store is down.
func (c *Controller) leaseExpiry(g *group) time.Duration {
	if g.record.Era >= c.era.Load() {
		return c.lease.Expiry(c.Self.ID, g.record.Users, g.record.Removed)
	}
	if g.earlierProof < 0 {
		return 0
	}
	without := slices.Clone(g.record.Removed)
	for _, u := range g.record.Users {
		if p := c.peers[u]; p != nil && p.provenSince > g.record.Era {
			without = append(without, u) // restarted; it may have confirmed a change and not know it
		}
	}
	return c.lease.ExpirySince(g.earlierProof, c.Self.ID, g.record.Users, without)
}

// usesEarlierRecords reports whether this instance may use a primary whose record has
// not been written again since the era began.
func (c *Controller) usesEarlierRecords() bool {
	for _, g := range c.groups {
		if g.record.Version > 0 && g.record.Era < c.era.Load() && g.record.MayUse(c.Self.ID) {
			return true
		}
	}
	return false
}

// leadersFor returns the records that the caller may lack: all of them if its copy of the
// table is from a later era, and else those that the table lacks.
func (c *Controller) leadersFor(req *peerrpc.WatchRequest) []catalog.Leadership {
	if req.Era <= c.era.Load() {
		return c.announcedLeaders()
	}
	var out []catalog.Leadership
	for _, g := range c.groups {
		if g.record.Version > 0 {
			out = append(out, g.record)
		}
	}
	return out
}

// learnFrom calls an instance back that has called and knows what this one lacks: a later
// era of the store, or what the store has lost.
func (c *Controller) learnFrom(now time.Duration, req *peerrpc.WatchRequest) {
	p := c.peers[req.From]
	if p == nil || now < p.learnAt {
		return
	}
	more := req.Era > c.era.Load() || c.catalog != nil && req.CatalogAhead > c.catalog.Version
	for id, v := range req.Announced {
		if g := c.groups[id]; g != nil && g.record.Era < c.era.Load() && v > announcedVersion(g.record) {
			more = true
		}
	}
	if !more {
		return
	}
	p.learnAt = now + learnInterval
	back := c.watchRequest(now, p, 0)
	go c.watch(c.ctx, p, &back)
}

// renewRecord begins to write the record of a primary again after the store has come back
// from a copy, which may hold an older one. Until that is done nobody changes the primary
// or its users.
func (c *Controller) renewRecord(ctx context.Context, now time.Duration, id fleet.GroupID, g *group) {
	if g.renewing || c.leaving || now < g.nextRenewal || now < c.eraSeenAt+time.Duration(c.keeperRank(id))*renewalStagger {
		return
	}
	g.renewing = true
	go func() {
		renewed := c.renew(ctx, id, g)
		c.Metrics.Count("leader_renewals")
		if c.runInLoop(ctx, func() {
			g.renewing = false
			if !renewed {
				g.nextRenewal = c.Clock.Now() + renewalRetry
			}
		}) != nil {
			return // the controller has stopped
		}
	}()
}

// renew writes the newest record that a majority of the users knows. Each of them has
// seen the era, so that it confirms no change any more that was claimed before. It
// reports whether the record is written.
func (c *Controller) renew(ctx context.Context, id fleet.GroupID, g *group) bool {
	call, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	var asked []*peer
	var reqs []peerrpc.WatchRequest
	var era uint64
	if c.runInLoop(ctx, func() {
		now := c.Clock.Now()
		era = c.era.Load()
		ask := append(c.witnesses(id), g.record.Users...)
		for _, p := range c.peers {
			if slices.Contains(ask, p.ID) {
				asked = append(asked, p)
				reqs = append(reqs, c.watchRequest(now, p, 0))
			}
		}
	}) != nil {
		return false
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	answers := map[fleet.InstanceID]peerrpc.WatchResponse{}
	for i, p := range asked {
		wg.Go(func() {
			start := c.Clock.Now()
			res, err := p.client.Watch(call, &reqs[i])
			if err != nil {
				c.Metrics.Count("exchange_failures")
				return
			} else if c.runInLoop(ctx, func() { c.applyWatch(p, start, &reqs[i], res) }) != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			answers[p.ID] = *res
		})
	}
	wg.Wait()
	var record catalog.Leadership
	ready := false
	if c.runInLoop(ctx, func() {
		record = g.record
		restartedCount := c.Clock.Now() >= c.eraSeenAt+renewalGrace
		known := 0
		for _, u := range record.Users {
			since, answered := c.provenSince, u == c.Self.ID
			if a, ok := answers[u]; ok && a.Era >= era {
				since, answered = a.ProvenSince, true
			}
			if answered && (since <= record.Era || restartedCount) || restartedCount && c.hasLeft(u, 0) {
				known++
			}
		}
		ready = era == c.era.Load() && record.Era < era && (len(record.Users) == 0 || known >= lease.Majority(len(record.Users)))
		// The row of the table, which may hold an older record.
		record.Version = g.rowVersion
	}) != nil || !ready {
		return false
	}
	record.RenewedEra = era
	// The store may have lost the record with which the holder of a change began to promote.
	record.Confirming = false
	if !c.storeRecord(ctx, &record) {
		return false
	}
	c.Log.Info("control: record of a primary written again", "group", string(id), "era", era, "revision", record.Revision,
		"primary", string(record.Primary), "settled", record.Settled, "users", len(record.Users), "answers", len(answers))
	return true
}
