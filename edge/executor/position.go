package executor

import (
	"time"

	"github.com/vanillahinge/vanillahinge/core/dispatch"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/stmt"
	"github.com/vanillahinge/vanillahinge/edge/pool"
)

const (
	// positionTimeout bounds one request for the log position of a primary in another
	// region: a new connection and a statement, each with several round trips.
	positionTimeout = 300 * time.Millisecond
	// positionRetryPause is the pause after such a request has failed.
	positionRetryPause = 100 * time.Millisecond
	// positionWait is how long a read waits for the position if none is known. After it
	// the read is sent to the primary, as in the region of the primary.
	positionWait = 100 * time.Millisecond
)

// positionRequest is a request for the log position of a group's primary.
type positionRequest struct {
	done chan struct{}
	// ended is when it was answered or failed, 0 while it runs.
	ended  time.Duration
	failed bool
	work   dispatch.ServiceTime
}

// renewPosition asks the primary of a group for its log position, if that is in another
// region and too few statements of this instance go there to report a recent one. At most
// one request a group runs at a time. If no position is known, it waits for the answer.
func (l *Local) renewPosition(op *Operation) {
	group := op.Route.Group
	due, known := l.Pool.PositionDue(group, op.Route.MaxStaleness, op.Homes)
	if !due || l.DecodeState == nil {
		return
	}
	now := l.Clock.Now()
	l.mu.Lock()
	r := l.positions[group]
	if r == nil || r.ended > 0 && (!r.failed || now >= r.ended+positionRetryPause) {
		r = &positionRequest{done: make(chan struct{})}
		if l.positions == nil {
			l.positions = map[fleet.GroupID]*positionRequest{}
		}
		l.positions[group] = r
		go l.requestPosition(group, r)
	}
	l.mu.Unlock()
	if known {
		return
	}
	t := time.NewTimer(positionWait)
	defer t.Stop()
	select {
	case <-r.done:
	case <-t.C:
	}
}

// requestPosition carries out a request for a log position.
func (l *Local) requestPosition(group fleet.GroupID, r *positionRequest) {
	ok := l.askPosition(group, r)
	l.mu.Lock()
	r.ended, r.failed = l.Clock.Now(), !ok
	l.mu.Unlock()
	close(r.done)
	l.Metrics.Count("positions_requested")
	if !ok {
		l.Metrics.Count("positions_not_answered")
	}
}

func (l *Local) askPosition(group fleet.GroupID, r *positionRequest) bool {
	c, err := l.Pool.Acquire(pool.Request{Group: group, Account: l.Pool.InternalAccount(), Primary: true,
		StartedAt: l.Clock.Now(), LatestStart: l.Clock.Now() + positionTimeout, Timeout: positionTimeout, Work: &r.work})
	if err != nil {
		return false
	}
	a, err := l.roundTrip(c, time.Now().Add(positionTimeout), stmt.Statement{Kind: stmt.Status})
	if err != nil {
		l.Pool.Release(c, false)
		return false
	}
	state, err := l.DecodeState(a)
	// Only an endpoint that leads knows the latest position.
	a.Position = fleet.LogPosition{}
	if err == nil && state.Primary {
		a.Position = state.Received
	}
	l.Pool.EndStatement(c, a, nil)
	l.Pool.Release(c, a.State == stmt.Idle)
	return err == nil && state.Primary
}
