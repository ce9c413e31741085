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
	// confirmTimeout bounds one VH CONFIRM, so that a silent endpoint does not
	// hold back the next confirmation.
	confirmTimeout = 300 * time.Millisecond
	// confirmPause keeps a refused confirmation from being repeated in a
	// tight loop while a promotion is under way.
	confirmPause = 10 * time.Millisecond
)

// Endpoint is one endpoint of a group with its control commands.
type Endpoint struct {
	ID       fleet.EndpointID
	Commands Commands
}

// Tracker releases the waiters for replicated writes and confirmed terms by
// the rules of core/ack. It implements Acks.
type Tracker struct {
	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup

	mu     sync.RWMutex
	groups map[fleet.GroupID]*trackedGroup
}

var _ Acks = (*Tracker)(nil)

// trackedGroup guards the rule of one group.
type trackedGroup struct {
	mu        sync.Mutex
	rule      *ack.Tracker
	endpoints []Endpoint
	// term and primary are the highest reported, to spare the primary a
	// confirmation that cannot count.
	term    fleet.Term
	primary fleet.EndpointID
	nextID  uint64
	waiting map[uint64]*waiter
	done    []uint64 // reused
}

// waiter is a write or read that waits for a proof about its term.
type waiter struct {
	term fleet.Term
	done chan struct{}
	// err is set before done is closed.
	err error
}

// errTermEnded ends the waiters of a term below that of the primary: no report
// or confirmation counts for them any more (core/ack).
var errTermEnded = errors.New("a primary of a higher term has been reported")

// NewTracker returns a tracker without groups.
func NewTracker() *Tracker {
	t := &Tracker{groups: map[fleet.GroupID]*trackedGroup{}}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	return t
}

// Close ends all confirmations. Waiters end by their own contexts.
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
		g = &trackedGroup{rule: ack.New(ack.NoMutation), waiting: map[uint64]*waiter{}}
		t.groups[id] = g
	}
	return g
}

// SetEndpoints names the endpoints that a group's confirmations go to.
func (t *Tracker) SetEndpoints(id fleet.GroupID, endpoints []Endpoint) {
	g := t.group(id)
	g.mu.Lock()
	g.endpoints = append([]Endpoint(nil), endpoints...)
	g.mu.Unlock()
}

// Report takes a status and releases the writes that it proves replicated.
func (t *Tracker) Report(s fleet.EndpointStatus) {
	g := t.group(s.Group)
	g.mu.Lock()
	defer g.mu.Unlock()
	raised := s.Role == fleet.RolePrimary && s.Term > g.term
	if raised {
		g.term, g.primary = s.Term, s.Endpoint
	}
	g.done = g.rule.ObserveStatus(s, g.done[:0])
	g.release(g.done)
	if raised {
		g.endOlder()
	}
}

// endOlder ends the waiters of terms below that of the primary. It needs g.mu.
func (g *trackedGroup) endOlder() {
	for id, w := range g.waiting {
		if w.term < g.term {
			w.err = errTermEnded
			close(w.done)
			delete(g.waiting, id)
			g.rule.Cancel(id)
		}
	}
}

// release needs g.mu.
func (g *trackedGroup) release(ids []uint64) {
	for _, id := range ids {
		if w, ok := g.waiting[id]; ok {
			close(w.done)
			delete(g.waiting, id)
		}
	}
}

// wait waits for the release or the end of a waiter.
func (g *trackedGroup) wait(ctx context.Context, id uint64, w *waiter) error {
	select {
	case <-w.done:
		return w.err
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, ok := g.waiting[id]; !ok {
		return w.err // released or ended at the same moment
	}
	delete(g.waiting, id)
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
		g.waiting[n] = w
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
		g.waiting[n] = w
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

// confirm sends confirmation seq to every endpoint but the primary, and the
// next one while reads wait. Each confirmation is shared by the reads that
// were registered before it was sent.
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
			pause = confirmPause
		}
	})
}

// confirmOnce returns the next confirmation to send if all calls failed. After
// a success the next one starts at once, before the slower calls have ended.
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
			g.done, next, nextTerm, send = g.rule.ConfirmResponse(seq, s, g.done[:0])
			g.release(g.done)
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
