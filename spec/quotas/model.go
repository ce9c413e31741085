// Package quotas models the rate and burst of one client account, with two lenders
// and two possible holders. It runs the real cores of core/quota.
//
// All clocks start together and run at the same rate; the tests of core/quota vary
// the rates. Time advances in steps of 0.4 s. A call runs at its holder, at once,
// late, twice or never, and its answer may be late or lost. A lender or holder that
// takes no step is paused. The rule is verified against a token bucket with the
// account's whole rate and burst.
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

// Bounds limits the state space of the model.
type Bounds struct {
	// Steps limits the time steps of 0.4 s, Calls the calls of lenders, Moves the
	// changes of the holder as seen by a lender, HolderRestarts the restarts of a
	// holder.
	Steps, Calls, Moves, HolderRestarts int
	// Late limits the calls and answers that stay in flight. Twice, if not 0, allows
	// calls to run twice.
	Late, Twice int
	// Spends limits how often a lender spends all its tokens, in addition to Check,
	// which always spends all of them.
	Spends int
	Quota  quota.Mutation
}

const (
	timeStep = 400 * time.Millisecond
	start    = 20 * time.Second
	past     = 5 * time.Second
	future   = 5 * time.Second
	account  = fleet.AccountID("a")
	// The rate and burst of the account are split over two slots, one per lender.
	rate, burst = 4.0, 4.0
)

var instanceIDs = [2]fleet.InstanceID{"I1", "I2"}

// lender is a lender core and its key. Cores are immutable, since states share
// them; copyLender and copyHolder replace them with copies.
type lender struct {
	core *quota.Lender
	key  uint64
}

// holder is a holder core, the number of its run, and its key.
type holder struct {
	core *quota.Holder
	run  uint8
	key  uint64
}

// message is a call of lender from to holder to, or the answer to that call.
// Either call or answer is set.
type message struct {
	from, to uint8
	call     *quota.Exchange
	answer   *quota.Grant
}

type state struct {
	bounds   *Bounds
	now      time.Duration
	lenders  [2]lender
	holders  [2]holder
	inFlight []message
	// level is the fill level of the account's reference bucket, which must cover
	// all spending.
	level float64
	// eventCounts holds the number of bounded events so far, indexed by the first
	// argument of consume.
	eventCounts [6]uint8
}

// Initial returns the state in which both lenders have filled their own shares
// and use I1 as the holder.
func Initial(b Bounds) []search.State {
	s := &state{bounds: &b, now: start, level: burst}
	for i := range s.lenders {
		l := quota.NewLender(time.Second, account, quota.Lending, 1)
		l.Mutate(b.Quota)
		l.SetShare(time.Second, share(1))
		l.SetHolder(start, instanceIDs[0])
		s.lenders[i].core = l
		s.holders[i] = s.newHolder(i, 1)
	}
	// The first call tells each lender the holder's clock.
	for i := range s.lenders {
		ex, _, ok := s.lenders[i].core.NextExchange(start)
		if !ok {
			panic("quotas: lender made no initial call")
		}
		s.lenders[i].core.HandleGrant(start, instanceIDs[0], s.holders[0].core.HandleExchange(start, instanceIDs[i], ex))
		s.updateLenderKey(i)
	}
	s.updateHolderKey(0)
	return []search.State{s}
}

func share(slots uint32) quota.Share {
	return quota.Share{Rate: rate, Burst: burst, FleetSlots: 2, Slots: slots}
}

func (s *state) newHolder(i int, run uint8) holder {
	h := quota.NewHolder(account, uint64(10*i)+uint64(run))
	h.Mutate(s.bounds.Quota)
	h.SetShare(s.now, share(0))
	return holder{core: h, run: run, key: search.CoreKey(h, s.now, past, future)}
}

func (s *state) updateLenderKey(i int) {
	s.lenders[i].key = search.CoreKey(s.lenders[i].core, s.now, past, future)
}

func (s *state) updateHolderKey(i int) {
	s.holders[i].key = search.CoreKey(s.holders[i].core, s.now, past, future)
}

