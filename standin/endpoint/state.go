package endpoint

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/vanillahinge/vanillahinge/core/fleet"
)

// value is one statement parameter in a form that gob can carry.
type value struct {
	Kind  byte // 0 null, i, f, s, b
	Int   int64
	Float float64
	Text  string
	Bytes []byte
}

func toValues(args []any) []value {
	out := make([]value, len(args))
	for i, a := range args {
		switch a := a.(type) {
		case int64:
			out[i] = value{Kind: 'i', Int: a}
		case float64:
			out[i] = value{Kind: 'f', Float: a}
		case string:
			out[i] = value{Kind: 's', Text: a}
		case []byte:
			out[i] = value{Kind: 'b', Bytes: a}
		}
	}
	return out
}

func fromValues(vs []value) []any {
	out := make([]any, len(vs))
	for i, v := range vs {
		switch v.Kind {
		case 'i':
			out[i] = v.Int
		case 'f':
			out[i] = v.Float
		case 's':
			out[i] = v.Text
		case 'b':
			out[i] = v.Bytes
		}
	}
	return out
}

// loggedStatement is one statement of a committed transaction.
type loggedStatement struct {
	SQL  string
	Args []value
}

// entry is one committed transaction, or a no-op when it has no statements.
// The position of an entry is its index in the log plus one.
type entry struct {
	Term       fleet.Term
	Database   string
	Statements []loggedStatement
	// received is when a replica received the entry.
	received time.Time
}

// state is what the endpoint knows of its group; Endpoint.mu guards it.
type state struct {
	role       fleet.Role
	term       fleet.Term
	fenceTerm  fleet.Term
	fenceOwner string
	log        []entry
	applied    fleet.Position
	primary    string
	joining    bool
	// attached is set once a replica has agreed with its primary on the
	// common log; before that its data may contain entries that the group
	// has dropped, so reads are refused.
	attached bool
	// joinTarget is the primary's position that ends joining.
	joinTarget fleet.Position
	// following grows with every change of what the endpoint follows.
	following uint64
}

func (s *state) termAt(p fleet.Position) fleet.Term {
	if p == 0 || int(p) > len(s.log) {
		return 0
	}
	return s.log[p-1].Term
}

func (s *state) received() fleet.Position { return fleet.Position(len(s.log)) }

// status needs e.mu.
func (e *Endpoint) status() fleet.EndpointStatus {
	s := &e.s
	return fleet.EndpointStatus{
		Endpoint: e.cfg.ID, Group: e.cfg.Group, Role: s.role, Term: s.term,
		FenceTerm: s.fenceTerm, FenceOwner: s.fenceOwner,
		LastLogTerm: s.termAt(s.received()), Received: s.received(),
		AppliedTerm: s.termAt(s.applied), Applied: s.applied,
		Primary: s.primary, Joining: s.joining,
	}
}

// Status returns the endpoint's status as VH STATUS does.
func (e *Endpoint) Status() fleet.EndpointStatus {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.status()
}

// broadcast wakes everyone who waits for a change of state; needs e.mu.
func (e *Endpoint) broadcast() {
	close(e.changed)
	e.changed = make(chan struct{})
}

// persisted is the content of the state file.
type persisted struct {
	FenceTerm  fleet.Term `json:"fence_term"`
	FenceOwner string     `json:"fence_owner"`
}

// persistFence writes the fence before it is granted, so that a restarted
// endpoint does not take part in an older term; needs e.mu.
func (e *Endpoint) persistFence(t fleet.Term, owner string) error {
	if e.cfg.StateFile == "" {
		return nil
	}
	data, err := json.Marshal(persisted{FenceTerm: t, FenceOwner: owner})
	if err != nil {
		return err
	}
	tmp := e.cfg.StateFile + ".tmp"
	if err := os.WriteFile(tmp, data, 0o600); err != nil {
		return fmt.Errorf("persist the fence: %w", err)
	}
	return os.Rename(tmp, e.cfg.StateFile)
}

// checkTerm refuses a statement of another term, or on an endpoint that is
// fenced; needs e.mu.
func (e *Endpoint) checkTerm(t fleet.Term, set bool) *pgError {
	s := &e.s
	switch {
	case !set && !e.cfg.AllowNoTerm:
		return staleTerm("the connection has no term; this endpoint is at term %d", s.term)
	case set && t != s.term:
		return staleTerm("the connection's term %d differs from the endpoint's term %d", t, s.term)
	case s.fenceTerm > s.term:
		return staleTerm("term %d is fenced by term %d", s.term, s.fenceTerm)
	}
	return nil
}

// checkReadable refuses reads while the data may not be the group's.
func (e *Endpoint) checkReadable() *pgError {
	if e.s.joining || e.s.role == fleet.RoleReplica && !e.s.attached {
		p := errorf("57P03", "the endpoint is copying the log of its group")
		p.hint = "use another endpoint until its status is no longer joining"
		return p
	}
	return nil
}

