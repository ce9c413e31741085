// Package controlstate proves how fresh the control state of this instance is and
// decides when a rollout counts as accepted.
//
// Usage: the control goroutine creates one Core, passes every event to Step
// together with the current monotonic time, and performs the actions.
//
//	c := fresh.New(fresh.Config{Self: id}, now)
//	c.Step(now, fresh.Listed{IDs: ids})
//	c.Step(now, fresh.PullStarted{Round: 7})      // before the calls are sent
//	c.Step(now, fresh.PullAnswer{Round: 7, ...})  // install its content first
//	c.Step(now, fresh.Tick{})                     // at least every 100 ms
//
// The three proofs are: a table read (TableRead), a pull that a majority of the
// witnesses answered (PullAnswer), and a peer's own proof (PullAnswer.Fresh).
// A proof holds only if this instance has installed everything that the
// answers named; Installed reports that, and a proof that waits for an
// installation is completed by it.
//
// A witness counts in majorities only when Counts is true. Send that value
// with every answer to a pull or to an Accept call.
package controlstate

import (
	"slices"
	"time"

	"github.com/vanillahinge/vanillahinge/core/fleet"
)

// Mutation switches one rule off, so that the exhaustive search can show that
// it would notice. Only tests set it.
type Mutation int

// The mutations of this package.
const (
	NoMutation Mutation = iota
	// CountRestarted counts a witness that has not been fresh since its start.
	CountRestarted
	// CountInherited counts a witness whose proof is older than its start.
	CountInherited
	// ProofWithoutInstall accepts a proof before its versions are installed.
	ProofWithoutInstall
	// AgeFromAnswer dates an inherited proof from the answer, not from its age.
	AgeFromAnswer
	// MinorityPull accepts a pull that half of the witnesses answered.
	MinorityPull
	// MinorityAccept accepts a rollout that half of the witnesses hold.
	MinorityAccept
	// AcceptOldAnswers lets an acceptance collect answers without a time limit.
	AcceptOldAnswers
	// NeverStale keeps a proof for ever.
	NeverStale
)

// Config holds the constants; zero values take the defaults of New.
type Config struct {
	Self fleet.InstanceID
	// MaxProofAge is F: keyed requests are refused when the proof is older. 3 s, so
	// that a withdrawal is in force within 5 s of its acceptance.
	MaxProofAge time.Duration
	// SettleTime is how long after its start an instance's proof must lie before it
	// counts in majorities, and the longest that an acceptance may collect
	// answers. 1 s. A witness that confirmed a version, restarted and lost it
	// counts again only with a proof that lies after the acceptance.
	SettleTime time.Duration
	// MaxWitnesses is K, the size of the read quorum's set. 9.
	MaxWitnesses int
	Mutation     Mutation
}

// State names the control state that an instance holds or that was read.
type State struct {
	Bundle uint64
	// SlotEpoch is the epoch of the slot table.
	SlotEpoch uint64
	// Withdrawn is a grow-only set; the order does not matter.
	Withdrawn []fleet.KeyID
}

// Event is an input of Step.
type Event interface{ event() }

// Tick lets time pass.
type Tick struct{}

// InstanceList replaces the platform's list of instances (leaving ones included).
type InstanceList struct{ IDs []fleet.InstanceID }

// Installed reports that this instance has put the state in force. Lower
// versions than those installed before are ignored.
type Installed struct{ State State }

// TableRead reports a read of all rows that started at Start and succeeded.
type TableRead struct {
	Start time.Duration
	State State
}

// PullStarted begins a round of pulls; it comes before the calls are sent.
type PullStarted struct{ Round uint64 }

// PullAnswer is one peer's answer to a round.
type PullAnswer struct {
	Round uint64
	From  fleet.InstanceID
	// Voting is the peer's Core.Voting at answer time.
	Voting bool
	// Fresh and Age are the peer's proof at answer time.
	Fresh    bool
	ProofAge time.Duration
	State    State
}

// Rollout asks when the state, which this instance has installed, counts as
// accepted. Answers must come within Settle of each other, so repeat the calls
// until Accepted. NeedRow is set for bundles and slot tables, and for withdrawals
// while the table answers.
type Rollout struct {
	ID      uint64
	State   State
	NeedRow bool
}

// RowWritten reports that the row of the rollout holds its state.
type RowWritten struct{ ID uint64 }

// WitnessAck is a witness's answer to an Accept call or pull that was sent at Sent.
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

// Fresh extends the proof: keyed requests may run until Until.
type Fresh struct{ Expiry time.Duration }

// Stale ends it: refuse keyed requests and end keyed sessions.
type Stale struct{}

// Fetch asks for newer state that an answer or the table named. From is empty
// when the table named it.
type Fetch struct {
	State State
	From  fleet.InstanceID
}

// Accepted reports that the rollout counts as accepted.
type Accepted struct{ ID uint64 }

func (Fresh) action()    {}
func (Stale) action()    {}
func (Fetch) action()    {}
func (Accepted) action() {}

