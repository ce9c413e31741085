package control

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/vanillahinge/vanillahinge/core/catalog"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/kvstore"
	"github.com/vanillahinge/vanillahinge/core/relay"
	"github.com/vanillahinge/vanillahinge/edge/peerrpc"
)

const (
	// watchSlack is added to the hold of a Watch call for its timeout: several round
	// trips between data centres, or one lost packet.
	watchSlack = 300 * time.Millisecond
	// peerCallTimeout bounds one short call to another instance.
	peerCallTimeout = 500 * time.Millisecond
	// watchBatchInterval is the least time between two Watch calls to the same
	// instance, so that changes that come in quick succession travel together.
	watchBatchInterval = 40 * time.Millisecond
	// staleWatchInterval is the same while this instance has no recent proof, and asks one
	// source after the other.
	staleWatchInterval = 150 * time.Millisecond
	// minProbePause and maxProbePause bound the pauses between the calls to an instance
	// that is down. They double.
	minProbePause = 100 * time.Millisecond
	maxProbePause = 800 * time.Millisecond
	// awayTime is how long an instance counts as away after it has said that it does not
	// serve. By then the root does not hear it any more, or it serves again.
	awayTime = relay.HeardFor + time.Second
	// staleFor is how long an instance without a recent proof is passed over.
	staleFor = 500 * time.Millisecond
	// freshProofAge is the age of a proof up to which nothing is wrong with the
	// distribution of proofs: a reader renews its proof once in fleetTableWait.
	freshProofAge = fleetTableWait + 300*time.Millisecond
	// proofGain is by how much the proof of another instance must be newer for it to
	// answer at once.
	proofGain = 200 * time.Millisecond
	// maxRelayedProofAge is the age of the last proof above which an instance reads
	// the store itself or asks all others. A read takes far less than the time left
	// to lease.Duration.
	maxRelayedProofAge = fleetTableWait + 900*time.Millisecond
	// detourInterval is the time between two calls to instances that this one does not
	// follow, while its last proof is older than freshProofAge.
	detourInterval = 500 * time.Millisecond
	// evidenceInterval is the time between the calls to the other users of a primary
	// while the store proves nothing.
	evidenceInterval = 500 * time.Millisecond
	// maxAcknowledgementCalls bounds the calls of requestAcknowledgements in one such
	// interval. Where each instance keeps its own connections all are users of each primary.
	maxAcknowledgementCalls = 4
)

// followPeers keeps this instance up to date from the instance that it follows.
func (c *Controller) followPeers(ctx context.Context) {
	for ctx.Err() == nil {
		var p *peer
		var req peerrpc.WatchRequest
		if c.runInLoop(ctx, func() {
			now := c.Clock.Now()
			c.updateRole(now)
			for _, id := range c.role.Sources {
				// A source whose proof is old is passed over while another one may
				// have a newer proof.
				if s := c.peers[id]; s != nil && (p == nil || now < p.staleUntil && now >= s.staleUntil) {
					p = s
				}
			}
			if p != nil {
				req = c.watchRequest(now, p, c.role.Hold)
			}
		}) != nil {
			return
		}
		start := c.Clock.Now()
		if p == nil {
			c.announceRoot(ctx)
			if !sleep(ctx, readerPollInterval) {
				return
			}
			continue
		}
		c.watch(ctx, p, &req)
		pause := watchBatchInterval
		if c.runInLoop(ctx, func() {
			if at, ok := c.lease.Proof(); !ok || c.Clock.Now() > at+freshProofAge {
				pause = staleWatchInterval
			}
		}) != nil {
			return
		}
		if rest := pause - (c.Clock.Now() - start); rest > 0 && !sleep(ctx, rest) {
			return
		}
	}
}

// askOthers asks an instance that this one does not follow, while no recent proof comes from
// those that it follows: the store may turn all of them away. The response brings tables and
// a proof. Its list of absent instances and its contact with the root do not count, since
// they may be older than those of the instances that are followed.
func (c *Controller) askOthers(ctx context.Context) {
	for attempt := 0; sleep(ctx, detourInterval); {
		var p *peer
		var req peerrpc.WatchRequest
		if c.runInLoop(ctx, func() {
			now := c.Clock.Now()
			// Without a proof the time since the start of the process counts.
			if at, _ := c.lease.Proof(); c.leaving || now <= at+freshProofAge {
				return
			}
			if p = c.otherSource(now, attempt); p != nil {
				req = c.watchRequest(now, p, 0)
			}
			attempt++
		}) != nil {
			return
		}
		if p == nil {
			continue
		}
		start := c.Clock.Now()
		call, cancel := context.WithTimeout(ctx, peerCallTimeout)
		res, err := p.client.Watch(call, &req)
		cancel()
		c.Metrics.Count("detours")
		if c.runInLoop(ctx, func() {
			if err != nil {
				p.client.Close()
				c.recordPeerFailure(p, err)
				return
			}
			res.HasAbsent, res.ContactAgeMS = false, -1
			c.applyWatch(p, start, &req, res)
			if now := c.Clock.Now(); now < p.staleUntil {
				c.detour = ""
			} else {
				c.detour = p.ID
			}
		}) != nil {
			return
		}
	}
}

