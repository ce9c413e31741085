package control

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"connectrpc.com/connect"

	"github.com/vanillahinge/vanillahinge/core/controlstate"
	"github.com/vanillahinge/vanillahinge/core/failover"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/membership"
	"github.com/vanillahinge/vanillahinge/core/slot"
	peerv1 "github.com/vanillahinge/vanillahinge/peer/v1"
)

// fullMeshLimit is the largest fleet in which every instance pulls from every
// other. In a larger fleet two relays per data centre pull from the witnesses and
// from all other relays, and the other instances pull from the relays of their
// data centre.
const fullMeshLimit = 16

// selectPartners selects the peers that the instance self in data centre dc
// pulls from.
func selectPartners(self fleet.InstanceID, dc fleet.DataCentre, peers []membership.Instance, witnesses []fleet.InstanceID) []membership.Instance {
	if len(peers) < fullMeshLimit {
		return peers
	}
	byDC := map[fleet.DataCentre][]fleet.InstanceID{dc: {self}}
	for _, p := range peers {
		if !p.Leaving {
			byDC[p.DataCentre] = append(byDC[p.DataCentre], p.ID)
		}
	}
	relays := map[fleet.InstanceID]fleet.DataCentre{}
	for d, ids := range byDC {
		ranked := fleet.Rank("relay", ids)
		for _, id := range ranked[:min(2, len(ranked))] {
			relays[id] = d
		}
	}
	_, relay := relays[self]
	var out []membership.Instance
	for _, p := range peers {
		d, isRelay := relays[p.ID]
		switch {
		case isRelay && (relay || d == dc), relay && slices.Contains(witnesses, p.ID):
			out = append(out, p)
		}
	}
	return out
}

// partners returns the peers to pull from. Ranking 4,600 instances takes about
// 3 ms, so the selection is cached until the membership or the platform's list
// changes.
func (c *Controller) partners() []membership.Instance {
	if !c.partnersKnown {
		c.partnerList = selectPartners(c.cfg.Instance, c.cfg.DataCentre, c.memberCore.Peers(), c.stateCore.Witnesses())
		c.partnersKnown = true
	}
	return c.partnerList
}

// pull starts a round that requests the control state of all partners.
func (c *Controller) pull(now time.Duration) {
	c.nextPull, c.pullSoon = now+pullInterval, false
	peers := c.partners()
	c.pullRound++
	round := c.pullRound
	// controlstate requires that the round starts before any call is sent.
	c.stepControlState(now, controlstate.PullStarted{Round: round})
	mine := c.state()
	if c.stateCore.Voting() {
		// This instance can be a witness too. In a fleet of one it is the majority.
		c.stepControlState(now, controlstate.PullAnswer{Round: round, From: c.cfg.Instance, Voting: true, State: mine})
	}
	req := &peerv1.PullRequest{From: string(c.cfg.Instance), Have: versionsToProto(mine), Groups: c.observations(now), Leaving: c.leaving}
	for _, p := range peers {
		if p.Addr == "" {
			continue
		}
		c.pulls.Add(1)
		c.startWorker(pullTimeout, func(ctx context.Context) { c.pullFrom(ctx, p, round, now, mine, req) })
	}
}

// pullFrom pulls from one peer. It verifies the response in the worker before it
// passes the content to the control goroutine.
func (c *Controller) pullFrom(ctx context.Context, p membership.Instance, round uint64, sent time.Duration, mine controlstate.State, req *peerv1.PullRequest) {
	res, err := c.cfg.PeerClient(p.Addr).Pull(ctx, req)
	if err != nil || fleet.InstanceID(res.GetFrom()) != p.ID {
		return
	}
	var o *verifiedBundle
	if len(res.GetBundle()) > 0 {
		if o, err = c.verifyBundle(res.GetBundle()); err != nil {
			c.cfg.Log.Warn("rejected a bundle from a peer", "peer", p.ID, "error", err.Error())
			return
		}
	}
	t, err := decodeSlots(res.GetSlots())
	if err != nil {
		c.cfg.Log.Warn("could not decode a slot table from a peer", "peer", p.ID, "error", err.Error())
		return
	}
	docs := c.verifyWithdrawals(res.GetWithdrawals())
	s := controlstate.State{Bundle: res.GetHave().GetBundle(), SlotEpoch: res.GetHave().GetSlots()}
	if sameWithdrawals(res.GetHave(), mine) {
		s.Withdrawn = mine.Withdrawn
	} else {
		for _, w := range docs {
			s.Withdrawn = append(s.Withdrawn, w.doc.Keys...)
		}
		slices.Sort(s.Withdrawn)
		s.Withdrawn = slices.Compact(s.Withdrawn)
		if !sameWithdrawals(res.GetHave(), s) {
			// The peer holds withdrawals that this instance cannot verify, so its
			// response does not prove freshness.
			return
		}
	}
	c.post(func(now time.Duration) {
		if o != nil {
			c.install(now, o, "peer "+string(p.ID))
		}
		c.applyPeerSlots(now, t)
		c.addWithdrawals(now, docs, "peer "+string(p.ID))
		c.stepControlState(now, controlstate.PullAnswer{
			Round: round, From: p.ID, Voting: res.GetCounts(), Fresh: res.GetFresh(),
			ProofAge: time.Duration(res.GetFreshAgeUs()) * time.Microsecond, State: s,
		})
		c.stepControlState(now, controlstate.WitnessAck{From: p.ID, Sent: sent, Voting: res.GetCounts(), State: s})
		ans := membership.PullResponse{Peer: p.ID, Leaving: res.GetLeaving()}
		for _, m := range res.GetMembers() {
			ans.Members = append(ans.Members, membership.PeerReport{
				Instance:   membership.Instance{ID: fleet.InstanceID(m.GetId()), DataCentre: fleet.DataCentre(m.GetDataCentre()), Addr: m.GetAddr(), Leaving: m.GetLeaving()},
				SinceHeard: time.Duration(m.GetSilentMs()) * time.Millisecond,
			})
		}
		c.stepMembership(now, ans)
		c.applyPeerObservations(now, p.ID, res.GetGroups())
	})
}

