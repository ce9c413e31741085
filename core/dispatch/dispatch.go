// Package dispatch chooses the endpoint for a statement, limits what is in
// flight at each endpoint, and decides which waiting statement goes next and
// which is refused. Package admitqueue decides the latter two where overload
// control is on.
//
// It is designed for groups of a few endpoints with a few slots each, which all
// instances share and which serve their own queue in FIFO order. Statements
// beyond the limit therefore wait at the instance, where their priority and
// deadline are known, and are refused as soon as they cannot be answered in time.
package dispatch

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// smoothingWeight is the weight of a new sample in the moving averages of the
	// slowdown and the failure rate. They follow a slow endpoint within about ten
	// answers.
	smoothingWeight = 0.15
	// decayTime is the time constant with which an endpoint's slowdown returns to
	// that of an idle endpoint without samples, so that a recovered endpoint is
	// tried again.
	decayTime = 1500 * time.Millisecond
	// congestedSlowdown is the slowdown above which the concurrency limit shrinks,
	// relaxedSlowdown the one below which it may grow. Service times are estimated
	// by a low quantile, so the slowdown of an idle endpoint is 1.5 to 2.
	congestedSlowdown = 5.0
	relaxedSlowdown   = 3.0
	// minLimitReductionInterval is the least time between two reductions of a limit,
	// about the time until a reduction affects the answers.
	minLimitReductionInterval = 60 * time.Millisecond
)

// ServiceTime estimates how long statements of one kind take at an endpoint with
// free slots. The zero value is ready to use. Estimate may be called at any time, Observe by
// one caller at a time.
type ServiceTime struct{ estimate int64 }

// initialServiceTime is the estimate before the first answer. It is about the
// mean of the known deployments.
const initialServiceTime = 15 * time.Millisecond

// Estimate returns the current estimate.
func (s *ServiceTime) Estimate() time.Duration {
	if t := time.Duration(atomic.LoadInt64(&s.estimate)); t != 0 {
		return t
	}
	return initialServiceTime
}

// Observe records how long a statement took. The estimate follows a low quantile:
// it falls five times as fast as it rises, so that time spent in the queue of an
// endpoint is not taken for service time.
func (s *ServiceTime) Observe(took time.Duration) {
	t := s.Estimate()
	if took < t {
		t -= (t - took) / 20
	} else {
		t += min(took-t, 4*t) / 100
	}
	atomic.StoreInt64(&s.estimate, int64(max(t, 100*time.Microsecond)))
}

// TransactionWork estimates the service time of all statements of the transactions of a
// route together. The zero value is ready to use.
type TransactionWork struct{ mean time.Duration }

// transactionWeight is the weight of a transaction in the average. It follows a change of
// what callers do within tens of transactions.
const transactionWeight = 16

// Mean returns the average, 0 before the first transaction.
func (w *TransactionWork) Mean() time.Duration { return w.mean }

// Observe records the work of a transaction.
func (w *TransactionWork) Observe(work time.Duration) {
	if w.mean == 0 {
		w.mean = work
	}
	w.mean += (work - w.mean) / transactionWeight
}

// MaxInFlight returns the number of statements that one instance may have in
// flight at an endpoint. Together the instances may have about four times as many
// as the endpoint has slots, so that its own FIFO queue stays short; one instance
// may have no more than keep all slots busy.
func MaxInFlight(slots, members int) int {
	return min(max(2, (4*slots+members-1)/max(1, members)+1), slots+1)
}

// EndpointLoad tracks the load of one endpoint as this instance observes it, and
// adapts the limit on its statements in flight there.
type EndpointLoad struct {
	// InFlight is the number of this instance's statements at the endpoint.
	InFlight int
	// limit is the current concurrency limit, from 1 to maxInFlight.
	limit       float64
	maxInFlight int
	// slowdown is the moving average of the time taken, as a multiple of the
	// estimated service time.
	slowdown float64
	// failureRate is the moving average of the share of statements that failed or
	// whose answer was lost.
	failureRate   float64
	lastSample    time.Duration
	lastReduction time.Duration
}

// NewEndpointLoad returns the load of an endpoint with the given number of slots,
// at which this instance may have at most maxInFlight statements in flight.
func NewEndpointLoad(slots, maxInFlight int) *EndpointLoad {
	l := &EndpointLoad{limit: float64(max(1, slots)), slowdown: 1.5}
	l.SetMaxInFlight(maxInFlight)
	return l
}

// SetMaxInFlight changes the upper bound of the limit. It is at least 1.
func (l *EndpointLoad) SetMaxInFlight(n int) {
	l.maxInFlight = max(1, n)
	l.limit = math.Min(l.limit, float64(l.maxInFlight))
}

// HasCapacity reports whether another statement may be sent.
func (l *EndpointLoad) HasCapacity() bool { return l.InFlight < int(l.limit) }

// Limit returns the number of statements that may be in flight now.
func (l *EndpointLoad) Limit() int { return int(l.limit) }

// idleSlowdown is the slowdown of an idle endpoint without samples.
const idleSlowdown = 1.5

// Throughput returns the work that the endpoint does for this instance in parallel while
// its limit is used: the statements in flight, each of which takes Slowdown times its
// service time. An idle endpoint does no more than its slots. A slowdown beyond that of a
// congested endpoint counts as that: the limit follows a slow endpoint, and statements of
// less than a millisecond take many times as long now and then without any queueing,
// which refused half of the statements of a soak run with few callers.
func (l *EndpointLoad) Throughput(now time.Duration, slots int) float64 {
	slowdown := math.Min(l.Slowdown(now), congestedSlowdown)
	return math.Min(math.Floor(l.limit)/slowdown, float64(slots)/math.Min(slowdown, idleSlowdown)) * (1 - math.Min(l.FailureRate(now), maxFailureRate))
}

