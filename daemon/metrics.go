package daemon

import (
	"runtime"
	"time"

	"github.com/rcrowley/go-metrics"

	coredecision "github.com/vanillahinge/vanillahinge/core/decision"
	"github.com/vanillahinge/vanillahinge/core/fleet"
)

// gauges registers the figures of the instance that are read on demand.
func (d *Daemon) gauges() {
	reg := func(name string, f func() int64) {
		_ = d.registry.Register(name, metrics.NewFunctionalGauge(f))
	}
	reg("control.events", func() int64 { return d.control.Counts().Events })
	reg("control.dropped_statuses", func() int64 { return d.control.Counts().DroppedStatuses })
	reg("control.polls", func() int64 { return d.control.Counts().Polls })
	reg("control.poll_errors", func() int64 { return d.control.Counts().PollErrors })
	reg("control.pulls", func() int64 { return d.control.Counts().Pulls })
	reg("control.bundle_version", func() int64 { return int64(d.control.Snapshots().Load().BundleVersion) })
	reg("control.fresh_ms", func() int64 {
		return max(0, time.Until(d.control.Snapshots().Load().FreshUntil).Milliseconds())
	})
	reg("control.own_slots", func() int64 { return int64(d.control.Snapshots().Load().OwnSlots) })
	reg("admission.admitted", func() int64 { return d.admission.Counts().Admitted })
	reg("admission.refused", func() int64 { return d.admission.Counts().Refused })
	reg("admission.exchanges", func() int64 { return d.admission.Counts().Exchanges })
	reg("admission.failed_exchanges", func() int64 { return d.admission.Counts().FailedExchanges })
	reg("front.sessions", func() int64 { open, _ := d.front.Sessions(); return int64(open) })
	reg("front.busy_sessions", func() int64 { _, busy := d.front.Sessions(); return int64(busy) })
	reg("process.goroutines", func() int64 { return int64(runtime.NumGoroutine()) })
	reg("process.heap_bytes", func() int64 {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	})
	reg("process.uptime_s", func() int64 { return int64(time.Since(d.start).Seconds()) })
}

func emptied(g fleet.GroupID, e fleet.EndpointID) coredecision.Record {
	return coredecision.Record{Kind: coredecision.Drain, Rule: "endpoint-empty", Group: g, Endpoint: e, Outcome: "the leaving endpoint has no request, transaction or primary role left"}
}
