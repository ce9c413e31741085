package engine

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/vanillahinge/vanillahinge/core/catalog"
	"github.com/vanillahinge/vanillahinge/core/dispatch"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/stmt"
	"github.com/vanillahinge/vanillahinge/edge/pool"
)

const (
	// maxAttempts bounds how often a statement is offered to endpoints after
	// its objective can no longer be met, and busyAttempts before.
	maxAttempts  = 4
	busyAttempts = 12
	// maxNames bounds the shapes prepared on a connection before it is reset.
	maxNames = 100
	// pauseMin and pauseMax bound the random pause before a statement is
	// offered again to the only endpoint that can serve it: about the time that
	// a statement holds a slot.
	pauseMin = 8 * time.Millisecond
	pauseMax = 24 * time.Millisecond
	// minReadWait and readWaitFactor give up a read whose answer takes far
	// longer than typical, to repeat it elsewhere.
	minReadWait    = 600 * time.Millisecond
	readWaitFactor = 12
)

// errNotPermitted: this instance may not use the primary now; nothing was sent.
var errNotPermitted = errors.New("engine: the permission to use the primary has lapsed; wait for the store or the other instances")

// exchange sends statements and returns the answer to the last one. All but the
// last must succeed.
func (s *session) exchange(c *pool.Conn, deadline time.Time, ss ...stmt.Statement) (stmt.Answer, error) {
	if !s.e.Pool.MaySend(c) {
		return stmt.Answer{}, errNotPermitted
	}
	var buf [4]stmt.Answer
	answers, err := c.Do(deadline, buf[:0], ss...)
	if err != nil {
		return stmt.Answer{}, err
	}
	for i, a := range answers[:len(answers)-1] {
		if a.Code != stmt.OK {
			return stmt.Answer{}, fmt.Errorf("%w: the endpoint refused to prepare the connection (statement %d): %s %s",
				stmt.ErrLost, i, a.Code, a.Text)
		}
	}
	return answers[len(answers)-1], nil
}

// setUp returns the statements that give a connection the session's values and
// the prepared shape that q needs, and records them.
func (s *session) setUp(c *pool.Conn, q stmt.Statement, inTx bool) []stmt.Statement {
	var need []stmt.Statement
	if !inTx {
		foreign := len(c.PreparedNames) >= maxNames
		for name := range c.Settings {
			if _, ok := s.values[name]; !ok {
				foreign = true
			}
		}
		if foreign {
			need = append(need, stmt.Statement{Kind: stmt.Reset})
			clear(c.Settings)
			clear(c.PreparedNames)
		}
	}
	for name, v := range s.values {
		if old, ok := c.Settings[name]; !ok || old != v {
			need = append(need, stmt.Statement{Kind: stmt.Set, Name: name, Value: v})
			c.Settings[name] = v
		}
	}
	if q.Kind == stmt.Execute {
		text := s.shapes[q.Name].text
		if _, ok := c.PreparedNames[text]; !ok {
			name := "p" + strconv.Itoa(len(c.PreparedNames))
			c.PreparedNames[text] = name
			need = append(need, stmt.Statement{Kind: stmt.Prepare, Name: name, PreparedText: text})
		}
	}
	return need
}

// placement says where a read or transaction of a route may run: at replicas
// that have floor, or only at the primary.
func (s *session) placement(r catalog.Route, readOnly bool) (floor fleet.LogPosition, replicas bool) {
	if !readOnly || r.Consistency == catalog.Latest || r.MaxStaleness <= 0 {
		return fleet.LogPosition{}, false
	}
	floor, ok := s.e.Pool.RequiredPosition(r.Group, r.MaxStaleness)
	if !ok {
		return fleet.LogPosition{}, false
	}
	if r.Consistency == catalog.ReadYourWrites && s.own != (fleet.LogPosition{}) {
		if s.own.Term < s.e.Pool.Term(r.Group) {
			// The change of primary may have rolled the commit back, so no
			// replica can be asked for it; the primary has what is left.
			return fleet.LogPosition{}, false
		}
		floor = floor.Max(s.own)
	}
	return floor, true
}

// saw raises the session's floor after an answer from the primary.
func (s *session) saw(c *pool.Conn, a stmt.Answer, wrote bool) {
	if c.Primary && (wrote || s.own != (fleet.LogPosition{}) && s.own.Term < a.Position.Term) {
		s.own = a.Position
	}
}

