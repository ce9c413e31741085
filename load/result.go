package load

import (
	"fmt"
	"io"
	"slices"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Latency summarises a distribution in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p999_ms"`
	Max   float64 `json:"max_ms"`
}

// AccountResult is the service that one account got.
type AccountResult struct {
	ID      string  `json:"id"`
	Offered float64 `json:"offered_per_second"`
	// Within counts requests inside the account's rate and burst, Served those
	// of them that were answered.
	Requests int     `json:"requests"`
	Within   int     `json:"within_rate"`
	Served   int     `json:"served_within_rate"`
	Success  float64 `json:"success_share"`
	// Wrongful counts refusals inside the rate, by SQLSTATE or failure.
	Wrongful map[string]int `json:"wrongful_refusals"`
	// OverRate counts requests refused outside the rate.
	OverRate int     `json:"refused_over_rate"`
	Latency  Latency `json:"latency"`
}

// Gap is the failover gap that one fault caused in one group.
type Gap struct {
	Group string `json:"group"`
	Fault string `json:"fault"`
	// Gap is 0 when no acknowledged write followed; Open is then set.
	Gap  time.Duration `json:"gap"`
	Open bool          `json:"open,omitempty"`
}

// Point is one interval of the time series.
type Point struct {
	At       float64 `json:"at_s"`
	Requests int     `json:"requests"`
	Failed   int     `json:"failed"`
	P50      float64 `json:"p50_ms"`
	P99      float64 `json:"p99_ms"`
	// Burn is the burn rate of an availability objective of 99.9%.
	Burn float64 `json:"burn"`
}

// Result is the result of one run.
type Result struct {
	Name     string   `json:"name"`
	Profile  string   `json:"profile"`
	Baseline string   `json:"baseline,omitempty"`
	Seed     uint64   `json:"seed"`
	Schedule Schedule `json:"schedule"`
	Marks    []Mark   `json:"marks"`
	// Replica share of reads: by the endpoints' own counts.
	ReplicaReads int64   `json:"replica_reads"`
	PrimaryReads int64   `json:"primary_reads"`
	ReplicaShare float64 `json:"replica_share"`
	Gaps         []Gap   `json:"failover_gaps"`
	GapMedian    float64 `json:"failover_gap_median_ms"`
	GapWorst     float64 `json:"failover_gap_worst_ms"`
	Latency      Latency `json:"latency"`
	// WorstAccount has the highest p99 among the accounts that do not flood.
	WorstAccount  string          `json:"worst_account"`
	WorstP99      float64         `json:"worst_p99_ms"`
	BestP99       float64         `json:"best_p99_ms"`
	WorstSuccess  float64         `json:"worst_success_share"`
	BestSuccess   float64         `json:"best_success_share"`
	Wrongful      map[string]int  `json:"wrongful_refusals"`
	WrongfulShare float64         `json:"wrongful_share"`
	OverAdmitted  int             `json:"over_admissions"`
	Dropped       int64           `json:"arrivals_dropped_by_the_load_tool"`
	Accounts      []AccountResult `json:"accounts"`
	Series        []Point         `json:"series"`
	Verdict       *Verdict        `json:"verdict"`
}

const (
	// seriesStep is the width of one interval of the time series.
	seriesStep = 250 * time.Millisecond
	// burnObjective is the availability behind the burn plot.
	burnObjective = 0.999
	// gapWindow bounds how long after a fault a gap is looked for.
	gapWindow = 30 * time.Second
	// overRate is the SQLSTATE of a refusal for the account's rate.
	overRate = "VH429"
	// histogramMax is one minute in microseconds.
	histogramMax = 60_000_000
)

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, histogramMax, 3) }

// record adds a latency, counted from the intended start, so that a stalled
// session does not hide the requests that waited for it.
func record(h *hdrhistogram.Histogram, o Op) {
	h.RecordValue(min(max((o.End-o.Intended).Microseconds(), 1), histogramMax))
}

func ms(micros int64) float64 { return float64(micros) / 1000 }

func summary(h *hdrhistogram.Histogram) Latency {
	return Latency{
		Count: h.TotalCount(), P50: ms(h.ValueAtQuantile(50)), P90: ms(h.ValueAtQuantile(90)),
		P99: ms(h.ValueAtQuantile(99)), P999: ms(h.ValueAtQuantile(99.9)), Max: ms(h.Max()),
	}
}

