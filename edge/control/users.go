package control

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/vanillahinge/vanillahinge/core/catalog"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/kvstore"
	"github.com/vanillahinge/vanillahinge/core/lease"
	"github.com/vanillahinge/vanillahinge/core/placement"
	"github.com/vanillahinge/vanillahinge/core/takeover"
	"github.com/vanillahinge/vanillahinge/core/topology"
	"github.com/vanillahinge/vanillahinge/edge/forward"
	"github.com/vanillahinge/vanillahinge/edge/peerrpc"
	"github.com/vanillahinge/vanillahinge/edge/pool"
)

const (
	// joinRequestFor is how long a statement's need for a primary makes this instance
	// try to register as a user of it.
	joinRequestFor = time.Second
	// minJoinPause and maxJoinPause bound the random pause after an attempt to
	// register that failed, usually because another instance registered first.
	minJoinPause = 20 * time.Millisecond
	maxJoinPause = 150 * time.Millisecond
	// holderCheckInterval is the time between two calls to the holder of a change that
	// is not settled, to learn whether its process still runs.
	holderCheckInterval = 500 * time.Millisecond
	// witnessCount is how many other instances are asked whether they reach a primary.
	witnessCount = 8
)

// Keepers implements forward.Directory.
func (c *Controller) Keepers(id fleet.GroupID, homes topology.Homes) []forward.Keeper {
	return forward.InHomes((*c.keepersByGroup.Load())[id], homes, c.Topology)
}

// keepsOwn reports whether each instance keeps its own connections to a group's
// endpoints.
func (c *Controller) keepsOwn(id fleet.GroupID) bool {
	return placement.KeepOwn(pool.UsableConnections(c.catalog.Groups[id].MaxConnections), len(c.members), len(c.catalog.Accounts))
}

// keeperRank returns this instance's position among the keepers of a group that seem to
// run.
func (c *Controller) keeperRank(id fleet.GroupID) int {
	rank := 0
	for k := range c.groupKeepers(id).All(c.primaryRegion(id)) {
		if k == c.Self.ID {
			break
		}
		if c.present(k) {
			rank++
		}
	}
	return rank
}

// publishPlacement publishes the keepers of each group.
func (c *Controller) publishPlacement() {
	if c.catalog == nil {
		return
	}
	next := make(map[fleet.GroupID][]forward.Keeper, len(c.catalog.Groups))
	for id := range c.catalog.Groups {
		if c.keepsOwn(id) {
			continue
		}
		for _, k := range c.servingKeepers(id) {
			next[id] = append(next[id], forward.Keeper{ID: k, Addr: c.members[k].ForwardAddr, Self: k == c.Self.ID,
				DataCentre: c.members[k].DataCentre, ReadsHomes: c.members[k].ReadsHomes,
				OtherRegion: c.Topology.Region(c.members[k].DataCentre) != c.Topology.Region(c.Self.DataCentre)})
		}
	}
	c.keepersByGroup.Store(&next)
	kept := make(map[fleet.GroupID]bool, len(c.catalog.Groups))
	keeps := int64(0)
	for id := range c.catalog.Groups {
		kept[id] = len(next[id]) == 0 || next[id][0].Self
		if kept[id] {
			keeps++
		}
	}
	c.Metrics.Gauge("groups_kept", keeps)
	c.Pool.SetKept(kept)
}

// ReportUnreachable implements forward.Directory.
func (c *Controller) ReportUnreachable(id fleet.InstanceID) {
	call, cancel := context.WithTimeout(context.Background(), peerCallTimeout)
	defer cancel()
	if c.runInLoop(call, func() {
		if p := c.peers[id]; p != nil {
			c.markDown(p)
		}
	}) != nil {
		c.Metrics.Count("control_busy")
	}
}

// jitter returns a random duration up to d.
func jitter(d time.Duration) time.Duration { return rand.N(d + 1) }

// requestJoin records that a statement needs the primary of a group that this instance
// is not permitted to use. It does not block.
func (c *Controller) requestJoin(id fleet.GroupID) {
	select {
	case c.mailbox <- func() { c.groupState(id).joinRequestedAt = c.Clock.Now() }:
	default:
	}
}

