package control

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/vanillahinge/vanillahinge/core/catalog"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/kvstore"
	"github.com/vanillahinge/vanillahinge/core/stmt"
	"github.com/vanillahinge/vanillahinge/core/takeover"
	"github.com/vanillahinge/vanillahinge/edge/peerrpc"
	"github.com/vanillahinge/vanillahinge/edge/pool"
)

const (
	// claimTimeout bounds the conditional write of a claim.
	claimTimeout = 800 * time.Millisecond
	// claimLate is how long the holder looks for a claim whose answer was lost;
	// the store may carry it out seconds later.
	claimLate = 3 * time.Second
	// confirmTimeout bounds one call for a confirmation; it covers planWait.
	confirmTimeout = planWait + 200*time.Millisecond
	// changePoll is the pause between looks at something awaited.
	changePoll = 20 * time.Millisecond
	// stateWait bounds the wait for the replicas' positions once one has
	// answered, and stateLimit the wait for any.
	stateWait  = 150 * time.Millisecond
	stateLimit = 600 * time.Millisecond
	// catchUp bounds the wait for a replica to have received what the old
	// primary has, in a planned change.
	catchUp = 800 * time.Millisecond
	// endpointCall bounds one statement of the system at an endpoint.
	endpointCall = 400 * time.Millisecond
	// promoteTimeout bounds a promotion call.
	promoteTimeout = 1200 * time.Millisecond
	// settleLimit bounds the attempts to store the end of a change.
	settleLimit = 8 * time.Second
)

// change replaces a group's primary. It runs in a goroutine of its own.
func (c *Controller) change(ctx context.Context, old catalog.Leadership, cause takeover.Cause, addr string) {
	ctx, cancel := context.WithTimeout(ctx, takeover.HolderTimeout+settleLimit)
	defer cancel()
	defer func() {
		// The group must become free even when ctx has ended.
		if c.do(c.ctx, func() { c.group(old.Group).changing = false }) != nil {
			return // the instance has stopped
		}
	}()
	if cause == takeover.Unreachable {
		if !c.agreed(ctx, old, addr) {
			return
		}
	}
	ch := &changeOf{c: c, old: old, cause: cause, start: c.Clock.Now()}
	if !ch.claim(ctx) || !ch.waitEffective(ctx) {
		return
	}
	if !ch.promote(ctx) {
		return
	}
	ch.settle(ctx)
}

// agreed asks the other instances whether they reach the primary.
func (c *Controller) agreed(ctx context.Context, old catalog.Leadership, addr string) bool {
	call, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	reachable, unreachable := 0, 0
	for _, p := range c.peerList(ctx) {
		wg.Go(func() {
			a, err := p.client.Reach(call, &peerrpc.ReachRequest{Endpoint: old.Primary, Addr: addr})
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil:
				c.Metrics.Count("exchange_failures")
			case a.Reachable:
				reachable++
			default:
				unreachable++
			}
		})
	}
	wg.Wait()
	ok := takeover.MajorityUnreachable(unreachable, reachable)
	c.Log.Info("control: primary unreachable", "group", string(old.Group), "primary", string(old.Primary),
		"others_reach", reachable, "others_do_not", unreachable, "change", ok)
	return ok
}

func (c *Controller) peerList(ctx context.Context) []*peer {
	var out []*peer
	if err := c.do(ctx, func() {
		for _, p := range c.peers {
			out = append(out, p)
		}
	}); err != nil {
		return nil
	}
	return out
}

// changeOf is one change of a primary, carried out by this instance.
type changeOf struct {
	c     *Controller
	old   catalog.Leadership
	cause takeover.Cause
	start time.Duration

	record  catalog.Leadership
	claimed time.Duration
}

func (ch *changeOf) row(l catalog.Leadership) (kvstore.Row, error) {
	value, err := json.Marshal(l)
	return kvstore.Row{Table: ch.c.Schema.FleetTable, Key: leaderPrefix + string(l.Group), Value: value, Version: l.Version}, err
}

