// Package route classifies statements and chooses the endpoint for each of
// them: a replica that covers the session's floor, a short wait for one, or
// the primary.
//
// Use: call Classify for every simple query and every Parse message. Refuse
// the statement when Refusal is set. Keep the transaction state from BEGIN,
// COMMIT and ReadyForQuery. Outside a transaction block, and at the first
// statement of one, fill a Request and call Choose:
//
//	d := route.Choose(now, cfg, &req)
//	switch d.Action {
//	case route.Use:         // d.Endpoint; a read-only connection if d.ReadOnly
//	case route.Wait:        // until a new view or for d.Wait, then Choose again
//	case route.Unavailable: // outcome.Unavailable, not run
//	}
//
// When d.Confirm is set the answer is held until another endpoint has
// confirmed the term with a request that began after the read ended; then the
// session's floor is the position that the primary reported. A read that
// fails with 25006 did not run; call Choose again with Write set.
//
// Choose doesn't allocate and keeps nothing between calls.
package route

import (
	"time"

	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/snapshot"
)

// Config holds the settings of routing.
type Config struct {
	// DataCentre is that of this instance.
	DataCentre fleet.DataCentre
	// PreferDataCentre prefers replicas in the same data centre when they
	// have less than one request more in flight than the best one.
	PreferDataCentre bool
	// PrimaryOnly sends every read to the primary; the baseline for
	// measuring what replica reads bring.
	PrimaryOnly bool
	// MaxWait bounds the wait for a replica; 0 means DefaultMaxWait.
	MaxWait time.Duration
	// IgnoreFloor treats every replica as covering every floor. It breaks
	// read-your-writes and exists so that a test can show that it does.
	IgnoreFloor bool
}

// DefaultMaxWait is the longest wait for a replica.
const DefaultMaxWait = 20 * time.Millisecond

// Request describes one statement or transaction to place.
type Request struct {
	Group *snapshot.Group
	// Write is set for writes and read-write transactions.
	Write bool
	// Floor is the session's floor for the group; FloorKnown is false when
	// the session has none.
	Floor      fleet.LogPosition
	FloorKnown bool
	// FloorObservedAt is when this instance saw the floor come into being; the zero
	// time when the floor came from a token.
	FloorObservedAt time.Time
	// MaxAge bounds the proved age of a replica; 0 means no bound.
	// MaxAgeSet is set when the session itself set vh.max_age.
	MaxAge    time.Duration
	MaxAgeSet bool
	// InFlight has the requests in flight per endpoint from this instance,
	// in the order of Group.Endpoints; missing ones count as 0. It may be a
	// smoothed value.
	InFlight []float64
	// Avoid marks endpoints that failed an earlier attempt, by index.
	Avoid uint64
	// PrimaryLatency is the observed latency of a read at the primary.
	PrimaryLatency time.Duration
	// Waited is how long the statement has waited for a replica so far.
	Waited time.Duration
	// TieBreaker spreads choices among equal endpoints; any counter will do.
	TieBreaker uint32
}

// Action is what to do with a statement.
type Action uint8

// The actions.
const (
	Use Action = iota
	Wait
	Unavailable
)

// Decision is the outcome of Choose.
type Decision struct {
	Action Action
	// Endpoint is set with Use.
	Endpoint *snapshot.Endpoint
	// Primary is set when Endpoint is the primary.
	Primary bool
	// ReadOnly is set when a read-only connection must be used.
	ReadOnly bool
	// Confirm is set when the answer needs a confirmation of the term.
	Confirm bool
	// Wait is the time after which to choose again.
	Wait time.Duration
	// Rule is the short name of the rule that decided.
	Rule string
}

// Bounds of what the view says of a replica.
const (
	// StatusTimeout is the age of a status at which a replica is no longer
	// used; endpoints repeat their status every StatusInterval.
	StatusTimeout  = time.Second
	StatusInterval = 100 * time.Millisecond
)

