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
	// fleetTableWait is how long the store may hold a Changes call for the fleet's
	// own table. Each response renews the lease, so it is well below
	// lease.Duration.
	fleetTableWait = time.Second
	// otherTableWait is the same for the other tables. It bounds the time until a
	// connection that delivers nothing more is detected: a configuration has to be
	// in force 7 s after such a fault (4 s of stability and 3 s).
	otherTableWait = 5 * time.Second
	// feedResponseSlack is added to the wait for the timeout of a Changes call: a
	// store that answers 75 times more slowly than usual needs 300 ms.
	feedResponseSlack = 600 * time.Millisecond
	// storeTimerSlack covers the granularity of the store's timers.
	storeTimerSlack = 50 * time.Millisecond
	// readTimeout bounds a read of a whole table and the write of the member row.
	readTimeout = 1500 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the backoff after a failed call. The
	// feeds that do not renew the lease pause for otherTableRetryDelay; they retry
	// at once when another feed reaches the store again.
	minRetryDelay        = 100 * time.Millisecond
	maxRetryDelay        = 250 * time.Millisecond
	otherTableRetryDelay = 2 * time.Second
)

const (
	// storeReaderCount is how many instances read the store's feeds. The others get
	// the tables from them, so that the number of store calls does not grow with
	// the fleet. With two readers, one may fail.
	storeReaderCount = 2
	// readerPollInterval is how often an instance checks if it has become a reader.
	readerPollInterval = 200 * time.Millisecond
)

// readsStore reports whether this instance has to read the store itself: it is one
// of the readers, or its last proof, usually relayed by a reader, is too old.
func (c *Controller) readsStore(now time.Duration) bool {
	if at, ok := c.lease.Proof(); !ok || now > at+maxRelayedProofAge {
		return true
	}
	return slices.Contains(c.storeReaders(now), c.Self.ID)
}

// storeReaders returns the instances that read the store: the first ones in rank
// order among those that this instance reaches.
func (c *Controller) storeReaders(now time.Duration) []fleet.InstanceID {
	var ids []fleet.InstanceID
	for _, m := range c.memberStates(now) {
		if m.Running && m.Reachable {
			ids = append(ids, m.ID)
		}
	}
	ids = fleet.Rank("readers", ids)
	return ids[:min(storeReaderCount, len(ids))]
}

// feed is the subscription to the changes of one table.
type feed struct {
	table string
	// wait is how long the store may hold a Changes call.
	wait time.Duration
	// renewsLease is set if a complete copy of the table proves that this instance
	// knows every change of primary.
	renewsLease bool
}

// followTable keeps the copy of a table up to date from the store while this
// instance is a reader.
func (c *Controller) followTable(ctx context.Context, f feed) {
	after, readWhole, compacted := uint64(0), true, false
	failures := 0
	failedSince := time.Duration(0)
	for ctx.Err() == nil {
		reads := false
		if c.runInLoop(ctx, func() {
			t := c.tables[f.table]
			reads = !t.loaded || c.readsStore(c.Clock.Now())
			after = max(after, t.asOf)
			readWhole = compacted || readWhole && !t.loaded
		}) != nil {
			return
		}
		if !reads {
			failures = 0
			if !sleep(ctx, readerPollInterval) {
				return
			}
			continue
		}
		start := c.Clock.Now()
		var got []kvstore.Row
		var asOf uint64
		var err error
		if readWhole {
			call, cancel := context.WithTimeout(ctx, readTimeout)
			got, asOf, err = c.Store.ReadTable(call, f.table)
			cancel()
		} else {
			call, cancel := context.WithTimeout(ctx, f.wait+feedResponseSlack)
			got, asOf, err = c.Store.Changes(call, f.table, after, f.wait)
			cancel()
		}
		c.Metrics.Count(`store_calls{table="` + f.table + `"}`)
		switch {
		case errors.Is(err, kvstore.ErrCompacted):
			c.Log.Info("store: change history compacted; reading the whole table", "table", f.table)
			compacted = true
			continue
		case err != nil:
			if failures++; failures == 1 {
				failedSince = start
				c.Log.Warn("store: lost", "table", f.table, "error", err.Error())
			}
			c.Metrics.Count(`store_failures{table="` + f.table + `"}`)
			pause := min(minRetryDelay<<min(failures-1, 4), maxRetryDelay)
			if !f.renewsLease {
				pause = otherTableRetryDelay
			}
			if !c.pauseUntilRecovered(ctx, pause) {
				return
			}
			continue
		}
		if failures > 0 {
			c.signalRecovered()
			c.Log.Info("store: reachable again", "table", f.table, "away_ms", (c.Clock.Now() - failedSince).Milliseconds())
			failures = 0
		}
		replace := readWhole
		readWhole, compacted = false, false
		after = max(after, asOf)
		if c.runInLoop(ctx, func() {
			if replace {
				c.replaceTable(f.table, got, asOf)
			} else {
				c.applyChanges(f.table, got, asOf)
			}
			if f.renewsLease {
				proof := start
				if !replace && len(got) == 0 && c.Clock.Now()-start >= f.wait {
					// The store held the call for the whole wait, so there was no
					// change until then.
					proof += f.wait - storeTimerSlack
				}
				c.lease.AddProof(proof)
				c.renewLease()
			}
		}) != nil {
			return
		}
	}
}