// offer is one statement, or the opening of a transaction, on its way to an
// endpoint.
type offer struct {
	route    catalog.Route
	account  fleet.AccountID
	start    time.Duration
	deadline time.Time
	work     *dispatch.ServiceTime
	attempt  int
	avoid    fleet.EndpointID
}

func (s *session) offer(r catalog.Route, account fleet.AccountID, start time.Duration, k workKind) *offer {
	return &offer{route: r, account: account, start: start, deadline: time.Now().Add(r.StatementTimeout), work: s.e.typical(k)}
}

// latest is the last moment at which a statement can start and be answered
// within the route's objective.
func (o *offer) latest() time.Duration {
	return o.start + max(o.route.LatencyObjective-2*o.work.Estimate(), o.route.LatencyObjective/4)
}

// again reports whether the statement may be offered once more.
func (o *offer) again(now time.Duration) bool {
	limit := maxAttempts
	if now < o.latest() {
		limit = busyAttempts
	}
	return o.attempt < limit && time.Until(o.deadline) > o.work.Estimate()
}

// pause waits a moment before the same endpoint is asked again.
func pause() { time.Sleep(pauseMin + rand.N(pauseMax-pauseMin)) }

// acquire gets a connection for an offer and returns the answer for the caller
// if there is none.
func (s *session) acquire(o *offer, readOnly bool) (*pool.Conn, fleet.LogPosition, stmt.Answer) {
	for {
		o.attempt++
		floor, replicas := s.placement(o.route, readOnly)
		c, err := s.e.Pool.Acquire(pool.Request{
			Group: o.route.Group, Account: o.account, Primary: !replicas, Floor: floor, Avoid: o.avoid,
			Priority: o.route.Priority, LatestStart: o.latest(), Timeout: o.route.StatementTimeout, Work: o.work, Settings: s.values,
		})
		if err == nil {
			if c.Primary {
				floor = fleet.LogPosition{}
			}
			return c, floor, stmt.Answer{}
		}
		var refusal *pool.Refusal
		if errors.As(err, &refusal) {
			return nil, floor, stmt.Answer{Code: stmt.Busy, Text: err.Error()}
		}
		if !o.again(s.e.Clock.Now()) {
			return nil, floor, stmt.Answer{Code: stmt.Busy, Text: "no connection to an endpoint; try again later"}
		}
		var refused *stmt.RefusedError
		if errors.As(err, &refused) && refused.Code != stmt.TooManyConnections && !replicas {
			pause()
		}
	}
}

// single runs a statement outside a transaction.
func (s *session) single(q stmt.Statement, start time.Duration) stmt.Answer {
	r, account, code, text := s.admit(start)
	if code != stmt.OK {
		return stmt.Answer{Code: code, Text: text}
	}
	writes := s.writes(q)
	o := s.offer(r, account, start, workKind{database: s.database, write: writes})
	for {
		c, floor, refusal := s.acquire(o, !writes)
		if c == nil {
			return refusal
		}
		deadline := o.deadline
		if !writes {
			deadline = o.readDeadline()
		}
		a, sent, err := s.send(c, q, floor, o, deadline)
		if err == nil && a.Code == stmt.OK {
			if a.Signature == "" {
				err = fmt.Errorf("%w: success without a signature", stmt.ErrLost)
			} else if writes && !s.e.Pool.MaySend(c) {
				// The primary may have been replaced before the write took effect.
				s.e.Pool.Release(c, false)
				return stmt.Answer{Code: stmt.InDoubt, Text: "the primary was replaced meanwhile; check before repeating"}
			} else {
				s.saw(c, a, writes)
				s.e.Pool.Release(c, a.State == stmt.Idle)
				s.served(q, c, o, floor)
				return a
			}
		}
		o.avoid = c.Endpoint()
		s.e.Pool.Release(c, err == nil && a.State == stmt.Idle)
		switch {
		case err != nil && sent && writes:
			return stmt.Answer{Code: stmt.InDoubt, Text: "the answer was lost; check before repeating"}
		case err != nil && sent && !time.Now().Before(o.deadline):
			return stmt.Answer{Code: stmt.Timeout, Text: "no answer within the route's time limit"}
		case err != nil:
			if !o.again(s.e.Clock.Now()) {
				if sent {
					return stmt.Answer{Code: stmt.Failed, Text: "the answer was lost; repeat the read"}
				}
				return stmt.Answer{Code: stmt.Busy, Text: "the connection to the endpoint was lost before it was sent; try again later"}
			}
			if errors.Is(err, errNotPermitted) {
				pause()
			}
		case a.Code.NotRun():
			if !o.again(s.e.Clock.Now()) {
				return stmt.Answer{Code: stmt.Busy, Text: "the endpoints refused it; try again later"}
			}
			if a.Code != stmt.Lagging && (o.attempt > 1 || writes || r.Consistency == catalog.Latest) {
				pause()
			}
		case a.Code == stmt.Failed && !writes && o.again(s.e.Clock.Now()):
			// A read has changed nothing; another endpoint may do better.
			if o.attempt > 1 || r.Consistency == catalog.Latest {
				pause()
			}
		default:
			return a
		}
		s.e.Metrics.Count(`retries{why="` + why(a, err) + `"}`)
		s.e.Log.Info("session: statement offered again", "id", q.ID, "database", s.database, "endpoint", string(o.avoid),
			"why", why(a, err), "attempt", o.attempt)
	}
}

