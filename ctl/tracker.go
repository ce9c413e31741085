package ctl

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/vanillahinge/vanillahinge/core/ack"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/outcome"
)

const (
	// confirmTimeout bounds one VH CONFIRM, so that an unresponsive endpoint
	// does not delay the next confirmation.
	confirmTimeout = 300 * time.Millisecond
	// confirmRetryDelay keeps a refused confirmation from being retried in a
	// tight loop during a promotion.
	confirmRetryDelay = 10 * time.Millisecond
)

// Endpoint is one endpoint of a group with its control commands.
type Endpoint struct {
	ID       fleet.EndpointID
	Commands Commands
}

// Tracker releases the waiters for replicated writes and confirmed terms
// according to the rules of core/ack. It implements Acks.
type Tracker struct {
	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup

	mu     sync.RWMutex
	groups map[fleet.GroupID]*trackedGroup
}

var _ Acks = (*Tracker)(nil)

// trackedGroup holds the acknowledgement state and the waiters of one group.
type trackedGroup struct {
	mu        sync.Mutex
	rule      *ack.Tracker
	endpoints []Endpoint
	// term is the highest term that a primary has reported and primary is that
	// endpoint. It gets no confirmations, because its own cannot count.
	term     fleet.Term
	primary  fleet.EndpointID
	nextID   uint64
	waiters  map[uint64]*waiter
	released []uint64 // reused to avoid allocations
}

// waiter is a write that waits for replication or a read that waits for the
// confirmation of its term.
type waiter struct {
	term fleet.Term
	done chan struct{}
	// err is set before done is closed.
	err error
}

// errTermEnded is the error of waiters whose term is below that of the primary:
// no report or confirmation can release them any more (see core/ack).
var errTermEnded = errors.New("a primary of a higher term has been reported")

// NewTracker returns a tracker without groups.
func NewTracker() *Tracker {
	t := &Tracker{groups: map[fleet.GroupID]*trackedGroup{}}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	return t
}

// Close stops all confirmations. Waiters return when their own contexts end.
func (t *Tracker) Close() {
	t.mu.Lock()
	t.cancel()
	t.mu.Unlock()
	t.tasks.Wait()
}