// pauseUntilRecovered pauses for d, or until a feed reaches the store again. It
// returns false if ctx ends first.
func (c *Controller) pauseUntilRecovered(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-*c.storeRecovered.Load():
	case <-t.C:
	}
	return true
}

// signalRecovered ends the pauses of pauseUntilRecovered.
func (c *Controller) signalRecovered() {
	next := make(chan struct{})
	close(*c.storeRecovered.Swap(&next))
}

// sleep pauses for d. It returns false if ctx ends first.
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

// digest returns a hash of the keys and versions of a table's rows.
func digest(all map[string]kvstore.Row) uint64 {
	h := xxhash.New()
	for _, k := range slices.Sorted(maps.Keys(all)) {
		_, _ = h.WriteString(k)
		_, _ = h.Write(binary.LittleEndian.AppendUint64([]byte{0}, all[k].Version))
	}
	return h.Sum64()
}

// register writes this instance's member row if it is missing or out of date, and
// returns once the fleet's table contains it.
func (c *Controller) register(ctx context.Context) {
	key := memberPrefix + string(c.Self.ID)
	value, err := json.Marshal(c.Self)
	if err != nil {
		c.Log.Warn("control: cannot encode this instance's member record", "error", err.Error())
		return
	}
	for pause := minRetryDelay; ; pause = min(pause*2, maxRetryDelay) {
		known, current, version := false, false, uint64(0)
		if c.runInLoop(ctx, func() {
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
				c.Log.Warn("control: registration as a member failed", "error", err.Error())
			}
		}
		if !sleep(ctx, pause) {
			return
		}
	}
}

const (
	// updateInterval is the time between Update calls to a peer in a small fleet:
	// short compared to the 3 s within which a configuration has to be in force.
	updateInterval = time.Second
	// fastUpdateInterval is the interval for the store readers, and for all peers
	// while this instance has no recent proof. With fleetTableWait it keeps the age
	// of proofs well below lease.Duration.
	fastUpdateInterval = 500 * time.Millisecond
	// peerCallTimeout bounds one call to another instance.
	peerCallTimeout = 500 * time.Millisecond
	// maxRelayedProofAge is the age of the last proof above which an instance reads
	// the store itself. Proofs from a reader are up to fleetTableWait and
	// fastUpdateInterval old; a read takes far less than the time left to
	// lease.Duration.
	maxRelayedProofAge = fleetTableWait + fastUpdateInterval + 400*time.Millisecond
)

// fullUpdateInterval returns the time between Update calls to a peer that is not a
// store reader. It grows with the fleet, so that the rate of calls from one instance
// stays about the same.
func (c *Controller) fullUpdateInterval() time.Duration {
	return updateInterval * time.Duration(1+len(c.members)/membersPerInterval)
}

// membersPerInterval is how many members an instance calls in one updateInterval.
const membersPerInterval = 9