// Core is the state machine. It is not safe for concurrent use.
type Core struct {
	cfg     Config
	started time.Duration
	have    State
	// proof is the moment as of which this instance held every accepted state;
	// it only grows. proved is false until the first proof.
	proof  time.Duration
	proved bool
	// fresh is what the last Fresh or Stale action said.
	fresh bool
	// pending are proofs that wait for an installation; none is older than proof.
	pending []pending
	rounds  []round
	// witnesses[0] is the current set; older ones stay until their time is over.
	witnesses []witnessSet
	rollouts  []rollout
}

type pending struct {
	asOf time.Duration
	need State
}

type round struct {
	id    uint64
	start time.Duration
	need  State
	from  []fleet.InstanceID
}

type witnessSet struct {
	ids   []fleet.InstanceID
	until time.Duration
}

type rollout struct {
	id      uint64
	state   State
	needRow bool
	// held has the send time of the latest answer per witness.
	held []holder
}

type holder struct {
	from fleet.InstanceID
	sent time.Duration
}

const (
	// slackPerMille is the assumed bound on the difference of clock rates: 1%.
	slackPerMille = 10
	// listLag bounds the lag of the platform's list: an acceptance needs a
	// majority of every witness set listed within it.
	listLag = 30 * time.Second
	// keptRounds bounds the rounds whose late answers still count.
	keptRounds = 8
)

// New returns a core that is not fresh; now is the start of the process.
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
	d.have = c.have.clone()
	d.pending = slices.Clone(c.pending)
	for i := range d.pending {
		d.pending[i].need = d.pending[i].need.clone()
	}
	d.rounds = slices.Clone(c.rounds)
	for i := range d.rounds {
		d.rounds[i].need = d.rounds[i].need.clone()
		d.rounds[i].from = slices.Clone(d.rounds[i].from)
	}
	d.witnesses = slices.Clone(c.witnesses)
	d.rollouts = slices.Clone(c.rollouts)
	for i := range d.rollouts {
		d.rollouts[i].held = slices.Clone(d.rollouts[i].held)
	}
	return &d
}

func (s State) clone() State {
	s.Withdrawn = slices.Clone(s.Withdrawn)
	return s
}

// covers reports whether s is at least o.
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

// join returns the least state that covers both.
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

// Step applies one event.
func (c *Core) Step(now time.Duration, e Event) []Action {
	var out []Action
	switch e := e.(type) {
	case InstanceList:
		c.list(now, e.IDs)
	case Installed:
		c.have = c.have.join(e.State)
	case TableRead:
		out = c.propose(out, "", pending{asOf: e.Start, need: e.State})
	case PullStarted:
		c.startRound(now, e.Round)
	case PullAnswer:
		out = c.answer(out, e)
	case Rollout:
		c.rollouts = append(c.rollouts, rollout{id: e.ID, state: e.State.clone(), needRow: e.NeedRow})
	case RowWritten:
		for i := range c.rollouts {
			if c.rollouts[i].id == e.ID {
				c.rollouts[i].needRow = false
			}
		}
	case WitnessAck:
		c.held(e)
	}
	out = c.prove(now, out)
	return c.accept(now, out)
}

func (c *Core) list(now time.Duration, ids []fleet.InstanceID) {
	w := fleet.Rank("witness", ids)
	w = w[:min(len(w), c.cfg.MaxWitnesses)]
	if len(c.witnesses) > 0 {
		if slices.Equal(c.witnesses[0].ids, w) {
			return
		}
		c.witnesses[0].until = now + listLag
	}
	c.witnesses = slices.Insert(c.witnesses, 0, witnessSet{ids: w})
}

func (c *Core) startRound(now time.Duration, id uint64) {
	if len(c.rounds) == keptRounds {
		c.rounds = slices.Delete(c.rounds, 0, 1)
	}
	c.rounds = append(c.rounds, round{id: id, start: now})
}

// answer counts a peer's answer and takes over the peer's own proof.
func (c *Core) answer(out []Action, e PullAnswer) []Action {
	i := slices.IndexFunc(c.rounds, func(r round) bool { return r.id == e.Round })
	if i < 0 {
		return out
	}
	r := &c.rounds[i]
	if e.Fresh {
		asOf := r.start - e.ProofAge - e.ProofAge*slackPerMille/1000
		if c.cfg.Mutation == AgeFromAnswer {
			asOf = r.start
		}
		out = c.propose(out, e.From, pending{asOf: asOf, need: e.State})
	}
	if !e.Voting && c.cfg.Mutation != CountRestarted || slices.Contains(r.from, e.From) {
		return out
	}
	r.from = append(r.from, e.From)
	slices.Sort(r.from)
	r.need = r.need.join(e.State)
	if c.quorum(r.from) {
		out = c.propose(out, e.From, pending{asOf: r.start, need: r.need})
	}
	return out
}

// quorum reports whether the instances, with this one if it counts, are a
// majority of the current witnesses.
func (c *Core) quorum(from []fleet.InstanceID) bool {
	w := c.Witnesses()
	n := 0
	for _, id := range w {
		if slices.Contains(from, id) || id == c.cfg.Self && c.Voting() {
			n++
		}
	}
	need := majority(len(w))
	if c.cfg.Mutation == MinorityPull {
		need = len(w) / 2
	}
	return len(w) > 0 && n >= need
}