// otherSource returns an instance to ask in place of those that are followed: the one that
// had a recent proof last, or in turn one of the first of this data centre, which read the
// store themselves in this state, and any other one. It returns nil if there is none.
func (c *Controller) otherSource(now time.Duration, attempt int) *peer {
	usable := func(id fleet.InstanceID) bool {
		return id != c.Self.ID && c.present(id) && now >= c.peers[id].staleUntil && !slices.Contains(c.role.Sources, id)
	}
	if c.detour != "" && usable(c.detour) {
		return c.peers[c.detour]
	}
	var local, others []fleet.InstanceID
	for _, m := range c.order {
		switch {
		case !usable(m.ID):
		case m.DataCentre == c.Self.DataCentre && len(local) < fallbackReaderCount:
			local = append(local, m.ID)
		default:
			others = append(others, m.ID)
		}
	}
	if len(local) > 0 && (attempt%2 == 0 || len(others) == 0) {
		return c.peers[local[attempt/2%len(local)]]
	}
	if len(others) == 0 {
		return nil
	}
	return c.peers[others[rand.IntN(len(others))]]
}

// announceRoot calls the instances that this one does not hear from, while it takes
// itself for the root and hears few: they may follow another one and take this one for
// absent, or not run.
func (c *Controller) announceRoot(ctx context.Context) {
	var calls []*peer
	var reqs []peerrpc.WatchRequest
	if c.runInLoop(ctx, func() {
		now := c.Clock.Now()
		if !c.role.Root || c.inContact(now) && now < c.contact+relay.MaxHold {
			return
		}
		heard := c.presence.Heard(now)
		for _, p := range c.peers {
			if _, ok := slices.BinarySearch(heard, p.ID); !ok && !p.down {
				calls = append(calls, p)
				reqs = append(reqs, c.watchRequest(now, p, 0))
			}
		}
	}) != nil {
		return
	}
	for i, p := range calls {
		go c.watch(ctx, p, &reqs[i])
	}
}

// updateRole determines whom this instance follows and whether it is the root.
func (c *Controller) updateRole(now time.Duration) {
	if len(c.absent) > 0 && !c.inContact(now) {
		// The list is that of a root which this instance has lost. Kept, it can name all
		// instances that precede this one, which then takes itself for the root, hears no
		// majority, and follows nobody who could correct the list.
		c.setAbsent(nil)
	}
	self := relay.Member{ID: c.Self.ID, DataCentre: c.Self.DataCentre, Region: c.Topology.Region(c.Self.DataCentre)}
	c.role = relay.RoleOf(self, c.order, func(id fleet.InstanceID) bool { return c.present(id) })
	c.presence.SetRoot(now, c.role.Root)
	if !c.role.Root {
		return
	}
	stopped := 0
	for _, p := range c.peers {
		if c.hasLeft(p.ID, 0) && c.proofIsRecent(now) {
			stopped++
		}
	}
	if c.registered() && c.presence.HasQuorum(now, c.Self.ID, c.order, stopped) {
		c.setContact(now)
	}
	if absent, ok := c.presence.Absent(now, c.Self.ID, c.order, stopped); ok {
		c.setAbsent(absent)
	}
}

// setContact records that this instance had contact with the root.
func (c *Controller) setContact(at time.Duration) {
	before := c.inContact(c.Clock.Now())
	if !c.hasContact || at > c.contact {
		c.contact, c.hasContact = at, true
	}
	if !before && c.inContact(c.Clock.Now()) {
		c.assignHomes()
		c.signalChange()
	}
}

// proofIsRecent reports whether this instance would know by now if an instance that has left
// had come back.
func (c *Controller) proofIsRecent(now time.Duration) bool {
	at, ok := c.lease.Proof()
	return ok && now <= at+maxRelayedProofAge
}