// updateLoop sends Update calls to the other instances until ctx ends.
func (c *Controller) updateLoop(ctx context.Context) {
	for round := 0; ; round++ {
		var calls []*peer
		var req peerrpc.UpdateRequest
		if c.runInLoop(ctx, func() {
			now := c.Clock.Now()
			at, ok := c.lease.Proof()
			all := round%int(c.fullUpdateInterval()/fastUpdateInterval) == 0 || !ok || now > at+maxRelayedProofAge
			readers := c.storeReaders(now)
			req = peerrpc.UpdateRequest{From: c.Self.ID, Tables: c.tableStates(), Serving: c.serving()}
			for _, p := range c.peers {
				// A peer whose last call failed may be reachable again long
				// before the next full interval.
				if all || p.failures > 0 || slices.Contains(readers, p.ID) {
					calls = append(calls, p)
				}
			}
		}) != nil {
			return
		}
		for _, p := range calls {
			go c.updatePeer(ctx, p, &req)
		}
		if !sleep(ctx, fastUpdateInterval) {
			return
		}
	}
}

// tableStates returns the state of this instance's copy of each loaded table.
func (c *Controller) tableStates() map[string]peerrpc.TableState {
	out := make(map[string]peerrpc.TableState, len(c.tables))
	for name, t := range c.tables {
		if t.loaded {
			out[name] = peerrpc.TableState{AsOf: t.asOf, Digest: t.digest}
		}
	}
	return out
}

// updatePeer sends one Update call to a peer and installs what the response brings.
func (c *Controller) updatePeer(ctx context.Context, p *peer, req *peerrpc.UpdateRequest) {
	start := c.Clock.Now()
	call, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	res, err := p.client.Update(call, req)
	if err != nil {
		_ = c.runInLoop(ctx, func() {
			if p.failures++; p.failures > 1 {
				p.lastAnswer = 0
			}
			if refused := errors.Is(err, peerrpc.ErrNotRunning); refused != p.notRunning {
				p.notRunning = refused
				c.Log.Info("control: instance started or stopped refusing connections", "peer", string(p.ID), "not_running", refused)
			}
			c.Metrics.Count("exchange_failures")
		})
		p.client.Close()
		return
	}
	_ = c.runInLoop(ctx, func() {
		changed := p.lastAnswer == 0 || p.notRunning || p.serving != res.Serving
		p.lastAnswer, p.failures, p.notRunning, p.serving = start, 0, false, res.Serving
		if changed {
			c.assignHomes()
		}
		for name, t := range res.Tables {
			if local, ok := c.tables[name]; ok && t.AsOf > local.asOf {
				c.replaceTable(name, t.Rows, t.AsOf)
				local.requestedAt = 0
			}
		}
		for _, name := range res.NewerTables {
			c.fetchTable(ctx, p, name)
		}
		for _, l := range res.Leaders {
			c.adoptLeadership(l)
		}
		c.publishView()
		c.lease.AddPeerResponse(p.ID, start, res.ProofAgeMS >= 0)
		if res.ProofAgeMS >= 0 {
			c.lease.AddProof(start - time.Duration(res.ProofAgeMS)*time.Millisecond)
		}
		c.renewLease()
	})
}

// fetchTable requests a peer's copy of a table, unless a request to any peer is
// still pending: with many instances, copies from all of them would saturate slow
// links.
func (c *Controller) fetchTable(ctx context.Context, p *peer, name string) {
	t, now := c.tables[name], c.Clock.Now()
	if t == nil || t.requestedAt > 0 && now < t.requestedAt+peerCallTimeout {
		return
	}
	t.requestedAt = now
	req := peerrpc.UpdateRequest{From: c.Self.ID, Tables: c.tableStates(), RequestedTables: []string{name}, Serving: c.serving()}
	go c.updatePeer(ctx, p, &req)
}

// serving reports whether this instance may be the home of accounts.
func (c *Controller) serving() bool { return c.Ready() && !c.leaving }

