package control

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/vanillahinge/vanillahinge/core/catalog"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/kvstore"
	"github.com/vanillahinge/vanillahinge/edge/peerrpc"
)

const (
	// ownWait is how long the store may hold a call for the fleet's own table.
	// Each answer renews the permission to use primaries, so it is well below
	// lease.Duration.
	ownWait = time.Second
	// tableWait is how long it may hold one for the other tables. A connection
	// that has gone silent is noticed after it; a configuration has to be in
	// force 7 s after such a fault (4 s of stability and 3 s).
	tableWait = 5 * time.Second
	// feedSlack is how much longer than its wait a call may take: a store that
	// answers 75 times more slowly than usual needs 300 ms.
	feedSlack = 600 * time.Millisecond
	// waitSlack covers the granularity of the store's timers.
	waitSlack = 50 * time.Millisecond
	// readTimeout bounds a read of a whole table.
	readTimeout = 1500 * time.Millisecond
	// retryMin and retryMax bound the pause after a failed call. The feeds
	// without proof pause for longer; they go on at once when another feed has
	// regained the store.
	retryMin  = 100 * time.Millisecond
	retryMax  = 250 * time.Millisecond
	retryRest = 2 * time.Second
)

const (
	// readers is how many instances read the store's feeds; the others learn
	// from them, so that the calls do not grow with the fleet. With two, one may
	// fail.
	readers = 2
	// readerPoll is how often an instance looks whether it has become a reader.
	readerPoll = 200 * time.Millisecond
)

// reads reports whether this instance has to read the store itself: it is among
// the first of the instances that it hears, or the others bring no proof.
func (c *Controller) reads(now time.Duration) bool {
	if at, ok := c.lease.Proof(); !ok || now > at+storeLate {
		return true
	}
	return slices.Contains(c.readers(now), c.Self.ID)
}

// readers returns the instances that read the store, as far as this one knows.
func (c *Controller) readers(now time.Duration) []fleet.InstanceID {
	var ids []fleet.InstanceID
	for _, m := range c.running(now) {
		if m.Running && m.Reachable {
			ids = append(ids, m.ID)
		}
	}
	ids = fleet.Rank("readers", ids)
	return ids[:min(readers, len(ids))]
}

type feed struct {
	table string
	wait  time.Duration
	// proof says that a complete copy proves that no change of primary is
	// unknown.
	proof bool
}

// follow keeps a table up to date from the store.
func (c *Controller) follow(ctx context.Context, f feed) {
	after, whole, gone := uint64(0), true, false
	failures := 0
	lost := time.Duration(0)
	for ctx.Err() == nil {
		reads := false
		if c.do(ctx, func() {
			t := c.tables[f.table]
			reads = !t.loaded || c.reads(c.Clock.Now())
			after = max(after, t.asOf)
			whole = gone || whole && !t.loaded
		}) != nil {
			return
		}
		if !reads {
			failures = 0
			if !sleep(ctx, readerPoll) {
				return
			}
			continue
		}
		start := c.Clock.Now()
		var got []kvstore.Row
		var asOf uint64
		var err error
		if whole {
			call, cancel := context.WithTimeout(ctx, readTimeout)
			got, asOf, err = c.Store.ReadTable(call, f.table)
			cancel()
		} else {
			call, cancel := context.WithTimeout(ctx, f.wait+feedSlack)
			got, asOf, err = c.Store.Changes(call, f.table, after, f.wait)
			cancel()
		}
		c.Metrics.Count(`store_calls{table="` + f.table + `"}`)
		switch {
		case errors.Is(err, kvstore.ErrCompacted):
			c.Log.Info("store: history gone; reading the whole table", "table", f.table)
			gone = true
			continue
		case err != nil:
			if failures++; failures == 1 {
				lost = start
				c.Log.Warn("store: lost", "table", f.table, "error", err.Error())
			}
			c.Metrics.Count(`store_failures{table="` + f.table + `"}`)
			pause := min(retryMin<<min(failures-1, 4), retryMax)
			if !f.proof {
				pause = retryRest
			}
			if !c.await(ctx, pause) {
				return
			}
			continue
		}
		if failures > 0 {
			c.wake()
			c.Log.Info("store: regained", "table", f.table, "away_ms", (c.Clock.Now() - lost).Milliseconds())
			failures = 0
		}
		replace := whole
		whole, gone = false, false
		after = max(after, asOf)
		if c.do(ctx, func() {
			if replace {
				c.replace(f.table, got, asOf)
			} else {
				c.apply(f.table, got, asOf)
			}
			if f.proof {
				proof := start
				if !replace && len(got) == 0 && c.Clock.Now()-start >= f.wait {
					// The store held the call until there had been no change for
					// the whole wait.
					proof += f.wait - waitSlack
				}
				c.lease.AddProof(proof)
				c.renew()
			}
		}) != nil {
			return
		}
	}
}

