// Package admitqueue decides which of the statements that wait for the endpoints
// of one group starts next, which is refused, and when.
//
// Statements that can start within their route's latency objective go first. The
// capacity that they leave goes to statements that are late but can still be served
// within the route's statement limit. A statement that is not expected to make it is
// refused when it arrives, since callers repeat an early refusal at little cost,
// while one after a long wait costs them most of their time.
//
// Use, per group, under one lock:
//
//	q := admitqueue.New[*Session]()
//	q.Started(now, it)                    // it starts without waiting
//	if rule := q.Push(now, it, c); rule != admitqueue.Admitted { // refuse it }
//	for it := q.Next(now, fits); it != nil; it = q.Next(now, fits) { // start it }
//	for _, e := range q.Expire(now, c) { // refuse e.Item because of e.Rule }
//	q.Remove(it)                          // the caller has gone
package admitqueue

import (
	"math"
	"slices"
	"time"

	"github.com/vanillahinge/vanillahinge/core/fleet"
)

const (
	// rateWindow is the time constant of the rates of admitted work. It covers several
	// hundred statements of a busy group, so that the rates are known within about a
	// tenth, and is short against the surges of 2 to 10 s that they have to follow.
	rateWindow = 500 * time.Millisecond
	// longMargin and shortMargin are the shares of the time until the latest start on time
	// that the expected wait of a statement may fill: longMargin while the work offered is
	// less than the capacity, so that bursts are absorbed; shortMargin while more is
	// offered, when a longer queue only makes all answers later, and those of repeated
	// operations late. The offered work goes from one to the other between 1 and
	// 1+excessRange times the capacity.
	longMargin  = 0.7
	shortMargin = 0.15
	excessRange = 0.25
	// lateMargin is the same for the time until the statement limit.
	lateMargin = 0.8
	// servedHeadroom is the part that endpoints can do at least, of what they did lately.
	servedHeadroom = 1.05
	// freshTime is how long a queue orders each tier of a priority by age alone after it was not used for as long.
	// That is the case of the next keeper of a group after the loss of one: it has no state,
	// and the operations that the lost one held arrive again among newer ones.
	freshTime = time.Second
	// minLateShare is the share of the capacity that late work is expected to get at least.
	// It is the bound of the late tier during a surge whose end is not known.
	minLateShare = 0.05
)

// Rule names what refused a statement, for metrics and logs.
type Rule string

const (
	// Admitted is the rule of a statement that is not refused.
	Admitted Rule = ""
	// BeyondLimit refuses, on arrival, a statement that is not expected to start in time
	// for the route's statement limit.
	BeyondLimit Rule = "beyond_limit"
	// OverShare is BeyondLimit for an account whose own statements are most of what waits.
	OverShare Rule = "over_share"
	// OutrunLate refuses a statement that did not start within its objective as expected
	// and is not expected to start in time for the statement limit either.
	OutrunLate Rule = "outrun"
	// Expired refuses a statement whose last useful start has passed.
	Expired Rule = "expired"
)

// Capacity is the work that endpoints do in parallel: the number of statements in
// flight divided by how many times its service time each takes.
type Capacity struct {
	// All is that of all usable endpoints, Primary that of the primary alone.
	All, Primary float64
}

// Statement describes a statement, or the begin of a transaction.
type Statement struct {
	// Priority is lower for more urgent statements.
	Priority int
	Account  fleet.AccountID
	// PrimaryOnly is set if no replica can run the statement.
	PrimaryOnly bool
	// StartedAt is when the caller's attempt began. Older ones go first among equals.
	StartedAt time.Duration
	// OnTimeBy is the latest start that meets the latency objective, and ServeBy the
	// latest one that meets the statement limit.
	OnTimeBy, ServeBy time.Duration
	// Cost is the estimated service time, of a transaction that of all its statements.
	Cost time.Duration
	// Waived is set for a statement that waits for a primary to return: it is not
	// refused for lack of capacity before ServeBy.
	Waived bool

	late bool
}

// Item is a statement in a queue.
type Item[T any] struct {
	Statement
	Value T

	index int
}

// Late reports whether the statement is in the late tier.
func (it *Statement) Late() bool { return it.late }

// tier orders statements before their shares: those admitted as on time, those that were
// not but may still be, and those that are late.
func (it *Statement) tier(now time.Duration) int {
	switch {
	case !it.late:
		return 0
	case now <= it.OnTimeBy:
		return 1
	}
	return 2
}

// rate is the moving average of work per time.
type rate struct {
	value     float64
	at, began time.Duration
}

// minRateAge is the time over which the first statements of a rate are spread.
const minRateAge = 100 * time.Millisecond

// get returns the average over the last rateWindow, or since the rate began.
func (r *rate) get(now time.Duration) float64 {
	if r.value == 0 {
		return 0
	}
	covered := 1 - math.Exp(-max(minRateAge, now-r.began).Seconds()/rateWindow.Seconds())
	return r.decayed(now) / covered
}

