// Package burn computes the burn rates of the error budgets that belong to the
// client accounts' service-level objectives, and reports them as text, JSON and
// HTML.
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

// bucketWidth is the resolution of the windows: 1/30 of the shortest.
const bucketWidth = 10 * time.Second

// bucketCount covers the longest window and the bucket that is being filled.
const bucketCount = int(6*time.Hour/bucketWidth) + 1

// WindowSpec is the name and the duration of a window.
type WindowSpec struct {
	Name     string
	Duration time.Duration
}

// WindowSpecs are the windows of a report. An entry's state depends on a short
// and a long window together: the long one shows that the burn is significant,
// the short one that it still continues.
var WindowSpecs = []WindowSpec{{"5m", 5 * time.Minute}, {"30m", 30 * time.Minute}, {"1h", time.Hour}, {"6h", 6 * time.Hour}}

// Burn rates from which an entry is urgent or needs attention. A rate of 14.4
// uses up a 30-day error budget in 50 hours, a rate of 6 in 5 days.
const (
	urgentBurnRate    = 14.4
	attentionBurnRate = 6
)

// maxDecisions is the maximum number of decision records in an entry.
const maxDecisions = 20

// Objective is a service-level objective of a client account for one route, with
// the group that serves the route.
type Objective struct {
	Account      fleet.AccountID `json:"account"`
	Route        string          `json:"route"`
	Group        fleet.GroupID   `json:"group,omitempty"`
	Availability float64         `json:"availability"`
	Latency      time.Duration   `json:"latency_ns"`
	LatencyShare float64         `json:"latency_share"`
}

// DecisionFinder finds the decision records that match a query.
type DecisionFinder interface {
	Find(q decision.Query) []coredecision.Record
}

type objectiveKey struct {
	account fleet.AccountID
	route   string
}

// Tracker counts requests per objective. It is safe for concurrent use.
type Tracker struct {
	instance  fleet.InstanceID
	decisions DecisionFinder
	registry  metrics.Registry
	now       func() time.Time
	start     time.Time
	series    atomic.Pointer[map[objectiveKey]*series]
	update    sync.Mutex
}

type series struct {
	mu        sync.Mutex
	objective Objective
	ring      [bucketCount]bucket
}

// bucket holds the request counts of one interval of length bucketWidth.
type bucket struct {
	index               int64 // number of the bucket since the Unix epoch
	total, failed, slow uint64
}

// NewTracker returns a tracker without objectives. The registry may be nil.
func NewTracker(instance fleet.InstanceID, d DecisionFinder, r metrics.Registry) *Tracker {
	t := &Tracker{instance: instance, decisions: d, registry: r, now: time.Now, start: time.Now()}
	t.series.Store(&map[objectiveKey]*series{})
	return t
}

// SetObjectives replaces the objectives. The counts of an account and route that
// keep an objective are retained.
func (t *Tracker) SetObjectives(list []Objective) {
	t.update.Lock()
	defer t.update.Unlock()
	old := *t.series.Load()
	next := make(map[objectiveKey]*series, len(list))
	for _, o := range list {
		k := objectiveKey{o.Account, o.Route}
		s := old[k]
		if s == nil {
			s = &series{}
			t.registerGauges(k, s)
		}
		s.mu.Lock()
		s.objective = o
		s.mu.Unlock()
		next[k] = s
	}
	for k := range old {
		if next[k] == nil {
			t.unregisterGauges(k)
		}
	}
	t.series.Store(&next)
}

// Observe counts one finished request. It ignores requests without an objective
// and those that failed through a fault of the caller.
func (t *Tracker) Observe(account fleet.AccountID, route string, latency time.Duration, err error) {
	s := (*t.series.Load())[objectiveKey{account, route}]
	if s == nil || err != nil && causedByCaller(err) {
		return
	}
	bucketIndex := t.now().UnixNano() / int64(bucketWidth)
	s.mu.Lock()
	b := &s.ring[bucketIndex%int64(bucketCount)]
	if b.index != bucketIndex {
		*b = bucket{index: bucketIndex}
	}
	b.total++
	switch {
	case err != nil:
		b.failed++
	case latency > s.objective.Latency:
		b.slow++
	}
	s.mu.Unlock()
}

