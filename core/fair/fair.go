// Package fair queues the requests of one instance to one endpoint, so that no
// client account takes another's share of it. It implements start-time weighted
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
//	q.Remove(it)                         // the caller has disconnected
//
// The caller owns the items and may reuse one after it was passed to Done or
// Remove, or returned by Expired.
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
	// FIFO serves requests in the order of arrival, with a fixed in-flight
	// limit of Slots. It is the baseline for measuring fairness.
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
	// Deadline is when the request leaves the queue without being run; 0 means
	// never.
	Deadline time.Duration
	Value    T

	state        itemState
	accountQueue *accountQueue[T] // while queued
	prev, next   *Item[T]         // while queued or expired
	heapIndex    int              // in the heap of deadlines, while queued with a deadline
	startedAt    time.Duration
}

type itemState uint8

const (
	idle itemState = iota
	queued
	expired
	running
)

func (it *Item[T]) before(o *Item[T]) bool { return it.Deadline < o.Deadline }
func (it *Item[T]) setIndex(i int)         { it.heapIndex = i }

// itemList is a doubly linked list that uses the prev and next fields of the items.
type itemList[T any] struct{ head, tail *Item[T] }

func (l *itemList[T]) push(it *Item[T]) {
	it.prev, it.next = l.tail, nil
	if l.tail == nil {
		l.head = it
	} else {
		l.tail.next = it
	}
	l.tail = it
}

