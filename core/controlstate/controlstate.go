// Package controlstate tracks whether the control state of this instance
// (bundle, slot table and withdrawn keys) is recent enough to serve keyed
// requests, and decides when a rollout of new control state is accepted.
//
// A freshness proof is a point in time as of which this instance is known to
// have held every accepted version. It expires Config.MaxProofAge later, like a
// lease. The witnesses are the instances whose majorities give proofs and accept
// rollouts; every instance derives the same set from the platform's list.
//
// The control goroutine creates one Core, passes every event to Step together
// with the current monotonic time, and performs the returned actions:
//
//	c := controlstate.New(controlstate.Config{Self: id}, now)
//	c.Step(now, controlstate.InstanceList{IDs: ids})
//	c.Step(now, controlstate.PullStarted{Round: 7})      // before the calls are sent
//	c.Step(now, controlstate.PullAnswer{Round: 7, ...})  // after installing its content
//	c.Step(now, controlstate.Tick{})                     // at least every 100 ms
//
// A proof comes from one of three sources: a read of the table (TableRead), a
// pull that a majority of the witnesses answered (PullAnswer), or a peer's own
// proof (PullAnswer.Fresh). It takes effect only once this instance has
// installed every version that the read or the answers named, which Installed
// reports.
//
// A witness counts in majorities only while Voting returns true. Send that
// value with every answer to a pull or to an Accept call.
package controlstate

import (
	"slices"
	"time"

	"github.com/vanillahinge/vanillahinge/core/fleet"
)

// Mutation disables one safety rule. Only tests set it, to show that the
// exhaustive search detects the loss of the rule.
type Mutation int

// Mutations, one for each safety rule.
const (
	NoMutation Mutation = iota
	// CountRestarted counts a witness that has not been fresh since its start.
	CountRestarted
	// CountInherited counts a witness whose proof is older than its start.
	CountInherited
	// ProofWithoutInstall accepts a proof before its versions are installed.
	ProofWithoutInstall
	// AgeFromAnswer ignores the age of a peer's proof and dates it to the start
	// of the pull.
	AgeFromAnswer
	// MinorityPull accepts a pull that half of the witnesses answered.
	MinorityPull
	// MinorityAccept accepts a rollout that half of the witnesses hold.
	MinorityAccept
	// AcceptOldAnswers sets no limit on the age of the answers that accept a
	// rollout.
	AcceptOldAnswers
	// NeverStale never lets a proof expire.
	NeverStale
)

// Config configures a Core. New replaces zero durations and a zero
// MaxWitnesses by their defaults.
type Config struct {
	Self fleet.InstanceID
	// MaxProofAge, written F, is the age at which a proof expires and keyed requests
	// are refused; by default 3 s, so that a withdrawal is in force within 5 s of
	// its acceptance.
	MaxProofAge time.Duration
	// SettleTime sets two limits; by default 1 s. An instance counts in majorities
	// only once its proof is at least SettleTime later than its start. Only answers
	// to calls sent within the last SettleTime count for accepting a rollout.
	// Together, the limits ensure that a witness that confirmed a version, restarted
	// and lost it counts again only with a proof later than the acceptance.
	SettleTime time.Duration
	// MaxWitnesses, written K, is the number of witnesses in a fleet that has at
	// least as many instances; by default 9.
	MaxWitnesses int
	Mutation     Mutation
}

// State is the set of control state versions that an instance holds or that a
// read returned.
type State struct {
	// Bundle is the version of the bundle.
	Bundle uint64
	// SlotEpoch is the epoch of the slot table.
	SlotEpoch uint64
	// Withdrawn is the set of withdrawn keys, in any order. Keys are never
	// removed from it.
	Withdrawn []fleet.KeyID
}

// Event is an input of Step.
type Event interface{ event() }

// Tick reports only the passage of time.
type Tick struct{}