func decodeSlots(data []byte) (slot.Table, error) {
	var t slot.Table
	if len(data) == 0 {
		return t, nil
	}
	err := json.Unmarshal(data, &t)
	return t, err
}

func versionsToProto(s controlstate.State) *peerv1.Versions {
	return &peerv1.Versions{Bundle: s.Bundle, Slots: s.SlotEpoch, Withdrawals: uint64(len(s.Withdrawn)), WithdrawnDigest: keySetDigest(s.Withdrawn)}
}

func sameWithdrawals(v *peerv1.Versions, s controlstate.State) bool {
	return v.GetWithdrawals() == uint64(len(s.Withdrawn)) && v.GetWithdrawnDigest() == keySetDigest(s.Withdrawn)
}

// notifyPeers tells the pull partners which versions this instance now holds.
func (c *Controller) notifyPeers() {
	req := &peerv1.NoticeRequest{From: string(c.cfg.Instance), Have: versionsToProto(c.state())}
	for _, p := range c.partners() {
		if p.Addr == "" {
			continue
		}
		c.startWorker(pullTimeout, func(ctx context.Context) { _, _ = c.cfg.PeerClient(p.Addr).Notice(ctx, req) })
	}
}

// PeerService implements the control calls of the peer protocol's Peer service.
type PeerService struct{ c *Controller }

// PeerService returns the implementation of the control calls that peers make.
func (c *Controller) PeerService() PeerService { return PeerService{c} }

// Pull returns this instance's versions, its freshness, its observations and any
// state that the caller lacks.
func (p PeerService) Pull(ctx context.Context, req *peerv1.PullRequest) (*peerv1.PullResponse, error) {
	c := p.c
	res := &peerv1.PullResponse{From: string(c.cfg.Instance)}
	err := c.call(ctx, func(now time.Duration) {
		mine := c.state()
		res.Have = versionsToProto(mine)
		if age, ok := c.stateCore.ProofAge(now); ok {
			// Round up, so that the receiver never takes the freshness proof to be
			// younger than it is.
			res.Fresh, res.FreshAgeUs = true, uint64(age/time.Microsecond)+1
		}
		res.Counts = c.stateCore.Voting()
		res.Leaving = c.leaving
		if c.doc != nil && c.doc.Version > req.GetHave().GetBundle() {
			res.Bundle = c.envelope
		}
		if t := c.slotTable(); t.Epoch > req.GetHave().GetSlots() {
			res.Slots, _ = json.Marshal(t)
		}
		if !sameWithdrawals(req.GetHave(), mine) {
			res.Withdrawals = c.withdrawalEnvelopes()
		}
		res.Groups = c.observations(now)
		for _, m := range c.memberCore.Reports(now) {
			res.Members = append(res.Members, &peerv1.Member{Id: string(m.ID), DataCentre: string(m.DataCentre), Addr: m.Addr, Leaving: m.Leaving, SilentMs: uint64(m.SinceHeard / time.Millisecond)})
		}
		if isBehind(mine, req.GetHave()) {
			c.scheduleEarlyPull(now)
		}
		if id := fleet.InstanceID(req.GetFrom()); id != "" && id != c.cfg.Instance {
			c.applyPeerObservations(now, id, req.GetGroups())
		}
	})
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return res, nil
}