// joinUsers registers this instance as a user of a group's primary if it should be one.
func (c *Controller) joinUsers(ctx context.Context, now time.Duration, id fleet.GroupID, g *group) {
	record := c.leadership(id)
	if record.MayUse(c.Self.ID) || g.joining || now < g.nextJoin || c.leaving ||
		!record.Settled || record.Primary == "" || !c.registered() {
		return
	}
	requested := g.joinRequestedAt > 0 && now < g.joinRequestedAt+joinRequestFor && c.mayRequestJoin(id, len(record.Users), c.presentUsers(record))
	if !requested && !c.keepsOwn(id) && !slices.Contains(c.users(id), c.Self.ID) {
		return
	}
	g.joining = true
	go func() {
		ok := false
		c.guard(func() { ok = c.join(ctx, record, g) })
		if c.runInLoop(ctx, func() {
			g.joining = false
			if !ok {
				g.nextJoin = c.Clock.Now() + minJoinPause + jitter(maxJoinPause-minJoinPause)
			}
		}) != nil {
			return // the controller has stopped
		}
	}()
}

// goneAfter is how long a member must be absent before it is removed as a user of
// primaries, and memberGoneAfter before its record is: the root needs a majority of the
// records. A restart takes less. lostAfter is how long so many users of a primary must be down
// that the others are no majority before they are removed without one, and lostUnknownAfter the
// same for an instance whose removal takes the longer wait. isolatedAfter is how long they must
// be lost before an instance without contact with the root registers. needlessAfter is how long
// the keepers of a group must be the same before other users are removed.
const (
	goneAfter        = 5 * time.Second
	needlessAfter    = 3 * time.Second
	lostAfter        = time.Second
	lostUnknownAfter = lostAfter + 1500*time.Millisecond
	isolatedAfter    = 6 * time.Second
	// lostProbeTime is the time in which the other users are called before some are removed: a
	// second removal takes as long again.
	lostProbeTime   = watchSlack + 2*evaluationInterval
	memberGoneAfter = 10 * time.Second
)

// removeGoneUsers removes users of a primary that have been absent for long, so that a
// change of primary does not wait for them. The first present keeper does it, in two
// steps: after the first one they may not send, and the second one waits as a change
// does, until their permission has ended.
func (c *Controller) removeGoneUsers(ctx context.Context, now time.Duration, id fleet.GroupID, g *group) {
	record := c.leadership(id)
	if g.removing || !record.Settled || record.Version == 0 || c.leaving || !c.registered() {
		return
	}
	gone := c.lostUsers(now, record)
	switch {
	case len(gone) == 0:
		g.lostSince = 0
		if c.keeperRank(id) > 0 {
			return
		}
	case g.lostSince == 0:
		g.lostSince = now // silentUsers has waited for lostAfter
		// Others may be lost that this instance has not called since.
		for _, u := range record.Users {
			if p := c.peers[u]; p != nil && !p.down {
				go c.probe(ctx, p)
			}
		}
		return
	case now < g.lostSince+lostProbeTime:
		return
	case !c.knownBy(gone, record) && (now < g.lostSince+lostUnknownAfter-lostAfter || !c.removesLostUsers(id, record)):
		return
	}
	for _, u := range record.Users {
		if since, absent := c.absentSince[u]; absent && now >= since+goneAfter && !slices.Contains(gone, u) {
			gone = append(gone, u)
		}
	}
	slices.Sort(gone)
	if len(gone) == 0 {
		gone = c.needlessUsers(now, id, g, record)
	}
	if len(gone) == 0 {
		gone = record.Removed
	}
	if len(gone) == 0 {
		return
	}
	if len(record.Removed) > 0 && (slices.Contains(record.Removed, c.Self.ID) || !slices.ContainsFunc(gone, record.MayUse)) {
		// Another instance has begun and not finished.
		unfinished := takeover.AbandonedAfter
		if present := c.presentUsers(record); slices.Contains(record.Removed, c.Self.ID) && present < lease.Majority(len(record.Users)) {
			// One that removes this instance may run although it does not answer here, and a
			// removal of others would end its wait.
			unfinished += lease.MaxMajorityExtension
		}
		if now < g.learnedAt+unfinished {
			return
		}
	}
	g.removing = true
	g.removedHere = gone
	go func() {
		c.guard(func() { c.removeUsers(ctx, record, gone) })
		if c.runInLoop(ctx, func() { g.removing = false }) != nil {
			return // the controller has stopped
		}
	}()
}

