// Package route classifies SQL statements and selects an endpoint for each:
// a replica that has applied the session's floor, a short wait for such a
// replica, or the primary. The floor of a session is the minimum log position
// that its reads must see.
//
// Call Classify for every simple query and every Parse message, and reject
// the statement if Refusal is set. Track the transaction state from BEGIN,
// COMMIT and ReadyForQuery. Outside a transaction block, and for the first
// statement of one, fill in a Request and call Choose:
//
//	d := route.Choose(now, cfg, &req)
//	switch d.Action {
//	case route.Use:         // d.Endpoint; a read-only connection if d.ReadOnly
//	case route.Wait:        // wait for a new snapshot, at most d.Wait, then call Choose again
//	case route.Unavailable: // outcome.Unavailable; the statement did not run
//	}
//
// If d.Confirm is set, hold back the result until another endpoint has
// confirmed the term in reply to a request that was sent after the read
// ended. The session's floor is then the position reported by the primary.
// A read that fails with SQLSTATE 25006 (read_only_sql_transaction) did not
// run; call Choose again with Write set.
//
// Choose does not allocate and is stateless.
package route

import (
	"time"

	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/snapshot"
)

// Config holds the routing settings.
type Config struct {
	// DataCentre is the data centre of this instance.
	DataCentre fleet.DataCentre
	// PreferDataCentre prefers a replica in the same data centre as long as
	// it has less than one more request in flight than the least loaded one.
	PreferDataCentre bool
	// PrimaryOnly sends every read to the primary. It is the baseline for
	// measuring the benefit of replica reads.
	PrimaryOnly bool
	// MaxWait bounds the wait for a replica; 0 means DefaultMaxWait.
	MaxWait time.Duration
	// IgnoreFloor treats every replica as up to date with every floor. It
	// breaks read-your-writes; a test uses it to show that the violation is
	// detected.
	IgnoreFloor bool
}

// DefaultMaxWait is the default of Config.MaxWait.
const DefaultMaxWait = 20 * time.Millisecond

// Request describes one statement or transaction to route.
type Request struct {
	Group *snapshot.Group
	// Write is set for writes and read-write transactions.
	Write bool
	// Floor is the session's floor for the group; FloorKnown is false when
	// the session has none.
	Floor      fleet.LogPosition
	FloorKnown bool
	// FloorObservedAt is when this instance observed the write that set the
	// floor. It is zero if the floor came from a position token.
	FloorObservedAt time.Time
	// MaxAge bounds the proved staleness of a replica; 0 means no bound.
	// MaxAgeSet is true if the session itself set vh.max_age.
	MaxAge    time.Duration
	MaxAgeSet bool
	// InFlight is the number of requests that this instance has in flight at
	// each endpoint, in the order of Group.Endpoints. Missing entries count
	// as 0. The values may be smoothed.
	InFlight []float64
	// Avoid is a bit mask of endpoint indexes that failed an earlier attempt.
	Avoid uint64
	// PrimaryLatency is the observed latency of reads at the primary.
	PrimaryLatency time.Duration
	// Waited is how long the statement has already waited for a replica.
	Waited time.Duration
	// TieBreaker spreads requests over equally loaded endpoints; any counter
	// that grows with each request works.
	TieBreaker uint32
}

// Action tells the caller what to do with a statement.
type Action uint8

// The actions.
const (
	Use Action = iota
	Wait
	Unavailable
)

// Decision is the result of Choose.
type Decision struct {
	Action Action
	// Endpoint is set if Action is Use.
	Endpoint *snapshot.Endpoint
	// Primary is true if Endpoint is the primary.
	Primary bool
	// ReadOnly is true if a read-only connection must be used.
	ReadOnly bool
	// Confirm is true if the result may be returned only after the term has
	// been confirmed.
	Confirm bool
	// Wait is the maximum wait before Choose is called again.
	Wait time.Duration
	// Rule names the routing rule that applied.
	Rule string
}

const (
	// StatusTimeout is the maximum age of the last status of a replica that
	// is still used. Endpoints report their status every StatusInterval.
	StatusTimeout  = time.Second
	StatusInterval = 100 * time.Millisecond
)

