// Package quotas is the model of one client account's rate and burst: two
// lenders and two possible holders, with the real cores of core/quota.
//
// Clocks run at the same rate and start at the same moment; core/quota's own
// tests vary the rates. Time passes in steps of 0.4 s. A call runs
// at its holder and is answered at once, late, twice, or never; a lender or
// holder that takes no step is paused. The rule is checked against a token
// bucket of the account's whole rate and burst.
package quotas

import (
	"encoding/binary"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/quota"
	"github.com/vanillahinge/vanillahinge/spec/search"
)

// Bounds limit one model.
type Bounds struct {
	// Steps of 0.4 s, Calls of lenders, Moves of the holder as one
	// lender sees it, HolderRestarts.
	Steps, Calls, Moves, HolderRestarts int
	// Late is the number of calls and answers that stay in flight, Twice that of
	// duplicated calls.
	Late, Twice int
	// Spends is how often a lender spends all it has before the last check.
	Spends int
	Quota  quota.Mutation
}

const (
	step    = 400 * time.Millisecond
	start   = 20 * time.Second
	past    = 5 * time.Second
	future  = 5 * time.Second
	account = fleet.AccountID("a")
	// rate and burst of the account; two slots, one per lender.
	rate, burst = 4.0, 4.0
)

var ids = [2]fleet.InstanceID{"I1", "I2"}

// lender and holder are immutable and shared between states.
type lender struct {
	core *quota.Lender
	key  uint64
}

type holder struct {
	core *quota.Holder
	run  uint8
	key  uint64
}

// message is a call to holder to, or its answer to lender from.
type message struct {
	from, to uint8
	call     *quota.Exchange
	answer   *quota.Grant
}

type state struct {
	b       *Bounds
	now     time.Duration
	lenders [2]lender
	holders [2]holder
	flying  []message
	// level is that of the account's whole bucket, which no spending may empty.
	level  float64
	counts [6]uint8
}

// Initial returns the state in which both lenders have filled their own shares
// and I1 is the holder.
func Initial(b Bounds) []search.State {
	s := &state{b: &b, now: start, level: burst}
	for i := range s.lenders {
		l := quota.NewLender(time.Second, account, quota.Lending, 1)
		l.Mutate(b.Quota)
		l.SetShare(time.Second, share(1))
		l.SetHolder(start, ids[0])
		// The first call brings the holder's clock.
		s.lenders[i].core = l
		s.holders[i] = s.newHolder(i, 1)
	}
	for i := range s.lenders {
		ex, _, ok := s.lenders[i].core.NextExchange(start)
		if !ok {
			panic("quotas: no first call")
		}
		s.lenders[i].core.HandleGrant(start, ids[0], s.holders[0].core.HandleExchange(start, ids[i], ex))
		s.sealLender(i)
	}
	s.sealHolder(0)
	return []search.State{s}
}

func share(slots uint32) quota.Share {
	return quota.Share{Rate: rate, Burst: burst, FleetSlots: 2, Slots: slots}
}

func (s *state) newHolder(i int, run uint8) holder {
	h := quota.NewHolder(account, uint64(10*i)+uint64(run))
	h.Mutate(s.b.Quota)
	h.SetShare(s.now, share(0))
	return holder{core: h, run: run, key: search.CoreKey(h, s.now, past, future)}
}

func (s *state) sealLender(i int) {
	s.lenders[i].key = search.CoreKey(s.lenders[i].core, s.now, past, future)
}

func (s *state) sealHolder(i int) {
	s.holders[i].key = search.CoreKey(s.holders[i].core, s.now, past, future)
}

func (s *state) editLender(i int) *quota.Lender {
	s.lenders[i].core = s.lenders[i].core.Clone()
	return s.lenders[i].core
}

func (s *state) editHolder(i int) *quota.Holder {
	s.holders[i].core = s.holders[i].core.Clone()
	return s.holders[i].core
}

func (s *state) clone() *state {
	c := *s
	c.flying = slices.Clone(s.flying)
	return &c
}

// Key implements search.State. The cores keep absolute times, so that now is
// part of the key.
func (s *state) Key() uint64 {
	var buf []byte
	buf = binary.LittleEndian.AppendUint64(buf, uint64(s.now))
	for i := range s.lenders {
		buf = binary.LittleEndian.AppendUint64(buf, s.lenders[i].key)
		buf = binary.LittleEndian.AppendUint64(buf, s.holders[i].key)
		buf = append(buf, s.holders[i].run)
	}
	for _, m := range s.flying {
		buf = append(buf, m.from, m.to)
		if m.call != nil {
			buf = binary.LittleEndian.AppendUint64(buf, search.CoreKey(m.call, s.now, past, future))
		} else {
			buf = binary.LittleEndian.AppendUint64(buf, search.CoreKey(m.answer, s.now, past, future))
		}
	}
	buf = binary.LittleEndian.AppendUint64(buf, math.Float64bits(math.Round(s.level*1e6)))
	buf = append(buf, s.counts[:]...)
	return xxhash.Sum64(buf)
}

// Transition kinds.
const (
	kTime = iota
	kCall
	kCallLate
	kCallTwice
	kAnswerLate
	kRunLate
	kDeliverLate
	kMove
	kRestart
	kSpend
)

func (s *state) use(counter, most int) (*state, bool) {
	if int(s.counts[counter]) >= most {
		return nil, false
	}
	n := s.clone()
	n.counts[counter]++
	return n, true
}

