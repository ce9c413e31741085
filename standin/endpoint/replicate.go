package endpoint

import (
	"context"
	"encoding/binary"
	"encoding/gob"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/vanillahinge/vanillahinge/core/fleet"
)

// replicationCode is the request code with which a replica opens a connection
// on the SQL port, in the place of a protocol version.
const replicationCode = 0x56480001

const (
	replicationHeartbeat = 100 * time.Millisecond
	// replicationSilence ends a connection on which not even a heartbeat came.
	replicationSilence = time.Second
	replicationRetry   = 30 * time.Millisecond
	// replicationBatch bounds the entries of one message and of one
	// application transaction.
	replicationBatch = 256
)

// segment is a run of entries of one term that ends at Last.
type segment struct {
	Term fleet.Term
	Last fleet.Position
}

type replicaHello struct {
	Endpoint fleet.EndpointID
	Group    fleet.GroupID
	Password string
	Term     fleet.Term
	Log      []segment
}

type primaryHello struct {
	Endpoint fleet.EndpointID
	Refusal  string
	// Common is the last position at which both logs have the same term.
	Common fleet.Position
	// Last is the primary's position.
	Last fleet.Position
}

type replicaBatch struct {
	Term    fleet.Term
	First   fleet.Position
	Entries []entry
}

func segments(log []entry) []segment {
	var out []segment
	for i, en := range log {
		p := fleet.Position(i + 1)
		if n := len(out); n > 0 && out[n-1].Term == en.Term {
			out[n-1].Last = p
		} else {
			out = append(out, segment{en.Term, p})
		}
	}
	return out
}

// commonPosition returns the last position at which both logs hold an entry
// of the same term. A term has one primary, so the entries up to there are
// the same.
func commonPosition(a, b []segment) fleet.Position {
	var common fleet.Position
	for i := 0; i < len(a) && i < len(b) && a[i].Term == b[i].Term; i++ {
		common = min(a[i].Last, b[i].Last)
		if a[i].Last != b[i].Last {
			break
		}
	}
	return common
}

// serveReplica streams the log to one replica.
func (e *Endpoint) serveReplica(c *gatedConn, r io.Reader) error {
	dec, enc := gob.NewDecoder(r), gob.NewEncoder(c)
	var h replicaHello
	if err := dec.Decode(&h); err != nil {
		return fmt.Errorf("read the replica's hello: %w", err)
	}
	c.setPeer(string(h.Endpoint))
	if err := c.wait(); err != nil {
		return err
	}
	if h.Group != e.cfg.Group || h.Password != e.cfg.Password {
		return enc.Encode(primaryHello{Endpoint: e.cfg.ID, Refusal: "wrong group or password"})
	}
	e.mu.Lock()
	if e.s.role != fleet.RolePrimary || e.s.term != h.Term || e.s.fenceTerm > h.Term {
		refusal := fmt.Sprintf("%s at term %d, fence %d; asked for term %d", e.s.role, e.s.term, e.s.fenceTerm, h.Term)
		e.mu.Unlock()
		return enc.Encode(primaryHello{Endpoint: e.cfg.ID, Refusal: refusal})
	}
	next := commonPosition(segments(e.s.log), h.Log)
	hello := primaryHello{Endpoint: e.cfg.ID, Common: next, Last: e.s.received()}
	e.mu.Unlock()
	if err := enc.Encode(hello); err != nil {
		return err
	}
	for {
		e.mu.Lock()
		if e.s.role != fleet.RolePrimary || e.s.term != h.Term || e.s.fenceTerm > h.Term {
			e.mu.Unlock()
			return nil
		}
		changed := e.changed
		end := min(next+replicationBatch, e.s.received())
		b := replicaBatch{Term: h.Term, First: next + 1, Entries: e.s.log[next:end:end]}
		e.mu.Unlock()
		if len(b.Entries) == 0 {
			select {
			case <-changed:
				continue
			case <-time.After(replicationHeartbeat):
			case <-e.ctx.Done():
				return nil
			}
		}
		if err := enc.Encode(b); err != nil {
			return err
		}
		next = end
	}
}

