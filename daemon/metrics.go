package daemon

import (
	"runtime"
	"time"

	"github.com/rcrowley/go-metrics"

	coredecision "github.com/vanillahinge/vanillahinge/core/decision"
	"github.com/vanillahinge/vanillahinge/core/fleet"
)

// registerGauges registers the gauges that are computed when they are read.
func (d *Daemon) registerGauges() {
	register := func(name string, f func() int64) {
		_ = d.registry.Register(name, metrics.NewFunctionalGauge(f))
	}
	register("control.events", func() int64 { return d.control.Counts().Events })
	register("control.dropped_statuses", func() int64 { return d.control.Counts().DroppedStatuses })
	register("control.polls", func() int64 { return d.control.Counts().Polls })
	register("control.poll_errors", func() int64 { return d.control.Counts().PollErrors })
	register("control.invalid_instances", func() int64 { return d.control.Counts().InvalidInstances })
	register("control.pulls", func() int64 { return d.control.Counts().Pulls })
	register("control.bundle_version", func() int64 { return int64(d.control.Snapshots().Load().BundleVersion) })
	register("control.fresh_ms", func() int64 {
		return max(0, time.Until(d.control.Snapshots().Load().FreshUntil).Milliseconds())
	})
	register("control.own_slots", func() int64 { return int64(d.control.Snapshots().Load().OwnSlots) })
	register("admission.admitted", func() int64 { return d.admission.Counts().Admitted })
	register("admission.refused", func() int64 { return d.admission.Counts().Refused })
	register("admission.exchanges", func() int64 { return d.admission.Counts().Exchanges })
	register("admission.failed_exchanges", func() int64 { return d.admission.Counts().FailedExchanges })
	register("front.sessions", func() int64 { open, _ := d.front.Sessions(); return int64(open) })
	register("front.busy_sessions", func() int64 { _, busy := d.front.Sessions(); return int64(busy) })
	register("process.goroutines", func() int64 { return int64(runtime.NumGoroutine()) })
	register("process.heap_bytes", func() int64 {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	})
	register("process.uptime_s", func() int64 { return int64(time.Since(d.start).Seconds()) })
}

// endpointDrainedRecord returns the decision record of a drained endpoint.
func endpointDrainedRecord(g fleet.GroupID, e fleet.EndpointID) coredecision.Record {
	return coredecision.Record{Kind: coredecision.Drain, Rule: "endpoint-empty", Group: g, Endpoint: e, Outcome: "the leaving endpoint has no request, transaction or primary role left"}
}
