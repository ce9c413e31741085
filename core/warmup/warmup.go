// Package warmup finds the load that a fresh or recovered endpoint can carry. A Ramp
// limits the statements that one instance has in flight at such an endpoint, and follows
// how the endpoint answers.
//
// The limit starts at 1. Each good answer raises it by one, so that it doubles with every
// round of answers and an endpoint that is as fast as the others has all its slots after
// three rounds. An endpoint that is slower than its siblings for a reason other than its
// load, for example because its caches are empty, is given more only while statements
// wait that nobody else can take. An endpoint that answers several times slower than its
// siblings and slower than it did under less load, that refuses or that loses answers is
// overloaded, and its limit is halved.
package warmup

import (
	"math"
	"time"
)

const (
	// smoothingWeight is the weight of a new answer in the averages. It is larger than that of
	// package dispatch, since a ramp has to decide after a few answers.
	smoothingWeight = 0.2
	// goodRatio is up to how many times the siblings' time a good answer takes. Service
	// times vary by a factor of 1.5 to 2 at an endpoint without faults.
	goodRatio = 2
	// overloadRatio is how many times the siblings' time an overloaded endpoint takes, and
	// loadRatio how many times its own time under less load.
	overloadRatio = 3
	loadRatio     = 2.2
	// stepDownInterval is the least time between two reductions: about the time until a
	// reduction shows in the answers.
	stepDownInterval = 60 * time.Millisecond
	// improvement is the factor by which the slowdown has to fall to count as an
	// improvement, and settleTime for how long there has to be none for the slowness to count
	// as permanent. It is longer than a pause between two answers under little load.
	improvement = 0.9
	settleTime  = 3 * time.Second
	// goodAnswersToEnd is how many consecutive good answers end a ramp whose limit the
	// demand does not reach.
	goodAnswersToEnd = 32
	// maxDuration bounds a ramp. After it the limit of package dispatch alone applies.
	maxDuration = 60 * time.Second
)

// Cause is the reason for a ramp as logs name it.
type Cause string

// The causes.
const (
	New        Cause = "new"
	Restarted  Cause = "restarted"
	Reachable  Cause = "reachable_again"
	Responsive Cause = "responsive_again"
	RolledBack Cause = "rolled_back"
	Promoted   Cause = "promoted"
	Readmitted Cause = "evacuation_ended"
)

// End is the reason for the end of a ramp as logs name it.
type End string

// The ends. Running means that the ramp goes on.
const (
	Running  End = ""
	KeepsUp  End = "keeps_up"
	Settled  End = "stopped_improving"
	TimedOut End = "time_limit"
)

// Answer is an answer to a statement.
type Answer struct {
	// Slowdown is the time taken as a multiple of the estimated service time of the kind of
	// statement.
	Slowdown float64
	// Siblings is the mean slowdown of the other endpoints of the group; 0 if they have not
	// answered recently.
	Siblings float64
	// InFlight is the number of statements that were in flight at the endpoint, the
	// answered one included.
	InFlight int
	// Waiting is set if statements of the group wait for an endpoint.
	Waiting bool
}

// Ramp limits the statements in flight at one endpoint.
type Ramp struct {
	cause Cause
	began time.Duration
	// full is the limit at which the ramp ends.
	full  int
	limit float64
	// slowdown is the moving average of the answers, 0 before the first. base is the least
	// one since the ramp began.
	slowdown, base float64
	lastStepDown   time.Duration
	steppedDown    bool
	// good counts the consecutive good answers, and atFull those of them with the full
	// limit in use.
	good, atFull int
	// improved is when the slowdown last fell by the factor improvement to best, or the
	// limit last rose above highest.
	improved      time.Duration
	best, highest float64
	stepsDown     int
}

// Begin returns a ramp that begins now, for an endpoint at which the instance may have full
// statements in flight after it.
func Begin(now time.Duration, c Cause, full int) *Ramp {
	return &Ramp{cause: c, began: now, full: max(1, full), limit: 1, highest: 1, improved: now}
}

// Cause returns the reason for the ramp.
func (r *Ramp) Cause() Cause { return r.cause }

// Began returns when the ramp began.
func (r *Ramp) Began() time.Duration { return r.began }

// StepsDown returns how often the limit was reduced.
func (r *Ramp) StepsDown() int { return r.stepsDown }

// SetFull changes the limit at which the ramp ends.
func (r *Ramp) SetFull(n int) { r.full = max(1, n) }

// Limit returns the number of statements that may be in flight. It is at least 1.
func (r *Ramp) Limit() int { return max(1, min(r.full, int(r.limit))) }

// RecordAnswer adapts the limit to an answer, and reports whether the ramp ends.
func (r *Ramp) RecordAnswer(now time.Duration, a Answer) End {
	if r.slowdown == 0 {
		// Without answers nothing is known about whether they improve.
		r.slowdown, r.base, r.best, r.improved = a.Slowdown, a.Slowdown, a.Slowdown, now
	}
	r.slowdown += smoothingWeight * (a.Slowdown - r.slowdown)
	r.base = math.Min(r.base, r.slowdown)
	ratio := 1.0 // the endpoint counts as no slower than siblings that nobody knows
	if a.Siblings > 0 {
		ratio = r.slowdown / a.Siblings
	}
	loaded := r.slowdown > loadRatio*r.base
	switch {
	case loaded && (ratio > overloadRatio || a.Siblings == 0 && r.slowdown > overloadRatio*r.base):
		r.stepDown(now)
	case ratio <= goodRatio:
		r.good++
		// An answer under little load says nothing about a higher one.
		if 2*a.InFlight >= r.Limit() {
			r.raise(now, 1)
		}
		if r.limit >= float64(r.full) && a.InFlight >= r.full {
			r.atFull++
		}
	default:
		r.good, r.atFull = 0, 0
		if a.Waiting && !loaded && a.InFlight >= r.Limit() {
			r.raise(now, 1/r.limit)
		}
	}
	if r.slowdown < improvement*r.best {
		r.best, r.improved = r.slowdown, now
	}
	switch {
	case r.atFull >= r.full, r.good >= goodAnswersToEnd:
		return KeepsUp
	case now >= r.improved+settleTime && now >= r.lastStepDown+settleTime:
		return Settled
	}
	return r.Expired(now)
}

// Expired reports whether the ramp has reached its greatest duration.
func (r *Ramp) Expired(now time.Duration) End {
	if now >= r.began+maxDuration {
		return TimedOut
	}
	return Running
}

// RecordFailure records that the endpoint refused a statement or did not answer it.
func (r *Ramp) RecordFailure(now time.Duration) { r.stepDown(now) }

func (r *Ramp) raise(now time.Duration, by float64) {
	r.limit = math.Min(float64(r.full), r.limit+by)
	if r.limit > r.highest {
		r.highest, r.improved = r.limit, now
	}
}

func (r *Ramp) stepDown(now time.Duration) {
	r.good, r.atFull = 0, 0
	if r.steppedDown && now < r.lastStepDown+stepDownInterval {
		return
	}
	r.limit, r.lastStepDown, r.steppedDown = math.Max(1, r.limit/2), now, true
	r.stepsDown++
}