// returnedFor is how long a user that this instance has removed, and that has registered again,
// does not count as lost. It reaches the store, so that it is this instance that may be cut off
// from the others, and each removal stops all users until they have registered again.
const returnedFor = 30 * time.Second

// noteReturned notes the users that have registered again since this instance removed them.
func (g *group) noteReturned(now time.Duration, old, l catalog.Leadership) {
	for _, u := range g.removedHere {
		if slices.Contains(old.Removed, u) && l.MayUse(u) {
			if g.returned == nil {
				g.returned = map[fleet.InstanceID]time.Duration{}
			}
			g.returned[u] = now
		}
	}
}

// lostUsers returns the users of a primary to remove without a majority: those that do not
// answer, if the others are no majority.
func (c *Controller) lostUsers(now time.Duration, record catalog.Leadership) []fleet.InstanceID {
	g := c.groupState(record.Group)
	returned := func(u fleet.InstanceID) bool {
		at, ok := g.returned[u]
		return ok && now < at+returnedFor
	}
	lost := slices.DeleteFunc(c.silentUsers(now, record), returned)
	if len(lost) == 0 || !lackMajority(record, lost) {
		return nil
	}
	// Those that have just been found down are removed with the others: a second removal
	// takes as long again.
	for _, u := range record.Users {
		if p := c.peers[u]; p != nil && p.down && !slices.Contains(lost, u) && !returned(u) && !c.hasLeft(u, record.Version) {
			lost = append(lost, u)
		}
	}
	return lost
}

// lackMajority reports whether the users of a primary without the given ones are no majority
// that can confirm a change.
func lackMajority(record catalog.Leadership, without []fleet.InstanceID) bool {
	return record.Unacknowledged || len(record.Users)-len(without) < lease.Majority(len(record.Users))
}

// silentUsers returns the users of a primary that have not answered for lostAfter, if the
// others are no majority.
func (c *Controller) silentUsers(now time.Duration, record catalog.Leadership) []fleet.InstanceID {
	var silent []fleet.InstanceID
	for _, u := range record.Users {
		p := c.peers[u]
		switch {
		case u == c.Self.ID, c.hasLeft(u, record.Version): // counts as one that confirms
		case p == nil, p.down && now >= p.downSince+lostAfter, c.absent[u] && now >= c.absentSince[u]+lostAfter:
			silent = append(silent, u)
		}
	}
	if !lackMajority(record, silent) {
		return nil
	}
	return silent
}

// knownBy reports whether all given users of a primary know this instance as a user, so that
// their removal by it takes the shorter wait of takeover.TakesEffectAt.
func (c *Controller) knownBy(users []fleet.InstanceID, record catalog.Leadership) bool {
	known := c.groupState(record.Group).acknowledged
	return record.MayUse(c.Self.ID) && !slices.ContainsFunc(users, func(u fleet.InstanceID) bool { return !known[u] })
}

// removesLostUsers reports whether it is this instance that removes the lost users of a
// primary if it is known by none: the first of the users that are left, or the first
// present keeper if none is.
func (c *Controller) removesLostUsers(id fleet.GroupID, record catalog.Leadership) bool {
	if c.presentUsers(record) == 0 && !record.MayUse(c.Self.ID) {
		return c.keeperRank(id) == 0
	}
	for k := range c.groupKeepers(id).All(c.primaryRegion(id)) {
		if record.MayUse(k) && (k == c.Self.ID || c.present(k)) {
			return k == c.Self.ID
		}
	}
	return false
}