// InstanceList replaces the platform's list of instances, which includes those
// that are leaving.
type InstanceList struct{ IDs []fleet.InstanceID }

// Installed reports that the state is in force at this instance. Versions lower
// than those installed before are ignored.
type Installed struct{ State State }

// TableRead reports a successful read of all rows that started at Start.
type TableRead struct {
	Start time.Duration
	State State
}

// PullStarted begins a round of pulls. It must precede the calls.
type PullStarted struct{ Round uint64 }

// PullAnswer is one peer's answer to a round.
type PullAnswer struct {
	Round uint64
	From  fleet.InstanceID
	// Voting is the peer's Core.Voting when it answered.
	Voting bool
	// Fresh and ProofAge are the results of the peer's Core.ProofAge when it
	// answered.
	Fresh    bool
	ProofAge time.Duration
	State    State
}

// Rollout requests an Accepted action once State, which this instance has
// installed, is accepted. Only answers to calls sent within the last SettleTime
// count, so repeat the Accept calls until Accepted.
type Rollout struct {
	ID    uint64
	State State
	// NeedRow makes acceptance wait for RowWritten. It is set for bundles and slot
	// tables, and for withdrawals while the table answers.
	NeedRow bool
}

// RowWritten reports that the rollout's row in the table holds its state.
type RowWritten struct{ ID uint64 }

// WitnessAck reports that a witness answered an Accept call or a pull with the
// state it holds. Sent is when the call was sent.
type WitnessAck struct {
	From   fleet.InstanceID
	Sent   time.Duration
	Voting bool
	State  State
}

func (Tick) event()         {}
func (InstanceList) event() {}
func (Installed) event()    {}
func (TableRead) event()    {}
func (PullStarted) event()  {}
func (PullAnswer) event()   {}
func (Rollout) event()      {}
func (RowWritten) event()   {}
func (WitnessAck) event()   {}

// Action is an output of Step.
type Action interface{ action() }

// Fresh extends the proof: keyed requests may run until Expiry.
type Fresh struct{ Expiry time.Duration }

// Stale reports that the proof has expired: refuse keyed requests and close
// keyed sessions.
type Stale struct{}

// Fetch requests newer state that a peer's answer or the table named.
type Fetch struct {
	State State
	// From is the peer that holds the state; empty when the table named it.
	From fleet.InstanceID
}

// Accepted reports that the rollout is accepted.
type Accepted struct{ ID uint64 }

func (Fresh) action()    {}
func (Stale) action()    {}
func (Fetch) action()    {}
func (Accepted) action() {}

// Core is the state machine of one instance. It performs no I/O and is not safe
// for concurrent use.
type Core struct {
	cfg       Config
	started   time.Duration
	installed State
	// proofTime is the latest time as of which this instance is known to have held
	// every accepted state; it never decreases. proved is false until the first
	// proof.
	proofTime time.Duration
	proved    bool
	// reportedFresh is set if the last Fresh or Stale action was Fresh.
	reportedFresh bool
	// pending are proofs that wait for an installation. Those that are not later
	// than proofTime are dropped.
	pending []pendingProof
	rounds  []pullRound
	// witnesses[0] is the current set; former sets follow until they expire.
	witnesses []witnessSet
	rollouts  []rollout
}

// pendingProof is a proof that takes effect once this instance has installed the
// state that the proof requires.
type pendingProof struct {
	asOf     time.Duration
	required State
}

// pullRound collects the answers to one round of pulls.
type pullRound struct {
	id       uint64
	start    time.Duration
	required State
	answered []fleet.InstanceID
}

type witnessSet struct {
	ids        []fleet.InstanceID
	validUntil time.Duration
}

type rollout struct {
	id      uint64
	state   State
	needRow bool
	// acks has one entry per witness, for the call sent last.
	acks []ack
}

type ack struct {
	from fleet.InstanceID
	sent time.Duration
}