// inContact reports whether the other instances cannot take this one for absent yet.
func (c *Controller) inContact(now time.Duration) bool {
	return c.hasContact && now < c.contact+relay.ContactFor
}

// present reports whether another instance seems to run and answer.
func (c *Controller) present(id fleet.InstanceID) bool {
	p := c.peers[id]
	return p != nil && !p.down && !c.absent[id]
}

// setAbsent installs the list of absent instances.
func (c *Controller) setAbsent(absent []fleet.InstanceID) {
	h := xxhash.New()
	for _, id := range absent {
		_, _ = h.WriteString(string(id) + "\x00")
	}
	if sum := h.Sum64(); sum != c.absentHash {
		c.absentHash = sum
		c.absent = make(map[fleet.InstanceID]bool, len(absent))
		before := c.absentSince
		c.absentSince = make(map[fleet.InstanceID]time.Duration, len(absent))
		for _, id := range absent {
			if id == c.Self.ID {
				continue // it runs, whatever the root has heard
			}
			c.absent[id] = true
			since, ok := before[id]
			if !ok {
				since = c.Clock.Now()
			}
			c.absentSince[id] = since
		}
		c.Log.Info("control: absent instances", "count", len(absent), "instances", absent)
		c.assignHomes()
		c.signalChange()
	}
}

// signalChange makes the held Watch calls of other instances look for news.
func (c *Controller) signalChange() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// watchRequest returns a request to a peer.
func (c *Controller) watchRequest(now time.Duration, p *peer, hold time.Duration) peerrpc.WatchRequest {
	req := peerrpc.WatchRequest{From: c.Self.ID, Tables: c.tableStates(), ProofAgeMS: -1, HoldMS: hold.Milliseconds(),
		Serving: c.serving(), AbsentHash: c.absentHash, InContact: c.inContact(now), Era: c.era.Load()}
	if c.catalogAhead {
		req.CatalogAhead = c.catalog.Version
	}
	if c.catalog != nil {
		req.CatalogVersion = c.catalog.Version
	}
	if at, ok := c.lease.Proof(); ok {
		req.ProofAgeMS = (now - at).Milliseconds() + 1
	}
	for _, g := range c.announcedLeaders() {
		if req.Announced == nil {
			req.Announced = map[fleet.GroupID]uint64{}
		}
		req.Announced[g.Group] = announcedVersion(g)
	}
	if heard := c.presence.Heard(now); p.reported == nil || !slices.Equal(heard, p.reported) {
		req.Heard = heard
	}
	return req
}

// announcedVersion orders the records of a group: of two with the same order the
// settled one is newer.
func announcedVersion(l catalog.Leadership) uint64 {
	v := l.Order() << 1
	if l.Settled {
		v++
	}
	return v
}

// announcedLeaders returns the leadership records that this instance acts on and its
// copy of the fleet's table lacks.
func (c *Controller) announcedLeaders() []catalog.Leadership {
	var out []catalog.Leadership
	for _, g := range c.groups {
		if g.record.Version > 0 && announcedVersion(g.record) > g.rowOrder {
			out = append(out, g.record)
		}
	}
	return out
}

// watch sends a Watch call to a peer and installs what the response brings.
func (c *Controller) watch(ctx context.Context, p *peer, req *peerrpc.WatchRequest) {
	start := c.Clock.Now()
	scope := c.repoll.Load()
	call, cancel := context.WithTimeout(scope, time.Duration(req.HoldMS)*time.Millisecond+watchSlack)
	defer cancel()
	res, err := p.client.Watch(call, req)
	if err != nil {
		if scope.Err() != nil {
			return // ended by repollNow
		}
		p.client.Close()
		if c.runInLoop(ctx, func() { c.recordPeerFailure(p, err) }) != nil {
			return
		}
		return
	}
	_ = c.runInLoop(ctx, func() { c.applyWatch(p, start, req, res) })
}

// recordPeerFailure records that a call to a peer failed. The peer counts as down until
// a probe succeeds.
func (c *Controller) recordPeerFailure(p *peer, err error) {
	refused := errors.Is(err, peerrpc.ErrRefused)
	if !p.down {
		c.Log.Info("control: instance does not answer", "peer", string(p.ID), "refused", refused, "error", err.Error())
	}
	c.markDown(p)
	c.Metrics.Count("exchange_failures")
}

