// Package fair queues the requests for one endpoint in one instance, so that
// no client account takes another's share of it. It is start-time weighted
// fair queueing by account with a deadline per request, in front of an
// in-flight limit that follows the endpoint's latency.
//
// Use, per endpoint, under one lock:
//
//	q := fair.New[*Session](fair.Config{Slots: 3})
//	it := &fair.Item[*Session]{Account: "acme", Weight: 2, Deadline: d, Value: s}
//	q.Push(now, it)
//	for it := q.Next(now); it != nil; it = q.Next(now) { // start it.Value }
//	q.Done(now, it, ok)                  // then call Next again
//	for it := q.Expired(now); it != nil; it = q.Expired(now) { // VH504, not run }
//	q.Remove(it)                         // the caller went away
//
// The caller owns the items and may use one again once it has left the queue
// and was given to Done, or was removed or expired.
package fair

import (
	"time"

	"github.com/vanillahinge/vanillahinge/core/fleet"
)

// Mode selects the order of the queue.
type Mode uint8

// The modes.
const (
	// Weighted serves accounts in proportion to their weights.
	Weighted Mode = iota
	// FIFO serves in the order of arrival, with a fixed in-flight limit
	// of Slots. It is the baseline for measuring fairness.
	FIFO
)

// Config holds the settings of a queue.
type Config struct {
	Mode Mode
	// Slots is how many statements the endpoint runs at a time; the in-flight
	// limit moves between 1 and Slots.
	Slots int
	// FixedLimit keeps the in-flight limit at Slots.
	FixedLimit bool
}

// Item is one request.
type Item[T any] struct {
	Account fleet.AccountID
	// Weight is the account's share; values below 1 count as 1.
	Weight int
	// Deadline is when the request leaves the queue as not run; 0 means never.
	Deadline time.Duration
	Value    T

	state      itemState
	flow       *flow[T] // while queued
	prev, next *Item[T] // while queued or expired
	place      int      // in the heap of deadlines, while queued with a deadline
	started    time.Duration
}

type itemState uint8

const (
	idle itemState = iota
	queued
	expired
	running
)

func (it *Item[T]) before(o *Item[T]) bool { return it.Deadline < o.Deadline }
func (it *Item[T]) setPlace(i int)         { it.place = i }

// list is a doubly linked list through the items.
type list[T any] struct{ head, tail *Item[T] }

func (l *list[T]) push(it *Item[T]) {
	it.prev, it.next = l.tail, nil
	if l.tail == nil {
		l.head = it
	} else {
		l.tail.next = it
	}
	l.tail = it
}

func (l *list[T]) remove(it *Item[T]) {
	if it.prev == nil {
		l.head = it.next
	} else {
		it.prev.next = it.next
	}
	if it.next == nil {
		l.tail = it.prev
	} else {
		it.next.prev = it.prev
	}
	it.prev, it.next = nil, nil
}

// flow is the queue of one account.
type flow[T any] struct {
	items list[T]
	// start is the start tag of the first item, while there is one; finish is
	// the finish tag of the item that was started last.
	start, finish float64
	place         int
}

func (f *flow[T]) before(o *flow[T]) bool { return f.start < o.start }
func (f *flow[T]) setPlace(i int)         { f.place = i }

// maxFlows is the number of accounts above which those without requests are
// forgotten.
const maxFlows = 1024

// Queue is the queue of one endpoint.
type Queue[T any] struct {
	cfg   Config
	limit limiter
	// virtual is the start tag of the item started last. It never goes down.
	virtual float64
	flows   map[fleet.AccountID]*flow[T]
	// backlogged has the flows with items, by start tag.
	backlogged ordered[*flow[T]]
	// deadlines has the queued items with a deadline.
	deadlines ordered[*Item[T]]
	// late has the items whose deadline passed and that Expired has not
	// returned yet.
	late     list[T]
	length   int
	inFlight int
}

// New returns an empty queue.
func New[T any](cfg Config) *Queue[T] {
	q := &Queue[T]{cfg: cfg, flows: map[fleet.AccountID]*flow[T]{}}
	q.SetSlots(cfg.Slots)
	return q
}