// claim writes the record that makes the change this instance's.
func (ch *changeOf) claim(ctx context.Context) bool {
	c, old := ch.c, ch.old
	l := catalog.Leadership{
		Group: old.Group, Version: old.Version, Term: max(old.Term, c.Pool.Term(old.Group)) + 1, Former: old.Primary,
		Holder: c.Self.ID, Planned: ch.cause == takeover.Leaving || ch.cause == takeover.Gone,
	}
	if !old.Settled {
		// The primary before the unfinished change may still be in use.
		l.Former = old.Former
	}
	row, err := ch.row(l)
	if err != nil {
		c.Log.Warn("control: cannot encode a claim", "error", err.Error())
		return false
	}
	call, cancel := context.WithTimeout(ctx, claimTimeout)
	version, err := c.Store.Apply(call, kvstore.Transaction{Require: []kvstore.Row{row}, Put: []kvstore.Row{row}})
	cancel()
	switch {
	case err == nil:
	case errors.Is(err, kvstore.ErrNoAnswer):
		if version = ch.findClaim(ctx); version == 0 {
			c.Log.Warn("control: claim without an answer given up", "group", string(old.Group))
			return false
		}
	default:
		c.Log.Info("control: claim refused", "group", string(old.Group), "cause", ch.cause.String(), "error", err.Error())
		return false
	}
	l.Version = version
	ch.record, ch.claimed = l, c.Clock.Now()
	c.Log.Info("control: change of primary claimed", "group", string(l.Group), "cause", ch.cause.String(), "fence", version,
		"term", uint64(l.Term), "former", string(l.Former), "planned", l.Planned)
	return c.do(ctx, func() { c.learnLeader(l); c.publish() }) == nil
}

// findClaim waits for a claim whose answer was lost to show in the table.
func (ch *changeOf) findClaim(ctx context.Context) uint64 {
	c := ch.c
	for deadline := c.Clock.Now() + claimLate; c.Clock.Now() < deadline; {
		var now catalog.Leadership
		if c.do(ctx, func() { now = c.leader(ch.old.Group) }) != nil {
			return 0
		}
		if now.Version > ch.old.Version {
			if now.Holder == c.Self.ID && !now.Settled {
				return now.Version
			}
			return 0
		}
		if !sleep(ctx, changePoll) {
			return 0
		}
	}
	return 0
}

// holds reports whether this instance may still act on its claim.
func (ch *changeOf) holds(ctx context.Context) bool {
	var now catalog.Leadership
	if ch.c.do(ctx, func() { now = ch.c.leader(ch.old.Group) }) != nil {
		return false
	}
	return now.Version == ch.record.Version && ch.c.Clock.Now() < ch.claimed+takeover.HolderTimeout
}

// waitEffective waits until nobody uses the old primary.
func (ch *changeOf) waitEffective(ctx context.Context) bool {
	c := ch.c
	var ids []fleet.InstanceID
	if c.do(ctx, func() { ids = c.memberIDs() }) != nil {
		return false
	}
	var mu sync.Mutex
	state := make([]takeover.Confirmation, len(ids))
	for i, id := range ids {
		state[i].Member = id
		go ch.askMember(ctx, id, func(at time.Duration) {
			mu.Lock()
			defer mu.Unlock()
			state[i].Confirmed, state[i].At = true, at
		})
	}
	for {
		mu.Lock()
		at, ok := takeover.EffectiveAt(ch.claimed, state)
		mu.Unlock()
		if ok && c.Clock.Now() >= at {
			c.Log.Info("control: old primary out of use", "group", string(ch.old.Group),
				"after_ms", (c.Clock.Now() - ch.claimed).Milliseconds())
			return true
		}
		if !ch.holds(ctx) {
			c.Log.Warn("control: change of primary given up: not enough instances confirm", "group", string(ch.old.Group))
			return false
		}
		if !sleep(ctx, changePoll/2) {
			return false
		}
	}
}