// markDown makes a peer count as down.
func (c *Controller) markDown(p *peer) {
	if p.down {
		return // told by many operations at once
	}
	p.probePause = minProbePause
	p.probeAt = c.Clock.Now() + p.probePause
	p.down, p.downSince, p.reported = true, c.Clock.Now(), nil
	c.assignHomes()
	c.publishPlacement()
}

// recordPeerAnswer records that a peer answered a call.
func (c *Controller) recordPeerAnswer(p *peer, serving bool) {
	now := c.Clock.Now()
	changed := p.down || serving != (now >= p.awayUntil)
	p.down, p.awayUntil = false, 0
	if !serving {
		p.awayUntil = now + awayTime
	}
	if changed {
		c.assignHomes()
		c.publishPlacement()
	}
}

// probeDownPeers calls the peers that are down, unless they count as absent anyway.
func (c *Controller) probeDownPeers(ctx context.Context, now time.Duration) {
	for _, p := range c.peers {
		if !p.down || now < p.probeAt || c.absent[p.ID] {
			continue
		}
		p.probePause = min(2*p.probePause, maxProbePause)
		p.probeAt = now + p.probePause
		req := c.watchRequest(now, p, 0)
		go c.watch(ctx, p, &req)
	}
}

// applyWatch installs the response to a Watch call that began at start.
func (c *Controller) applyWatch(p *peer, start time.Duration, req *peerrpc.WatchRequest, res *peerrpc.WatchResponse) {
	now := c.Clock.Now()
	c.recordPeerAnswer(p, res.Serving)
	if req.Heard != nil {
		p.reported = req.Heard
	}
	changed := false
	for name, t := range res.Tables {
		if c.tables[name] != nil && c.applyTableChange(name, t) {
			changed = true
		}
	}
	for _, l := range res.Leaders {
		if c.adoptLeadership(l) {
			changed = true
		}
	}
	if res.Catalog != nil && c.adoptCatalog(res.Catalog) {
		changed = true
	}
	if changed {
		c.publishView()
	}
	if res.HasAbsent && !c.role.Root {
		c.setAbsent(res.Absent)
	}
	// The response left the peer no earlier than held after the call began.
	sent := start + time.Duration(res.HeldMS)*time.Millisecond
	if res.ContactAgeMS >= 0 {
		c.setContact(sent - time.Duration(res.ContactAgeMS)*time.Millisecond)
	}
	c.lease.AddPeerResponse(p.ID, start, res.ProofAgeMS >= 0)
	p.provenSince = res.ProvenSince
	if res.ProofAgeMS >= 0 && res.Era >= c.era.Load() {
		c.addProof(sent - time.Duration(res.ProofAgeMS)*time.Millisecond)
	} else {
		c.renewLease()
	}
	if at, ok := c.lease.Proof(); !ok || now > at+freshProofAge {
		p.staleUntil = now + staleFor
	}
}

// addProof records a proof and lets the instances that follow this one know.
func (c *Controller) addProof(at time.Duration) {
	before, ok := c.lease.Proof()
	if !ok {
		c.provenSince = c.era.Load()
	}
	c.provenHere = c.provenHere || at > 0
	c.lease.AddProof(at)
	c.renewLease()
	if after, _ := c.lease.Proof(); !ok || after >= before+proofGain {
		c.signalChange()
	}
}

// collectEvidence calls the other users of the primaries that this instance uses while
// the store proves nothing, for the majority of package lease, or while this instance has no
// contact with the root, to learn which of them are down. It also tells each of them once
// that this instance is a user. It ends with ctx.
func (c *Controller) collectEvidence(ctx context.Context) {
	for sleep(ctx, evidenceInterval) {
		var calls []*peer
		var reqs []peerrpc.WatchRequest
		if c.runInLoop(ctx, func() {
			now := c.Clock.Now()
			at, ok := c.lease.Proof()
			c.requestAcknowledgements(ctx)
			if !ok || now <= at+maxRelayedProofAge && !c.usesEarlierRecords() && c.inContact(now) {
				return
			}
			for _, p := range c.fellowUsers() {
				calls = append(calls, p)
				reqs = append(reqs, c.watchRequest(now, p, 0))
			}
		}) != nil {
			return
		}
		for i, p := range calls {
			go c.watch(ctx, p, &reqs[i])
		}
	}
}