// await pauses until a feed has regained the store, unless ctx ends first.
func (c *Controller) await(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-*c.regained.Load():
	case <-t.C:
	}
	return true
}

// wake ends the pauses of await.
func (c *Controller) wake() {
	next := make(chan struct{})
	close(*c.regained.Swap(&next))
}

// sleep pauses unless ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// digest identifies the rows of a table by their keys and versions.
func digest(all map[string]kvstore.Row) uint64 {
	h := xxhash.New()
	for _, k := range slices.Sorted(maps.Keys(all)) {
		_, _ = h.WriteString(k)
		_, _ = h.Write(binary.LittleEndian.AppendUint64([]byte{0}, all[k].Version))
	}
	return h.Sum64()
}

// register lists this instance as a member, once its row is known to be
// missing or out of date.
func (c *Controller) register(ctx context.Context) {
	key := memberPrefix + string(c.Self.ID)
	value, err := json.Marshal(c.Self)
	if err != nil {
		c.Log.Warn("control: cannot encode the member record", "error", err.Error())
		return
	}
	for pause := retryMin; ; pause = min(pause*2, retryMax) {
		known, current, version := false, false, uint64(0)
		if c.do(ctx, func() {
			known = c.tables[c.Schema.FleetTable].loaded
			row, ok := c.tables[c.Schema.FleetTable].rows[key]
			var m catalog.Member
			current = ok && json.Unmarshal(row.Value, &m) == nil && m == c.Self
			version = row.Version
		}) != nil {
			return
		}
		if current {
			return
		}
		if known {
			row := kvstore.Row{Table: c.Schema.FleetTable, Key: key, Version: version, Value: value}
			call, cancel := context.WithTimeout(ctx, readTimeout)
			_, err := c.Store.Apply(call, kvstore.Transaction{Require: []kvstore.Row{row}, Put: []kvstore.Row{row}})
			cancel()
			if err != nil {
				c.Log.Warn("control: registration failed", "error", err.Error())
			}
		}
		if !sleep(ctx, pause) {
			return
		}
	}
}

const (
	// exchangePeriod is the time between calls to another instance: short
	// against the 3 s within which a configuration has to be in force.
	exchangePeriod = time.Second
	// exchangeHurry is the period for the instances that read the store, and for
	// all while the store gives this one nothing. With ownWait it keeps proofs
	// well below lease.Duration.
	exchangeHurry = 500 * time.Millisecond
	// exchangeTimeout bounds a call.
	exchangeTimeout = 500 * time.Millisecond
	// storeLate is the age of the last proof above which an instance reads the
	// store itself. Proofs from a reader are up to ownWait and exchangeHurry old;
	// a read takes far less than what is left to lease.Duration.
	storeLate = ownWait + exchangeHurry + 400*time.Millisecond
)

// period is the time between calls to an instance that is not a reader. It grows
// with the fleet, so that an instance makes about the same number of calls.
func (c *Controller) period() time.Duration {
	return exchangePeriod * time.Duration(1+len(c.members)/membersPerPeriod)
}

