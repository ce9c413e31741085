package front

import (
	"errors"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/outcome"
)

// timerSample is the share of requests whose latency enters a timer: one in
// eight. Timers take a lock, counters do not.
const timerSample = 8

// meters are the metrics of the caller port.
type meters struct {
	reg                           metrics.Registry
	readsReplica, readsPrimary    metrics.Counter
	writes, malformed, reroutes   metrics.Counter
	ackUnknown, retries, replayed metrics.Counter
}

func newMeters(r metrics.Registry) *meters {
	return &meters{
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

func (m *meters) refused(k outcome.Kind) {
	metrics.GetOrRegisterCounter("proxy.refused."+string(k), m.reg).Inc(1)
}

// accountMeters are those of one account on one route.
type accountMeters struct {
	requests, errors metrics.Counter
	latency          metrics.Timer
}

func (m *meters) account(a fleet.AccountID, database string) *accountMeters {
	name := string(a)
	if a == OpenAccount {
		name = "open"
	}
	prefix := "proxy.account." + name + ".route." + database + "."
	return &accountMeters{
		requests: metrics.GetOrRegisterCounter(prefix+"requests", m.reg),
		errors:   metrics.GetOrRegisterCounter(prefix+"errors", m.reg),
		latency:  metrics.GetOrRegisterTimer(prefix+"latency", m.reg),
	}
}

// typed returns err when it is one of the instance's own, or nil. It is apart
// from observe because errors.As makes its target escape.
func typed(err error) error {
	var e *outcome.Error
	if errors.As(err, &e) {
		return err
	}
	return nil
}

// observe counts a finished request.
func (c *client) observe(rq *request, err error) {
	if err != nil {
		err = typed(err)
	}
	d := time.Since(rq.started)
	c.meters.requests.Inc(1)
	if err != nil {
		c.meters.errors.Inc(1)
	}
	if c.sampleCounter++; c.sampleCounter%timerSample == 0 {
		c.meters.latency.Update(d)
	}
	switch {
	case !rq.placed || err != nil:
	case rq.write:
		c.srv.m.writes.Inc(1)
	case rq.primary:
		c.srv.m.readsPrimary.Inc(1)
	default:
		c.srv.m.readsReplica.Inc(1)
	}
	if f := c.srv.opts.Observe; f != nil {
		f(Observation{Account: c.account, Database: c.database, Write: rq.write, Primary: rq.primary, Latency: d, Err: err})
	}
}