// requestAcknowledgements asks the other users of each primary to act on the record in which
// this instance is one of them.
func (c *Controller) requestAcknowledgements(ctx context.Context) {
	calls := 0
	for _, g := range c.groups {
		record := g.record
		if !record.Settled || !record.MayUse(c.Self.ID) {
			continue
		}
		for _, u := range record.Users {
			p := c.peers[u]
			if u == c.Self.ID || g.acknowledged[u] || p == nil || p.down {
				continue
			}
			if calls++; calls > maxAcknowledgementCalls {
				return
			}
			removals := g.removals
			go func() {
				call, cancel := context.WithTimeout(ctx, acknowledgeTimeout)
				defer cancel()
				res, err := p.client.Confirm(call, &peerrpc.ConfirmRequest{Record: record})
				if err != nil || res.Version < record.Order() {
					return
				}
				if c.runInLoop(ctx, func() {
					// A record since then may name this instance as removed.
					if g.removals == removals && g.record.MayUse(c.Self.ID) && g.record.Order() >= record.Order() {
						if g.acknowledged == nil {
							g.acknowledged = map[fleet.InstanceID]bool{}
						}
						g.acknowledged[u] = true
					}
				}) != nil {
					return // the controller has stopped
				}
			}()
		}
	}
}

// repollScope is the context of the held calls to the instance that this one follows.
type repollScope struct {
	context.Context
	cancel context.CancelFunc
}

func newRepollScope() *repollScope {
	ctx, cancel := context.WithCancel(context.Background())
	return &repollScope{ctx, cancel}
}

// repollNow ends the held call to the instance that this one follows, so that the
// next one tells it the news.
func (c *Controller) repollNow() { c.repoll.Swap(newRepollScope()).cancel() }

// tableStates returns the state of this instance's copy of each loaded table.
func (c *Controller) tableStates() map[string]peerrpc.TableState {
	out := make(map[string]peerrpc.TableState, len(c.tables))
	for name, t := range c.tables {
		if t.loaded && !t.damaged {
			out[name] = peerrpc.TableState{AsOf: t.asOf, Digest: t.digest}
		}
	}
	return out
}

