package fair

import "time"

// Settings of the in-flight limit.
const (
	// limitWindow is the number of answers per adjustment.
	limitWindow = 16
	// baselinePeriod is the shortest time for which the lowest latency is
	// remembered. The limit adapts to a change of the endpoint's workload
	// within twice that time.
	baselinePeriod = 10 * time.Second
	// minQueueEstimate and maxQueueEstimate are estimates of how many requests
	// of this instance wait at the endpoint. Below the first one the limit
	// rises by limitStep, above the second one it falls by limitStep.
	minQueueEstimate = 0.5
	maxQueueEstimate = 1.0
	limitStep        = 0.25
	// minQueueDelay is the rise of the lowest latency below which no queue is
	// assumed. Scheduling alone raises the lowest latency of 16 answers from
	// 13 us to between 18 and 110 us, which held the limit near 2 of 16 slots.
	// If minQueueDelay is 400 us or more, the simulated queue at the endpoint
	// starts to grow.
	minQueueDelay = 300 * time.Microsecond
)

// latencyLimiter adjusts the in-flight limit to the latency of an endpoint. It
// compares the lowest latency of the last answers with the lowest one over a
// longer time: statements that wait at the endpoint delay all answers, even the
// fastest, while a mean would also rise with a few slow statements.
type latencyLimiter struct {
	// value is the limit, between 1 and the endpoint's slots. It starts at 1:
	// if all instances started with a high limit, the lowest latency would
	// include the queue that they cause at the endpoint.
	value float64
	// windowMin is the lowest latency of the last windowCount answers;
	// limitReached is set if the limit was reached during one of them.
	windowMin    time.Duration
	windowCount  int
	limitReached bool
	// periodMin and previousPeriodMin are the lowest latencies since
	// periodStart and in the period before it; 0 means none.
	periodMin, previousPeriodMin time.Duration
	periodStart                  time.Duration
}

// minLatency returns the lower latency; 0 means none.
func minLatency(a, b time.Duration) time.Duration {
	if a == 0 || b > 0 && b < a {
		return b
	}
	return a
}

// observe records the latency of an answer and adjusts the limit after every
// limitWindow answers. limitReached tells whether the limit was reached when
// the answer arrived; the limit rises only if it is used up.
func (l *latencyLimiter) observe(now, latency time.Duration, limitReached bool, slots float64) {
	latency = max(latency, time.Microsecond)
	if now-l.periodStart >= baselinePeriod {
		l.previousPeriodMin, l.periodMin, l.periodStart = l.periodMin, 0, now
	}
	l.periodMin = minLatency(l.periodMin, latency)
	l.windowMin = minLatency(l.windowMin, latency)
	l.limitReached = l.limitReached || limitReached
	if l.windowCount++; l.windowCount < limitWindow {
		return
	}
	baseline := minLatency(l.periodMin, l.previousPeriodMin)
	queued := 0.0
	if l.windowMin-baseline >= minQueueDelay {
		queued = l.value * (1 - baseline.Seconds()/l.windowMin.Seconds())
	}
	switch {
	case queued > maxQueueEstimate:
		l.value = max(l.value-limitStep, 1)
	case queued < minQueueEstimate && l.limitReached:
		l.value = min(l.value+limitStep, slots)
	}
	l.windowMin, l.windowCount, l.limitReached = 0, 0, false
}
