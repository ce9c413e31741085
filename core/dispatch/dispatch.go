// Package dispatch chooses the endpoint for a statement, limits what is in
// flight at each endpoint, and decides which waiting statement goes next and
// which is refused.
//
// The load it answers: a few endpoints with a few slots each, shared by all
// instances, whose own queue is first come, first served. Statements beyond
// the limit wait here, where their urgency is known, and are refused as soon
// as they can no longer be answered in time.
package dispatch

import (
	"math"
	"time"
)

const (
	// gain is the weight of a new sample in the smoothed slowdown: it follows a
	// slow endpoint within about ten answers.
	gain = 0.15
	// forget is the time constant with which an endpoint's slowdown returns to
	// normal without samples, so that a recovered endpoint is tried again.
	forget = 1500 * time.Millisecond
	// congested and calm are the slowdowns at which the limit shrinks and may
	// grow. The typical time is a low quantile, so an idle endpoint shows 1.5
	// to 2.
	congested = 5.0
	calm      = 3.0
	// cutPause is the least time between two cuts of a limit, about the time
	// in which a cut shows in the answers.
	cutPause = 60 * time.Millisecond
)

// ServiceTime estimates the time that a kind of statement takes at an endpoint with
// free slots.
type ServiceTime struct{ typical time.Duration }

// startWork is the estimate before the first answer, about the mean of the
// deployments known.
const startWork = 15 * time.Millisecond

// Estimate returns the estimate.
func (w *ServiceTime) Estimate() time.Duration {
	if w.typical == 0 {
		return startWork
	}
	return w.typical
}

// Observe records how long a statement took. The estimate follows a low
// quantile: it falls five times as fast as it rises, so that queueing at the
// endpoints does not pass for work.
func (w *ServiceTime) Observe(took time.Duration) {
	t := w.Estimate()
	if took < t {
		t -= (t - took) / 20
	} else {
		t += min(took-t, 4*t) / 100
	}
	w.typical = max(t, 100*time.Microsecond)
}

// MaxInFlight returns how many statements may be in flight from one of several
// instances at an endpoint: together about four times its slots, so that the
// endpoint's own first come, first served queue stays short, and from one
// instance no more than keep its slots busy.
func MaxInFlight(slots, members int) int {
	return min(max(2, (4*slots+members-1)/max(1, members)+1), slots+1)
}

// EndpointLoad is what is known of one endpoint.
type EndpointLoad struct {
	// InFlight counts this instance's statements at the endpoint.
	InFlight int
	limit    float64
	ceiling  int
	slowdown float64
	// failing is the smoothed share of statements that failed, or whose answer
	// was lost.
	failing float64
	sampled time.Duration
	cut     time.Duration
}

// NewEndpointLoad returns the load of an endpoint with the given number of slots, of
// which at most ceiling statements may be in flight from here.
func NewEndpointLoad(slots, ceiling int) *EndpointLoad {
	l := &EndpointLoad{limit: float64(max(1, slots)), slowdown: 1.5}
	l.SetMaxInFlight(ceiling)
	return l
}

// SetMaxInFlight changes the ceiling.
func (l *EndpointLoad) SetMaxInFlight(n int) {
	l.ceiling = max(1, n)
	l.limit = math.Min(l.limit, float64(l.ceiling))
}

// HasCapacity reports whether another statement may be sent.
func (l *EndpointLoad) HasCapacity() bool { return l.InFlight < int(l.limit) }

// Limit returns how many statements may be in flight.
func (l *EndpointLoad) Limit() int { return int(l.limit) }

// Slowdown returns how much longer than typical the endpoint takes.
func (l *EndpointLoad) Slowdown(now time.Duration) float64 {
	idle := (now - l.sampled).Seconds() / forget.Seconds()
	return 1.5 + (l.slowdown-1.5)*math.Exp(-math.Max(0, idle))
}

// RecordFailure records that a statement failed at the endpoint, or that its answer was
// lost. Only the order of the endpoints changes: a caller whose statements fail must not take an
// endpoint's room from the others.
func (l *EndpointLoad) RecordFailure(now time.Duration) {
	l.slowdown, l.failing = l.Slowdown(now), l.FailureRate(now)*(1-gain)+gain
	l.sampled = now
}

// FailureRate returns the share of statements that fail; without news it falls as
// the slowdown does.
func (l *EndpointLoad) FailureRate(now time.Duration) float64 {
	return l.failing * math.Exp(-math.Max(0, (now-l.sampled).Seconds()/forget.Seconds()))
}

// RecordAnswer records an answer that took the given time for a statement of the
// given typical time.
func (l *EndpointLoad) RecordAnswer(now, took, typical time.Duration) {
	s := math.Min(float64(took)/float64(typical), 50)
	l.slowdown = l.Slowdown(now)*(1-gain) + s*gain
	l.failing = l.FailureRate(now) * (1 - gain)
	l.sampled = now
	switch {
	case l.slowdown > congested && now >= l.cut+cutPause:
		l.limit = math.Max(1, l.limit-1)
		l.cut = now
	case l.slowdown < calm && l.InFlight >= int(l.limit)-1:
		l.limit = math.Min(float64(l.ceiling), l.limit+1/l.limit)
	}
}

// RecordRejection records that the endpoint refused a statement for lack of room, or
// did not answer.
func (l *EndpointLoad) RecordRejection(now time.Duration) {
	if now >= l.cut+cutPause {
		l.limit = math.Max(1, l.limit/2)
		l.cut = now
	}
	l.slowdown, l.failing = math.Min(20, math.Max(l.Slowdown(now)*1.3, congested)), l.FailureRate(now)
	l.sampled = now
}

// maxFailing bounds the share of failures in Expected, which then counts an
// endpoint that fails everything as 20 times as slow.
const maxFailing = 0.95

// ExpectedLatency returns when a statement sent now would be answered, counting that
// what fails has to be repeated: an endpoint that fails at once would otherwise
// seem the fastest and draw all statements.
func (l *EndpointLoad) ExpectedLatency(now, typical, distance time.Duration, slots int) time.Duration {
	queue := 1 + float64(l.InFlight)/float64(max(1, slots))
	repeats := 1 / (1 - math.Min(l.FailureRate(now), maxFailing))
	return 2*distance + time.Duration(float64(typical)*l.Slowdown(now)*queue*repeats)
}

// Waiter is a statement that waits for an endpoint.
type Waiter struct {
	// Priority orders waiters; 0 goes first.
	Priority int
	// AccountInFlight is the number of statements that the waiter's client account has in
	// flight or was given lately; the account with the fewest goes first among
	// equals.
	AccountInFlight float64
	// Arrived is when the waiter arrived.
	Arrived time.Duration
	// LatestStart is the last moment at which starting is of use.
	LatestStart time.Duration
}

// Before reports whether a goes before b. Statements that continue what
// callers have begun carry priority -1.
func (a Waiter) Before(b Waiter) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	if math.Abs(a.AccountInFlight-b.AccountInFlight) >= 1 {
		return a.AccountInFlight < b.AccountInFlight
	}
	return a.Arrived < b.Arrived
}

// CannotStartInTime reports whether a statement that would find ahead others waiting
// before it cannot start by latest: each of room concurrent statements takes
// about expected.
func CannotStartInTime(now, latest, expected time.Duration, ahead, room int) bool {
	wait := time.Duration(float64(expected) * float64(ahead) / float64(max(1, room)))
	return now+wait > latest
}