// Next implements search.State.
func (s *state) Next(visit func(search.Step, search.State)) {
	if n, ok := s.use(0, s.b.Steps); ok {
		n.now += step
		n.level = min(n.level+rate*step.Seconds(), burst)
		for i := range n.lenders {
			n.sealLender(i)
			n.sealHolder(i)
		}
		visit(search.Step{Kind: kTime}, n)
	}
	for i := range s.lenders {
		s.nextCall(i, true, visit)
		s.nextCall(i, false, visit)
		if n, ok := s.use(2, s.b.Moves); ok {
			n.editLender(i).SetHolder(s.now, ids[1])
			n.sealLender(i)
			visit(search.Step{Kind: kMove, A: uint8(i)}, n)
		}
		if n, ok := s.use(3, s.b.HolderRestarts); ok {
			n.holders[i] = n.newHolder(i, s.holders[i].run+1)
			visit(search.Step{Kind: kRestart, A: uint8(i)}, n)
		}
		if n, ok := s.use(4, s.b.Spends); ok {
			if spent := spend(n.editLender(i), s.now); spent > 0 {
				n.level -= spent
				n.sealLender(i)
				visit(search.Step{Kind: kSpend, A: uint8(i), B: uint8(spent)}, n)
			}
		}
	}
	for j, m := range s.flying {
		n := s.clone()
		n.flying = slices.Delete(n.flying, j, j+1)
		if m.call != nil {
			n.run(int(m.from), int(m.to), *m.call)
			visit(search.Step{Kind: kRunLate, A: m.from, B: m.to}, n)
			continue
		}
		n.editLender(int(m.from)).HandleGrant(s.now, ids[m.to], *m.answer)
		n.sealLender(int(m.from))
		visit(search.Step{Kind: kDeliverLate, A: m.from, B: m.to}, n)
	}
}

// nextCall covers the fates of a call that is due, with demand for the whole
// burst or without demand.
func (s *state) nextCall(i int, demand bool, visit func(search.Step, search.State)) {
	n, ok := s.use(1, s.b.Calls)
	if !ok {
		return
	}
	// A request that is left pending makes the lender call at once.
	l := n.editLender(i)
	if demand && l.AdmitPending(s.now, burst).Decision == quota.Admitted {
		return // it has the whole burst and asks for nothing
	}
	ex, to, due := l.NextExchange(s.now)
	if !due {
		return
	}
	n.sealLender(i)
	ex.Closed = slices.Clone(ex.Closed)
	j := slices.Index(ids[:], to)
	answered := n.clone()
	answered.run(i, j, ex)
	visit(search.Step{Kind: kCall, A: uint8(i), B: uint8(j), C: uint8(ex.Want)}, answered)
	if late, ok := n.use(5, s.b.Late); ok {
		kept := late.clone()
		kept.flying = append(kept.flying, message{from: uint8(i), to: uint8(j), call: &ex})
		visit(search.Step{Kind: kCallLate, A: uint8(i), B: uint8(j), C: uint8(ex.Want)}, kept)
		g := late.editHolder(j).HandleExchange(s.now, ids[i], ex)
		late.sealHolder(j)
		late.flying = append(late.flying, message{from: uint8(i), to: uint8(j), answer: &g})
		visit(search.Step{Kind: kAnswerLate, A: uint8(i), B: uint8(j), C: uint8(ex.Want)}, late)
	}
	if s.b.Twice > 0 {
		twice := n.clone()
		twice.run(i, j, ex)
		twice.editHolder(j).HandleExchange(s.now, ids[i], ex)
		twice.sealHolder(j)
		visit(search.Step{Kind: kCallTwice, A: uint8(i), B: uint8(j), C: uint8(ex.Want)}, twice)
	}
}

// run handles a call at the holder and its answer at the lender.
func (s *state) run(i, j int, ex quota.Exchange) {
	g := s.editHolder(j).HandleExchange(s.now, ids[i], ex)
	s.sealHolder(j)
	s.editLender(i).HandleGrant(s.now, ids[j], g)
	s.sealLender(i)
}

// spend takes whole tokens until the lender has none.
func spend(l *quota.Lender, now time.Duration) (n float64) {
	for n < 4*burst && l.AdmitPending(now, 1).Decision == quota.Admitted {
		n++
	}
	return n
}

// Check implements search.State. It lets both lenders spend all they have now.
func (s *state) Check() string {
	total := 0.0
	for i := range s.lenders {
		total += spend(s.lenders[i].core.Clone(), s.now)
	}
	if total > s.level+1e-6 {
		return fmt.Sprintf("G7: the instances can spend %.0f tokens while the account has %.2f", total, s.level)
	}
	return ""
}

// DescribeStep describes a step.
func DescribeStep(s search.Step) string {
	switch s.Kind {
	case kTime:
		return "0.4 s pass"
	case kCall:
		return fmt.Sprintf("I%d calls the holder I%d for %d tokens and is answered", s.A+1, s.B+1, s.C)
	case kCallLate:
		return fmt.Sprintf("a call of I%d to I%d for %d tokens stays in flight", s.A+1, s.B+1, s.C)
	case kAnswerLate:
		return fmt.Sprintf("I%d calls I%d for %d tokens, the answer stays in flight", s.A+1, s.B+1, s.C)
	case kCallTwice:
		return fmt.Sprintf("a call of I%d for %[3]d tokens runs twice at I%[2]d", s.A+1, s.B+1, s.C)
	case kRunLate:
		return fmt.Sprintf("the late call of I%d runs at I%d and is answered", s.A+1, s.B+1)
	case kDeliverLate:
		return fmt.Sprintf("the late answer reaches I%d from I%d", s.A+1, s.B+1)
	case kMove:
		return fmt.Sprintf("I%d takes I2 for the holder", s.A+1)
	case kRestart:
		return fmt.Sprintf("the holder in I%d restarts", s.A+1)
	case kSpend:
		return fmt.Sprintf("I%d spends %d tokens", s.A+1, s.B)
	}
	return "?"
}