// membersPerPeriod is how many members an instance calls a second.
const membersPerPeriod = 9

// exchangeLoop calls the other instances.
func (c *Controller) exchangeLoop(ctx context.Context) {
	for round := 0; ; round++ {
		var calls []*peer
		var u peerrpc.UpdateRequest
		if c.do(ctx, func() {
			now := c.Clock.Now()
			at, ok := c.lease.Proof()
			all := round%int(c.period()/exchangeHurry) == 0 || !ok || now > at+storeLate
			near := c.readers(now)
			u = peerrpc.UpdateRequest{From: c.Self.ID, Tables: c.tableStates(), Serving: c.serving()}
			for _, p := range c.peers {
				// An instance that did not answer may be back long before the
				// next period.
				if all || p.failures > 0 || slices.Contains(near, p.ID) {
					calls = append(calls, p)
				}
			}
		}) != nil {
			return
		}
		for _, p := range calls {
			go c.callPeer(ctx, p, &u)
		}
		if !sleep(ctx, exchangeHurry) {
			return
		}
	}
}

func (c *Controller) tableStates() map[string]peerrpc.TableState {
	out := make(map[string]peerrpc.TableState, len(c.tables))
	for name, t := range c.tables {
		if t.loaded {
			out[name] = peerrpc.TableState{AsOf: t.asOf, Digest: t.digest}
		}
	}
	return out
}

func (c *Controller) callPeer(ctx context.Context, p *peer, u *peerrpc.UpdateRequest) {
	start := c.Clock.Now()
	call, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	a, err := p.client.Update(call, u)
	if err != nil {
		_ = c.do(ctx, func() {
			if p.failures++; p.failures > 1 {
				p.heard = 0
			}
			if refused := errors.Is(err, peerrpc.ErrNotRunning); refused != p.notRunning {
				p.notRunning = refused
				c.Log.Info("control: instance not running", "peer", string(p.ID), "not_running", refused)
			}
			c.Metrics.Count("exchange_failures")
		})
		p.client.Close()
		return
	}
	_ = c.do(ctx, func() {
		news := p.heard == 0 || p.notRunning || p.serving != a.Serving
		p.heard, p.failures, p.notRunning, p.serving = start, 0, false, a.Serving
		if news {
			c.place()
		}
		for name, t := range a.Tables {
			if own, ok := c.tables[name]; ok && t.AsOf > own.asOf {
				c.replace(name, t.Rows, t.AsOf)
				own.asked = 0
			}
		}
		for _, name := range a.NewerTables {
			c.fetch(ctx, p, name)
		}
		for _, l := range a.Leaders {
			c.learnLeader(l)
		}
		c.publish()
		c.lease.AddPeerResponse(p.ID, start, a.ProofAgeMS >= 0)
		if a.ProofAgeMS >= 0 {
			c.lease.AddProof(start - time.Duration(a.ProofAgeMS)*time.Millisecond)
		}
		c.renew()
	})
}

// fetch asks an instance for its copy of a table, unless another one has just
// been asked: with many instances the copies would fill slow links.
func (c *Controller) fetch(ctx context.Context, p *peer, name string) {
	t, now := c.tables[name], c.Clock.Now()
	if t == nil || t.asked > 0 && now < t.asked+exchangeTimeout {
		return
	}
	t.asked = now
	u := peerrpc.UpdateRequest{From: c.Self.ID, Tables: c.tableStates(), RequestedTables: []string{name}, Serving: c.serving()}
	go c.callPeer(ctx, p, &u)
}

// serving reports whether this instance may be the home of accounts.
func (c *Controller) serving() bool { return c.Ready() && !c.leaving }

