package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/outcome"
	"github.com/vanillahinge/vanillahinge/standin/endpoint"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var creds = Credentials{User: "vh", Password: "secret"}

func startEndpoint(t *testing.T, cfg endpoint.Config) *endpoint.Endpoint {
	t.Helper()
	cfg.Group, cfg.User, cfg.Password = "g1", creds.User, creds.Password
	cfg.ConnectDelay, cfg.LogWriter, cfg.Dir = -1, io.Discard, t.TempDir()
	e, err := endpoint.Start(cfg)
	assert.NilError(t, err)
	t.Cleanup(func() { e.Close() })
	return e
}

// startGroup starts endpoints a (primary), b and c.
func startGroup(t *testing.T) []*endpoint.Endpoint {
	t.Helper()
	a := startEndpoint(t, endpoint.Config{ID: "a"})
	return []*endpoint.Endpoint{a, startEndpoint(t, endpoint.Config{ID: "b", Primary: a.Addr()}), startEndpoint(t, endpoint.Config{ID: "c", Primary: a.Addr()})}
}

// eventRecorder records the events of a control client.
type eventRecorder struct {
	mu   sync.Mutex
	last map[fleet.EndpointID]Event
	errs map[fleet.EndpointID][]error
}

func (s *eventRecorder) record(e Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last[e.Endpoint] = e
	if e.Err != nil {
		s.errs[e.Endpoint] = append(s.errs[e.Endpoint], e.Err)
	}
}

func (s *eventRecorder) latest(id fleet.EndpointID) Event {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last[id]
}

func (s *eventRecorder) errors(id fleet.EndpointID) []error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.errs[id]
}

func startControl(t *testing.T, es []*endpoint.Endpoint) (*Control, *eventRecorder) {
	t.Helper()
	s := &eventRecorder{last: map[fleet.EndpointID]Event{}, errs: map[fleet.EndpointID][]error{}}
	c := NewControl(Options{Instance: "i1", Credentials: creds, OnEvent: s.record})
	t.Cleanup(c.Close)
	var targets []Target
	for _, e := range es {
		targets = append(targets, Target{ID: e.ID(), Group: "g1", Addr: e.Addr()})
	}
	assert.NilError(t, c.SetTargets(targets))
	for _, e := range es {
		waitFor(t, "a status", func() bool { ev := s.latest(e.ID()); return ev.Err == nil && ev.Status.Received > 0 })
	}
	return c, s
}

func waitFor(t *testing.T, what string, cond func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if cond() {
			return poll.Success()
		}
		return poll.Continue("waiting for %s", what)
	}, poll.WithDelay(2*time.Millisecond), poll.WithTimeout(10*time.Second))
}