func (r *rate) decayed(now time.Duration) float64 {
	return r.value * math.Exp(-max(0, (now-r.at).Seconds())/rateWindow.Seconds())
}

func (r *rate) add(now, cost time.Duration) {
	if r.value == 0 {
		r.began = now
	}
	r.value, r.at = r.decayed(now)+cost.Seconds()/rateWindow.Seconds(), now
}

// priorities is the number of priorities that are told apart; less urgent ones count
// as the last.
const priorities = 8

func clampPriority(p int) int { return min(max(p, 0), priorities-1) }

// Queue holds the waiting statements of one group. It is not safe for concurrent use.
type Queue[T any] struct {
	items  []*Item[T]
	shares shares
	// lastUse is when a statement last arrived, used whether one has. Until freshUntil the
	// queue is fresh.
	used                bool
	lastUse, freshUntil time.Duration
	// admitted holds the rates of work admitted as on time by priority, of all
	// statements and of those that only the primary can run.
	admitted, admittedPrimary [priorities]rate
	// offered holds the rates of all work by priority.
	offered, offeredPrimary [priorities]rate
	// served and servedPrimary are the rates of the work that started.
	served, servedPrimary rate
}

// New returns an empty queue.
func New[T any]() *Queue[T] { return &Queue[T]{} }

// Len returns the number of waiting statements.
func (q *Queue[T]) Len() int { return len(q.items) }

// Started records a statement that starts without waiting.
func (q *Queue[T]) Started(now time.Duration, it *Item[T]) {
	q.use(now)
	record(now, it, &q.offered, &q.offeredPrimary)
	if now <= it.OnTimeBy {
		record(now, it, &q.admitted, &q.admittedPrimary)
	}
	q.start(now, it)
}

// start records that a statement starts.
func (q *Queue[T]) start(now time.Duration, it *Item[T]) {
	q.shares.run(&it.Statement)
	q.served.add(now, it.Cost)
	if it.PrimaryOnly {
		q.servedPrimary.add(now, it.Cost)
	}
}

// atLeastServed returns a capacity that is not less than the work which the endpoints did
// lately: short statements take many times as long now and then without any queueing.
func (q *Queue[T]) atLeastServed(now time.Duration, c Capacity) Capacity {
	return Capacity{All: max(c.All, servedHeadroom*q.served.get(now)), Primary: max(c.Primary, servedHeadroom*q.servedPrimary.get(now))}
}

func record[T any](now time.Duration, it *Item[T], all, primary *[priorities]rate) {
	p := clampPriority(it.Priority)
	all[p].add(now, it.Cost)
	if it.PrimaryOnly {
		primary[p].add(now, it.Cost)
	}
}

// use records that a statement arrives.
func (q *Queue[T]) use(now time.Duration) {
	if !q.used || now > q.lastUse+freshTime {
		q.freshUntil = now + freshTime
	}
	q.used, q.lastUse = true, now
}

// Push adds a statement, or returns the rule that refuses it.
func (q *Queue[T]) Push(now time.Duration, it *Item[T], c Capacity) Rule {
	q.use(now)
	c = q.atLeastServed(now, c)
	record(now, it, &q.offered, &q.offeredPrimary)
	if rule := q.judge(now, it, c); rule != Admitted {
		q.shares.account(&it.Statement)
		return rule
	}
	if !it.late {
		record(now, it, &q.admitted, &q.admittedPrimary)
	}
	q.shares.join(&it.Statement)
	it.index = len(q.items)
	q.items = append(q.items, it)
	return Admitted
}

// Check returns what Push would, and does not change the queue.
func (q *Queue[T]) Check(now time.Duration, it *Item[T], c Capacity) Rule {
	offered, offeredPrimary := q.offered, q.offeredPrimary
	record(now, it, &q.offered, &q.offeredPrimary)
	rule := q.judge(now, it, q.atLeastServed(now, c))
	q.offered, q.offeredPrimary = offered, offeredPrimary
	return rule
}

// judge sets the tier of a statement that arrives and returns the rule that refuses it, or
// Admitted. Its work has been recorded as offered. It does not change the queue.
func (q *Queue[T]) judge(now time.Duration, it *Item[T], c Capacity) Rule {
	it.late = now > it.OnTimeBy || !it.Waived && float64(q.wait(now, it, c, false)) > q.margin(now, it, c)*float64(it.OnTimeBy-now)
	if !it.late || it.Waived || q.servable(now, it, c) {
		return Admitted
	}
	if q.shares.fillsQueue(&it.Statement) {
		return OverShare
	}
	return BeyondLimit
}

// margin returns the share of the time until a statement's latest start on time that its
// expected wait may fill.
func (q *Queue[T]) margin(now time.Duration, it *Item[T], c Capacity) float64 {
	excess := q.excess(now, it.Priority, false, c)
	if it.PrimaryOnly {
		// The primary also runs reads when all endpoints are needed for them.
		excess = max(excess, q.excess(now, it.Priority, true, c))
	}
	return longMargin - (longMargin-shortMargin)*excess
}