func (s *state) copyLender(i int) *quota.Lender {
	s.lenders[i].core = s.lenders[i].core.Clone()
	return s.lenders[i].core
}

func (s *state) copyHolder(i int) *quota.Holder {
	s.holders[i].core = s.holders[i].core.Clone()
	return s.holders[i].core
}

func (s *state) clone() *state {
	c := *s
	c.inFlight = slices.Clone(s.inFlight)
	return &c
}

// Key implements search.State. The key includes now, since the cores keep
// absolute times.
func (s *state) Key() uint64 {
	var buf []byte
	buf = binary.LittleEndian.AppendUint64(buf, uint64(s.now))
	for i := range s.lenders {
		buf = binary.LittleEndian.AppendUint64(buf, s.lenders[i].key)
		buf = binary.LittleEndian.AppendUint64(buf, s.holders[i].key)
		buf = append(buf, s.holders[i].run)
	}
	for _, m := range s.inFlight {
		buf = append(buf, m.from, m.to)
		if m.call != nil {
			buf = binary.LittleEndian.AppendUint64(buf, search.CoreKey(m.call, s.now, past, future))
		} else {
			buf = binary.LittleEndian.AppendUint64(buf, search.CoreKey(m.answer, s.now, past, future))
		}
	}
	buf = binary.LittleEndian.AppendUint64(buf, math.Float64bits(math.Round(s.level*1e6)))
	buf = append(buf, s.eventCounts[:]...)
	return xxhash.Sum64(buf)
}

// Values of search.Step.Kind.
const (
	kindTime = iota
	kindCall
	kindCallLate
	kindCallTwice
	kindAnswerLate
	kindRunLate
	kindDeliverLate
	kindChangeHolder
	kindRestart
	kindSpend
)

// consume returns a copy of the state in which the counter of a bounded event is
// one higher, or false if the counter has reached limit.
func (s *state) consume(counter, limit int) (*state, bool) {
	if int(s.eventCounts[counter]) >= limit {
		return nil, false
	}
	n := s.clone()
	n.eventCounts[counter]++
	return n, true
}

// Next implements search.State.
func (s *state) Next(visit func(search.Step, search.State)) {
	if n, ok := s.consume(0, s.bounds.Steps); ok {
		n.now += timeStep
		n.level = min(n.level+rate*timeStep.Seconds(), burst)
		for i := range n.lenders {
			n.updateLenderKey(i)
			n.updateHolderKey(i)
		}
		visit(search.Step{Kind: kindTime}, n)
	}
	for i := range s.lenders {
		s.nextCall(i, true, visit)
		s.nextCall(i, false, visit)
		if n, ok := s.consume(2, s.bounds.Moves); ok {
			n.copyLender(i).SetHolder(s.now, instanceIDs[1])
			n.updateLenderKey(i)
			visit(search.Step{Kind: kindChangeHolder, A: uint8(i)}, n)
		}
		if n, ok := s.consume(3, s.bounds.HolderRestarts); ok {
			n.holders[i] = n.newHolder(i, s.holders[i].run+1)
			visit(search.Step{Kind: kindRestart, A: uint8(i)}, n)
		}
		if n, ok := s.consume(4, s.bounds.Spends); ok {
			if spent := spend(n.copyLender(i), s.now); spent > 0 {
				n.level -= spent
				n.updateLenderKey(i)
				visit(search.Step{Kind: kindSpend, A: uint8(i), B: uint8(spent)}, n)
			}
		}
	}
	for j, m := range s.inFlight {
		n := s.clone()
		n.inFlight = slices.Delete(n.inFlight, j, j+1)
		if m.call != nil {
			n.run(int(m.from), int(m.to), *m.call)
			visit(search.Step{Kind: kindRunLate, A: m.from, B: m.to}, n)
			continue
		}
		n.copyLender(int(m.from)).HandleGrant(s.now, instanceIDs[m.to], *m.answer)
		n.updateLenderKey(int(m.from))
		visit(search.Step{Kind: kindDeliverLate, A: m.from, B: m.to}, n)
	}
}