const (
	// clockDriftPerMille bounds the difference between the clock rates of two
	// instances: 1%.
	clockDriftPerMille = 10
	// instanceListLag bounds how far the platform's list lags behind. Acceptance
	// needs a majority of every witness set that was current within this time.
	instanceListLag = 30 * time.Second
	// maxPullRounds is the number of rounds for which late answers still count.
	maxPullRounds = 8
)

// New returns a core without a proof. now is the start time of the process.
func New(cfg Config, now time.Duration) *Core {
	if cfg.MaxProofAge == 0 {
		cfg.MaxProofAge = 3 * time.Second
	}
	if cfg.SettleTime == 0 {
		cfg.SettleTime = time.Second
	}
	if cfg.MaxWitnesses == 0 {
		cfg.MaxWitnesses = 9
	}
	return &Core{cfg: cfg, started: now}
}

// Clone returns an independent copy.
func (c *Core) Clone() *Core {
	d := *c
	d.installed = c.installed.clone()
	d.pending = slices.Clone(c.pending)
	for i := range d.pending {
		d.pending[i].required = d.pending[i].required.clone()
	}
	d.rounds = slices.Clone(c.rounds)
	for i := range d.rounds {
		d.rounds[i].required = d.rounds[i].required.clone()
		d.rounds[i].answered = slices.Clone(d.rounds[i].answered)
	}
	d.witnesses = slices.Clone(c.witnesses)
	d.rollouts = slices.Clone(c.rollouts)
	for i := range d.rollouts {
		d.rollouts[i].acks = slices.Clone(d.rollouts[i].acks)
	}
	return &d
}

func (s State) clone() State {
	s.Withdrawn = slices.Clone(s.Withdrawn)
	return s
}

// covers reports whether every version of s is at least that of o.
func (s State) covers(o State) bool {
	if s.Bundle < o.Bundle || s.SlotEpoch < o.SlotEpoch {
		return false
	}
	for _, k := range o.Withdrawn {
		if !slices.Contains(s.Withdrawn, k) {
			return false
		}
	}
	return true
}

// join returns the lowest state that covers both.
func (s State) join(o State) State {
	j := State{Bundle: max(s.Bundle, o.Bundle), SlotEpoch: max(s.SlotEpoch, o.SlotEpoch), Withdrawn: slices.Clone(s.Withdrawn)}
	for _, k := range o.Withdrawn {
		if !slices.Contains(j.Withdrawn, k) {
			j.Withdrawn = append(j.Withdrawn, k)
		}
	}
	slices.Sort(j.Withdrawn)
	return j
}

func majority(n int) int { return n/2 + 1 }

// Step applies one event and returns the actions to perform.
func (c *Core) Step(now time.Duration, e Event) []Action {
	var out []Action
	switch e := e.(type) {
	case InstanceList:
		c.updateWitnesses(now, e.IDs)
	case Installed:
		c.installed = c.installed.join(e.State)
	case TableRead:
		out = c.addPendingProof(out, "", pendingProof{asOf: e.Start, required: e.State})
	case PullStarted:
		c.startRound(now, e.Round)
	case PullAnswer:
		out = c.handlePullAnswer(out, e)
	case Rollout:
		c.rollouts = append(c.rollouts, rollout{id: e.ID, state: e.State.clone(), needRow: e.NeedRow})
	case RowWritten:
		for i := range c.rollouts {
			if c.rollouts[i].id == e.ID {
				c.rollouts[i].needRow = false
			}
		}
	case WitnessAck:
		c.recordAck(e)
	}
	out = c.completeProofs(now, out)
	return c.acceptRollouts(now, out)
}