// Choose selects the endpoint for one statement.
func Choose(now time.Time, cfg *Config, req *Request) Decision {
	g := req.Group
	if g == nil {
		return Decision{Action: Unavailable, Rule: "unknown-group"}
	}
	maxWait := cfg.MaxWait
	if maxWait == 0 {
		maxWait = DefaultMaxWait
	}
	// A session with an unknown floor may read from a replica only if it has
	// itself set the staleness that it accepts.
	if !req.Write && !cfg.PrimaryOnly && (req.FloorKnown || req.MaxAgeSet) {
		if ep := pickReplica(now, cfg, req); ep != nil {
			return Decision{Endpoint: ep, ReadOnly: true, Rule: "replica"}
		}
		remaining := min(maxWait, req.PrimaryLatency) - req.Waited
		if remaining > 0 && replicaExpected(now, cfg, req, remaining) {
			return Decision{Action: Wait, Wait: remaining, Rule: "replica-expected"}
		}
	}
	if g.Primary == "" {
		return Decision{Action: Unavailable, Rule: "no-primary"}
	}
	if req.FloorKnown && req.Floor.Term > g.Term && !cfg.IgnoreFloor {
		// The group snapshot is older than the session's floor: its primary
		// may have been replaced and lack the session's writes.
		if remaining := maxWait - req.Waited; remaining > 0 {
			return Decision{Action: Wait, Wait: remaining, Rule: "view-behind-floor"}
		}
		return Decision{Action: Unavailable, Rule: "view-behind-floor"}
	}
	for _, ep := range g.Endpoints {
		if ep.ID == g.Primary {
			// A primary that may have been replaced cannot prove a maximum
			// age, so reads with MaxAge need a confirmed term.
			return Decision{Endpoint: ep, Primary: true, Rule: "primary", ReadOnly: !req.Write,
				Confirm: !req.Write && (!req.FloorKnown || req.MaxAge > 0)}
		}
	}
	return Decision{Action: Unavailable, Rule: "no-primary"}
}

// usable reports whether endpoint i is a replica that accepts new statements
// and has a recent status.
func usable(now time.Time, req *Request, i int) bool {
	ep := req.Group.Endpoints[i]
	return ep.ID != req.Group.Primary && !ep.Leaving && !ep.Status.Joining &&
		ep.Status.Role != fleet.RolePrimary && (i >= 64 || req.Avoid&(1<<i) == 0) &&
		!ep.StatusAt.IsZero() && now.Sub(ep.StatusAt) <= StatusTimeout
}

// covers reports whether the replica has applied the session's floor.
func covers(cfg *Config, req *Request, ep *snapshot.Endpoint) bool {
	return cfg.IgnoreFloor || !req.FloorKnown || ep.Status.HasApplied(req.Floor)
}

// withinMaxAge reports whether the proved staleness of the replica is within
// the bound of the request.
func withinMaxAge(now time.Time, req *Request, ep *snapshot.Endpoint) bool {
	return req.MaxAge == 0 || !ep.AppliedAsOf.IsZero() && now.Sub(ep.AppliedAsOf) <= req.MaxAge
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
	// The k-th of equally loaded candidates replaces the earlier ones for
	// every k-th TieBreaker, so that all are chosen equally often.
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

// replicaExpected reports whether a replica is expected to become eligible
// within the given time, assuming that its lag has not changed since its last
// status.
func replicaExpected(now time.Time, cfg *Config, req *Request, within time.Duration) bool {
	for i, ep := range req.Group.Endpoints {
		if !usable(now, req, i) || ep.AppliedAsOf.IsZero() {
			continue
		}
		lag := max(ep.StatusAt.Sub(ep.AppliedAsOf), 0)
		var delay time.Duration
		if !covers(cfg, req, ep) {
			switch {
			case !req.FloorObservedAt.IsZero():
				delay = req.FloorObservedAt.Add(lag).Sub(now)
			case ep.Status.LastLogTerm < req.Floor.Term || ep.Status.Received < req.Floor.Position:
				delay = lag
			}
		}
		if !withinMaxAge(now, req, ep) {
			if lag > req.MaxAge {
				continue
			}
			delay = max(delay, ep.StatusAt.Add(StatusInterval).Sub(now))
		}
		if delay <= within {
			return true
		}
	}
	return false
}