// nextCall visits the possible outcomes of a call that is due. With demand, the
// lender has a pending request for the whole burst.
func (s *state) nextCall(i int, demand bool, visit func(search.Step, search.State)) {
	n, ok := s.consume(1, s.bounds.Calls)
	if !ok {
		return
	}
	// A pending request makes the lender call at once.
	l := n.copyLender(i)
	if demand && l.AdmitPending(s.now, burst).Decision == quota.Admitted {
		return // the lender already has the whole burst
	}
	ex, to, due := l.NextExchange(s.now)
	if !due {
		return
	}
	n.updateLenderKey(i)
	ex.Closed = slices.Clone(ex.Closed)
	j := slices.Index(instanceIDs[:], to)
	answered := n.clone()
	answered.run(i, j, ex)
	visit(search.Step{Kind: kindCall, A: uint8(i), B: uint8(j), C: uint8(ex.Want)}, answered)
	if late, ok := n.consume(5, s.bounds.Late); ok {
		kept := late.clone()
		kept.inFlight = append(kept.inFlight, message{from: uint8(i), to: uint8(j), call: &ex})
		visit(search.Step{Kind: kindCallLate, A: uint8(i), B: uint8(j), C: uint8(ex.Want)}, kept)
		g := late.copyHolder(j).HandleExchange(s.now, instanceIDs[i], ex)
		late.updateHolderKey(j)
		late.inFlight = append(late.inFlight, message{from: uint8(i), to: uint8(j), answer: &g})
		visit(search.Step{Kind: kindAnswerLate, A: uint8(i), B: uint8(j), C: uint8(ex.Want)}, late)
	}
	if s.bounds.Twice > 0 {
		twice := n.clone()
		twice.run(i, j, ex)
		twice.copyHolder(j).HandleExchange(s.now, instanceIDs[i], ex)
		twice.updateHolderKey(j)
		visit(search.Step{Kind: kindCallTwice, A: uint8(i), B: uint8(j), C: uint8(ex.Want)}, twice)
	}
}

// run passes a call of lender i to holder j and the answer back to the lender.
func (s *state) run(i, j int, ex quota.Exchange) {
	g := s.copyHolder(j).HandleExchange(s.now, instanceIDs[i], ex)
	s.updateHolderKey(j)
	s.copyLender(i).HandleGrant(s.now, instanceIDs[j], g)
	s.updateLenderKey(i)
}

// spend takes whole tokens until the lender has none left and returns how many it
// took.
func spend(l *quota.Lender, now time.Duration) (n float64) {
	for n < 4*burst && l.AdmitPending(now, 1).Decision == quota.Admitted {
		n++
	}
	return n
}

// Check implements search.State. It verifies G7 by letting both lenders spend all
// their tokens now: together they stay within the account's bucket.
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

// DescribeStep returns the text for a step in the printed trace of a violation.
func DescribeStep(s search.Step) string {
	switch s.Kind {
	case kindTime:
		return "0.4 s pass"
	case kindCall:
		return fmt.Sprintf("I%d calls the holder I%d for %d tokens and is answered", s.A+1, s.B+1, s.C)
	case kindCallLate:
		return fmt.Sprintf("a call of I%d to I%d for %d tokens stays in flight", s.A+1, s.B+1, s.C)
	case kindAnswerLate:
		return fmt.Sprintf("I%d calls I%d for %d tokens; the answer stays in flight", s.A+1, s.B+1, s.C)
	case kindCallTwice:
		return fmt.Sprintf("a call of I%d for %[3]d tokens runs twice at I%[2]d", s.A+1, s.B+1, s.C)
	case kindRunLate:
		return fmt.Sprintf("the late call of I%d runs at I%d and is answered", s.A+1, s.B+1)
	case kindDeliverLate:
		return fmt.Sprintf("the late answer to I%d from I%d arrives", s.A+1, s.B+1)
	case kindChangeHolder:
		return fmt.Sprintf("I%d changes its holder to I2", s.A+1)
	case kindRestart:
		return fmt.Sprintf("the holder on I%d restarts", s.A+1)
	case kindSpend:
		return fmt.Sprintf("I%d spends %d tokens", s.A+1, s.B)
	}
	return "unknown step"
}
