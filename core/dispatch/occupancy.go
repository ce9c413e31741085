package dispatch

import (
	"math"
	"time"
)

// occupancyWindow is the time constant of the average number of statements in flight. It
// covers tens of statements that only a primary can run at the usual rates of a group,
// and follows a surge of 2 s.
const occupancyWindow = time.Second

// Occupancy is the number of statements in flight and its average over time. The zero
// value is ready to use.
type Occupancy struct {
	inFlight int
	mean     float64
	at       time.Duration
}

// Add adds n, which may be negative, to the statements in flight.
func (o *Occupancy) Add(now time.Duration, n int) {
	o.mean, o.at = o.Mean(now), now
	o.inFlight += n
}

// InFlight returns the number of statements in flight, and Mean its average.
func (o *Occupancy) InFlight() int { return o.inFlight }

// Mean returns the average number of statements in flight.
func (o *Occupancy) Mean(now time.Duration) float64 {
	n := float64(o.inFlight)
	return n + (o.mean-n)*math.Exp(-max(0, (now-o.at).Seconds())/occupancyWindow.Seconds())
}

// demandPriorities is the number of priorities that PrimaryDemand tells apart.
const demandPriorities = 4

// PrimaryDemand is the demand at a primary for statements that only it can run, by
// priority. The zero value is ready to use.
type PrimaryDemand struct{ byPriority [demandPriorities]Occupancy }

// Add adds n statements of a priority, which may be negative, to those in flight.
func (d *PrimaryDemand) Add(now time.Duration, priority, n int) {
	d.byPriority[min(max(priority, 0), demandPriorities-1)].Add(now, n)
}

// Protected is the part of a demand that goes before a statement of some priority.
type Protected struct{ inFlight, mean float64 }

// Protected returns the demand that goes before a statement of a priority: that of more
// urgent priorities, and of the same priority by the weight equal. That is 0 for a
// statement of the demand itself. For a read that replicas could run it is 1 while all statements of the priority can be served, so that only their place
// matters, and 0 once some have to be refused anyway: then it makes no difference to
// callers whether the primary runs the one or the other, and transactions cost more.
func (d *PrimaryDemand) Protected(now time.Duration, priority int, equal float64) (p Protected) {
	last := min(max(priority, 0), demandPriorities-1)
	for i := range last + 1 {
		weight := 1.0
		if i == last {
			weight = equal
		}
		o := &d.byPriority[i]
		p.inFlight += weight * float64(o.inFlight)
		p.mean += weight * o.Mean(now)
	}
	return p
}

// Reserve returns how many of a primary's statements in flight are kept for the demand:
// the average and one standard deviation, as the number in flight varies like that of
// independent arrivals. One other statement may run at all times, so that the reserve
// cannot stop them.
func (p Protected) Reserve(limit int) float64 {
	return math.Min(p.mean+math.Sqrt(p.mean), float64(limit-1))
}

// AdmitsOther reports whether a primary with inFlight statements, of at most limit, may be
// sent one that does not belong to the demand.
func (p Protected) AdmitsOther(inFlight, limit int) bool {
	return inFlight+int(math.Max(0, p.Reserve(limit)-p.inFlight)+0.5) < limit
}

// Displacement returns by how much a statement that occupies one of the primary's slots
// for the given time delays the demand, in total.
func (p Protected) Displacement(took time.Duration, slots int) time.Duration {
	return time.Duration(float64(took) * p.mean / float64(max(1, slots)))
}