func why(a stmt.Answer, err error) string {
	switch {
	case errors.Is(err, errNotPermitted):
		return "not_permitted"
	case err != nil:
		return "lost"
	}
	return a.Code.String()
}

// lost logs a statement whose answer did not come. It reports whether the
// statement may have reached the endpoint.
func (s *session) lost(q stmt.Statement, c *pool.Conn, err error) bool {
	if errors.Is(err, errNotPermitted) {
		return false
	}
	if !c.Revoked() {
		s.e.Pool.RecordLostAnswer(c)
	}
	s.e.Log.Info("session: no answer", "id", q.ID, "database", s.database, "endpoint", string(c.Endpoint()), "primary", c.Primary,
		"primary_replaced", c.Revoked(), "error", err.Error())
	return true
}

// served counts an operation's statement that was answered.
func (s *session) served(q stmt.Statement, c *pool.Conn, o *offer, floor fleet.LogPosition) {
	s.e.Metrics.Observe(`statement_us{database="`+s.database+`"}`, s.e.Clock.Now()-o.start)
	if o.attempt > 1 || s.e.Clock.Now()-o.start > o.route.LatencyObjective {
		s.e.Log.Info("session: served late", "id", q.ID, "database", s.database, "endpoint", string(c.Endpoint()),
			"primary", c.Primary, "floor", uint64(floor.Position), "attempt", o.attempt,
			"took_ms", (s.e.Clock.Now() - o.start).Milliseconds())
	}
}

// send brings a connection up to date and runs one statement on it. Sent reports
// whether the statement may have reached the endpoint.
func (s *session) send(c *pool.Conn, q stmt.Statement, floor fleet.LogPosition, o *offer, deadline time.Time) (a stmt.Answer, sent bool, err error) {
	if need := s.setUp(c, q, s.tx != nil); len(need) > 0 {
		if a, err := s.exchange(c, o.deadline, need...); err != nil || a.Code != stmt.OK {
			return stmt.Answer{}, false, orRefused(a, err)
		}
	}
	a, err = s.exchange(c, deadline, s.forEndpoint(c, q, floor))
	if err != nil {
		return stmt.Answer{}, s.lost(q, c, err), err
	}
	s.e.Pool.EndStatement(c, a, o.work)
	if a.Code == stmt.UnknownName && q.Kind == stmt.Execute {
		delete(c.PreparedNames, s.shapes[q.Name].text)
	}
	return a, true, nil
}

// readDeadline bounds an attempt at a read that can be repeated elsewhere.
func (o *offer) readDeadline() time.Time {
	if wait := time.Now().Add(max(minReadWait, readWaitFactor*o.work.Estimate())); wait.Before(o.deadline) {
		return wait
	}
	return o.deadline
}

// orRefused makes an error of a refusal while a connection is set up, after
// which the connection's values are unknown.
func orRefused(a stmt.Answer, err error) error {
	if err == nil {
		err = fmt.Errorf("%w: the endpoint refused to prepare the connection: %s %s", stmt.ErrLost, a.Code, a.Text)
	}
	return err
}

