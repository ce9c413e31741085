// Package burn measures how fast each client account's service-level
// objectives are used up, and reports it as text, JSON and HTML.
package burn

import (
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	coredecision "github.com/vanillahinge/vanillahinge/core/decision"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/outcome"
	"github.com/vanillahinge/vanillahinge/report/decision"
)

// bucketLen is the resolution of the windows: 1/30 of the shortest.
const bucketLen = 10 * time.Second

// buckets cover the longest window and the bucket being filled.
const buckets = int(6*time.Hour/bucketLen) + 1

// WindowSpec is one window of the report.
type WindowSpec struct {
	Name     string
	Duration time.Duration
}

// WindowSpecs are the windows. A short and a long one are judged together: the long
// one shows that the burn matters, the short one that it goes on.
var WindowSpecs = []WindowSpec{{"5m", 5 * time.Minute}, {"30m", 30 * time.Minute}, {"1h", time.Hour}, {"6h", 6 * time.Hour}}

// Burn rates at which an entry is urgent or needs attention. At 14.4 a 30-day
// budget is gone in 50 hours, at 6 in 5 days.
const (
	urgentRate    = 14.4
	attentionRate = 6
)

// maxDecisions is how many decision records an entry shows.
const maxDecisions = 20

// Objective is one objective with the group that serves its route.
type Objective struct {
	Account      fleet.AccountID `json:"account"`
	Route        string          `json:"route"`
	Group        fleet.GroupID   `json:"group,omitempty"`
	Availability float64         `json:"availability"`
	Latency      time.Duration   `json:"latency_ns"`
	LatencyShare float64         `json:"latency_share"`
}

// DecisionFinder answers queries about decision records.
type DecisionFinder interface {
	Find(q decision.Query) []coredecision.Record
}

type key struct {
	account fleet.AccountID
	route   string
}

// Tracker counts requests by objective. It is safe for concurrent use.
type Tracker struct {
	instance  fleet.InstanceID
	decisions DecisionFinder
	registry  metrics.Registry
	now       func() time.Time
	start     time.Time
	series    atomic.Pointer[map[key]*series]
	update    sync.Mutex
}

type series struct {
	mu   sync.Mutex
	obj  Objective
	ring [buckets]bucket
}

// bucket counts the requests of one bucketLen.
type bucket struct {
	at                  int64 // number of the bucket since the epoch
	total, failed, slow uint64
}

// NewTracker returns a tracker without objectives. The registry may be nil.
func NewTracker(instance fleet.InstanceID, d DecisionFinder, r metrics.Registry) *Tracker {
	t := &Tracker{instance: instance, decisions: d, registry: r, now: time.Now, start: time.Now()}
	t.series.Store(&map[key]*series{})
	return t
}

// SetObjectives replaces the objectives. Counts go on where an objective stays.
func (t *Tracker) SetObjectives(list []Objective) {
	t.update.Lock()
	defer t.update.Unlock()
	old := *t.series.Load()
	next := make(map[key]*series, len(list))
	for _, o := range list {
		k := key{o.Account, o.Route}
		s := old[k]
		if s == nil {
			s = &series{}
			t.gauges(k, s)
		}
		s.mu.Lock()
		s.obj = o
		s.mu.Unlock()
		next[k] = s
	}
	for k := range old {
		if next[k] == nil {
			t.dropGauges(k)
		}
	}
	t.series.Store(&next)
}

// Observe counts one finished request. Requests without an objective, and
// those that the caller itself caused to be refused, are not counted.
func (t *Tracker) Observe(account fleet.AccountID, route string, latency time.Duration, err error) {
	s := (*t.series.Load())[key{account, route}]
	if s == nil || err != nil && callersOwn(err) {
		return
	}
	at := t.now().UnixNano() / int64(bucketLen)
	s.mu.Lock()
	b := &s.ring[at%int64(buckets)]
	if b.at != at {
		*b = bucket{at: at}
	}
	b.total++
	switch {
	case err != nil:
		b.failed++
	case latency > s.obj.Latency:
		b.slow++
	}
	s.mu.Unlock()
}