// causedByCaller reports whether the caller is responsible for the error.
func causedByCaller(err error) bool {
	for _, k := range []outcome.Kind{outcome.BadKey, outcome.KeyWithdrawn, outcome.NotAllowed, outcome.RequestIDReused, outcome.OverRate,
		outcome.NotSupported, outcome.Cancelled, outcome.BadToken, outcome.Protocol} {
		if outcome.IsKind(err, k) {
			return true
		}
	}
	return false
}

// sumWindow returns the sum of the buckets in the window of the given length that
// ends now.
func (s *series) sumWindow(now time.Time, length time.Duration) bucket {
	last := now.UnixNano() / int64(bucketWidth)
	first := last - int64(length/bucketWidth) + 1
	var sum bucket
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.ring {
		if b := &s.ring[i]; b.index >= first && b.index <= last {
			sum.total += b.total
			sum.failed += b.failed
			sum.slow += b.slow
		}
	}
	return sum
}

// Report contains the burn rates of all objectives on one or more instances at
// one time.
type Report struct {
	Time      time.Time          `json:"time"`
	Instances []fleet.InstanceID `json:"instances"`
	// Since is the latest start time of the instances. Windows do not reach
	// further back, since counts of all instances exist only from this time on.
	Since   time.Time `json:"since"`
	Entries []Entry   `json:"entries"`
}

// Entry contains the burn rates of one objective.
type Entry struct {
	Objective
	// State is ok, attention or urgent.
	State   string   `json:"state"`
	Windows []Window `json:"windows"`
	// AvailabilityLeft and LatencyLeft are the shares of the error budgets for
	// the last 6 h that remain. They are negative if a budget is exceeded.
	AvailabilityLeft float64               `json:"availability_left"`
	LatencyLeft      float64               `json:"latency_left"`
	Decisions        []coredecision.Record `json:"decisions,omitempty"`
}

// Window contains the request counts and the burn rates of one window. A rate of
// 1 uses up the error budget exactly.
type Window struct {
	Name             string  `json:"name"`
	Total            uint64  `json:"total"`
	Failed           uint64  `json:"failed"`
	Slow             uint64  `json:"slow"`
	AvailabilityBurn float64 `json:"availability_burn"`
	LatencyBurn      float64 `json:"latency_burn"`
}

// setBurnRates computes the burn rates from the counts.
func (w *Window) setBurnRates(o Objective) {
	w.AvailabilityBurn = burnRate(w.Failed, w.Total, o.Availability)
	w.LatencyBurn = burnRate(w.Slow, w.Total-w.Failed, o.LatencyShare)
}

// burnRate returns the share of bad requests relative to the share that the
// objective allows. It returns 0 if there were no requests, or if the objective
// leaves no error budget.
func burnRate(bad, total uint64, objective float64) float64 {
	if total == 0 || objective >= 1 {
		return 0
	}
	return float64(bad) / float64(total) / (1 - objective)
}

// evaluate sets the burn rates, the state and the remaining budgets from the
// counts of the windows.
func (e *Entry) evaluate() {
	byName := map[string]Window{}
	for i := range e.Windows {
		e.Windows[i].setBurnRates(e.Objective)
		byName[e.Windows[i].Name] = e.Windows[i]
	}
	bothReach := func(short, long string, threshold float64) bool {
		s, l := byName[short], byName[long]
		return s.AvailabilityBurn >= threshold && l.AvailabilityBurn >= threshold || s.LatencyBurn >= threshold && l.LatencyBurn >= threshold
	}
	switch {
	case bothReach("5m", "1h", urgentBurnRate):
		e.State = "urgent"
	case bothReach("30m", "6h", attentionBurnRate):
		e.State = "attention"
	default:
		e.State = "ok"
	}
	e.AvailabilityLeft, e.LatencyLeft = 1-byName["6h"].AvailabilityBurn, 1-byName["6h"].LatencyBurn
}