// result computes the measures from the history.
func (r *runner) result(rows []Row, before, after map[string]endpointStats) *Result {
	res := &Result{
		Profile: r.cfg.Profile.Name, Seed: r.cfg.Seed, Schedule: r.cfg.Schedule, Marks: r.marks,
		Wrongful: map[string]int{}, Verdict: Check(r.history.ops, rows, 20*time.Second),
	}
	slices.SortFunc(res.Marks, func(a, b Mark) int { return int(a.Begin - b.Begin) })
	measured := slices.DeleteFunc(slices.Clone(r.history.ops), func(o Op) bool { return o.Intended < 0 })
	sort.SliceStable(measured, func(i, j int) bool { return measured[i].Start < measured[j].Start })
	all := newHistogram()
	for _, o := range measured {
		if o.Result == Done {
			record(all, o)
		}
	}
	res.Latency = summary(all)
	r.replicaShare(res, before, after)
	res.Gaps = gaps(measured, res.Marks)
	res.GapMedian, res.GapWorst = medianWorst(res.Gaps)
	within := 0
	flooding := map[string]bool{}
	for _, f := range r.cfg.Schedule.Faults {
		if f.Action == "flood" {
			flooding[f.Target[len("account:"):]] = true
		}
	}
	res.BestSuccess, res.WorstSuccess = 0, 1
	for _, a := range r.accounts {
		var ops []Op
		for _, o := range measured {
			if o.Account == a.ID {
				ops = append(ops, o)
			}
		}
		ar := accountResult(a.Account, ops)
		res.Accounts = append(res.Accounts, ar)
		res.OverAdmitted += overAdmissions(ops, a.Rate, a.Burst)
		res.Dropped += a.dropped.Load()
		within += ar.Within
		for code, n := range ar.Wrongful {
			res.Wrongful[code] += n
		}
		if flooding[a.ID] || ar.Latency.Count == 0 {
			continue
		}
		if ar.Latency.P99 > res.WorstP99 {
			res.WorstAccount, res.WorstP99 = a.ID, ar.Latency.P99
		}
		if res.BestP99 == 0 || ar.Latency.P99 < res.BestP99 {
			res.BestP99 = ar.Latency.P99
		}
		res.WorstSuccess, res.BestSuccess = min(res.WorstSuccess, ar.Success), max(res.BestSuccess, ar.Success)
	}
	refused := 0
	for _, n := range res.Wrongful {
		refused += n
	}
	if within > 0 {
		res.WrongfulShare = float64(refused) / float64(within)
	}
	res.Series = series(measured, r.cfg.Schedule.Duration)
	return res
}

// replicaShare uses the endpoints' own counts. An endpoint that does not answer
// at both ends of the run, because it is dead, is left out.
func (r *runner) replicaShare(res *Result, before, after map[string]endpointStats) {
	for id, a := range after {
		b, known := before[id]
		if !known {
			continue
		}
		res.PrimaryReads += a.PrimaryReads - b.PrimaryReads
		res.ReplicaReads += a.ReplicaReads - b.ReplicaReads
	}
	if n := res.PrimaryReads + res.ReplicaReads; n > 0 {
		res.ReplicaShare = float64(res.ReplicaReads) / float64(n)
	}
}

// gaps measures, for each fault of a primary, the longest time between two
// acknowledged writes of its group from shortly before the fault on.
func gaps(ops []Op, marks []Mark) []Gap {
	var out []Gap
	for _, m := range marks {
		if m.Group == "" || m.Error != "" || m.Action != "cut" && m.Action != "kill" && m.Action != "pause" {
			continue
		}
		var acks []time.Duration
		for _, o := range ops {
			if o.Kind == Write && o.Result == Done && o.Database == m.Group && o.End > m.Begin-time.Second && o.End < m.Begin+gapWindow {
				acks = append(acks, o.End)
			}
		}
		slices.Sort(acks)
		g := Gap{Group: m.Group, Fault: m.Action + " " + m.Resolved, Open: true}
		for i := 1; i < len(acks); i++ {
			if acks[i] > m.Begin {
				g.Gap, g.Open = max(g.Gap, acks[i]-acks[i-1]), false
			}
		}
		out = append(out, g)
	}
	return out
}

func medianWorst(gs []Gap) (median, worst float64) {
	var ds []float64
	for _, g := range gs {
		if !g.Open {
			ds = append(ds, float64(g.Gap)/float64(time.Millisecond))
		}
	}
	if len(ds) == 0 {
		return 0, 0
	}
	slices.Sort(ds)
	return ds[(len(ds)-1)/2], ds[len(ds)-1]
}