// Update serves the periodic call of another instance: it returns the age of this
// instance's proof, the tables that are newer here and the leadership records that
// the table does not have yet.
func (c *Controller) Update(ctx context.Context, req *peerrpc.UpdateRequest) (*peerrpc.UpdateResponse, error) {
	res := &peerrpc.UpdateResponse{ProofAgeMS: -1}
	err := c.runInLoop(ctx, func() {
		now := c.Clock.Now()
		if at, ok := c.lease.Proof(); ok {
			// Rounded up, so that the peer never takes the proof for younger than
			// it is.
			res.ProofAgeMS = (now - at).Milliseconds() + 1
		}
		res.Serving = c.serving()
		if p := c.peers[req.From]; p != nil && (p.notRunning || p.serving != req.Serving) {
			p.notRunning, p.serving = false, req.Serving
			c.assignHomes()
		}
		for name, t := range c.tables {
			if theirs := req.Tables[name]; t.loaded && t.asOf > theirs.AsOf && t.digest != theirs.Digest {
				if name != c.Schema.FleetTable && !slices.Contains(req.RequestedTables, name) {
					res.NewerTables = append(res.NewerTables, name)
					continue
				}
				if res.Tables == nil {
					res.Tables = map[string]peerrpc.Table{}
				}
				res.Tables[name] = peerrpc.Table{TableState: peerrpc.TableState{AsOf: t.asOf, Digest: t.digest},
					Rows: slices.Collect(maps.Values(t.rows))}
			}
		}
		for _, g := range c.groups {
			row := c.tables[c.Schema.FleetTable].rows[leaderPrefix+string(g.record.Group)]
			if g.record.Version > 0 && (g.announced || row.Version != g.record.Version) {
				res.Leaders = append(res.Leaders, g.record)
			}
		}
	})
	return res, err
}

// Grant serves the call of another instance for tokens of a client account whose
// home is this instance.
func (c *Controller) Grant(_ context.Context, req *peerrpc.GrantRequest) (*peerrpc.GrantResponse, error) {
	n, retry, ok := c.Limiter.Grant(req.Account, req.RequestedTokens)
	if !ok {
		return nil, fmt.Errorf("control: the limits of account %q are not known here; ask again after the next exchange", req.Account)
	}
	return &peerrpc.GrantResponse{Tokens: n, RetryMS: retry.Milliseconds()}, nil
}

// Leave serves the call of an instance that shuts down or is no longer the home of
// some accounts, and takes over the tokens that it hands on.
func (c *Controller) Leave(ctx context.Context, req *peerrpc.LeaveRequest) (*peerrpc.LeaveResponse, error) {
	err := c.runInLoop(ctx, func() {
		if p := c.peers[req.From]; p != nil && req.Leaving {
			p.serving = false
			c.assignHomes()
		}
		c.Limiter.AddTokens(req.Tokens)
	})
	return &peerrpc.LeaveResponse{}, err
}

// HandOffAccounts makes other instances the homes of the client accounts whose home
// is this instance, and tells them that it leaves.
func (c *Controller) HandOffAccounts(ctx context.Context) {
	if c.runInLoop(ctx, func() {
		c.leaving = true
		c.assignHomes()
	}) != nil {
		return
	}
	for _, p := range c.peerList(ctx) {
		c.sendLeave(p, &peerrpc.LeaveRequest{From: c.Self.ID, Leaving: true})
	}
}

// sendLeave sends a Leave call without waiting for the response.
func (c *Controller) sendLeave(p *peer, req *peerrpc.LeaveRequest) {
	go func() {
		call, cancel := context.WithTimeout(context.Background(), peerCallTimeout)
		defer cancel()
		if _, err := p.client.Leave(call, req); err != nil {
			c.Metrics.Count("exchange_failures")
		}
	}()
}

// assignHomes assigns the homes of client accounts once the members are known, and
// sends the tokens that remain here to the new homes.
func (c *Controller) assignHomes() {
	if !c.tables[c.Schema.FleetTable].loaded {
		return
	}
	now := c.Clock.Now()
	for p, tokens := range c.Limiter.assignHomes(now, c.Self.ID, c.memberStates(now), c.peers) {
		c.sendLeave(p, &peerrpc.LeaveRequest{From: c.Self.ID, Leaving: c.leaving, Tokens: tokens})
	}
}

// handleHomeNotRunning records that no process runs at the address of a home and
// assigns the homes again.
func (c *Controller) handleHomeNotRunning(p *peer) {
	call, cancel := context.WithTimeout(context.Background(), peerCallTimeout)
	defer cancel()
	if c.runInLoop(call, func() {
		p.notRunning = true
		c.assignHomes()
	}) != nil {
		c.Metrics.Count("control_busy")
	}
}