// callersOwn reports whether the caller caused the refusal.
func callersOwn(err error) bool {
	for _, k := range []outcome.Kind{outcome.BadKey, outcome.KeyWithdrawn, outcome.NotAllowed, outcome.RequestIDReused, outcome.OverRate,
		outcome.NotSupported, outcome.Cancelled, outcome.BadToken, outcome.Protocol} {
		if outcome.IsKind(err, k) {
			return true
		}
	}
	return false
}

// window sums the buckets of a span that ends now.
func (s *series) window(now time.Time, span time.Duration) bucket {
	last := now.UnixNano() / int64(bucketLen)
	first := last - int64(span/bucketLen) + 1
	var sum bucket
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.ring {
		if b := &s.ring[i]; b.at >= first && b.at <= last {
			sum.total += b.total
			sum.failed += b.failed
			sum.slow += b.slow
		}
	}
	return sum
}

// Report is the burn of all objectives at one time, of one or more instances.
type Report struct {
	Time      time.Time          `json:"time"`
	Instances []fleet.InstanceID `json:"instances"`
	// Since is the latest start of the instances: windows reach back no further.
	Since   time.Time `json:"since"`
	Entries []Entry   `json:"entries"`
}

// Entry is the burn of one objective.
type Entry struct {
	Objective
	// State is ok, attention or urgent.
	State   string   `json:"state"`
	Windows []Window `json:"windows"`
	// Left is the share of the error budget of the last 6 h that is left, by
	// availability and by latency; it is negative once overspent.
	AvailabilityLeft float64               `json:"availability_left"`
	LatencyLeft      float64               `json:"latency_left"`
	Decisions        []coredecision.Record `json:"decisions,omitempty"`
}

// Window is the burn over one span. A rate of 1 uses the budget up exactly.
type Window struct {
	Name             string  `json:"name"`
	Total            uint64  `json:"total"`
	Failed           uint64  `json:"failed"`
	Slow             uint64  `json:"slow"`
	AvailabilityBurn float64 `json:"availability_burn"`
	LatencyBurn      float64 `json:"latency_burn"`
}

// rates fills in the burn rates from the counts.
func (w *Window) rates(o Objective) {
	w.AvailabilityBurn = rate(w.Failed, w.Total, o.Availability)
	w.LatencyBurn = rate(w.Slow, w.Total-w.Failed, o.LatencyShare)
}

func rate(bad, total uint64, objective float64) float64 {
	if total == 0 || objective >= 1 {
		return 0
	}
	return float64(bad) / float64(total) / (1 - objective)
}

// judge fills in what follows from the windows.
func (e *Entry) judge() {
	by := map[string]Window{}
	for i := range e.Windows {
		e.Windows[i].rates(e.Objective)
		by[e.Windows[i].Name] = e.Windows[i]
	}
	above := func(short, long string, limit float64) bool {
		s, l := by[short], by[long]
		return s.AvailabilityBurn >= limit && l.AvailabilityBurn >= limit || s.LatencyBurn >= limit && l.LatencyBurn >= limit
	}
	switch {
	case above("5m", "1h", urgentRate):
		e.State = "urgent"
	case above("30m", "6h", attentionRate):
		e.State = "attention"
	default:
		e.State = "ok"
	}
	e.AvailabilityLeft, e.LatencyLeft = 1-by["6h"].AvailabilityBurn, 1-by["6h"].LatencyBurn
}

// Report returns the present burn.
func (t *Tracker) Report() Report {
	now := t.now()
	r := Report{Time: now.UTC(), Instances: []fleet.InstanceID{t.instance}, Since: t.start.UTC(), Entries: []Entry{}}
	for _, s := range *t.series.Load() {
		s.mu.Lock()
		e := Entry{Objective: s.obj}
		s.mu.Unlock()
		for _, sp := range WindowSpecs {
			b := s.window(now, sp.Duration)
			e.Windows = append(e.Windows, Window{Name: sp.Name, Total: b.total, Failed: b.failed, Slow: b.slow})
		}
		e.judge()
		if w := e.Windows[len(e.Windows)-1]; w.Failed+w.Slow > 0 {
			e.Decisions = t.behind(e.Objective, now)
		}
		r.Entries = append(r.Entries, e)
	}
	r.sort()
	return r
}