// updateWitnesses derives the witnesses from the list. The former set stays
// valid for instanceListLag.
func (c *Core) updateWitnesses(now time.Duration, ids []fleet.InstanceID) {
	w := fleet.Rank("witness", ids)
	w = w[:min(len(w), c.cfg.MaxWitnesses)]
	if len(c.witnesses) > 0 {
		if slices.Equal(c.witnesses[0].ids, w) {
			return
		}
		c.witnesses[0].validUntil = now + instanceListLag
	}
	c.witnesses = slices.Insert(c.witnesses, 0, witnessSet{ids: w})
}

// startRound begins a pull round, dropping the oldest of maxPullRounds.
func (c *Core) startRound(now time.Duration, id uint64) {
	if len(c.rounds) == maxPullRounds {
		c.rounds = slices.Delete(c.rounds, 0, 1)
	}
	c.rounds = append(c.rounds, pullRound{id: id, start: now})
}

// handlePullAnswer counts the answer towards its round's majority and adopts the
// peer's own proof, if it has one.
func (c *Core) handlePullAnswer(out []Action, e PullAnswer) []Action {
	i := slices.IndexFunc(c.rounds, func(r pullRound) bool { return r.id == e.Round })
	if i < 0 {
		return out
	}
	r := &c.rounds[i]
	if e.Fresh {
		asOf := r.start - e.ProofAge - e.ProofAge*clockDriftPerMille/1000
		if c.cfg.Mutation == AgeFromAnswer {
			asOf = r.start
		}
		out = c.addPendingProof(out, e.From, pendingProof{asOf: asOf, required: e.State})
	}
	if !e.Voting && c.cfg.Mutation != CountRestarted || slices.Contains(r.answered, e.From) {
		return out
	}
	r.answered = append(r.answered, e.From)
	slices.Sort(r.answered)
	r.required = r.required.join(e.State)
	if c.hasMajority(r.answered) {
		out = c.addPendingProof(out, e.From, pendingProof{asOf: r.start, required: r.required})
	}
	return out
}

// hasMajority reports whether the instances that answered, and this one if it is
// voting, are a majority of the current witnesses.
func (c *Core) hasMajority(answered []fleet.InstanceID) bool {
	w := c.Witnesses()
	n := 0
	for _, id := range w {
		if slices.Contains(answered, id) || id == c.cfg.Self && c.Voting() {
			n++
		}
	}
	quorum := majority(len(w))
	if c.cfg.Mutation == MinorityPull {
		quorum = len(w) / 2
	}
	return len(w) > 0 && n >= quorum
}

// addPendingProof adds a proof unless a later one is in effect, and requests the
// state that it requires.
func (c *Core) addPendingProof(out []Action, from fleet.InstanceID, p pendingProof) []Action {
	if c.proved && p.asOf <= c.proofTime {
		return out
	}
	p.required = p.required.clone()
	c.pending = append(c.pending, p)
	if !c.installed.covers(p.required) {
		out = append(out, Fetch{State: p.required.clone(), From: from})
	}
	return out
}

// completeProofs puts pending proofs into effect whose state is installed, drops
// expired proofs and pull rounds, and reports changes of freshness.
func (c *Core) completeProofs(now time.Duration, out []Action) []Action {
	extended := false
	kept := c.pending[:0]
	for _, p := range c.pending {
		switch {
		case c.proved && p.asOf <= c.proofTime || now-p.asOf >= c.cfg.MaxProofAge:
		case c.installed.covers(p.required) || c.cfg.Mutation == ProofWithoutInstall:
			c.proofTime, c.proved, extended = p.asOf, true, true
		default:
			kept = append(kept, p)
		}
	}
	c.pending = kept
	c.rounds = slices.DeleteFunc(c.rounds, func(r pullRound) bool {
		return now-r.start >= c.cfg.MaxProofAge || c.proved && r.start <= c.proofTime
	})
	switch fresh := c.IsFresh(now); {
	case fresh && extended:
		out = append(out, Fresh{Expiry: c.ProofExpiry()})
		c.reportedFresh = true
	case !fresh && c.reportedFresh:
		out = append(out, Stale{})
		c.reportedFresh = false
	}
	return out
}