// Choose places one statement.
func Choose(now time.Time, cfg *Config, req *Request) Decision {
	g := req.Group
	if g == nil {
		return Decision{Action: Unavailable, Rule: "unknown-group"}
	}
	maxWait := cfg.MaxWait
	if maxWait == 0 {
		maxWait = DefaultMaxWait
	}
	// A session with an unknown floor may read at a replica only when it has
	// said itself which age it accepts.
	if !req.Write && !cfg.PrimaryOnly && (req.FloorKnown || req.MaxAgeSet) {
		if ep := pickReplica(now, cfg, req); ep != nil {
			return Decision{Endpoint: ep, ReadOnly: true, Rule: "replica"}
		}
		left := min(maxWait, req.PrimaryLatency) - req.Waited
		if left > 0 && replicaExpected(now, cfg, req, left) {
			return Decision{Action: Wait, Wait: left, Rule: "replica-expected"}
		}
	}
	if g.Primary == "" {
		return Decision{Action: Unavailable, Rule: "no-primary"}
	}
	if req.FloorKnown && req.Floor.Term > g.Term && !cfg.IgnoreFloor {
		// This view is older than the session: what it calls the primary
		// may lack the session's writes.
		if left := maxWait - req.Waited; left > 0 {
			return Decision{Action: Wait, Wait: left, Rule: "view-behind-floor"}
		}
		return Decision{Action: Unavailable, Rule: "view-behind-floor"}
	}
	for _, ep := range g.Endpoints {
		if ep.ID == g.Primary {
			// An age can't be proved by a primary that may have been replaced.
			return Decision{Endpoint: ep, Primary: true, Rule: "primary", ReadOnly: !req.Write,
				Confirm: !req.Write && (!req.FloorKnown || req.MaxAge > 0)}
		}
	}
	return Decision{Action: Unavailable, Rule: "no-primary"}
}

// usable reports whether endpoint i is a replica that takes new work.
func usable(now time.Time, req *Request, i int) bool {
	ep := req.Group.Endpoints[i]
	return ep.ID != req.Group.Primary && !ep.Leaving && !ep.Status.Joining &&
		ep.Status.Role != fleet.RolePrimary && (i >= 64 || req.Avoid&(1<<i) == 0) &&
		!ep.Seen.IsZero() && now.Sub(ep.Seen) <= StatusTimeout
}

func covers(cfg *Config, req *Request, ep *snapshot.Endpoint) bool {
	return cfg.IgnoreFloor || !req.FloorKnown || ep.Status.HasApplied(req.Floor)
}

func withinMaxAge(now time.Time, req *Request, ep *snapshot.Endpoint) bool {
	return req.MaxAge == 0 || !ep.CaughtUp.IsZero() && now.Sub(ep.CaughtUp) <= req.MaxAge
}

// pickReplica returns the eligible replica with the fewest requests in
// flight, or nil.
func pickReplica(now time.Time, cfg *Config, req *Request) *snapshot.Endpoint {
	eps := req.Group.Endpoints
	load := func(i int) float64 {
		if i < len(req.InFlight) {
			return req.InFlight[i]
		}
		return 0
	}
	best, local := -1, -1
	// The k-th of equal candidates replaces the earlier ones for every k-th
	// Tie, so each is chosen equally often.
	var bestTies, localTies uint32
	for i, ep := range eps {
		if !usable(now, req, i) || !covers(cfg, req, ep) || !withinMaxAge(now, req, ep) {
			continue
		}
		if best < 0 || load(i) < load(best) {
			best, bestTies = i, 1
		} else if load(i) == load(best) {
			if bestTies++; req.TieBreaker%bestTies == 0 {
				best = i
			}
		}
		if ep.DataCentre != cfg.DataCentre {
			continue
		}
		if local < 0 || load(i) < load(local) {
			local, localTies = i, 1
		} else if load(i) == load(local) {
			if localTies++; req.TieBreaker%localTies == 0 {
				local = i
			}
		}
	}
	switch {
	case best < 0:
		return nil
	case cfg.PreferDataCentre && local >= 0 && load(local)-load(best) < 1:
		return eps[local]
	}
	return eps[best]
}

// replicaExpected reports whether a replica should become eligible within left. A
// replica's lag is taken to stay what it was at its last status.
func replicaExpected(now time.Time, cfg *Config, req *Request, left time.Duration) bool {
	for i, ep := range req.Group.Endpoints {
		if !usable(now, req, i) || ep.CaughtUp.IsZero() {
			continue
		}
		lag := max(ep.Seen.Sub(ep.CaughtUp), 0)
		var in time.Duration
		if !covers(cfg, req, ep) {
			switch {
			case !req.FloorObservedAt.IsZero():
				in = req.FloorObservedAt.Add(lag).Sub(now)
			case ep.Status.LastLogTerm < req.Floor.Term || ep.Status.Received < req.Floor.Position:
				in = lag
			}
		}
		if !withinMaxAge(now, req, ep) {
			if lag > req.MaxAge {
				continue
			}
			in = max(in, ep.Seen.Add(StatusInterval).Sub(now))
		}
		if in <= left {
			return true
		}
	}
	return false
}
