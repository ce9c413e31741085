package pool

import (
	"time"

	"github.com/vanillahinge/vanillahinge/core/admitqueue"
)

const (
	// idleShare is the share of the time for which a transaction may be idle after which
	// it may be ended if another statement needs its connection, and minIdle the least time:
	// several times what callers usually take between two statements.
	idleShare = 0.25
	minIdle   = 250 * time.Millisecond
)

// idleBound returns how long the caller of a transaction may be idle while the connections
// of the endpoint are exhausted.
func (p *Pool) idleBound() time.Duration {
	if p.view.Catalog == nil {
		return minIdle
	}
	return max(minIdle, time.Duration(idleShare*float64(p.view.Catalog.TransactionIdleTimeout)))
}

// endIdle ends the transaction whose caller has been idle for longest at an endpoint of
// the group whose connections are exhausted while a statement waits that it has capacity
// for. It reports whether it ended one. Closing the connection rolls the transaction back.
func (q *shareQueue) endIdle(now time.Duration) bool {
	p := q.pool
	primary, usable := p.usablePrimary(q.group, now)
	for _, e := range p.view.Endpoints[q.group] {
		s := p.endpoints[e.ID]
		if s == nil || s.unreachable || !s.load.HasCapacity() || len(s.idle) > 0 || s.open < s.maxOpen(now) {
			continue
		}
		isPrimary := usable && s.ID == primary
		if !q.waiting.Any(func(it *admitqueue.Item[*waiter]) bool {
			r := &it.Value.req
			return p.exclusion(s, r, isPrimary, now) == eligible && p.hasRoom(s, r, now)
		}) {
			continue
		}
		var longest *Conn
		for c := range s.inUse {
			if !c.active && c.RawConn != nil && now >= c.idleSince+p.idleBound() && (longest == nil || c.idleSince < longest.idleSince) {
				longest = c
			}
		}
		if longest != nil {
			p.endTransaction(longest, now)
			return true
		}
	}
	return false
}

func (p *Pool) endTransaction(c *Conn, now time.Duration) {
	s := c.endpoint
	c.ended = true
	c.RawConn.Close()
	delete(s.inUse, c)
	s.open--
	p.metrics.Count(`transactions_ended_idle{account="` + string(c.account) + `"}`)
	p.log.Info("pool: idle transaction ended, its connection is needed", "endpoint", string(s.ID), "account", string(c.account),
		"idle_ms", (now - c.idleSince).Milliseconds(), "open", s.open+1)
}