func (r *Report) sort() {
	sort.Slice(r.Entries, func(i, j int) bool {
		a, b := r.Entries[i], r.Entries[j]
		if a.Account != b.Account {
			return a.Account < b.Account
		}
		return a.Route < b.Route
	})
}

// behind returns the newest decisions that concern the objective: those about
// its account, its group, and the instance as a whole.
func (t *Tracker) behind(o Objective, now time.Time) []coredecision.Record {
	if t.decisions == nil {
		return nil
	}
	var out []coredecision.Record
	for _, r := range t.decisions.Find(decision.Query{Since: now.Add(-6 * time.Hour)}) {
		switch {
		case r.Account == o.Account && (r.Group == "" || r.Group == o.Group),
			r.Account == "" && r.Group == o.Group && o.Group != "",
			r.Account == "" && r.Group == "" && (r.Kind == coredecision.Freshness || r.Kind == coredecision.Slot || r.Kind == coredecision.Bundle):
			out = append(out, r)
		}
	}
	return newest(out)
}

func newest(list []coredecision.Record) []coredecision.Record {
	sort.SliceStable(list, func(i, j int) bool { return list[i].Time.Before(list[j].Time) })
	return list[max(0, len(list)-maxDecisions):]
}

// Merge adds up the reports of several instances.
func Merge(reports ...Report) Report {
	var out Report
	byKey := map[key]*Entry{}
	var order []key
	for _, r := range reports {
		out.Instances = append(out.Instances, r.Instances...)
		if r.Time.After(out.Time) {
			out.Time = r.Time
		}
		if r.Since.After(out.Since) {
			out.Since = r.Since
		}
		for _, e := range r.Entries {
			k := key{e.Account, e.Route}
			m := byKey[k]
			if m == nil {
				m = &Entry{Objective: e.Objective}
				for _, sp := range WindowSpecs {
					m.Windows = append(m.Windows, Window{Name: sp.Name})
				}
				byKey[k] = m
				order = append(order, k)
			}
			for _, w := range e.Windows {
				for i := range m.Windows {
					if m.Windows[i].Name == w.Name {
						m.Windows[i].Total += w.Total
						m.Windows[i].Failed += w.Failed
						m.Windows[i].Slow += w.Slow
					}
				}
			}
			m.Decisions = append(m.Decisions, e.Decisions...)
		}
	}
	out.Entries = []Entry{}
	for _, k := range order {
		e := byKey[k]
		e.judge()
		e.Decisions = newest(e.Decisions)
		out.Entries = append(out.Entries, *e)
	}
	out.sort()
	return out
}

func (t *Tracker) gauges(k key, s *series) {
	if t.registry == nil {
		return
	}
	for _, sp := range WindowSpecs {
		get := func(latency bool) func() float64 {
			return func() float64 {
				b := s.window(t.now(), sp.Duration)
				s.mu.Lock()
				o := s.obj
				s.mu.Unlock()
				w := Window{Total: b.total, Failed: b.failed, Slow: b.slow}
				w.rates(o)
				if latency {
					return w.LatencyBurn
				}
				return w.AvailabilityBurn
			}
		}
		_ = t.registry.Register(gaugeName(k, sp.Name, "availability"), metrics.NewFunctionalGaugeFloat64(get(false)))
		_ = t.registry.Register(gaugeName(k, sp.Name, "latency"), metrics.NewFunctionalGaugeFloat64(get(true)))
	}
}

func (t *Tracker) dropGauges(k key) {
	if t.registry == nil {
		return
	}
	for _, sp := range WindowSpecs {
		t.registry.Unregister(gaugeName(k, sp.Name, "availability"))
		t.registry.Unregister(gaugeName(k, sp.Name, "latency"))
	}
}

func gaugeName(k key, window, of string) string {
	return "burn_" + of + `{account="` + string(k.account) + `",route="` + k.route + `",window="` + window + `"}`
}