// needlessUsers returns the users beyond the first present keepers of a group, once these
// have been the same for needlessAfter. The more users, the more have to confirm a change.
func (c *Controller) needlessUsers(now time.Duration, id fleet.GroupID, g *group, record catalog.Leadership) []fleet.InstanceID {
	count := c.groupKeepers(id).UserCount()
	if c.keepsOwn(id) || len(record.Users) <= count {
		g.keepersSince = 0
		return nil
	}
	keepers := c.users(id)
	if g.keepersSince == 0 || !slices.Equal(keepers, g.stableKeepers) {
		g.stableKeepers, g.keepersSince = keepers, now
		return nil
	}
	if now < g.keepersSince+needlessAfter || len(keepers) < count {
		return nil
	}
	for _, k := range keepers {
		if !record.MayUse(k) {
			return nil // it registers first
		}
	}
	return slices.DeleteFunc(slices.Clone(record.Users), func(u fleet.InstanceID) bool { return slices.Contains(keepers, u) })
}

// removeUsers removes users of a primary.
func (c *Controller) removeUsers(ctx context.Context, old catalog.Leadership, gone []fleet.InstanceID) {
	l := old
	l.Removed = gone
	if !c.storeRecord(ctx, &l) {
		sleep(ctx, maxJoinPause)
		return
	}
	ch := &primaryChange{ctl: c, old: old, record: l, startedAt: c.Clock.Now(), claimedAt: c.Clock.Now(), calledAt: c.Clock.Now(), removal: true}
	if _, _, result := ch.awaitConfirmations(ctx, nil); result != oldPrimaryUnused {
		return
	}
	for {
		// Others may have registered since.
		if c.runInLoop(ctx, func() { l = c.leadership(old.Group) }) != nil || !ch.stillRemoves(l) {
			return
		}
		l = takeover.RemoveUsers(ch.record, l)
		if c.storeRecord(ctx, &l) {
			c.Log.Info("control: users of a primary removed", "group", string(l.Group), "removed", gone, "users", len(l.Users))
			return
		}
		if !sleep(ctx, maxJoinPause) {
			return
		}
	}
}

// storeRecord stores a record on the condition that the stored one has its version, and
// adopts it with the new one.
func (c *Controller) storeRecord(ctx context.Context, l *catalog.Leadership) bool {
	*l = l.Next(c.era.Load())
	value, err := json.Marshal(l)
	version := uint64(0)
	if err == nil {
		row := kvstore.Row{Table: c.Schema.FleetTable, Key: leaderPrefix + string(l.Group), Value: value, Version: l.Version}
		call, cancel := context.WithTimeout(ctx, claimTimeout)
		version, err = c.apply(call, kvstore.Transaction{Require: []kvstore.Row{row}, Put: []kvstore.Row{row}})
		cancel()
	}
	if err != nil {
		if !errors.Is(err, kvstore.ErrConflict) {
			c.Log.Info("control: record of a primary not stored", "group", string(l.Group), "error", err.Error())
		}
		return false
	}
	l.Version = version
	return c.runInLoop(ctx, func() {
		c.adoptLeadership(*l)
		c.renewLease()
		c.publishView()
	}) == nil
}

// leaveTimeout bounds the time in which a stopping instance marks its member record.
const leaveTimeout = 400 * time.Millisecond

// Deregister marks the member record of this instance as left, so that nothing waits for it:
// it is no user of primaries any more. Call it once nothing more is sent to endpoints. Without
// the mark a change of primary waits until the permission of this instance would have ended.
func (c *Controller) Deregister() {
	ctx, cancel := context.WithTimeout(c.ctx, leaveTimeout)
	defer cancel()
	self := c.Self
	self.Left = true
	for {
		changing := false
		if c.runInLoop(ctx, func() {
			c.leaving, c.deregistered = true, true
			c.renewLease()
			for _, g := range c.groups {
				changing = changing || g.changing
			}
		}) != nil {
			return
		}
		// The mark says that no change is carried out here either.
		err := errChanging
		if !changing {
			err = c.storeMember(ctx, self)
		}
		if err == nil {
			return
		}
		if !sleep(ctx, changePollInterval) {
			c.Log.Info("control: member record not marked as left", "error", err.Error())
			return
		}
	}
}

