package admitqueue

import (
	"math"
	"time"

	"github.com/vanillahinge/vanillahinge/core/fleet"
)

const (
	// shareRatio is the weight of a priority relative to the next less urgent one. One
	// unit of work of the known routes is worth five to seven times as much as one of the
	// next priority, so that the share which protects the less urgent one is kept small:
	// 2% of the capacity beside one backlogged, more urgent priority. In the surges of
	// TestSurge a ratio of 20 cost callers up to 1.8% of the value.
	shareRatio = 20
	// accountQuantum is the work by which an account may be ahead of another one and still
	// take turns with it by age. It is about two statements of the known routes.
	accountQuantum = 40 * time.Millisecond
	// maxIdleAccounts is the number of accounts of a priority above which those that have
	// nothing waiting are forgotten.
	maxIdleAccounts = 256
)

// weight returns the weight of a priority.
func weight(priority int) float64 { return math.Pow(shareRatio, -float64(clampPriority(priority))) }

// shareOf returns the part of the capacity that a priority has at least, if all more
// urgent ones are backlogged.
func shareOf(priority int) float64 {
	var all float64
	for p := range clampPriority(priority) + 1 {
		all += weight(p)
	}
	return weight(priority) / all
}

// flow is a share of start-time fair queueing: that of a priority, or of an account within
// its priority.
type flow struct {
	// start is the virtual time at which the next statement of the flow starts.
	start   float64
	waiting int
	// onTime is the work of the statements that wait in the on-time tier: that which any
	// endpoint can run, and that which only the primary can.
	onTime [2]time.Duration
}

func (f *flow) add(it *Statement, sign int) {
	f.waiting += sign
	if !it.late {
		f.onTime[kindOf(it.PrimaryOnly)] += time.Duration(sign) * it.Cost
	}
}

// kindOf returns the index of a kind of work in flow.onTime.
func kindOf(primaryOnly bool) int {
	if primaryOnly {
		return 1
	}
	return 0
}

// run records the start of work on the flow, whose siblings are at virtual time v, and
// returns the new virtual time.
func (f *flow) run(v float64, cost time.Duration, weight float64) float64 {
	start := f.start
	if f.waiting == 0 {
		start = max(start, v)
	}
	f.start = start + cost.Seconds()/weight
	return max(v, start)
}

// class is a priority with its accounts.
type class struct {
	flow
	// virtual is the virtual time of the accounts.
	virtual  float64
	accounts map[fleet.AccountID]*flow
}

func (c *class) account(id fleet.AccountID) *flow {
	a := c.accounts[id]
	if a == nil {
		if c.accounts == nil {
			c.accounts = map[fleet.AccountID]*flow{}
		}
		if len(c.accounts) >= maxIdleAccounts {
			c.forgetIdle()
		}
		a = &flow{}
		c.accounts[id] = a
	}
	return a
}

// forgetIdle forgets the accounts that are not behind or ahead of a new one.
func (c *class) forgetIdle() {
	for id, a := range c.accounts {
		if a.waiting == 0 && a.start <= c.virtual {
			delete(c.accounts, id)
		}
	}
}

// shares holds the shares of a queue.
type shares struct {
	classes [priorities]class
	virtual float64
}

// join and leave record that a statement waits, or no longer does. A flow that had
// nothing waiting starts at the present virtual time: what it did not use is lost.
func (s *shares) join(it *Statement) {
	c := &s.classes[clampPriority(it.Priority)]
	a := c.account(it.Account)
	if c.waiting == 0 {
		c.start = max(c.start, s.virtual)
	}
	if a.waiting == 0 {
		a.start = max(a.start, c.virtual)
	}
	c.add(it, 1)
	a.add(it, 1)
}

func (s *shares) leave(it *Statement) {
	c := &s.classes[clampPriority(it.Priority)]
	c.add(it, -1)
	c.account(it.Account).add(it, -1)
}

// account records that the account of a refused statement uses its priority.
func (s *shares) account(it *Statement) {
	s.classes[clampPriority(it.Priority)].account(it.Account)
}

// run records the start of a statement that does not wait any more.
func (s *shares) run(it *Statement) {
	p := clampPriority(it.Priority)
	c := &s.classes[p]
	s.virtual = c.run(s.virtual, it.Cost, weight(p))
	c.virtual = c.account(it.Account).run(c.virtual, it.Cost, 1)
}

// minFill is the number of waiting statements from which an account can fill a queue.
const minFill = 4

// fillsQueue reports whether most of what waits in a statement's priority is of its account,
// and others use the priority too.
func (s *shares) fillsQueue(it *Statement) bool {
	c := &s.classes[clampPriority(it.Priority)]
	own := c.accounts[it.Account]
	return own != nil && own.waiting >= minFill && 2*own.waiting > c.waiting && len(c.accounts) > 1
}

// before reports whether a waiting statement goes before another one of its tier.
func (s *shares) before(a, b *Statement) bool {
	p, q := clampPriority(a.Priority), clampPriority(b.Priority)
	if p != q {
		c, d := s.classes[p].start, s.classes[q].start
		return c < d || c == d && p < q
	}
	if a.Account != b.Account {
		accounts := s.classes[p].accounts
		if t, u := math.Floor(accounts[a.Account].start/accountQuantum.Seconds()), math.Floor(accounts[b.Account].start/accountQuantum.Seconds()); t != u {
			return t < u
		}
	}
	return a.StartedAt < b.StartedAt
}

// ahead returns the work that goes before a statement that joins the on-time tier: of
// each account of its priority what its turns allow until the statement's own turn, and of
// more urgent priorities what their shares allow meanwhile. For a statement that only the
// primary can run, reads is the part of the work that any endpoint can run which counts.
func (s *shares) ahead(it *Statement, reads float64) time.Duration {
	p := clampPriority(it.Priority)
	c := &s.classes[p]
	work := func(f *flow) float64 {
		if it.PrimaryOnly {
			return (f.onTime[1] + time.Duration(reads*float64(f.onTime[0]))).Seconds()
		}
		return (f.onTime[0] + f.onTime[1]).Seconds()
	}
	own := c.accounts[it.Account]
	if own == nil {
		own = &flow{}
	}
	start := own.start
	if own.waiting == 0 {
		start = max(start, c.virtual)
	}
	turn := start + work(own) + accountQuantum.Seconds()
	ahead := work(own)
	for _, f := range c.accounts {
		if f != own && f.waiting > 0 {
			ahead += min(work(f), max(0, turn-f.start))
		}
	}
	var urgent, weights float64
	for i := range p {
		urgent += work(&s.classes[i].flow)
		weights += weight(i)
	}
	ahead += min(urgent, (ahead+it.Cost.Seconds())*weights/weight(p))
	return time.Duration(ahead * float64(time.Second))
}