func (t *Tracker) group(id fleet.GroupID) *trackedGroup {
	t.mu.RLock()
	g := t.groups[id]
	t.mu.RUnlock()
	if g != nil {
		return g
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if g = t.groups[id]; g == nil {
		g = &trackedGroup{rule: ack.New(ack.NoMutation), waiters: map[uint64]*waiter{}}
		t.groups[id] = g
	}
	return g
}

// SetEndpoints sets the endpoints that a group's confirmations are sent to.
func (t *Tracker) SetEndpoints(id fleet.GroupID, endpoints []Endpoint) {
	g := t.group(id)
	g.mu.Lock()
	g.endpoints = append([]Endpoint(nil), endpoints...)
	g.mu.Unlock()
}

// Report processes a status and releases the writes that it shows to be
// replicated. Waiters of terms that it ends fail with errTermEnded.
func (t *Tracker) Report(s fleet.EndpointStatus) {
	g := t.group(s.Group)
	g.mu.Lock()
	defer g.mu.Unlock()
	raised := s.Role == fleet.RolePrimary && s.Term > g.term
	if raised {
		g.term, g.primary = s.Term, s.Endpoint
	}
	g.released = g.rule.ObserveStatus(s, g.released[:0])
	g.release(g.released)
	if raised {
		g.failStaleWaiters()
	}
}

// failStaleWaiters fails the waiters of terms below that of the primary. The
// caller holds g.mu.
func (g *trackedGroup) failStaleWaiters() {
	for id, w := range g.waiters {
		if w.term < g.term {
			w.err = errTermEnded
			close(w.done)
			delete(g.waiters, id)
			g.rule.Cancel(id)
		}
	}
}

// release needs g.mu.
func (g *trackedGroup) release(ids []uint64) {
	for _, id := range ids {
		if w, ok := g.waiters[id]; ok {
			close(w.done)
			delete(g.waiters, id)
		}
	}
}

// wait blocks until the waiter is released or failed, or ctx ends.
func (g *trackedGroup) wait(ctx context.Context, id uint64, w *waiter) error {
	select {
	case <-w.done:
		return w.err
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, ok := g.waiters[id]; !ok {
		return w.err // released or failed concurrently
	}
	delete(g.waiters, id)
	g.rule.Cancel(id)
	return context.Cause(ctx)
}

// WaitReplicated implements Acks.
func (t *Tracker) WaitReplicated(ctx context.Context, id fleet.GroupID, term fleet.Term, pos fleet.Position) error {
	g := t.group(id)
	g.mu.Lock()
	g.nextID++
	n := g.nextID
	err := errTermEnded
	if term >= g.term {
		if g.rule.AddWrite(n, term, pos) {
			g.mu.Unlock()
			return nil
		}
		w := &waiter{term: term, done: make(chan struct{})}
		g.waiters[n] = w
		g.mu.Unlock()
		err = g.wait(ctx, n, w)
	} else {
		g.mu.Unlock()
	}
	if err != nil {
		return outcome.Wrap(err, outcome.WriteUnknown, outcome.Unknown,
			fmt.Sprintf("no second endpoint of group %s has reported position %d of term %d", id, pos, term), "repeat the write with the same request id")
	}
	return nil
}

// ConfirmTerm implements Acks.
func (t *Tracker) ConfirmTerm(ctx context.Context, id fleet.GroupID, term fleet.Term) error {
	g := t.group(id)
	g.mu.Lock()
	g.nextID++
	n := g.nextID
	err := errTermEnded
	if term >= g.term {
		w := &waiter{term: term, done: make(chan struct{})}
		g.waiters[n] = w
		seq, send := g.rule.AddRead(n, term)
		g.mu.Unlock()
		if send {
			t.confirm(g, seq, term, 0)
		}
		err = g.wait(ctx, n, w)
	} else {
		g.mu.Unlock()
	}
	if err != nil {
		return fmt.Errorf("ctl: no second endpoint of group %s has confirmed term %d: %w", id, term, err)
	}
	return nil
}

// confirm sends confirmation seq to every endpoint except the primary, and
// further ones as long as reads wait. Each confirmation is shared by the reads
// that were registered before it was sent.
func (t *Tracker) confirm(g *trackedGroup, seq uint64, term fleet.Term, pause time.Duration) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if t.ctx.Err() != nil {
		return
	}
	t.tasks.Go(func() {
		for send := true; send; {
			if pause > 0 {
				timer := time.NewTimer(pause)
				select {
				case <-timer.C:
				case <-t.ctx.Done():
					timer.Stop()
					return
				}
			}
			seq, term, send = t.confirmOnce(g, seq, term)
			pause = confirmRetryDelay
		}
	})
}

// confirmOnce sends one confirmation. If all calls failed it returns the next
// one to send. After a success the next one starts immediately, before the
// slower calls have returned.
func (t *Tracker) confirmOnce(g *trackedGroup, seq uint64, term fleet.Term) (uint64, fleet.Term, bool) {
	g.mu.Lock()
	var others []Endpoint
	for _, e := range g.endpoints {
		if e.ID != g.primary || g.term != term {
			others = append(others, e)
		}
	}
	g.mu.Unlock()
	ctx, cancel := context.WithTimeout(t.ctx, confirmTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, e := range others {
		calls.Go(func() {
			s, err := e.Commands.Confirm(ctx, term)
			if err != nil {
				return
			}
			g.mu.Lock()
			var next uint64
			var nextTerm fleet.Term
			var send bool
			g.released, next, nextTerm, send = g.rule.ConfirmResponse(seq, s, g.released[:0])
			g.release(g.released)
			g.mu.Unlock()
			if send {
				t.confirm(g, next, nextTerm, 0)
			}
		})
	}
	calls.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rule.ConfirmFailed(seq)
}