// askMember repeats the call for a confirmation until it is given.
func (ch *changeOf) askMember(ctx context.Context, id fleet.InstanceID, confirmed func(at time.Duration)) {
	c := ch.c
	for ch.holds(ctx) {
		start := c.Clock.Now()
		if id == c.Self.ID {
			a, err := c.Confirm(ctx, &peerrpc.ConfirmRequest{Record: ch.record})
			if err == nil && a.Version >= ch.record.Version {
				confirmed(c.Clock.Now())
				return
			}
			continue
		}
		var p *peer
		if c.do(ctx, func() { p = c.peers[id] }) != nil || p == nil {
			return
		}
		call, cancel := context.WithTimeout(ctx, confirmTimeout)
		a, err := p.client.Confirm(call, &peerrpc.ConfirmRequest{Record: ch.record})
		cancel()
		switch {
		case err == nil && a.Version >= ch.record.Version:
			confirmed(c.Clock.Now())
			return
		case errors.Is(err, peerrpc.ErrNotRunning):
			// A process that starts there now gets no permission without learning of
			// the claim.
			confirmed(start)
			return
		}
		if !sleep(ctx, changePoll) {
			return
		}
	}
}

// Confirm answers the holder of a change once this instance has stopped using
// earlier primaries.
func (c *Controller) Confirm(ctx context.Context, q *peerrpc.ConfirmRequest) (*peerrpc.ConfirmResponse, error) {
	done := make(chan uint64, 1)
	if err := c.do(ctx, func() {
		c.learnLeader(q.Record)
		c.publish()
		g := c.group(q.Record.Group)
		if g.confirmed >= q.Record.Version {
			done <- g.confirmed
			return
		}
		g.waiting = append(g.waiting, done)
	}); err != nil {
		return nil, err
	}
	select {
	case v := <-done:
		return &peerrpc.ConfirmResponse{Version: v}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Reach tries an endpoint for another instance.
func (c *Controller) Reach(_ context.Context, r *peerrpc.ReachRequest) (*peerrpc.ReachResponse, error) {
	return &peerrpc.ReachResponse{Reachable: c.Pool.Reachable(r.Endpoint, r.Addr)}, nil
}

// promote chooses a replica and promotes it.
func (ch *changeOf) promote(ctx context.Context) bool {
	c := ch.c
	var replicas []catalog.Endpoint
	var former catalog.Endpoint
	syncReplicas := 0
	if c.do(ctx, func() {
		for _, e := range c.listed {
			if e.Group == ch.old.Group && e.ID != ch.record.Former {
				replicas = append(replicas, e)
			}
		}
		former = c.last[ch.record.Former]
		syncReplicas = c.catalog.Groups[ch.old.Group].SyncReplicas
	}) != nil {
		return false
	}
	ask := stmt.Statement{Kind: stmt.Status}
	if syncReplicas > 0 {
		// Stopped replicas confirm no more commits of the old primary.
		ask = stmt.Statement{Kind: stmt.Pause, Term: ch.record.Term}
	}
	floor := ch.retire(ctx, former)
	candidates := ch.positions(ctx, replicas, ask, floor)
	before := takeover.HighestTerm(c.Pool.Term(ch.old.Group), candidates)
	for len(candidates) > 0 && ch.holds(ctx) {
		best, _ := takeover.Choose(candidates)
		call, cancel := context.WithTimeout(ctx, promoteTimeout)
		err := c.Promoter.Promote(call, ch.old.Group, best.Endpoint, ch.record.Version)
		cancel()
		c.Metrics.Count("promotions")
		c.Log.Info("control: promotion called", "group", string(ch.old.Group), "endpoint", string(best.Endpoint),
			"fence", ch.record.Version, "received", uint64(best.Received.Position), "received_term", uint64(best.Received.Term),
			"former_had", uint64(floor.Position), "error", errorText(err))
		switch {
		case err == nil:
			if ch.leads(ctx, replicas, best.Endpoint, before) {
				ch.record.Primary, ch.record.Settled = best.Endpoint, true
				return true
			}
		case c.Promoter.Refused(err):
			kept := candidates[:0]
			for _, o := range candidates {
				if o.Endpoint != best.Endpoint {
					kept = append(kept, o)
				}
			}
			candidates = kept
		}
		if !sleep(ctx, changePoll) {
			return false
		}
	}
	c.Log.Warn("control: change of primary failed", "group", string(ch.old.Group), "candidates", len(candidates))
	return false
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// retire demotes the old primary if it can be reached and returns the position
// that it had. In an unplanned change nothing waits for it.
func (ch *changeOf) retire(ctx context.Context, former catalog.Endpoint) fleet.LogPosition {
	if former.ID == "" {
		return fleet.LogPosition{}
	}
	demote := func() fleet.LogPosition {
		s, err := ch.c.command(former, stmt.Statement{Kind: stmt.Demote, Term: ch.record.Term})
		if err != nil {
			ch.c.Log.Info("control: old primary not demoted", "endpoint", string(former.ID), "error", err.Error())
			return fleet.LogPosition{}
		}
		ch.c.Log.Info("control: old primary demoted", "endpoint", string(former.ID), "position", uint64(s.Received.Position))
		return s.Received
	}
	if !ch.record.Planned {
		go demote()
		return fleet.LogPosition{}
	}
	// A demoted primary may stop sending its log, so the position is read first
	// and waited for.
	for deadline := ch.c.Clock.Now() + endpointCall; ch.c.Clock.Now() < deadline; {
		s, err := ch.c.command(former, stmt.Statement{Kind: stmt.Status})
		if err == nil {
			go demote()
			return s.Received
		}
		if !sleep(ctx, changePoll) {
			break
		}
	}
	go demote()
	return fleet.LogPosition{}
}

// positions asks the replicas for their positions. It waits for one to have
// floor, and a moment for the rest.
func (ch *changeOf) positions(ctx context.Context, replicas []catalog.Endpoint, ask stmt.Statement, floor fleet.LogPosition) []takeover.Candidate {
	c := ch.c
	var mu sync.Mutex
	found := map[fleet.EndpointID]takeover.Candidate{}
	query, cancel := context.WithTimeout(ctx, catchUp)
	defer cancel()
	for _, e := range replicas {
		go func() {
			for query.Err() == nil {
				s, err := c.command(e, ask)
				if err == nil {
					mu.Lock()
					found[e.ID] = takeover.Candidate{Endpoint: e.ID, Received: s.Received, Term: max(s.Term, s.Received.Term),
						Leaving: e.Leaving, Suspect: s.Primary || e.ID == ch.old.Former, SameDataCentre: e.DataCentre == c.Self.DataCentre}
					mu.Unlock()
					if floor.Max(s.Received) == s.Received {
						return
					}
				}
				if !sleep(query, changePoll) {
					return
				}
			}
		}()
	}
	start := c.Clock.Now()
	for {
		mu.Lock()
		all := make([]takeover.Candidate, 0, len(replicas))
		reached := false
		for _, k := range found {
			all = append(all, k)
			reached = reached || floor.Max(k.Received) == k.Received && !k.Leaving
		}
		mu.Unlock()
		waited := c.Clock.Now() - start
		switch {
		case reached && (len(all) == len(replicas) || waited >= stateWait),
			len(all) > 0 && waited >= catchUp-changePoll:
			return all
		case len(all) == 0 && waited >= stateLimit:
			// None answers; any may be promoted rather than none.
			for _, e := range replicas {
				all = append(all, takeover.Candidate{Endpoint: e.ID, Leaving: e.Leaving, SameDataCentre: e.DataCentre == c.Self.DataCentre})
			}
			return all
		}
		if !sleep(ctx, changePoll/2) {
			return nil
		}
	}
}

// leads waits until the promoted endpoint is the primary of a new term.
func (ch *changeOf) leads(ctx context.Context, replicas []catalog.Endpoint, id fleet.EndpointID, before fleet.Term) bool {
	c := ch.c
	i := slices.IndexFunc(replicas, func(e catalog.Endpoint) bool { return e.ID == id })
	var w pool.RawConn
	defer func() {
		if w != nil {
			w.Close()
		}
	}()
	for ch.holds(ctx) {
		var err error
		if w == nil {
			if w, _, err = c.Dialer.Open(replicas[i], c.systemAccount()); err != nil {
				w = nil
			}
		}
		if w != nil {
			var answers []stmt.Answer
			var s stmt.EndpointState
			if answers, err = w.Do(time.Now().Add(endpointCall), nil, stmt.Statement{Kind: stmt.Status}); err == nil {
				s, _ = c.Schema.DecodeState(answers[0]) // a refusal is no leadership; it is asked again
			} else {
				w.Close()
				w = nil
			}
			if takeover.HasTakenOver(s, before) {
				c.Log.Info("control: new primary leads", "group", string(ch.old.Group), "endpoint", string(id),
					"term", uint64(s.Term), "after_ms", (c.Clock.Now() - ch.start).Milliseconds())
				return true
			}
		}
		if !sleep(ctx, changePoll) {
			return false
		}
	}
	return false
}

// settle announces the new primary to the others and stores it.
func (ch *changeOf) settle(ctx context.Context) {
	c := ch.c
	if c.do(ctx, func() { c.learnLeader(ch.record); c.publish() }) != nil {
		return
	}
	for _, p := range c.peerList(ctx) {
		go func() {
			call, cancel := context.WithTimeout(ctx, confirmTimeout)
			defer cancel()
			if _, err := p.client.Confirm(call, &peerrpc.ConfirmRequest{Record: ch.record}); err != nil {
				c.Metrics.Count("exchange_failures")
			}
		}()
	}
	row, err := ch.row(ch.record)
	if err != nil {
		c.Log.Warn("control: cannot encode a record", "error", err.Error())
		return
	}
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, claimTimeout)
		version, err := c.Store.Apply(call, kvstore.Transaction{Require: []kvstore.Row{row}, Put: []kvstore.Row{row}})
		cancel()
		if err == nil {
			c.Log.Info("control: change of primary complete", "group", string(ch.old.Group), "primary", string(ch.record.Primary),
				"version", version, "took_ms", (c.Clock.Now() - ch.start).Milliseconds())
			return
		}
		if errors.Is(err, kvstore.ErrConflict) {
			// Stored by a call whose answer was lost, or taken over.
			return
		}
		if !sleep(ctx, 5*changePoll) {
			return
		}
	}
}

// systemAccount is the account that the system's own connections name; an
// endpoint needs one that exists.
func (c *Controller) systemAccount() fleet.AccountID {
	v := c.View()
	first := fleet.AccountID("")
	if v.Catalog != nil {
		for id := range v.Catalog.Accounts {
			if first == "" || id < first {
				first = id
			}
		}
	}
	return first
}

// command runs one of the system's own statements at an endpoint, on a
// connection of its own.
func (c *Controller) command(e catalog.Endpoint, s stmt.Statement) (stmt.EndpointState, error) {
	w, _, err := c.Dialer.Open(e, c.systemAccount())
	if err != nil {
		return stmt.EndpointState{}, err
	}
	defer w.Close()
	answers, err := w.Do(time.Now().Add(endpointCall), nil, s)
	if err != nil {
		return stmt.EndpointState{}, err
	}
	return c.Schema.DecodeState(answers[0])
}