// Watch serves the call of an instance that follows this one.
func (c *Controller) Watch(ctx context.Context, req *peerrpc.WatchRequest) (*peerrpc.WatchResponse, error) {
	var res *peerrpc.WatchResponse
	received := c.Clock.Now()
	hold := min(max(0, time.Duration(req.HoldMS)*time.Millisecond), relay.MaxHold)
	for {
		var changed chan struct{}
		var news urgency
		if err := c.runInLoop(ctx, func() {
			now := c.Clock.Now()
			c.hear(now, req)
			res, news = c.newsFor(now, now-received, req)
			changed = c.changed
		}); err != nil {
			return nil, err
		}
		rest := hold - (c.Clock.Now() - received)
		if news == canWait {
			rest -= hold - min(hold, patientHold)
		}
		if news == urgent || rest <= 0 {
			return res, nil
		}
		timer := time.NewTimer(rest)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
}

// urgency tells when an instance that follows this one is told what it lacks.
type urgency uint8

const (
	// noNews: at the end of the hold.
	noNews urgency = iota
	// canWait: after patientHold, so that members that join and users that register one
	// after the other are told together. At a start of hundreds of instances each of them
	// changes the table.
	canWait
	// urgent: at once.
	urgent
)

// patientHold is how long a call is held that brings only changes of members and users.
const patientHold = 300 * time.Millisecond

// hear records that an instance is waiting for changes.
func (c *Controller) hear(now time.Duration, req *peerrpc.WatchRequest) {
	c.presence.Report(now, req.From, req.Heard)
	if req.Serving {
		c.presence.Hear(now, req.From)
	} else {
		c.presence.Forget(req.From)
	}
	if c.role.Root {
		c.updateRole(now)
	}
	c.learnFrom(now, req)
	switch p := c.peers[req.From]; {
	case p == nil:
	case p.down:
		// That it calls does not show that it can be called.
		p.probeAt = min(p.probeAt, now)
	default:
		c.recordPeerAnswer(p, req.Serving)
	}
}

// newsFor returns what an instance lacks that called held ago, and when to tell it.
func (c *Controller) newsFor(now, held time.Duration, req *peerrpc.WatchRequest) (*peerrpc.WatchResponse, urgency) {
	// The ages below are of the same moment as HeldMS.
	res := &peerrpc.WatchResponse{HeldMS: held.Milliseconds(), ProofAgeMS: -1, ContactAgeMS: -1, Serving: c.serving(),
		Era: c.era.Load(), ProvenSince: c.provenSince}
	news := noNews
	if at, ok := c.lease.Proof(); ok && !c.deregistered {
		// Rounded up, so that the caller never takes the proof for younger than it is.
		res.ProofAgeMS = (now - at).Milliseconds() + 1
		if req.ProofAgeMS < 0 || time.Duration(res.ProofAgeMS)*time.Millisecond+proofGain < time.Duration(req.ProofAgeMS)*time.Millisecond+held {
			news = urgent
		}
	}
	switch at, ok := c.lease.Proof(); {
	case !ok:
		// All may be starting.
		news = max(news, canWait)
	case now > at+freshProofAge:
		news = urgent // the caller has to look elsewhere
	}
	if c.role.Root && c.hasContact && now < c.contact+watchBatchInterval {
		res.ContactAgeMS = 0
	} else if c.hasContact {
		res.ContactAgeMS = (now - c.contact).Milliseconds() + 1
	}
	if !req.InContact && c.inContact(now) {
		news = urgent
	}
	for name, t := range c.tables {
		if change, ok := t.changesFor(req.Tables[name]); ok {
			if res.Tables == nil {
				res.Tables = map[string]peerrpc.TableChange{}
			}
			res.Tables[name] = change
			if name == c.Schema.FleetTable && !change.Complete && c.onlyMembersAndUsers(change.Rows, req.Tables[name].AsOf) {
				news = max(news, canWait)
			} else {
				news = urgent
			}
		}
	}
	for _, l := range c.leadersFor(req) {
		if announcedVersion(l) > req.Announced[l.Group] {
			res.Leaders = append(res.Leaders, l)
			news = urgent
		}
	}
	if c.catalogAhead && req.CatalogVersion < c.catalog.Version {
		res.Catalog = c.catalog.Raw
		news = urgent
	}
	if req.AbsentHash != c.absentHash && c.inContact(now) {
		res.HasAbsent = true
		for id := range c.absent {
			res.Absent = append(res.Absent, id)
		}
		slices.Sort(res.Absent)
		news = urgent
	}
	return res, news
}

// onlyMembersAndUsers reports whether rows of the fleet's table, which a copy as of a
// version lacks, bring only changes of members and of the users of primaries.
func (c *Controller) onlyMembersAndUsers(rows []kvstore.Row, asOf uint64) bool {
	return !slices.ContainsFunc(rows, func(r kvstore.Row) bool {
		if id, ok := strings.CutPrefix(r.Key, leaderPrefix); ok {
			g := c.groups[fleet.GroupID(id)]
			return g == nil || g.changedVersion > asOf
		}
		return !strings.HasPrefix(r.Key, memberPrefix) && !strings.HasPrefix(r.Key, eraPrefix)
	})
}

// changesFor returns the rows that another copy of the table lacks; false if none.
func (t *table) changesFor(theirs peerrpc.TableState) (peerrpc.TableChange, bool) {
	if !t.loaded || t.asOf <= theirs.AsOf || t.digest == theirs.Digest {
		return peerrpc.TableChange{}, false
	}
	change := peerrpc.TableChange{TableState: peerrpc.TableState{AsOf: t.asOf, Digest: t.digest}}
	if theirs.AsOf == 0 || theirs.AsOf < t.deletionsKnownSince {
		change.Complete = true
		for _, r := range t.rows {
			change.Rows = append(change.Rows, r)
		}
		return change, true
	}
	for _, rows := range []map[string]kvstore.Row{t.rows, t.deleted} {
		for _, r := range rows {
			if r.Version > theirs.AsOf {
				change.Rows = append(change.Rows, r)
			}
		}
	}
	slices.SortFunc(change.Rows, func(a, b kvstore.Row) int { return cmp.Compare(a.Version, b.Version) })
	return change, true
}

// applyTableChange installs what another instance's copy of a table has more and
// reports whether there was anything.
func (c *Controller) applyTableChange(name string, change peerrpc.TableChange) bool {
	t := c.tables[name]
	if t.loaded && (change.AsOf < t.asOf || change.AsOf == t.asOf && !t.damaged) {
		return false
	}
	if change.Complete {
		c.replaceTable(name, change.Rows, change.AsOf)
	} else if t.loaded {
		c.applyChanges(name, change.Rows, change.AsOf)
	} else {
		return false
	}
	if t.damaged = t.digest != change.Digest && t.asOf == change.AsOf; t.damaged {
		c.Log.Warn("control: copy of a table differs after a change; it is copied whole", "table", name)
		c.Metrics.Count("table_copies_damaged")
	}
	return true
}
