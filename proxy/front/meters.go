package front

import (
	"errors"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/outcome"
)

// timerSampleInterval is the share of requests whose latency enters a timer: one in
// eight. Timers take a lock, counters do not.
const timerSampleInterval = 8

// serverMetrics are the metrics of the caller port.
type serverMetrics struct {
	reg                           metrics.Registry
	readsReplica, readsPrimary    metrics.Counter
	writes, malformed, reroutes   metrics.Counter
	ackUnknown, retries, replayed metrics.Counter
}

func newServerMetrics(r metrics.Registry) *serverMetrics {
	return &serverMetrics{
		reg:          r,
		readsReplica: metrics.GetOrRegisterCounter("proxy.reads.replica", r),
		readsPrimary: metrics.GetOrRegisterCounter("proxy.reads.primary", r),
		writes:       metrics.GetOrRegisterCounter("proxy.writes", r),
		malformed:    metrics.GetOrRegisterCounter("proxy.malformed", r),
		reroutes:     metrics.GetOrRegisterCounter("proxy.reroutes", r),
		ackUnknown:   metrics.GetOrRegisterCounter("proxy.writes.unknown", r),
		retries:      metrics.GetOrRegisterCounter("proxy.retries", r),
		replayed:     metrics.GetOrRegisterCounter("proxy.request_ids.replayed", r),
	}
}

func (m *serverMetrics) refused(k outcome.Kind) {
	metrics.GetOrRegisterCounter("proxy.refused."+string(k), m.reg).Inc(1)
}

// accountMetrics are those of one account on one route.
type accountMetrics struct {
	requests, errors metrics.Counter
	latency          metrics.Timer
}

func (m *serverMetrics) account(a fleet.AccountID, database string) *accountMetrics {
	name := string(a)
	if a == AnonymousAccount {
		name = "open"
	}
	prefix := "proxy.account." + name + ".route." + database + "."
	return &accountMetrics{
		requests: metrics.GetOrRegisterCounter(prefix+"requests", m.reg),
		errors:   metrics.GetOrRegisterCounter(prefix+"errors", m.reg),
		latency:  metrics.GetOrRegisterTimer(prefix+"latency", m.reg),
	}
}

// outcomeErrorOrNil returns err when it is one of the instance's own, or nil. It is apart
// from observe because errors.As makes its target escape.
func outcomeErrorOrNil(err error) error {
	var e *outcome.Error
	if errors.As(err, &e) {
		return err
	}
	return nil
}

// observe counts a finished request.
func (c *client) observe(rq *request, err error) {
	if err != nil {
		err = outcomeErrorOrNil(err)
	}
	d := time.Since(rq.started)
	c.meters.requests.Inc(1)
	if err != nil {
		c.meters.errors.Inc(1)
	}
	if c.sampleCounter++; c.sampleCounter%timerSampleInterval == 0 {
		c.meters.latency.Update(d)
	}
	switch {
	case !rq.placed || err != nil:
	case rq.write:
		c.srv.metrics.writes.Inc(1)
	case rq.primary:
		c.srv.metrics.readsPrimary.Inc(1)
	default:
		c.srv.metrics.readsReplica.Inc(1)
	}
	if f := c.srv.opts.Observe; f != nil {
		f(Observation{Account: c.account, Database: c.database, Write: rq.write, Primary: rq.primary, Latency: d, Err: err})
	}
}