// recordAck records the answer for every rollout whose state the witness holds.
func (c *Core) recordAck(e WitnessAck) {
	if !e.Voting {
		return
	}
	for i := range c.rollouts {
		r := &c.rollouts[i]
		if !e.State.covers(r.state) {
			continue
		}
		j := slices.IndexFunc(r.acks, func(a ack) bool { return a.from == e.From })
		if j < 0 {
			r.acks = append(r.acks, ack{from: e.From, sent: e.Sent})
		} else {
			r.acks[j].sent = max(r.acks[j].sent, e.Sent)
		}
	}
}

// acceptRollouts drops expired witness sets, and reports and drops the rollouts
// that are accepted.
func (c *Core) acceptRollouts(now time.Duration, out []Action) []Action {
	if len(c.witnesses) > 1 {
		current := c.witnesses[:1]
		for _, w := range c.witnesses[1:] {
			if w.validUntil > now {
				current = append(current, w)
			}
		}
		c.witnesses = current
	}
	kept := c.rollouts[:0]
	for _, r := range c.rollouts {
		if c.isAccepted(now, r) {
			out = append(out, Accepted{ID: r.id})
		} else {
			kept = append(kept, r)
		}
	}
	c.rollouts = kept
	return out
}

// isAccepted reports whether the row is written, if needed, and a majority of
// the current and of each unexpired former witness set holds the state.
func (c *Core) isAccepted(now time.Duration, r rollout) bool {
	if r.needRow || len(c.witnesses) == 0 {
		return false
	}
	for _, w := range c.witnesses {
		n := 0
		for _, id := range w.ids {
			if id == c.cfg.Self {
				if c.Voting() && c.installed.covers(r.state) {
					n++
				}
				continue
			}
			if slices.ContainsFunc(r.acks, func(a ack) bool {
				return a.from == id && (now-a.sent < c.cfg.SettleTime || c.cfg.Mutation == AcceptOldAnswers)
			}) {
				n++
			}
		}
		quorum := majority(len(w.ids))
		if c.cfg.Mutation == MinorityAccept {
			quorum = len(w.ids) / 2
		}
		if len(w.ids) == 0 || n < quorum {
			return false
		}
	}
	return true
}

// IsFresh reports whether keyed requests may run at now.
func (c *Core) IsFresh(now time.Duration) bool {
	return c.proved && (now < c.ProofExpiry() || c.cfg.Mutation == NeverStale)
}

// ProofExpiry returns when the proof expires, or zero if there has been none.
func (c *Core) ProofExpiry() time.Duration {
	if !c.proved {
		return 0
	}
	return c.proofTime + c.cfg.MaxProofAge
}

// ProofAge returns the age of the proof, to send to a peer. ok is false if the
// proof has expired or there has been none.
func (c *Core) ProofAge(now time.Duration) (age time.Duration, ok bool) {
	if !c.IsFresh(now) {
		return 0, false
	}
	return now - c.proofTime, true
}

// Voting reports whether this instance counts in majorities: its proof must lie
// at least SettleTime, plus an allowance for clock drift, after its start. Before
// that it may lack a version that it confirmed before a restart.
func (c *Core) Voting() bool {
	switch c.cfg.Mutation {
	case CountRestarted:
		return true
	case CountInherited:
		return c.proved
	}
	return c.proved && c.proofTime >= c.started+c.cfg.SettleTime+c.cfg.SettleTime*2*clockDriftPerMille/1000
}

// HasInstalled reports whether the installed versions are at least those of s.
func (c *Core) HasInstalled(s State) bool { return c.installed.covers(s) }

// Witnesses returns the current witnesses, which depend only on the platform's
// list of instances.
func (c *Core) Witnesses() []fleet.InstanceID {
	if len(c.witnesses) == 0 {
		return nil
	}
	return c.witnesses[0].ids
}