func (l *itemList[T]) remove(it *Item[T]) {
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

// accountQueue holds the queued items of one account.
type accountQueue[T any] struct {
	items itemList[T]
	// startTag is the start tag of the first item, while there is one;
	// finishTag is the finish tag of the item that was started last.
	startTag, finishTag float64
	heapIndex           int
}

func (aq *accountQueue[T]) before(o *accountQueue[T]) bool { return aq.startTag < o.startTag }
func (aq *accountQueue[T]) setIndex(i int)                 { aq.heapIndex = i }

// maxAccountQueues is the number of accounts from which on idle ones are dropped.
const maxAccountQueues = 1024

// Queue is the queue of one endpoint.
type Queue[T any] struct {
	cfg   Config
	limit latencyLimiter
	// virtualTime is the start tag of the item started last. It never decreases.
	virtualTime float64
	accounts    map[fleet.AccountID]*accountQueue[T]
	// backlogged holds the account queues with items, by start tag.
	backlogged priorityQueue[*accountQueue[T]]
	// deadlines holds the queued items that have a deadline, by deadline.
	deadlines priorityQueue[*Item[T]]
	// expiredItems holds the items whose deadline has passed and that Expired has
	// not returned yet.
	expiredItems itemList[T]
	queuedItems  int
	inFlight     int
}

// New returns an empty queue.
func New[T any](cfg Config) *Queue[T] {
	q := &Queue[T]{cfg: cfg, accounts: map[fleet.AccountID]*accountQueue[T]{}}
	q.SetSlots(cfg.Slots)
	return q
}

// Push adds an item. The caller must not push an item that is already queued.
func (q *Queue[T]) Push(now time.Duration, it *Item[T]) {
	account := it.Account
	if q.cfg.Mode == FIFO {
		account = ""
	}
	aq := q.accounts[account]
	if aq == nil {
		if len(q.accounts) >= maxAccountQueues {
			q.dropIdleAccounts()
		}
		aq = &accountQueue[T]{}
		q.accounts[account] = aq
	}
	it.state, it.accountQueue = queued, aq
	first := aq.items.head == nil
	aq.items.push(it)
	if first {
		aq.startTag = max(q.virtualTime, aq.finishTag)
		q.backlogged.push(aq)
	}
	if it.Deadline > 0 {
		q.deadlines.push(it)
	}
	q.queuedItems++
	q.expire(now)
}

// dropIdleAccounts drops the accounts that have no items and have not been
// served ahead of the virtual time. Dropping one that has would let its next
// item start too early.
func (q *Queue[T]) dropIdleAccounts() {
	for id, aq := range q.accounts {
		if aq.items.head == nil && aq.finishTag <= q.virtualTime {
			delete(q.accounts, id)
		}
	}
}

// dequeue removes a queued item. The start tag of its account queue stays: if
// the item leaves without being started, the next one takes its turn.
func (q *Queue[T]) dequeue(it *Item[T]) {
	aq := it.accountQueue
	aq.items.remove(it)
	if aq.items.head == nil {
		q.backlogged.remove(aq.heapIndex)
	}
	if it.Deadline > 0 {
		q.deadlines.remove(it.heapIndex)
	}
	it.accountQueue = nil
	q.queuedItems--
}

// expire moves the items whose deadline has passed to the list of expired ones.
func (q *Queue[T]) expire(now time.Duration) {
	for len(q.deadlines) > 0 && q.deadlines[0].Deadline <= now {
		it := q.deadlines[0]
		q.dequeue(it)
		it.state = expired
		q.expiredItems.push(it)
	}
}

// Next removes and returns the item to start now, or returns nil when the queue
// is empty or the in-flight limit is reached. It never returns an item past its
// deadline.
func (q *Queue[T]) Next(now time.Duration) *Item[T] {
	q.expire(now)
	if q.inFlight >= q.Limit() || len(q.backlogged) == 0 {
		return nil
	}
	aq := q.backlogged[0]
	it := aq.items.head
	q.virtualTime = aq.startTag
	aq.finishTag = aq.startTag + 1/float64(max(it.Weight, 1))
	q.dequeue(it)
	if aq.items.head != nil {
		aq.startTag = aq.finishTag
		q.backlogged.fix(aq.heapIndex)
	}
	it.state, it.startedAt = running, now
	q.inFlight++
	return it
}

// Expired removes and returns an item whose deadline has passed, or returns nil.
func (q *Queue[T]) Expired(now time.Duration) *Item[T] {
	q.expire(now)
	it := q.expiredItems.head
	if it != nil {
		q.expiredItems.remove(it)
		it.state = idle
	}
	return it
}

// NextDeadline returns the earliest deadline of the queue, and false if there is
// none.
func (q *Queue[T]) NextDeadline() (time.Duration, bool) {
	switch {
	case q.expiredItems.head != nil:
		return q.expiredItems.head.Deadline, true
	case len(q.deadlines) > 0:
		return q.deadlines[0].Deadline, true
	}
	return 0, false
}

// Remove removes an item and reports whether it was in the queue, expired or
// not.
func (q *Queue[T]) Remove(it *Item[T]) bool {
	switch it.state {
	case queued:
		q.dequeue(it)
	case expired:
		q.expiredItems.remove(it)
	default:
		return false
	}
	it.state = idle
	return true
}

// Done must be called when an item that Next returned has ended. ok is false
// if its latency says nothing about the endpoint, as after a broken connection.
func (q *Queue[T]) Done(now time.Duration, it *Item[T], ok bool) {
	if it.state != running {
		return
	}
	it.state = idle
	limitReached := q.inFlight >= q.Limit()
	q.inFlight--
	if ok {
		q.limit.observe(now, now-it.startedAt, limitReached, float64(q.cfg.Slots))
	}
}

// SetSlots sets the number of slots, at least 1. The in-flight limit is lowered
// if it is above.
func (q *Queue[T]) SetSlots(slots int) {
	q.cfg.Slots = max(slots, 1)
	q.limit.value = min(max(q.limit.value, 1), float64(q.cfg.Slots))
}

// Len returns the number of queued items, without expired ones.
func (q *Queue[T]) Len() int { return q.queuedItems }

// InFlight returns the number of items that are started and not done.
func (q *Queue[T]) InFlight() int { return q.inFlight }

// Limit returns the current in-flight limit.
func (q *Queue[T]) Limit() int {
	if q.cfg.FixedLimit || q.cfg.Mode == FIFO {
		return q.cfg.Slots
	}
	return int(q.limit.value)
}