func timeoutContext(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

// insertRow inserts a row directly at an endpoint and returns its log position.
func insertRow(t *testing.T, e *endpoint.Endpoint) fleet.LogPosition {
	t.Helper()
	ctx := timeoutContext(t, 5*time.Second)
	conn, err := pgx.Connect(ctx, fmt.Sprintf("postgres://vh:secret@%s/shop?sslmode=disable&vh.term=%d&application_name=direct", e.Addr(), e.Status().Term))
	assert.NilError(t, err)
	defer conn.Close(ctx)
	_, err = conn.Exec(ctx, "CREATE TABLE IF NOT EXISTS job (id bigint)")
	assert.NilError(t, err)
	_, err = conn.Exec(ctx, "INSERT INTO job VALUES (1)")
	assert.NilError(t, err)
	var f fleet.LogPosition
	_, err = fmt.Sscanf(conn.PgConn().ParameterStatus("vh.log_position"), "%d/%d", &f.Term, &f.Position)
	assert.NilError(t, err)
	return f
}

// A watch must reconnect after a partition, or the instance loses the endpoint
// permanently. It must also detect missing heartbeats, or an isolated primary
// is never suspected.
func TestWatchReconnectsAfterIsolation(t *testing.T) {
	es := startGroup(t)
	c, s := startControl(t, es)
	es[0].SetFaults(func(f *endpoint.Faults) { f.Isolate = []string{"i1"} })
	begin := time.Now()
	waitFor(t, "the heartbeat timeout", func() bool { return s.latest("a").Err != nil })
	assert.Assert(t, time.Since(begin) < 2*time.Second, "heartbeat timeout detected after %s", time.Since(begin))
	cmd, ok := c.Commands("a")
	assert.Assert(t, ok)
	_, err := cmd.Status(timeoutContext(t, 200*time.Millisecond))
	assert.Assert(t, outcome.IsKind(err, outcome.Unavailable), "error: %v", err)
	es[0].SetFaults(func(f *endpoint.Faults) { f.Isolate = nil })
	waitFor(t, "the status to resume", func() bool { return s.latest("a").Err == nil })
	st, err := cmd.Status(timeoutContext(t, 2*time.Second))
	assert.NilError(t, err)
	assert.Equal(t, st.Endpoint, fleet.EndpointID("a"))
	assert.Equal(t, len(s.errors("b")), 0, "the other endpoints must report no errors")
}

// A stopped endpoint must be distinguishable from an unresponsive one: an
// endpoint that refuses connections is suspected immediately.
func TestStoppedEndpointReportsConnectionRefused(t *testing.T) {
	es := startGroup(t)
	_, s := startControl(t, es)
	es[1].Close()
	waitFor(t, "a refused connection", func() bool { return errors.Is(s.latest("b").Err, syscall.ECONNREFUSED) })
}

// The commands must complete a full promotion and report stale terms
// separately from other failures.
func TestPromotionThroughCommands(t *testing.T) {
	es := startGroup(t)
	c, s := startControl(t, es)
	ctx := timeoutContext(t, 10*time.Second)
	get := func(id fleet.EndpointID) Commands {
		cmd, ok := c.Commands(id)
		assert.Assert(t, ok)
		return cmd
	}
	for _, id := range []fleet.EndpointID{"a", "b"} {
		st, err := get(id).Fence(ctx, 2, "i1/1/x")
		assert.NilError(t, err)
		assert.Equal(t, st.FenceTerm, fleet.Term(2))
	}
	_, err := get("a").Fence(ctx, 2, "i2/1/y")
	assert.Assert(t, outcome.IsKind(err, outcome.StaleTerm), "error: %v", err)
	_, err = get("a").Confirm(ctx, 1)
	assert.Assert(t, outcome.IsKind(err, outcome.StaleTerm), "error: %v", err)
	_, err = get("c").Promote(ctx, 2, "i1/1/x")
	assert.Assert(t, outcome.IsKind(err, outcome.StaleTerm), "error: %v", err)
	st, err := get("b").Promote(ctx, 2, "i1/1/x")
	assert.NilError(t, err)
	assert.Equal(t, st.Role, fleet.RolePrimary)
	for _, id := range []fleet.EndpointID{"a", "c"} {
		_, err := get(id).Follow(ctx, 2, es[1].Addr())
		assert.NilError(t, err)
	}
	at := insertRow(t, es[1])
	assert.NilError(t, c.WaitReplicated(ctx, "g1", at.Term, at.Position))
	waitFor(t, "the old primary to follow", func() bool { return s.latest("a").Status.Received == at.Position })
}

// A write must be released only when a second endpoint reports its position:
// neither the primary alone nor a report of another term is enough.
func TestWaitReplicated(t *testing.T) {
	es := startGroup(t)
	c, _ := startControl(t, es)
	at := insertRow(t, es[0])
	assert.NilError(t, c.WaitReplicated(timeoutContext(t, 5*time.Second), "g1", at.Term, at.Position))
	for _, e := range es[1:] {
		e.SetFaults(func(f *endpoint.Faults) { f.Isolate = []string{"a"} })
	}
	at = insertRow(t, es[0])
	err := c.WaitReplicated(timeoutContext(t, 200*time.Millisecond), "g1", at.Term, at.Position)
	assert.Assert(t, outcome.IsKind(err, outcome.WriteUnknown) && outcome.Of(err) == outcome.Unknown, "error: %v", err)
	released := make(chan error, 1)
	go func() { released <- c.WaitReplicated(timeoutContext(t, 10*time.Second), "g1", at.Term, at.Position) }()
	es[2].SetFaults(func(f *endpoint.Faults) { f.Isolate = nil })
	assert.NilError(t, <-released)
}

// After a majority has granted a fence, the old primary's writes must never be
// acknowledged. Guarantee G2 depends on this rule.
func TestNoAcknowledgementAfterFence(t *testing.T) {
	es := startGroup(t)
	c, s := startControl(t, es)
	first := insertRow(t, es[0])
	ctx := timeoutContext(t, 10*time.Second)
	assert.NilError(t, c.WaitReplicated(ctx, "g1", first.Term, first.Position))
	// The replicas are fenced while the old primary is isolated from them.
	es[0].SetFaults(func(f *endpoint.Faults) { f.Isolate = []string{"i1", "b", "c"} })
	for _, id := range []fleet.EndpointID{"b", "c"} {
		cmd, _ := c.Commands(id)
		_, err := cmd.Fence(ctx, 2, "i1/1/x")
		assert.NilError(t, err)
	}
	late := insertRow(t, es[0])
	es[0].SetFaults(func(f *endpoint.Faults) { f.Isolate = nil })
	err := c.WaitReplicated(timeoutContext(t, 500*time.Millisecond), "g1", late.Term, late.Position)
	assert.Assert(t, outcome.IsKind(err, outcome.WriteUnknown), "error: %v", err)
	err = c.ConfirmTerm(timeoutContext(t, 300*time.Millisecond), "g1", 1)
	assert.Assert(t, errors.Is(err, context.DeadlineExceeded), "error: %v", err)
	// This must also hold after the new term has reached higher positions.
	cmd, _ := c.Commands("b")
	_, err = cmd.Promote(ctx, 2, "i1/1/x")
	assert.NilError(t, err)
	cmd, _ = c.Commands("c")
	_, err = cmd.Follow(ctx, 2, es[1].Addr())
	assert.NilError(t, err)
	at := insertRow(t, es[1])
	assert.NilError(t, c.WaitReplicated(ctx, "g1", at.Term, at.Position))
	waitFor(t, "the status of the new term", func() bool { return s.latest("c").Status.LastLogTerm == 2 })
	err = c.WaitReplicated(timeoutContext(t, 200*time.Millisecond), "g1", late.Term, late.Position)
	assert.Assert(t, outcome.IsKind(err, outcome.WriteUnknown), "error: %v", err)
}

// Guards against callers that wait until their timeout for an acknowledgement
// of a term that has ended: after a promotion none can arrive.
func TestWaitersOfEndedTermFailImmediately(t *testing.T) {
	b := &countingCommands{id: "b"}
	b.refuse.Store(true)
	tr := newTestTracker(t, b)
	ctx := timeoutContext(t, 5*time.Second)
	errs := make(chan error, 2)
	go func() { errs <- tr.WaitReplicated(ctx, "g1", 1, 7) }()
	go func() { errs <- tr.ConfirmTerm(ctx, "g1", 1) }()
	time.Sleep(50 * time.Millisecond)
	begin := time.Now()
	tr.Report(fleet.EndpointStatus{Endpoint: "b", Group: "g1", Role: fleet.RolePrimary, Term: 2, FenceTerm: 2, LastLogTerm: 2, Received: 9})
	for range 2 {
		assert.Assert(t, errors.Is(<-errs, errTermEnded))
	}
	err := tr.WaitReplicated(ctx, "g1", 1, 7)
	assert.Assert(t, outcome.IsKind(err, outcome.WriteUnknown) && outcome.Of(err) == outcome.Unknown, "error: %v", err)
	assert.Assert(t, errors.Is(tr.ConfirmTerm(ctx, "g1", 1), errTermEnded))
	assert.Assert(t, time.Since(begin) < time.Second, "ended after %v", time.Since(begin))
}

// countingCommands counts VH CONFIRM calls and responds after a delay.
type countingCommands struct {
	Commands
	id       fleet.EndpointID
	confirms atomic.Int64
	delay    time.Duration
	refuse   atomic.Bool
}

func (c *countingCommands) Confirm(ctx context.Context, t fleet.Term) (fleet.EndpointStatus, error) {
	c.confirms.Add(1)
	select {
	case <-time.After(c.delay):
	case <-ctx.Done():
		return fleet.EndpointStatus{}, ctx.Err()
	}
	if c.refuse.Load() {
		return fleet.EndpointStatus{}, outcome.New(outcome.StaleTerm, outcome.NotRun, "stale", "")
	}
	return fleet.EndpointStatus{Endpoint: c.id, Group: "g1", Role: fleet.RoleReplica, Term: t, FenceTerm: t}, nil
}

func newTestTracker(t *testing.T, cmds ...*countingCommands) *Tracker {
	tr := NewTracker()
	t.Cleanup(tr.Close)
	var es []Endpoint
	for _, c := range cmds {
		es = append(es, Endpoint{ID: c.id, Commands: c})
	}
	tr.SetEndpoints("g1", es)
	tr.Report(fleet.EndpointStatus{Endpoint: "a", Group: "g1", Role: fleet.RolePrimary, Term: 1, FenceTerm: 1})
	return tr
}

// Guards against one confirmation per read, which would send as many messages
// as there are reads.
func TestReadsShareConfirmation(t *testing.T) {
	a, b := &countingCommands{id: "a"}, &countingCommands{id: "b", delay: 20 * time.Millisecond}
	tr := newTestTracker(t, a, b)
	var wg sync.WaitGroup
	for range 200 {
		wg.Go(func() {
			if err := tr.ConfirmTerm(timeoutContext(t, 5*time.Second), "g1", 1); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	assert.Assert(t, b.confirms.Load() <= 3, "%d confirmations for 200 reads", b.confirms.Load())
	assert.Equal(t, a.confirms.Load(), int64(0), "the primary cannot confirm itself")
}

// A confirmation that was already in flight when a read was registered must not
// release that read: a fence may have been granted in between.
func TestConfirmationInFlightDoesNotRelease(t *testing.T) {
	b := &countingCommands{id: "b", delay: 100 * time.Millisecond}
	tr := newTestTracker(t, b)
	first := make(chan error, 1)
	go func() { first <- tr.ConfirmTerm(timeoutContext(t, 5*time.Second), "g1", 1) }()
	waitFor(t, "the first confirmation", func() bool { return b.confirms.Load() == 1 })
	time.Sleep(50 * time.Millisecond)
	begin := time.Now()
	assert.NilError(t, tr.ConfirmTerm(timeoutContext(t, 5*time.Second), "g1", 1))
	assert.Assert(t, time.Since(begin) >= 100*time.Millisecond, "released after %s by an earlier request", time.Since(begin))
	assert.NilError(t, <-first)
	assert.Equal(t, b.confirms.Load(), int64(2))
}

// Refused confirmations must be retried after a delay: neither abandoned nor
// sent in a tight loop.
func TestRefusedConfirmationIsRetried(t *testing.T) {
	b := &countingCommands{id: "b"}
	b.refuse.Store(true)
	tr := newTestTracker(t, b)
	done := make(chan error, 1)
	go func() { done <- tr.ConfirmTerm(timeoutContext(t, 5*time.Second), "g1", 1) }()
	time.Sleep(100 * time.Millisecond)
	n := b.confirms.Load()
	assert.Assert(t, n >= 2 && n <= 15, "%d confirmations in 100 ms", n)
	b.refuse.Store(false)
	assert.NilError(t, <-done)
}

// Changing the set of endpoints must close the watches of removed endpoints and
// start watches of added ones.
func TestSetTargetsReplacesWatches(t *testing.T) {
	es := startGroup(t)
	c, s := startControl(t, es)
	d := startEndpoint(t, endpoint.Config{ID: "d", Primary: es[0].Addr()})
	assert.NilError(t, c.SetTargets([]Target{{ID: "a", Group: "g1", Addr: es[0].Addr()}, {ID: "d", Group: "g1", Addr: d.Addr()}}))
	waitFor(t, "the new endpoint", func() bool { return s.latest("d").Status.Received > 0 })
	_, ok := c.Commands("b")
	assert.Assert(t, !ok)
	waitFor(t, "the old watch to end", func() bool { return es[1].Stats().Connections == 0 })
	assert.NilError(t, c.ConfirmTerm(timeoutContext(t, 5*time.Second), "g1", 1))
}

// If the bundle has a wrong address, the status of the endpoint found there must
// not be evaluated as that of the configured one.
func TestWatchRejectsStatusOfWrongEndpoint(t *testing.T) {
	e := startEndpoint(t, endpoint.Config{ID: "a"})
	events := make(chan Event, 100)
	w, err := StartWatch(WatchConfig{Instance: "i1", Endpoint: "b", Group: "g1", Addr: e.Addr(), Credentials: creds, OnEvent: func(e Event) {
		select {
		case events <- e:
		default:
		}
	}})
	assert.NilError(t, err)
	defer w.Close()
	ev := <-events
	assert.ErrorContains(t, ev.Err, "answers as endpoint a")
}