// errChanging means that this instance still carries out a change of primary.
var errChanging = errors.New("control: a change of primary goes on; another instance takes it over later")

// hasLeft reports whether an instance has left the fleet, as of a version of the fleet's
// table or later. Its next process gets no permission before its own record is in its copy
// of the table, which then holds what was written before.
func (c *Controller) hasLeft(id fleet.InstanceID, version uint64) bool {
	return c.members[id].Left && c.tables[c.Schema.FleetTable].asOf >= version && c.Clock.Now() >= c.eraSeenAt+takeover.RenewalWait
}

// removeGoneMembers deletes the records of members that have been absent for long. An
// instance that is not gone registers again; which instances may use a primary does not
// depend on these records.
func (c *Controller) removeGoneMembers(ctx context.Context, now time.Duration) {
	if !c.role.Root || c.removingMembers {
		return
	}
	var gone []kvstore.Row
	for id, since := range c.absentSince {
		key := memberPrefix + string(id)
		if row, ok := c.tables[c.Schema.FleetTable].rows[key]; ok && now >= since+memberGoneAfter && len(gone) < maxRemovedMembers {
			gone = append(gone, kvstore.Row{Table: c.Schema.FleetTable, Key: key, Version: row.Version})
		}
	}
	if len(gone) == 0 {
		return
	}
	c.removingMembers = true
	go func() {
		call, cancel := context.WithTimeout(ctx, claimTimeout)
		defer cancel()
		_, err := c.apply(call, kvstore.Transaction{Require: gone, Delete: gone})
		c.Log.Info("control: records of members removed that are gone", "count", len(gone), "error", errorText(err))
		sleep(ctx, claimTimeout)
		if c.runInLoop(ctx, func() { c.removingMembers = false }) != nil {
			return // the controller has stopped
		}
	}()
}

// maxRemovedMembers bounds the records that are deleted in one call.
const maxRemovedMembers = 50

// presentUsers returns how many users of a primary seem to run.
func (c *Controller) presentUsers(l catalog.Leadership) int {
	n := 0
	for _, id := range l.Users {
		if c.present(id) {
			n++
		}
	}
	return n
}

// join stores a record in which this instance is a user of the primary. The write is
// conditional on the version of the record without it, so that a change of primary
// that is claimed later asks this instance. While most of the users are lost it is stored
// without their acknowledgement: the primary is used until they have been removed. It reports
// whether the record is stored.
func (c *Controller) join(ctx context.Context, old catalog.Leadership, g *group) bool {
	l := old.WithUser(c.Self.ID)
	if c.runInLoop(ctx, func() { c.nameFirstReplicas(&l, old) }) != nil {
		return false
	}
	known := c.knowing(ctx, old)
	ok := len(old.Users) == 0 || known >= lease.Majority(len(old.Users))
	if !ok && !slices.Contains(old.Removed, c.Self.ID) && c.runInLoop(ctx, func() { ok = c.mostAreLost(c.Clock.Now(), old, g) }) == nil {
		l.Unacknowledged = true
	}
	ok = ok && c.storeRecord(ctx, &l)
	c.Metrics.Count("user_registrations")
	return ok
}

// mostAreLost reports whether so many users of a primary are lost that the others are no
// majority. Without contact with the root it may be this instance that is cut off, and each
// unacknowledged registration makes changes of primary slow; then it waits for longer than most
// such faults last.
func (c *Controller) mostAreLost(now time.Duration, record catalog.Leadership, g *group) bool {
	if len(c.silentUsers(now, record)) == 0 {
		return false
	}
	return c.inContact(now) || record.Unacknowledged || g.lostSince > 0 && now >= g.lostSince+isolatedAfter
}

// acknowledgeTimeout bounds the calls of knowing.
const acknowledgeTimeout = 250 * time.Millisecond