// follow keeps replicating from addr until ctx ends.
func (e *Endpoint) follow(ctx context.Context, generation uint64, t fleet.Term, addr string) {
	for ctx.Err() == nil {
		err := e.followOnce(ctx, generation, t, addr)
		if err != nil && ctx.Err() == nil {
			e.log.Debug().Str("primary", addr).Err(err).Msg("replication: the connection to the primary ended")
		}
		select {
		case <-ctx.Done():
		case <-time.After(replicationRetry):
		}
	}
}

func (e *Endpoint) followOnce(ctx context.Context, generation uint64, t fleet.Term, addr string) error {
	raw, err := net.DialTimeout("tcp", addr, replicationSilence)
	if err != nil {
		return err
	}
	c := newGatedConn(raw, e.faults)
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	raw.SetDeadline(time.Now().Add(replicationSilence))
	var start [8]byte
	binary.BigEndian.PutUint32(start[:], 8)
	binary.BigEndian.PutUint32(start[4:], replicationCode)
	if _, err := c.Write(start[:]); err != nil {
		return err
	}
	e.mu.Lock()
	h := replicaHello{Endpoint: e.cfg.ID, Group: e.cfg.Group, Password: e.cfg.Password, Term: t, Log: segments(e.s.log)}
	e.mu.Unlock()
	dec, enc := gob.NewDecoder(c), gob.NewEncoder(c)
	if err := enc.Encode(h); err != nil {
		return err
	}
	var p primaryHello
	if err := dec.Decode(&p); err != nil {
		return err
	}
	c.setPeer(string(p.Endpoint))
	if err := c.wait(); err != nil {
		return err
	}
	if p.Refusal != "" {
		return fmt.Errorf("primary %s refused: %s", p.Endpoint, p.Refusal)
	}
	if err := e.attach(generation, p); err != nil {
		return err
	}
	type arrived struct {
		b  replicaBatch
		at time.Time
	}
	// Entries wait here for the receive delay while the connection is read on.
	queue := make(chan arrived, 1024)
	failed := make(chan error, 1)
	go func() {
		defer close(queue)
		for {
			raw.SetReadDeadline(time.Now().Add(replicationSilence))
			var b replicaBatch
			if err := dec.Decode(&b); err != nil {
				failed <- err
				return
			}
			select {
			case queue <- arrived{b, time.Now()}:
			case <-ctx.Done():
				failed <- ctx.Err()
				return
			}
		}
	}()
	defer func() {
		c.Close()
		for range queue {
		}
	}()
	for a := range queue {
		if len(a.b.Entries) == 0 {
			continue
		}
		if !sleep(ctx, time.Until(a.at.Add(e.faults.get().ReceiveDelay))) {
			return ctx.Err()
		}
		if err := e.receive(generation, a.b); err != nil {
			return err
		}
	}
	return <-failed
}

// attach truncates the own log after the last entry common with the primary.
func (e *Endpoint) attach(generation uint64, p primaryHello) error {
	e.applying.Lock()
	defer e.applying.Unlock()
	e.mu.Lock()
	if e.s.following != generation {
		e.mu.Unlock()
		return fmt.Errorf("the endpoint follows another primary now")
	}
	dropped := e.s.received() - p.Common
	e.s.log = e.s.log[:p.Common:p.Common]
	rebuild := e.s.applied > p.Common
	if !rebuild {
		e.attached(p)
		e.mu.Unlock()
		return nil
	}
	e.s.applied = 0
	e.broadcast()
	e.mu.Unlock()
	e.log.Info().Uint64("common", uint64(p.Common)).Uint64("dropped", uint64(dropped)).Msg("replication: truncating the log after the last common entry")
	if err := e.rebuild(p.Common); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.s.following != generation {
		return fmt.Errorf("the endpoint follows another primary now")
	}
	e.attached(p)
	return nil
}

// attached needs e.mu.
func (e *Endpoint) attached(p primaryHello) {
	e.s.attached = true
	if e.s.joining && e.s.joinTarget == 0 {
		e.s.joinTarget = p.Last
	}
	e.broadcast()
}

// receive appends entries unless the term has been fenced.
func (e *Endpoint) receive(generation uint64, b replicaBatch) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.s.following != generation || e.s.fenceTerm != b.Term {
		return fmt.Errorf("term %d is no longer accepted; the fence term is %d", b.Term, e.s.fenceTerm)
	}
	if b.First != e.s.received()+1 {
		return fmt.Errorf("entries start at %d; expected %d", b.First, e.s.received()+1)
	}
	now := time.Now()
	for _, en := range b.Entries {
		en.received = now
		e.s.log = append(e.s.log, en)
	}
	e.broadcast()
	return nil
}