// writeTx is an open write transaction.
type writeTx struct {
	e    *Endpoint
	d    *database
	conn *db
	lock chan struct{} // held while a statement runs
	// ctx ends when the transaction is aborted by a change of term.
	ctx    context.Context
	cancel context.CancelCauseFunc

	logged  []loggedStatement
	changed bool
	ended   bool
	dead    *pgError
}

// beginWrite takes the writer's place and opens a transaction.
func (e *Endpoint) beginWrite(ctx context.Context, name string, t fleet.Term, set bool) (*writeTx, error) {
	st := e.currentStore()
	d, err := st.open(name)
	if err != nil {
		return nil, err
	}
	conn, err := d.lockWriter(ctx)
	if err != nil {
		return nil, err
	}
	w := &writeTx{e: e, d: d, conn: conn, lock: make(chan struct{}, 1)}
	w.ctx, w.cancel = context.WithCancelCause(context.Background())
	e.mu.Lock()
	if perr := e.checkWritable(t, set); perr != nil {
		e.mu.Unlock()
		d.unlockWriter()
		return nil, perr
	}
	e.open[w] = true
	e.mu.Unlock()
	if err := w.exclusive(func() error {
		_, err := conn.exec(context.Background(), "BEGIN IMMEDIATE", nil)
		return err
	}); err != nil {
		w.rollback()
		return nil, err
	}
	return w, nil
}

// checkWritable needs e.mu.
func (e *Endpoint) checkWritable(t fleet.Term, set bool) *pgError {
	if perr := e.checkTerm(t, set); perr != nil {
		return perr
	}
	if e.s.role != fleet.RolePrimary {
		return errorf("25006", "cannot execute a write: endpoint %s is a replica", e.cfg.ID)
	}
	return nil
}

// exclusive runs fn unless the transaction has been aborted.
func (w *writeTx) exclusive(fn func() error) error {
	w.lock <- struct{}{}
	defer func() { <-w.lock }()
	if w.dead != nil {
		return w.dead
	}
	return fn()
}

// logRule says whether a statement goes to the log.
type logRule int

const (
	logIfChanged logRule = iota // rows were changed
	logAlways                   // schema changes report no rows
	logSavepoint                // needed for replay, no change by itself
)

// run executes one statement in the transaction.
func (w *writeTx) run(ctx context.Context, sql string, args []any, rule logRule) (r *result, err error) {
	err = w.exclusive(func() error {
		ctx, cancel := context.WithCancelCause(ctx)
		stop := context.AfterFunc(w.ctx, func() { cancel(context.Cause(w.ctx)) })
		defer func() { stop(); cancel(nil) }()
		var err error
		r, err = w.conn.exec(ctx, sql, args)
		if err != nil {
			if perr, ok := context.Cause(w.ctx).(*pgError); ok {
				return perr
			}
			return err
		}
		if rule != logIfChanged || r.changes > 0 {
			w.logged = append(w.logged, loggedStatement{SQL: sql, Args: toValues(args)})
			w.changed = w.changed || rule != logSavepoint
		}
		return nil
	})
	return r, err
}

// finish releases the writer's place; needs w.lock.
func (w *writeTx) finish() {
	if w.ended {
		return
	}
	w.ended = true
	if w.conn.inTx() {
		w.conn.exec(context.Background(), "ROLLBACK", nil)
	}
	w.cancel(nil)
	w.d.unlockWriter()
}

func (w *writeTx) rollback() {
	w.lock <- struct{}{}
	w.finish()
	<-w.lock
	w.e.mu.Lock()
	delete(w.e.open, w)
	w.e.mu.Unlock()
}

// abort rolls the transaction back because the term has changed.
func (w *writeTx) abort(cause *pgError) {
	w.cancel(cause)
	w.lock <- struct{}{}
	if !w.ended {
		w.dead = cause
		w.finish()
	}
	<-w.lock
}

// abortAll rolls back all open write transactions. Called without e.mu.
func (e *Endpoint) abortAll(cause *pgError) {
	e.mu.Lock()
	open := e.open
	e.open = map[*writeTx]bool{}
	e.mu.Unlock()
	for w := range open {
		w.abort(cause)
	}
}

// commit makes the transaction durable at this endpoint and appends it to the
// log. The term is checked under the same lock that a fence takes, so nothing
// commits after a fence has been granted.
func (w *writeTx) commit(t fleet.Term, set bool) (fleet.LogPosition, error) {
	e := w.e
	var at fleet.LogPosition
	err := w.exclusive(func() error {
		e.mu.Lock()
		defer e.mu.Unlock()
		if perr := e.checkWritable(t, set); perr != nil {
			w.finish()
			return perr
		}
		if _, err := w.conn.exec(context.Background(), "COMMIT", nil); err != nil {
			w.finish()
			return err
		}
		if w.changed {
			e.s.log = append(e.s.log, entry{Term: e.s.term, Database: w.d.name, Statements: w.logged})
			e.s.applied = e.s.received()
			at = fleet.LogPosition{Term: e.s.term, Position: e.s.applied}
			e.broadcast()
		}
		w.finish()
		return nil
	})
	e.mu.Lock()
	delete(e.open, w)
	e.mu.Unlock()
	return at, err
}
