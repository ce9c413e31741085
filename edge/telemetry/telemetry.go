// Package telemetry writes the logs and metrics of an instance. Logs are JSON
// lines, rate-limited per event. If the reader of the log is slow, lines are
// dropped instead of blocking traffic. Suppressed and dropped lines are counted.
package telemetry

import (
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
)

const (
	// lineQueueLength is the number of lines that may wait for a slow reader, in
	// total about 64 KB.
	lineQueueLength = 256
	// maxLinesPerEvent is the maximum number of lines per second for one event.
	// It keeps the cost of logging refusals at full load below 2% of a core.
	maxLinesPerEvent = 20
)

// Log is the log of one instance.
type Log struct {
	logger  *log.Logger
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64

	mu         sync.Mutex
	second     int64
	count      map[string]int
	suppressed map[string]int
}

// NewLog returns a log that writes to w and names the instance in each line.
func NewLog(w io.Writer, instance string) *Log {
	l := &Log{lines: make(chan []byte, lineQueueLength), done: make(chan struct{}),
		count: map[string]int{}, suppressed: map[string]int{}}
	l.logger = &log.Logger{Level: log.InfoLevel, TimeFormat: "2006-01-02T15:04:05.000000Z07:00",
		Context: log.NewContext(nil).Str("instance", instance).Value(), Writer: &log.IOWriter{Writer: l}}
	go func() {
		defer close(l.done)
		for line := range l.lines {
			if _, err := w.Write(line); err != nil {
				l.dropped.Add(1)
			}
		}
	}()
	return l
}

// Write implements io.Writer. It queues a line for output, or drops it if the
// queue is full, and never blocks.
func (l *Log) Write(p []byte) (int, error) {
	select {
	case l.lines <- append([]byte(nil), p...):
	default:
		l.dropped.Add(1)
	}
	return len(p), nil
}

// DroppedLines returns the number of lines that could not be written.
func (l *Log) DroppedLines() int64 { return l.dropped.Load() }

// Close stops the log and waits up to the given time for queued lines to be
// written.
func (l *Log) Close(wait time.Duration) {
	close(l.lines)
	select {
	case <-l.done:
	case <-time.After(wait):
	}
}

// allow applies the rate limit: it counts a line for the event and reports
// whether it may be written. Once a second it logs the suppressed lines.
func (l *Log) allow(event string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now().Unix(); now != l.second {
		l.second = now
		for e, n := range l.suppressed {
			l.logger.Warn().Str("event", e).Int("suppressed", n).Msg("log: lines left out")
		}
		clear(l.count)
		clear(l.suppressed)
	}
	if l.count[event]++; l.count[event] > maxLinesPerEvent {
		l.suppressed[event]++
		return false
	}
	return true
}

// Info logs an event with key-value pairs. The event has the form "component:
// what happened".
func (l *Log) Info(event string, kv ...any) {
	if l.allow(event) {
		l.logger.Info().KeysAndValues(kv...).Msg(event)
	}
}

// Warn logs an event that an operator may have to investigate.
func (l *Log) Warn(event string, kv ...any) {
	if l.allow(event) {
		l.logger.Warn().KeysAndValues(kv...).Msg(event)
	}
}

// Metrics holds the counters, gauges and histograms of an instance.
type Metrics struct{ registry metrics.Registry }

// NewMetrics returns an empty registry.
func NewMetrics() *Metrics { return &Metrics{registry: metrics.NewRegistry()} }

// Count increments a counter by one.
func (m *Metrics) Count(name string) {
	metrics.GetOrRegisterCounter(name, m.registry).Inc(1)
}

// Gauge sets a gauge.
func (m *Metrics) Gauge(name string, v int64) {
	metrics.GetOrRegisterGauge(name, m.registry).Update(v)
}

// sampleSize is the number of samples in the reservoir of a histogram; 1028
// samples give quantiles within a few percent.
const sampleSize = 1028

// Observe records a duration in a histogram, in microseconds.
func (m *Metrics) Observe(name string, d time.Duration) {
	h := m.registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, 0.015))
	}).(metrics.Histogram)
	h.Update(d.Microseconds())
}

// ServeHTTP writes all metrics as text, one per line.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	var lines []string
	m.registry.Each(func(name string, v any) {
		switch v := v.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("%s %d", name, v.Count()))
		case metrics.Gauge:
			lines = append(lines, fmt.Sprintf("%s %d", name, v.Value()))
		case metrics.Histogram:
			s := v.Snapshot()
			base, labels := name, ""
			if i := strings.IndexByte(name, '{'); i >= 0 {
				base, labels = name[:i], strings.Trim(name[i:], "{}")+","
			}
			for _, q := range []float64{0.5, 0.9, 0.99} {
				lines = append(lines, fmt.Sprintf("%s{%squantile=\"%g\"} %.0f", base, labels, q, s.Percentile(q)))
			}
			lines = append(lines, fmt.Sprintf("%s_count{%s} %d", base, strings.TrimSuffix(labels, ","), s.Count()))
		}
	})
	sort.Strings(lines)
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	if _, err := io.WriteString(w, strings.Join(lines, "\n")+"\n"); err != nil {
		return // the client has disconnected
	}
}