// Excess returns by how much more work of a priority and more urgent ones is offered than
// the endpoints can do, from 0 for none to 1 if much of it has to be refused.
func (q *Queue[T]) Excess(now time.Duration, priority int, c Capacity) float64 {
	return q.excess(now, priority, false, c)
}

func (q *Queue[T]) excess(now time.Duration, priority int, primaryOnly bool, c Capacity) float64 {
	capacity, rates := c.All, &q.offered
	if primaryOnly {
		capacity, rates = c.Primary, &q.offeredPrimary
	}
	if capacity <= 0 {
		return 0
	}
	var offered float64
	for p := range clampPriority(priority) + 1 {
		offered += rates[p].get(now)
	}
	return min(max(offered/capacity-1, 0)/excessRange, 1)
}

// servable reports whether a late statement is expected to start in time for the
// statement limit.
func (q *Queue[T]) servable(now time.Duration, it *Item[T], c Capacity) bool {
	return now <= it.ServeBy && float64(q.wait(now, it, c, true)) <= lateMargin*float64(it.ServeBy-now)
}

// forever stands for a wait without expected end.
const forever = time.Duration(math.MaxInt64)

// wait returns how long a statement is expected to wait: the work that goes before it,
// divided by the capacity that later arrivals leave it.
func (q *Queue[T]) wait(now time.Duration, it *Item[T], c Capacity, late bool) time.Duration {
	capacity, rates := c.All, &q.admitted
	if it.PrimaryOnly {
		capacity, rates = c.Primary, &q.admittedPrimary
	}
	// Reads take their part of the primary once more is offered than all endpoints can do.
	var reads float64
	if it.PrimaryOnly && c.All > 0 {
		reads = c.Primary / c.All * q.excess(now, it.Priority, false, c)
	}
	var ahead time.Duration
	if late {
		ahead = q.aheadOfLate(it)
	} else {
		ahead = q.shares.ahead(&it.Statement, reads)
	}
	left := capacity
	for p := range rates {
		if late || p < clampPriority(it.Priority) {
			left -= rates[p].get(now)
		}
	}
	share := minLateShare
	if !late {
		share = shareOf(it.Priority)
	}
	if left = max(left, share*capacity); left <= 0 {
		return forever
	}
	return time.Duration(float64(ahead+it.Cost) / left)
}

// aheadOfLate returns the work that goes before a statement in the late tier. The late
// tier is short, so that its shares are left out.
func (q *Queue[T]) aheadOfLate(it *Item[T]) (ahead time.Duration) {
	for _, w := range q.items {
		if w != it && (w.PrimaryOnly || !it.PrimaryOnly) && (!w.late || w.Priority <= it.Priority) {
			ahead += w.Cost
		}
	}
	return ahead
}

// before reports whether a goes before b.
func (q *Queue[T]) before(now time.Duration, a, b *Item[T]) bool {
	if s, t := a.tier(now), b.tier(now); s != t {
		return s < t
	}
	if now < q.freshUntil && a.Priority == b.Priority {
		return a.StartedAt < b.StartedAt
	}
	return q.shares.before(&a.Statement, &b.Statement)
}

// Next removes and returns the statement to start now: the first in order for which
// fits returns true, or nil.
func (q *Queue[T]) Next(now time.Duration, fits func(*Item[T]) bool) *Item[T] {
	var best *Item[T]
	for _, it := range q.items {
		if now <= it.ServeBy && (best == nil || q.before(now, it, best)) && fits(it) {
			best = it
		}
	}
	if best != nil {
		q.Remove(best)
		q.start(now, best)
	}
	return best
}

// Any reports whether f returns true for any waiting statement.
func (q *Queue[T]) Any(f func(*Item[T]) bool) bool { return slices.ContainsFunc(q.items, f) }

// Refused is a statement that Expire removed, and why.
type Refused[T any] struct {
	Item *Item[T]
	Rule Rule
}

// Expire moves statements that missed their start on time to the late tier, and
// removes those that will not be served.
func (q *Queue[T]) Expire(now time.Duration, c Capacity) []Refused[T] {
	var out []Refused[T]
	for i := 0; i < len(q.items); {
		it := q.items[i]
		rule := Admitted
		switch {
		case now > it.ServeBy:
			rule = Expired
		case !it.late && now > it.OnTimeBy:
			q.shares.leave(&it.Statement)
			it.late = true
			q.shares.join(&it.Statement)
			if !it.Waived && !q.servable(now, it, q.atLeastServed(now, c)) {
				rule = OutrunLate
			}
		}
		if rule == Admitted {
			i++
			continue
		}
		q.Remove(it)
		out = append(out, Refused[T]{it, rule})
	}
	return out
}

// Remove removes a waiting statement and reports whether it was waiting.
func (q *Queue[T]) Remove(it *Item[T]) bool {
	i := it.index
	if i >= len(q.items) || q.items[i] != it {
		return false
	}
	last := len(q.items) - 1
	q.items[i] = q.items[last]
	q.items[i].index = i
	q.items[last] = nil
	q.items = q.items[:last]
	q.shares.leave(&it.Statement)
	return true
}