// Report returns the current burn rates.
func (t *Tracker) Report() Report {
	now := t.now()
	r := Report{Time: now.UTC(), Instances: []fleet.InstanceID{t.instance}, Since: t.start.UTC(), Entries: []Entry{}}
	for _, s := range *t.series.Load() {
		s.mu.Lock()
		e := Entry{Objective: s.objective}
		s.mu.Unlock()
		for _, spec := range WindowSpecs {
			b := s.sumWindow(now, spec.Duration)
			e.Windows = append(e.Windows, Window{Name: spec.Name, Total: b.total, Failed: b.failed, Slow: b.slow})
		}
		e.evaluate()
		if w := e.Windows[len(e.Windows)-1]; w.Failed+w.Slow > 0 {
			e.Decisions = t.relatedDecisions(e.Objective, now)
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

// relatedDecisions returns the newest decisions that concern the objective:
// those about its account, its group, or the instance as a whole.
func (t *Tracker) relatedDecisions(o Objective, now time.Time) []coredecision.Record {
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
	return newestDecisions(out)
}

// newestDecisions sorts the records by time and returns the last maxDecisions.
func newestDecisions(list []coredecision.Record) []coredecision.Record {
	sort.SliceStable(list, func(i, j int) bool { return list[i].Time.Before(list[j].Time) })
	return list[max(0, len(list)-maxDecisions):]
}

// Merge combines the reports of several instances. It adds up their counts and
// computes the burn rates from the sums.
func Merge(reports ...Report) Report {
	var out Report
	byKey := map[objectiveKey]*Entry{}
	var order []objectiveKey
	for _, r := range reports {
		out.Instances = append(out.Instances, r.Instances...)
		if r.Time.After(out.Time) {
			out.Time = r.Time
		}
		if r.Since.After(out.Since) {
			out.Since = r.Since
		}
		for _, e := range r.Entries {
			k := objectiveKey{e.Account, e.Route}
			m := byKey[k]
			if m == nil {
				m = &Entry{Objective: e.Objective}
				for _, spec := range WindowSpecs {
					m.Windows = append(m.Windows, Window{Name: spec.Name})
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
		e.evaluate()
		e.Decisions = newestDecisions(e.Decisions)
		out.Entries = append(out.Entries, *e)
	}
	out.sort()
	return out
}

func (t *Tracker) registerGauges(k objectiveKey, s *series) {
	if t.registry == nil {
		return
	}
	for _, spec := range WindowSpecs {
		get := func(latency bool) func() float64 {
			return func() float64 {
				b := s.sumWindow(t.now(), spec.Duration)
				s.mu.Lock()
				o := s.objective
				s.mu.Unlock()
				w := Window{Total: b.total, Failed: b.failed, Slow: b.slow}
				w.setBurnRates(o)
				if latency {
					return w.LatencyBurn
				}
				return w.AvailabilityBurn
			}
		}
		_ = t.registry.Register(gaugeName(k, spec.Name, "availability"), metrics.NewFunctionalGaugeFloat64(get(false)))
		_ = t.registry.Register(gaugeName(k, spec.Name, "latency"), metrics.NewFunctionalGaugeFloat64(get(true)))
	}
}

func (t *Tracker) unregisterGauges(k objectiveKey) {
	if t.registry == nil {
		return
	}
	for _, spec := range WindowSpecs {
		t.registry.Unregister(gaugeName(k, spec.Name, "availability"))
		t.registry.Unregister(gaugeName(k, spec.Name, "latency"))
	}
}

func gaugeName(k objectiveKey, window, indicator string) string {
	return "burn_" + indicator + `{account="` + string(k.account) + `",route="` + k.route + `",window="` + window + `"}`
}