// Push adds an item that is not in the queue.
func (q *Queue[T]) Push(now time.Duration, it *Item[T]) {
	account := it.Account
	if q.cfg.Mode == FIFO {
		account = ""
	}
	f := q.flows[account]
	if f == nil {
		if len(q.flows) >= maxFlows {
			q.forget()
		}
		f = &flow[T]{}
		q.flows[account] = f
	}
	it.state, it.flow = queued, f
	first := f.items.head == nil
	f.items.push(it)
	if first {
		f.start = max(q.virtual, f.finish)
		q.backlogged.push(f)
	}
	if it.Deadline > 0 {
		q.deadlines.push(it)
	}
	q.length++
	q.expire(now)
}

// forget drops the accounts that have no items and no service ahead of others.
func (q *Queue[T]) forget() {
	for id, f := range q.flows {
		if f.items.head == nil && f.finish <= q.virtual {
			delete(q.flows, id)
		}
	}
}

// take removes a queued item. The start tag of its flow stays: the next item
// takes the turn of one that left without being started.
func (q *Queue[T]) take(it *Item[T]) {
	f := it.flow
	f.items.remove(it)
	if f.items.head == nil {
		q.backlogged.remove(f.place)
	}
	if it.Deadline > 0 {
		q.deadlines.remove(it.place)
	}
	it.flow = nil
	q.length--
}

// expire moves the items whose deadline has passed to the late ones.
func (q *Queue[T]) expire(now time.Duration) {
	for len(q.deadlines) > 0 && q.deadlines[0].Deadline <= now {
		it := q.deadlines[0]
		q.take(it)
		it.state = expired
		q.late.push(it)
	}
}

// Next takes the item to start now, or nil when the queue is empty or the
// in-flight limit is reached. It never returns an item past its deadline.
func (q *Queue[T]) Next(now time.Duration) *Item[T] {
	q.expire(now)
	if q.inFlight >= q.Limit() || len(q.backlogged) == 0 {
		return nil
	}
	f := q.backlogged[0]
	it := f.items.head
	q.virtual = f.start
	f.finish = f.start + 1/float64(max(it.Weight, 1))
	q.take(it)
	if f.items.head != nil {
		f.start = f.finish
		q.backlogged.fix(f.place)
	}
	it.state, it.started = running, now
	q.inFlight++
	return it
}

// Expired takes one item whose deadline has passed, or returns nil.
func (q *Queue[T]) Expired(now time.Duration) *Item[T] {
	q.expire(now)
	it := q.late.head
	if it != nil {
		q.late.remove(it)
		it.state = idle
	}
	return it
}

// NextDeadline returns the earliest deadline of the queue.
func (q *Queue[T]) NextDeadline() (time.Duration, bool) {
	switch {
	case q.late.head != nil:
		return q.late.head.Deadline, true
	case len(q.deadlines) > 0:
		return q.deadlines[0].Deadline, true
	}
	return 0, false
}

// Remove takes an item out and reports whether it was still queued.
func (q *Queue[T]) Remove(it *Item[T]) bool {
	switch it.state {
	case queued:
		q.take(it)
	case expired:
		q.late.remove(it)
	default:
		return false
	}
	it.state = idle
	return true
}

// Done ends an item that Next returned. ok is false when its latency says
// nothing about the endpoint, as after a broken connection.
func (q *Queue[T]) Done(now time.Duration, it *Item[T], ok bool) {
	if it.state != running {
		return
	}
	it.state = idle
	full := q.inFlight >= q.Limit()
	q.inFlight--
	if ok {
		q.limit.observe(now, now-it.started, full, float64(q.cfg.Slots))
	}
}

// SetSlots changes the number of slots.
func (q *Queue[T]) SetSlots(slots int) {
	q.cfg.Slots = max(slots, 1)
	q.limit.value = min(max(q.limit.value, 1), float64(q.cfg.Slots))
}

// Len returns the number of items that wait for their turn.
func (q *Queue[T]) Len() int { return q.length }

// InFlight returns the number of started items.
func (q *Queue[T]) InFlight() int { return q.inFlight }

// Limit returns the current in-flight limit.
func (q *Queue[T]) Limit() int {
	if q.cfg.FixedLimit || q.cfg.Mode == FIFO {
		return q.cfg.Slots
	}
	return int(q.limit.value)
}