// Update answers another instance.
func (c *Controller) Update(ctx context.Context, u *peerrpc.UpdateRequest) (*peerrpc.UpdateResponse, error) {
	a := &peerrpc.UpdateResponse{ProofAgeMS: -1}
	err := c.do(ctx, func() {
		now := c.Clock.Now()
		if at, ok := c.lease.Proof(); ok {
			// Rounded up, so that the proof does not become younger on the way.
			a.ProofAgeMS = (now - at).Milliseconds() + 1
		}
		a.Serving = c.serving()
		if p := c.peers[u.From]; p != nil && (p.notRunning || p.serving != u.Serving) {
			p.notRunning, p.serving = false, u.Serving
			c.place()
		}
		for name, t := range c.tables {
			if theirs := u.Tables[name]; t.loaded && t.asOf > theirs.AsOf && t.digest != theirs.Digest {
				if name != c.Schema.FleetTable && !slices.Contains(u.RequestedTables, name) {
					a.NewerTables = append(a.NewerTables, name)
					continue
				}
				if a.Tables == nil {
					a.Tables = map[string]peerrpc.Table{}
				}
				a.Tables[name] = peerrpc.Table{TableState: peerrpc.TableState{AsOf: t.asOf, Digest: t.digest},
					Rows: slices.Collect(maps.Values(t.rows))}
			}
		}
		for _, g := range c.groups {
			row := c.tables[c.Schema.FleetTable].rows[leaderPrefix+string(g.record.Group)]
			if g.record.Version > 0 && (g.announced || row.Version != g.record.Version) {
				a.Leaders = append(a.Leaders, g.record)
			}
		}
	})
	return a, err
}

// Grant gives out an account's tokens.
func (c *Controller) Grant(_ context.Context, g *peerrpc.GrantRequest) (*peerrpc.GrantResponse, error) {
	n, retry, ok := c.Limiter.Grant(g.Account, g.RequestedTokens)
	if !ok {
		return nil, fmt.Errorf("control: the limits of account %q are not known here; ask again after the next exchange", g.Account)
	}
	return &peerrpc.GrantResponse{Tokens: n, RetryMS: retry.Milliseconds()}, nil
}

// Leave takes over what another instance has left.
func (c *Controller) Leave(ctx context.Context, l *peerrpc.LeaveRequest) (*peerrpc.LeaveResponse, error) {
	err := c.do(ctx, func() {
		if p := c.peers[l.From]; p != nil && l.Leaving {
			p.serving = false
			c.place()
		}
		c.Limiter.AddTokens(l.Tokens)
	})
	return &peerrpc.LeaveResponse{}, err
}

// HandOffAccounts makes another instance the home of this one's accounts.
func (c *Controller) HandOffAccounts(ctx context.Context) {
	if c.do(ctx, func() {
		c.leaving = true
		c.place()
	}) != nil {
		return
	}
	for _, p := range c.peerList(ctx) {
		c.leave(p, &peerrpc.LeaveRequest{From: c.Self.ID, Leaving: true})
	}
}

// leave sends a Leave without waiting for it.
func (c *Controller) leave(p *peer, l *peerrpc.LeaveRequest) {
	go func() {
		call, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
		defer cancel()
		if _, err := p.client.Leave(call, l); err != nil {
			c.Metrics.Count("exchange_failures")
		}
	}()
}

// place assigns the homes of accounts, once the members are known.
func (c *Controller) place() {
	if !c.tables[c.Schema.FleetTable].loaded {
		return
	}
	now := c.Clock.Now()
	for p, tokens := range c.Limiter.place(now, c.Self.ID, c.running(now), c.peers) {
		c.leave(p, &peerrpc.LeaveRequest{From: c.Self.ID, Leaving: c.leaving, Tokens: tokens})
	}
}

// lostHome records that no process runs at a home.
func (c *Controller) lostHome(p *peer) {
	call, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
	defer cancel()
	if c.do(call, func() {
		p.notRunning = true
		c.place()
	}) != nil {
		c.Metrics.Count("control_busy")
	}
}