// forEndpoint returns a statement as the endpoint gets it: the prepared name is
// the connection's, all else is the caller's.
func (s *session) forEndpoint(c *pool.Conn, q stmt.Statement, floor fleet.LogPosition) stmt.Statement {
	if q.Kind == stmt.Execute {
		q.Name = c.PreparedNames[s.shapes[q.Name].text]
	}
	q.MinPosition = floor
	return q
}

// open gets a connection for the open transaction and begins it there. It
// returns the caller's answer if that fails.
func (s *session) open(q stmt.Statement, o *offer) (stmt.Answer, bool) {
	tx := s.tx
	for {
		c, floor, refusal := s.acquire(o, tx.readOnly)
		if c == nil {
			return refusal, false
		}
		need := append(s.setUp(c, q, false), stmt.Statement{Kind: stmt.Begin, ReadOnly: tx.readOnly, MinPosition: floor})
		a, err := s.exchange(c, o.deadline, need...)
		if err == nil && a.Code == stmt.OK {
			tx.conn = c
			return a, true
		}
		o.avoid = c.Endpoint()
		if err == nil {
			s.e.Pool.EndStatement(c, a, nil)
		}
		s.e.Pool.Release(c, err == nil && a.State == stmt.Idle)
		if !o.again(s.e.Clock.Now()) {
			return stmt.Answer{Code: stmt.Busy, Text: "no endpoint could begin the transaction; try again later"}, false
		}
		s.e.Metrics.Count(`retries{why="` + why(a, err) + `"}`)
		if err != nil || a.Code != stmt.Lagging {
			pause()
		}
	}
}

// inTransaction runs a statement, or the commit, of the open transaction.
func (s *session) inTransaction(q stmt.Statement, start time.Duration) stmt.Answer {
	tx := s.tx
	writes, commit := s.writes(q), q.Kind == stmt.Commit
	o := s.offer(tx.route, tx.account, start, workKind{database: s.database, write: writes, commit: commit})
	for {
		first := tx.conn == nil
		if first {
			if a, ok := s.open(q, o); !ok {
				tx.failed = true
				return a
			}
		} else {
			s.e.Pool.BeginStatement(tx.conn)
		}
		a, sent, err := s.send(tx.conn, q, fleet.LogPosition{}, o, o.deadline)
		c := tx.conn
		switch {
		case err == nil && a.Code == stmt.OK && a.Signature != "":
			if commit && tx.wrote && !s.e.Pool.MaySend(c) {
				tx.conn = nil
				s.e.Pool.Release(c, false)
				return stmt.Answer{Code: stmt.InDoubt, Text: "the primary was replaced meanwhile; check before repeating"}
			}
			if commit {
				s.saw(c, a, tx.wrote)
				tx.conn = nil
				s.e.Pool.Release(c, a.State == stmt.Idle)
			}
			tx.wrote = tx.wrote || writes
			s.served(q, c, o, fleet.LogPosition{})
			return a
		case err != nil || a.Code == stmt.OK:
			tx.conn = nil
			s.e.Pool.Release(c, false)
			if commit && tx.wrote && sent {
				return stmt.Answer{Code: stmt.InDoubt, Text: "the answer to the commit was lost; check before repeating"}
			}
			if first && !sent && o.again(s.e.Clock.Now()) {
				continue
			}
			tx.failed = true
			return stmt.Answer{Code: stmt.Aborted, Text: "the connection of the transaction was lost; it is rolled back"}
		case a.Code.NotRun() && a.Code != stmt.ReadOnly && a.State == stmt.InTransaction && o.again(s.e.Clock.Now()):
			o.attempt++
			pause()
		case first && !commit && (a.Code.NotRun() || a.Code == stmt.Failed && !writes) && o.again(s.e.Clock.Now()):
			// Nothing of the transaction has run but a read; it may begin elsewhere.
			o.avoid = c.Endpoint()
			s.detach()
		case a.Code.NotRun():
			s.detach()
			tx.failed = true
			return stmt.Answer{Code: stmt.Aborted, Text: "the endpoint refused it (" + a.Code.String() + "); the transaction is rolled back"}
		case commit && tx.wrote && a.Code == stmt.Timeout:
			tx.conn = nil
			s.e.Pool.Release(c, false)
			return stmt.Answer{Code: stmt.InDoubt, Text: "the commit ran out of time; check before repeating"}
		default:
			s.detach()
			tx.failed = true
			return a
		}
	}
}