// applyLoop applies received entries after the apply delay.
func (e *Endpoint) applyLoop() {
	for e.ctx.Err() == nil {
		if e.faults.wait("", e.ctx.Done()) != nil {
			return
		}
		e.mu.Lock()
		changed := e.changed
		wait := replicationHeartbeat
		due := false
		if e.s.role == fleet.RoleReplica && e.s.applied < e.s.received() {
			left := time.Until(e.s.log[e.s.applied].received.Add(e.faults.get().ApplyDelay))
			due = left <= 0
			wait = min(wait, max(left, 0))
		}
		e.mu.Unlock()
		if due {
			e.applying.Lock()
			err := e.applyDue(false)
			e.applying.Unlock()
			if err == nil {
				continue
			}
			e.log.Error().Err(err).Msg("replication: an entry could not be applied; the endpoint stays behind")
			wait = time.Second
			changed = nil
		}
		select {
		case <-changed:
		case <-time.After(wait):
		case <-e.ctx.Done():
		}
	}
}

// applyDue applies received entries that are due, or all of them; needs
// e.applying.
func (e *Endpoint) applyDue(all bool) error {
	for {
		e.mu.Lock()
		from := e.s.applied
		to := min(from+replicationBatch, e.s.received())
		if !all {
			limit := time.Now().Add(-e.faults.get().ApplyDelay)
			for i := from; i < to; i++ {
				if e.s.log[i].received.After(limit) {
					to = i
					break
				}
			}
		}
		batch := e.s.log[from:to:to]
		e.mu.Unlock()
		if len(batch) == 0 {
			return nil
		}
		n, err := replay(e.currentStore(), batch)
		e.mu.Lock()
		e.s.applied = from + fleet.Position(n)
		if e.s.joining && e.s.joinTarget > 0 && e.s.applied >= e.s.joinTarget {
			e.s.joining = false
			e.log.Info().Uint64("position", uint64(e.s.applied)).Msg("replication: the log is complete; the endpoint no longer joins")
		}
		e.broadcast()
		e.mu.Unlock()
		if err != nil {
			return err
		}
	}
}

// replay applies entries, consecutive ones of a database in one transaction,
// and returns how many have been applied.
func replay(st *store, batch []entry) (int, error) {
	for i := 0; i < len(batch); {
		j := i + 1
		for j < len(batch) && batch[j].Database == batch[i].Database {
			j++
		}
		if batch[i].Database == "" {
			i = j
			continue
		}
		if err := replayRun(st, batch[i:j]); err != nil {
			return i, err
		}
		i = j
	}
	return len(batch), nil
}

func replayRun(st *store, run []entry) error {
	ctx := context.Background()
	d, err := st.open(run[0].Database)
	if err != nil {
		return err
	}
	w, err := d.lockWriter(ctx)
	if err != nil {
		return err
	}
	defer d.unlockWriter()
	if _, err := w.exec(ctx, "BEGIN IMMEDIATE", nil); err != nil {
		return err
	}
	for _, en := range run {
		for _, s := range en.Statements {
			if _, err := w.exec(ctx, s.SQL, fromValues(s.Args)); err != nil {
				w.exec(ctx, "ROLLBACK", nil)
				return fmt.Errorf("replay in database %s: %w", en.Database, err)
			}
		}
	}
	_, err = w.exec(ctx, "COMMIT", nil)
	return err
}

// rebuild replaces the data by a replay of the log up to a position. Reads
// wait meanwhile. Needs e.applying.
func (e *Endpoint) rebuild(to fleet.Position) error {
	st, err := newStore(e.dir)
	if err != nil {
		return err
	}
	e.executing.Lock()
	defer e.executing.Unlock()
	e.mu.Lock()
	old := e.store
	e.store = st
	batch := e.s.log[:to:to]
	e.mu.Unlock()
	e.abortAll(staleTerm("the log has been truncated"))
	old.close()
	if _, err := replay(st, batch); err != nil {
		return err
	}
	e.mu.Lock()
	e.s.applied = to
	e.broadcast()
	e.mu.Unlock()
	return nil
}

func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