// knowing returns how many users of a primary act on the record, this instance included;
// package lease says why another user may be added only if a majority does. It stops counting
// at a majority, unless the record is unacknowledged. Users that do not answer are called once
// more, to learn whether they are down.
func (c *Controller) knowing(ctx context.Context, l catalog.Leadership) int {
	if len(l.Users) == 0 {
		return 0
	}
	call, cancel := context.WithTimeout(ctx, acknowledgeTimeout)
	defer cancel()
	answers := make(chan bool, len(l.Users))
	for _, id := range l.Users {
		go func() {
			left := false
			if c.runInLoop(call, func() { left = c.hasLeft(id, l.Version) }) != nil || left || id == c.Self.ID {
				answers <- left || id == c.Self.ID // this instance has read the record
				return
			}
			peers := c.peerList(call, []fleet.InstanceID{id})
			if len(peers) == 0 {
				answers <- false
				return
			}
			res, err := peers[0].client.Confirm(call, &peerrpc.ConfirmRequest{Record: l})
			answers <- err == nil && res.Version >= l.Order()
			if err != nil {
				c.probe(ctx, peers[0])
			}
		}()
	}
	known, enough := 0, lease.Majority(len(l.Users))
	if l.Unacknowledged {
		enough = len(l.Users)
	}
	for range l.Users {
		if <-answers {
			known++
		}
		if known >= enough {
			break
		}
	}
	return known
}

// probe calls another instance to learn whether it is down.
func (c *Controller) probe(ctx context.Context, p *peer) {
	var req peerrpc.WatchRequest
	if c.runInLoop(ctx, func() { req = c.watchRequest(c.Clock.Now(), p, 0) }) == nil {
		c.watch(ctx, p, &req)
	}
}

// acknowledgeInterval is the time between two attempts to learn that all users act on an
// unacknowledged record.
const acknowledgeInterval = time.Second

// acknowledgeUsers stores a record as acknowledged once all its users act on it.
func (c *Controller) acknowledgeUsers(ctx context.Context, now time.Duration, id fleet.GroupID, g *group) {
	record := c.leadership(id)
	if !record.Unacknowledged || !record.Settled || g.joining || g.removing || now < g.nextJoin || !record.MayUse(c.Self.ID) ||
		c.leaving || !c.registered() || !c.removesLostUsers(id, record) || len(c.silentUsers(now, record)) > 0 {
		return
	}
	g.joining, g.nextJoin = true, now+acknowledgeInterval
	go func() {
		c.guard(func() {
			if c.knowing(ctx, record) == len(record.Users) {
				l := record
				l.Unacknowledged = false
				c.storeRecord(ctx, &l)
			}
		})
		if c.runInLoop(ctx, func() { g.joining = false }) != nil {
			return // the controller has stopped
		}
	}()
}

// fellowUsers returns the other users of the primaries that this instance may use.
func (c *Controller) fellowUsers() map[fleet.InstanceID]*peer {
	out := map[fleet.InstanceID]*peer{}
	for _, g := range c.groups {
		if !g.record.MayUse(c.Self.ID) {
			continue
		}
		for _, id := range g.record.Users {
			if p := c.peers[id]; p != nil {
				out[id] = p
			}
		}
	}
	return out
}

// witnesses returns some other instances that can tell whether a primary is reached.
func (c *Controller) witnesses(id fleet.GroupID) []fleet.InstanceID {
	var out []fleet.InstanceID
	for k := range c.groupKeepers(id).All(c.primaryRegion(id)) {
		if len(out) == witnessCount {
			break
		}
		if k != c.Self.ID && c.present(k) {
			out = append(out, k)
		}
	}
	return out
}

// checkHolder calls the holder of a change that is not settled, to learn whether its
// process still runs.
func (c *Controller) checkHolder(ctx context.Context, now time.Duration, g *group) {
	p := c.peers[g.record.Holder]
	if g.record.Version == 0 || g.record.Settled || p == nil || now < max(g.learnedAt, g.holderCheckedAt)+holderCheckInterval {
		return
	}
	g.holderCheckedAt = now
	req := c.watchRequest(now, p, 0)
	go c.watch(ctx, p, &req)
}