// isBehind reports whether v contains something that s lacks.
func isBehind(s controlstate.State, v *peerv1.Versions) bool {
	return v.GetBundle() > s.Bundle || v.GetSlots() > s.SlotEpoch || v.GetWithdrawals() > uint64(len(s.Withdrawn)) || v.GetWithdrawals() == uint64(len(s.Withdrawn)) && !sameWithdrawals(v, s)
}

// scheduleEarlyPull brings the next pull forward. To limit pulls to 20 per second, the
// first call after a pull schedules the next one no earlier than 50 ms after it;
// a further call before the next pull can bring it forward to now.
func (c *Controller) scheduleEarlyPull(now time.Duration) {
	c.nextPull = min(c.nextPull, max(now, c.nextPull-pullInterval+50*time.Millisecond))
}

// Notice schedules an early pull if the peer holds something newer.
func (p PeerService) Notice(ctx context.Context, req *peerv1.NoticeRequest) (*peerv1.NoticeResponse, error) {
	c := p.c
	err := c.call(ctx, func(now time.Duration) {
		if isBehind(c.state(), req.GetHave()) {
			c.scheduleEarlyPull(now)
		}
	})
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return &peerv1.NoticeResponse{}, nil
}

// Accept installs what a peer has put in force. The envelopes are signed by two
// operators, and a peer sends a bundle only after its row has been written.
func (p PeerService) Accept(ctx context.Context, req *peerv1.AcceptRequest) (*peerv1.AcceptResponse, error) {
	c := p.c
	var o *verifiedBundle
	if len(req.GetBundle()) > 0 {
		var err error
		if o, err = c.verifyBundle(req.GetBundle()); err != nil {
			return nil, connect.NewError(connect.CodeInvalidArgument, err)
		}
	}
	t, err := decodeSlots(req.GetSlots())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("control: malformed slot table"))
	}
	var docs map[string]verifiedWithdrawal
	want := controlstate.State{SlotEpoch: t.Epoch}
	if len(req.GetWithdrawal()) > 0 {
		docs = c.verifyWithdrawals([][]byte{req.GetWithdrawal()})
		if len(docs) == 0 {
			return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("control: withdrawal of keys rejected: its envelope cannot be verified"))
		}
		for _, w := range docs {
			want.Withdrawn = append(want.Withdrawn, w.doc.Keys...)
		}
	}
	if o != nil {
		want.Bundle = o.doc.Version
	}
	res := &peerv1.AcceptResponse{}
	err = c.call(ctx, func(now time.Duration) {
		via := "peer " + req.GetFrom()
		if o != nil {
			c.install(now, o, via)
		}
		c.applyPeerSlots(now, t)
		c.addWithdrawals(now, docs, via)
		res.Have = versionsToProto(c.state())
		res.Counts = c.stateCore.Voting()
		res.Holds = c.stateCore.HasInstalled(want)
	})
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return res, nil
}

// observationLifetime is how long a changed observation of a group is sent to
// peers. It is longer than the window in which core/failover uses an observation,
// to allow for some lost pulls. Observations that have not changed for longer are
// omitted, which keeps the pulls of an instance with thousands of groups within
// 3 KB/s.
const observationLifetime = 5 * time.Second

// observations returns the group observations to send to peers: those that
// suspect the primary, and those that changed recently.
func (c *Controller) observations(now time.Duration) []*peerv1.GroupObservation {
	var out []*peerv1.GroupObservation
	for id, g := range c.groups {
		primary, t := g.core.LastKnown()
		o := observation{term: t, primary: primary, suspected: g.core.SuspectsPrimary(), maxFence: g.core.MaxFenceTerm()}
		if o != g.lastObservation {
			g.lastObservation, g.observationChangedAt = o, now
		}
		if o.suspected || now-g.observationChangedAt < observationLifetime {
			out = append(out, &peerv1.GroupObservation{Group: string(id), Term: uint64(t), Primary: string(primary), Suspected: o.suspected, MaxFenceTerm: uint64(o.maxFence)})
		}
	}
	return out
}

// applyPeerObservations passes a peer's observations to the failover cores.
func (c *Controller) applyPeerObservations(now time.Duration, from fleet.InstanceID, obs []*peerv1.GroupObservation) {
	for _, o := range obs {
		g := c.groups[fleet.GroupID(o.GetGroup())]
		if g == nil {
			continue
		}
		c.stepGroup(now, g, failover.PeerView{From: from, Term: fleet.Term(o.GetTerm()), Primary: fleet.EndpointID(o.GetPrimary()), Suspected: o.GetSuspected(), MaxFenceTerm: fleet.Term(o.GetMaxFenceTerm())})
	}
}
