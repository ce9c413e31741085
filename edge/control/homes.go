package control

import (
	"context"
	"fmt"
	"time"

	"github.com/vanillahinge/vanillahinge/core/ratelimit"
	"github.com/vanillahinge/vanillahinge/core/relay"
	"github.com/vanillahinge/vanillahinge/edge/peerrpc"
)

// serving reports whether this instance may be the home of accounts.
func (c *Controller) serving() bool { return c.Ready() && !c.leaving }

// Grant serves the call of another instance for tokens of a client account whose
// home is this instance.
func (c *Controller) Grant(ctx context.Context, req *peerrpc.GrantRequest) (*peerrpc.GrantResponse, error) {
	if c.stopping.Load() {
		return &peerrpc.GrantResponse{Leaving: true}, nil
	}
	if req.Endpoint != "" {
		return c.cold.grant(req), nil
	}
	var known *ratelimit.Level
	if k := req.KnownLevel; k != nil {
		known = &ratelimit.Level{Tokens: k.Tokens, Age: time.Duration(max(0, k.AgeMS)) * time.Millisecond}
	}
	for {
		r, status := c.Limiter.Grant(req.Account, req.RequestedTokens, known)
		switch status {
		case ratelimit.Granted:
			return &peerrpc.GrantResponse{Tokens: r.Granted, RetryMS: r.RetryAfter.Milliseconds(), Level: r.Level, TotalRate: r.TotalRate}, nil
		case ratelimit.UnknownAccount:
			if !c.Limiter.started() && sleep(ctx, settlePollInterval) {
				continue
			}
			return nil, fmt.Errorf("control: the limits of account %q are not known here; ask again after the next change of the configuration", req.Account)
		case ratelimit.Settling:
			if !sleep(ctx, settlePollInterval) {
				return nil, ctx.Err()
			}
		case ratelimit.NotHome:
			if !c.Limiter.started() && sleep(ctx, settlePollInterval) {
				continue
			}
			return &peerrpc.GrantResponse{NotHome: true}, nil
		}
	}
}

// settlePollInterval is how often a request for tokens is repeated while this instance
// starts or has just become the home.
const settlePollInterval = 10 * time.Millisecond

// Leave serves the call of an instance that shuts down or is no longer the home of
// some accounts, and takes over the tokens that it hands on.
func (c *Controller) Leave(ctx context.Context, req *peerrpc.LeaveRequest) (*peerrpc.LeaveResponse, error) {
	err := c.runInLoop(ctx, func() {
		if p := c.peers[req.From]; p != nil && req.Leaving {
			p.awayUntil = c.Clock.Now() + awayTime
			c.assignHomes()
		}
		c.Limiter.AddTokens(req.Tokens)
		c.cold.addTokens(req.ColdTokens)
	})
	return &peerrpc.LeaveResponse{}, err
}

// HandOffAccounts makes other instances the homes of the client accounts whose home
// is this instance, and tells them that it leaves.
func (c *Controller) HandOffAccounts(ctx context.Context) {
	if c.runInLoop(ctx, func() {
		c.leaving = true
		c.stopping.Store(true)
		c.assignHomes()
	}) != nil {
		return
	}
	c.repollNow()
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
	for p, tokens := range c.Limiter.assignHomes(now, c.Self.ID, c.inContact(now), c.memberStates(now), c.peers) {
		c.sendLeave(p, &peerrpc.LeaveRequest{From: c.Self.ID, Leaving: c.leaving, Tokens: tokens})
	}
	validUntil := time.Duration(0)
	if c.hasContact {
		validUntil = c.contact + relay.ContactFor
	}
	for p, tokens := range c.cold.assignHomes(now, validUntil, c.Self.ID, c.memberStates(now), c.peers) {
		c.sendLeave(p, &peerrpc.LeaveRequest{From: c.Self.ID, Leaving: c.leaving, ColdTokens: tokens})
	}
}

// handleHomeDown records that a home cannot be called or is leaving, and assigns the homes
// again.
func (c *Controller) handleHomeDown(p *peer) {
	call, cancel := context.WithTimeout(context.Background(), peerCallTimeout)
	defer cancel()
	if c.runInLoop(call, func() {
		c.markDown(p)
	}) != nil {
		c.Metrics.Count("control_busy")
	}
}