// propose adds a proof and asks for what it needs.
func (c *Core) propose(out []Action, from fleet.InstanceID, p pending) []Action {
	if c.proved && p.asOf <= c.proof {
		return out
	}
	p.need = p.need.clone()
	c.pending = append(c.pending, p)
	if !c.have.covers(p.need) {
		out = append(out, Fetch{State: p.need.clone(), From: from})
	}
	return out
}

// prove completes pending proofs and ends a proof that is too old.
func (c *Core) prove(now time.Duration, out []Action) []Action {
	extended := false
	kept := c.pending[:0]
	for _, p := range c.pending {
		switch {
		case c.proved && p.asOf <= c.proof || now-p.asOf >= c.cfg.MaxProofAge:
		case c.have.covers(p.need) || c.cfg.Mutation == ProofWithoutInstall:
			c.proof, c.proved, extended = p.asOf, true, true
		default:
			kept = append(kept, p)
		}
	}
	c.pending = kept
	c.rounds = slices.DeleteFunc(c.rounds, func(r round) bool {
		return now-r.start >= c.cfg.MaxProofAge || c.proved && r.start <= c.proof
	})
	switch fresh := c.IsFresh(now); {
	case fresh && extended:
		out = append(out, Fresh{Expiry: c.ProofExpiry()})
		c.fresh = true
	case !fresh && c.fresh:
		out = append(out, Stale{})
		c.fresh = false
	}
	return out
}

func (c *Core) held(e WitnessAck) {
	if !e.Voting {
		return
	}
	for i := range c.rollouts {
		r := &c.rollouts[i]
		if !e.State.covers(r.state) {
			continue
		}
		j := slices.IndexFunc(r.held, func(h holder) bool { return h.from == e.From })
		if j < 0 {
			r.held = append(r.held, holder{from: e.From, sent: e.Sent})
		} else {
			r.held[j].sent = max(r.held[j].sent, e.Sent)
		}
	}
}

// accept reports the rollouts that a majority of every recent witness set holds.
func (c *Core) accept(now time.Duration, out []Action) []Action {
	if len(c.witnesses) > 1 {
		current := c.witnesses[:1]
		for _, w := range c.witnesses[1:] {
			if w.until > now {
				current = append(current, w)
			}
		}
		c.witnesses = current
	}
	kept := c.rollouts[:0]
	for _, r := range c.rollouts {
		if c.accepted(now, r) {
			out = append(out, Accepted{ID: r.id})
		} else {
			kept = append(kept, r)
		}
	}
	c.rollouts = kept
	return out
}

func (c *Core) accepted(now time.Duration, r rollout) bool {
	if r.needRow || len(c.witnesses) == 0 {
		return false
	}
	for _, w := range c.witnesses {
		n := 0
		for _, id := range w.ids {
			if id == c.cfg.Self {
				if c.Voting() && c.have.covers(r.state) {
					n++
				}
				continue
			}
			if slices.ContainsFunc(r.held, func(h holder) bool {
				return h.from == id && (now-h.sent < c.cfg.SettleTime || c.cfg.Mutation == AcceptOldAnswers)
			}) {
				n++
			}
		}
		need := majority(len(w.ids))
		if c.cfg.Mutation == MinorityAccept {
			need = len(w.ids) / 2
		}
		if len(w.ids) == 0 || n < need {
			return false
		}
	}
	return true
}

// IsFresh reports whether keyed requests may run at now.
func (c *Core) IsFresh(now time.Duration) bool {
	return c.proved && (now < c.ProofExpiry() || c.cfg.Mutation == NeverStale)
}

// ProofExpiry returns the end of the proof; zero when there was none.
func (c *Core) ProofExpiry() time.Duration {
	if !c.proved {
		return 0
	}
	return c.proof + c.cfg.MaxProofAge
}

// ProofAge returns the age of the proof to send to a peer. ok is false when the
// instance is not fresh.
func (c *Core) ProofAge(now time.Duration) (age time.Duration, ok bool) {
	if !c.IsFresh(now) {
		return 0, false
	}
	return now - c.proof, true
}

// Voting reports whether this instance counts in majorities: its proof lies at
// least Settle (with clock slack) after its start. Before that it may lack a
// version that an earlier run of it confirmed.
func (c *Core) Voting() bool {
	switch c.cfg.Mutation {
	case CountRestarted:
		return true
	case CountInherited:
		return c.proved
	}
	return c.proved && c.proof >= c.started+c.cfg.SettleTime+c.cfg.SettleTime*2*slackPerMille/1000
}

// HasInstalled reports whether the state is installed.
func (c *Core) HasInstalled(s State) bool { return c.have.covers(s) }

// Witnesses returns the read quorum's set, which follows from the list alone.
func (c *Core) Witnesses() []fleet.InstanceID {
	if len(c.witnesses) == 0 {
		return nil
	}
	return c.witnesses[0].ids
}