// Slowdown returns the time that the endpoint takes as a multiple of the estimated
// service time. Without samples it decays towards 1.5, that of an idle endpoint.
func (l *EndpointLoad) Slowdown(now time.Duration) float64 {
	idle := (now - l.lastSample).Seconds() / decayTime.Seconds()
	return 1.5 + (l.slowdown-1.5)*math.Exp(-math.Max(0, idle))
}

// RecordFailure records that a statement failed at the endpoint, or that its
// answer was lost. It affects only the choice of endpoints and not the limit, so
// that a caller whose statements fail cannot reduce the capacity for others.
func (l *EndpointLoad) RecordFailure(now time.Duration) {
	l.slowdown, l.failureRate = l.Slowdown(now), l.FailureRate(now)*(1-smoothingWeight)+smoothingWeight
	l.lastSample = now
}

// FailureRate returns the share of statements that fail. Without samples it decays
// as the slowdown does.
func (l *EndpointLoad) FailureRate(now time.Duration) float64 {
	return l.failureRate * math.Exp(-math.Max(0, (now-l.lastSample).Seconds()/decayTime.Seconds()))
}

// RecordAnswer records an answer that took the given time to a statement with the
// given estimated service time, and adapts the limit.
func (l *EndpointLoad) RecordAnswer(now, took, serviceTime time.Duration) {
	s := math.Min(float64(took)/float64(serviceTime), 50)
	l.slowdown = l.Slowdown(now)*(1-smoothingWeight) + s*smoothingWeight
	l.failureRate = l.FailureRate(now) * (1 - smoothingWeight)
	l.lastSample = now
	switch {
	case l.slowdown > congestedSlowdown && now >= l.lastReduction+minLimitReductionInterval:
		l.limit = math.Max(1, l.limit-1)
		l.lastReduction = now
	case l.slowdown < relaxedSlowdown && l.InFlight >= int(l.limit)-1:
		l.limit = math.Min(float64(l.maxInFlight), l.limit+1/l.limit)
	}
}

// RecordRejection records that the endpoint refused a statement for lack of
// capacity, or did not answer. It halves the limit, at most once in
// minLimitReductionInterval.
func (l *EndpointLoad) RecordRejection(now time.Duration) {
	if now >= l.lastReduction+minLimitReductionInterval {
		l.limit = math.Max(1, l.limit/2)
		l.lastReduction = now
	}
	l.slowdown, l.failureRate = math.Min(20, math.Max(l.Slowdown(now)*1.3, congestedSlowdown)), l.FailureRate(now)
	l.lastSample = now
}

// maxFailureRate bounds the failure rate in ExpectedLatency, so that an endpoint at
// which every statement fails counts as 20 times as slow.
const maxFailureRate = 0.95

// ExpectedLatency returns how long a statement sent now would take. distance is
// the one-way network delay. The result allows for the repetition of statements
// that fail: otherwise an endpoint that fails at once would seem the fastest and
// attract all statements.
func (l *EndpointLoad) ExpectedLatency(now, serviceTime, distance time.Duration, slots int) time.Duration {
	queueing := 1 + float64(l.InFlight)/float64(max(1, slots))
	attempts := 1 / (1 - math.Min(l.FailureRate(now), maxFailureRate))
	return 2*distance + time.Duration(float64(serviceTime)*l.Slowdown(now)*queueing*attempts)
}

// Waiter is a statement that waits for an endpoint.
type Waiter struct {
	// Priority is lower for more urgent waiters. Statements that continue work which
	// their caller has begun have priority -1.
	Priority int
	// AccountInFlight is the number of statements that the waiter's client account
	// has in flight or had admitted recently. Among waiters of equal priority the
	// account with the fewest goes first.
	AccountInFlight float64
	// Arrived is when the waiter joined the queue.
	Arrived time.Duration
	// LatestStart is the latest time at which starting the statement is still
	// useful.
	LatestStart time.Duration
}

// Before reports whether a goes before b.
func (a Waiter) Before(b Waiter) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	if math.Abs(a.AccountInFlight-b.AccountInFlight) >= 1 {
		return a.AccountInFlight < b.AccountInFlight
	}
	return a.Arrived < b.Arrived
}

// CannotStartInTime reports whether a statement with ahead others in the queue
// before it cannot start by latestStart. It assumes that concurrency statements
// run at a time and that each takes expected.
func CannotStartInTime(now, latestStart, expected time.Duration, ahead, concurrency int) bool {
	wait := time.Duration(float64(expected) * float64(ahead) / float64(max(1, concurrency)))
	return now+wait > latestStart
}

// recentSample is how old the latest sample of RecentSlowdown may be.
const recentSample = 2 * time.Second

// RecentSlowdown returns the slowdown without decay, and false if there is no recent
// sample.
func (l *EndpointLoad) RecentSlowdown(now time.Duration) (float64, bool) {
	return l.slowdown, l.lastSample > 0 && now < l.lastSample+recentSample
}

// MaxInFlight returns the upper bound of the limit.
func (l *EndpointLoad) MaxInFlight() int { return l.maxInFlight }

// RaiseLimit sets the limit to at least n, as far as its upper bound allows.
func (l *EndpointLoad) RaiseLimit(n int) {
	l.limit = math.Min(float64(l.maxInFlight), math.Max(l.limit, float64(n)))
}

// Forget drops what earlier answers told: the endpoint's process is another one, or its
// samples are from before it was unreachable.
func (l *EndpointLoad) Forget() {
	l.limit, l.slowdown, l.failureRate, l.lastSample = float64(l.maxInFlight), 1.5, 0, 0
}