// accountResult replays an ideal bucket of the account's rate and burst over
// its requests: a request that finds a token is inside the rate and takes it,
// whatever became of it. An account above its rate may have other requests
// served than the ideal bucket picks, so refusals for the rate count as
// wrongful only as far as fewer requests were served than the bucket allows.
func accountResult(a Account, ops []Op) AccountResult {
	ar := AccountResult{ID: a.ID, Offered: a.Offered, Requests: len(ops), Wrongful: map[string]int{}}
	h := newHistogram()
	level, last := a.Burst, time.Duration(0)
	done, wrongful := 0, 0
	for _, o := range ops {
		level = min(a.Burst, level+a.Rate*max(0, o.Start-last).Seconds())
		last = max(last, o.Start)
		within := level >= 1 || a.Rate == 0
		if o.Result == Done {
			record(h, o)
			done++
		}
		if !within {
			if o.Result == NotRun {
				ar.OverRate++
			}
			continue
		}
		level--
		ar.Within++
		if o.Result == Done {
			continue
		}
		code := o.Code
		if o.Result == Unknown {
			code = "unknown:" + code
		}
		ar.Wrongful[code]++
		wrongful++
	}
	if excess := min(wrongful-max(0, ar.Within-done), ar.Wrongful[overRate]); excess > 0 {
		ar.OverRate += excess
		wrongful -= excess
		if ar.Wrongful[overRate] -= excess; ar.Wrongful[overRate] == 0 {
			delete(ar.Wrongful, overRate)
		}
	}
	ar.Served = ar.Within - wrongful
	ar.Success = 1
	if ar.Within > 0 {
		ar.Success = float64(ar.Served) / float64(ar.Within)
	}
	ar.Latency = summary(h)
	return ar
}

// overAdmissions returns by how much the requests that ran exceed the burst
// and the rate in the worst interval. Only requests that began and ended
// inside an interval count, because those were admitted in it for certain.
func overAdmissions(ops []Op, rate, burst float64) int {
	if rate <= 0 {
		return 0
	}
	var ran []Op
	for _, o := range ops {
		if o.Result == Done {
			ran = append(ran, o)
		}
	}
	worst := 0
	for _, width := range []time.Duration{50 * time.Millisecond, 200 * time.Millisecond, time.Second, 5 * time.Second, 20 * time.Second} {
		step := width / 10
		counts := map[int64]int{}
		for _, o := range ran {
			// The windows [k*step, k*step+width) that hold the request whole.
			for k := int64((o.End-width)/step) - 1; k <= int64(o.Start/step)+1; k++ {
				from := time.Duration(k) * step
				if o.Start >= from && o.End < from+width {
					counts[k]++
				}
			}
		}
		allowed := int(burst + rate*width.Seconds())
		for _, n := range counts {
			worst = max(worst, n-allowed)
		}
	}
	return worst
}

func series(ops []Op, duration time.Duration) []Point {
	n := int(duration/seriesStep) + 1
	hs := make([]*hdrhistogram.Histogram, n)
	out := make([]Point, n)
	for i := range out {
		hs[i], out[i].At = newHistogram(), (time.Duration(i) * seriesStep).Seconds()
	}
	for _, o := range ops {
		i := min(int(o.Intended/seriesStep), n-1)
		out[i].Requests++
		if o.Result == Done {
			record(hs[i], o)
		} else {
			out[i].Failed++
		}
	}
	for i := range out {
		if out[i].Requests > 0 {
			out[i].Burn = float64(out[i].Failed) / float64(out[i].Requests) / (1 - burnObjective)
		}
		out[i].P50, out[i].P99 = ms(hs[i].ValueAtQuantile(50)), ms(hs[i].ValueAtQuantile(99))
	}
	return out
}

// WriteTable prints one line per result.
func WriteTable(w io.Writer, results []*Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "scenario\tbaseline\treplica share\tgap median ms\tgap worst ms\tp50 ms\tp99 ms\tworst account\tits p99\tbest p99\tworst success\tbest success\twrongful\tover\tviolations\t")
	for _, r := range results {
		violations := 0
		for _, n := range r.Verdict.Counts {
			violations += n
		}
		wrongful := 0
		for _, n := range r.Wrongful {
			wrongful += n
		}
		gap := func(v float64) string {
			for _, g := range r.Gaps {
				if g.Open {
					return "open"
				}
			}
			if len(r.Gaps) == 0 {
				return "-"
			}
			return fmt.Sprintf("%.0f", v)
		}
		fmt.Fprintf(t, "%s\t%s\t%.3f\t%s\t%s\t%.1f\t%.1f\t%s\t%.1f\t%.1f\t%.4f\t%.4f\t%d (%.3f%%)\t%d\t%d\t\n",
			r.Name, r.Baseline, r.ReplicaShare, gap(r.GapMedian), gap(r.GapWorst), r.Latency.P50, r.Latency.P99,
			r.WorstAccount, r.WorstP99, r.BestP99, r.WorstSuccess, r.BestSuccess, wrongful, 100*r.WrongfulShare, r.OverAdmitted, violations)
	}
	return t.Flush()
}
