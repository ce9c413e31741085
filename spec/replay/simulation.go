package replay

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/vanillahinge/vanillahinge/core/fair"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/outcome"
	"github.com/vanillahinge/vanillahinge/core/quota"
	"github.com/vanillahinge/vanillahinge/core/retry"
	"github.com/vanillahinge/vanillahinge/core/route"
	"github.com/vanillahinge/vanillahinge/core/session"
	"github.com/vanillahinge/vanillahinge/core/snapshot"
)

// Parameters of the simulation.
const (
	// start is the simulated time of time 0 of the trace; the quota cores settle
	// before it.
	start = 5 * time.Second
	// drainTime is how long the simulation continues after the last arrival.
	drainTime = 5 * time.Second
	// oneWayDelay is the one-way delay between instances and between an instance
	// and an endpoint.
	oneWayDelay = time.Millisecond
	deadline    = 2 * time.Second
	// defaultCost is the execution time of a statement.
	defaultCost = time.Millisecond
	groupID     = "g"
)

var (
	epoch    = time.Unix(1_700_000_000, 0)
	tokenKey = []byte("a key of the replayed bundle")
)

// simulation is the simulated system during one replay.
type simulation struct {
	trace        *Trace
	disabledRule string // the disabled rule, empty if none
	rng          *rand.Rand
	now          time.Duration
	end          time.Duration
	queue        timerQueue
	seq          int

	endpoints []*endpoint
	instances map[string]*instance
	accounts  map[string]*account
	sessions  map[string]*caller
	labels    map[string]*request
	log       []entry
	outcomes  map[string]storedOutcome
}

// endpoint is a simulated endpoint. It serves requests in its slots and keeps the
// others waiting.
type endpoint struct {
	endpointSpec
	busySlots int
	waiting   []func()
}

// instance is a simulated instance with its cores; maps are keyed by account.
type instance struct {
	id         string
	lenders    map[string]*quota.Lender
	holders    map[string]*quota.Holder
	pending    map[string][]*request
	queues     []*fair.Queue[*request] // one per endpoint
	retry      *retry.Policy
	routing    route.Config
	tieBreaker uint32
}

type account struct {
	accountSpec
	done, refused int
	latencies     []time.Duration
	// tokens is the fill level of a reference bucket of the account's whole rate and
	// burst; minTokens is its minimum, below 0 by the number of requests admitted in
	// excess.
	tokens, minTokens float64
	refilledAt        time.Duration
}

// caller is a client session. encodedToken is the last token that the client was
// given.
type caller struct {
	account, instance string
	token             session.Token
	encodedToken      string
	floorObservedAt   time.Time
}

// entry is an entry of the group's log. Its position is its index plus 1.
type entry struct {
	at         time.Duration
	verb       string
	key, value string
}

// storedOutcome is the stored outcome of a request id.
type storedOutcome struct{ digest, value string }

type request struct {
	account     string
	session     *caller // nil for streams
	instance    *instance
	verb        string
	key, val    string
	sql         string
	statement   route.Statement
	maxAge      time.Duration
	hasAge      bool
	cost        time.Duration
	loseAnswer  bool // the next answer is lost after execution
	refuseStale bool // the next attempt is refused with a stale term
	arrived     time.Duration
	attempt     int
	waited      time.Duration
	confirm     bool

	outcome, value, role string
}

// Run replays the trace with disabledRule disabled, or with all rules enabled if it
// is empty. It returns one line with the measured value for each expectation, and
// those lines whose expectation is not met.
func (t *Trace) Run(disabledRule string) (measured, failed []string, err error) {
	w := &simulation{trace: t, disabledRule: disabledRule, rng: rand.New(rand.NewPCG(t.Seed, 0)), instances: map[string]*instance{},
		accounts: map[string]*account{}, sessions: map[string]*caller{}, labels: map[string]*request{},
		outcomes: map[string]storedOutcome{}}
	if err := w.build(); err != nil {
		return nil, nil, err
	}
	for len(w.queue) > 0 && w.now < w.end {
		e := heap.Pop(&w.queue).(timer)
		w.now = e.at
		e.do()
	}
	expect := t.expect
	if disabledRule != "" {
		expect = t.broken
	}
	for _, e := range expect {
		got, err := w.measure(e)
		if err != nil {
			return nil, nil, fmt.Errorf("replay: line %d: %w", e.line, err)
		}
		line := fmt.Sprintf("line %d: %s %s %s is %s, want %s %s", e.line, e.subject, e.name, e.field, got, e.op, e.wanted)
		measured = append(measured, line)
		if !e.matches(got) {
			failed = append(failed, line)
		}
	}
	return measured, failed, nil
}

// build creates the simulated system and schedules the events of the trace.
func (w *simulation) build() error {
	t := w.trace
	for _, s := range t.endpoints {
		w.endpoints = append(w.endpoints, &endpoint{endpointSpec: s})
	}
	for _, s := range t.accounts {
		w.accounts[s.id] = &account{accountSpec: s, tokens: s.burst}
	}
	var ids []string
	for _, s := range t.instances {
		ids = append(ids, s.id)
		in := &instance{id: s.id, lenders: map[string]*quota.Lender{}, holders: map[string]*quota.Holder{},
			pending: map[string][]*request{},
			retry:   retry.New(retry.Config{RetryUnknown: w.disabledRule == "retry"}, t.Seed),
			routing: route.Config{DataCentre: fleet.DataCentre(s.dc), PreferDataCentre: true, IgnoreFloor: w.disabledRule == "floor"}}
		w.instances[s.id] = in
		mode := fair.Weighted
		if w.disabledRule == "fair" {
			mode = fair.FIFO
		}
		for _, ep := range w.endpoints {
			in.queues = append(in.queues, fair.New[*request](fair.Config{Mode: mode, Slots: ep.slots}))
		}
		for i, acc := range t.accounts {
			share := quota.Share{Rate: acc.rate, Burst: acc.burst, FleetSlots: uint32(len(t.instances)), Slots: 1}
			lending := quota.Lending
			if w.disabledRule == "quota" {
				// Each instance enforces the whole limit on its own.
				share.FleetSlots, lending = 1, quota.StaticSplit
			}
			l := quota.NewLender(0, fleet.AccountID(acc.id), lending, 1)
			l.SetShare(0, share)
			l.SetHolder(0, fleet.InstanceID(t.instances[i%len(t.instances)].id))
			h := quota.NewHolder(fleet.AccountID(acc.id), 1)
			h.SetShare(0, share)
			in.lenders[acc.id], in.holders[acc.id] = l, h
		}
	}
	for _, s := range t.sessions {
		if w.instances[s.instance] == nil || w.accounts[s.account] == nil {
			return fmt.Errorf("replay: session %s names an unknown account or instance", s.id)
		}
		c := &caller{account: s.account, instance: s.instance, token: session.New(fleet.AccountID(s.account))}
		if !s.noToken {
			c.token.Raise(groupID, fleet.LogPosition{Term: 1})
		}
		w.sessions[s.id] = c
	}
	for i := range t.events {
		if err := w.schedule(&t.events[i]); err != nil {
			return err
		}
	}
	w.end += drainTime
	for _, id := range ids {
		w.tick(w.instances[id])
	}
	return nil
}

// tick performs the periodic work of an instance: quota calls, expired requests and
// dispatch.
func (w *simulation) tick(in *instance) {
	for _, acc := range w.trace.accounts {
		w.sendExchange(in, acc.id)
	}
	for i, q := range in.queues {
		for it := q.Expired(w.now); it != nil; it = q.Expired(w.now) {
			w.finish(it.Value, string(outcome.QueueDeadline), "")
		}
		w.dispatch(in, i)
	}
	w.after(5*time.Millisecond, func() { w.tick(in) })
}

// schedule schedules an event of the trace.
func (w *simulation) schedule(e *event) error {
	at := start + e.at
	w.end = max(w.end, at)
	switch e.verb {
	case "lag":
		for _, ep := range w.endpoints {
			if ep.id == e.target {
				lag, err := time.ParseDuration(e.to)
				w.after(at, func() { ep.lag = lag })
				return err
			}
		}
		return fmt.Errorf("replay: unknown endpoint %s", e.target)
	case "stream":
		return w.stream(e, at)
	}
	c := w.sessions[e.target]
	if c == nil {
		return fmt.Errorf("replay: unknown session %s", e.target)
	}
	if e.verb == "move" {
		if w.instances[e.to] == nil {
			return fmt.Errorf("replay: unknown instance %s", e.to)
		}
		w.after(at, func() { w.move(c, e.to, e.args.str("token") == "none") })
		return nil
	}
	a := &e.args
	rq := &request{account: c.account, session: c, verb: e.verb, key: a.str("key"), val: a.str("value"),
		maxAge: a.duration("max-age", 0), hasAge: a.has("max-age"), cost: a.duration("cost", defaultCost),
		loseAnswer: a.has("lost"), refuseStale: a.has("stale-term")}
	if a.err != nil {
		return a.err
	}
	w.labels[e.label] = rq
	if e.verb == "read" {
		rq.sql = "SELECT value FROM t WHERE key = '" + rq.key + "'"
	} else {
		rq.sql = "INSERT INTO t VALUES ('" + rq.key + "', '" + rq.val + "')"
		if a.has("id") {
			rq.sql = "/* vh.request_id='" + a.str("id") + "' */ " + rq.sql
		}
	}
	w.after(at, func() {
		if label, value, ok := strings.Cut(a.str("if"), ":"); ok {
			if seen := w.labels[label]; seen == nil || seen.value != value {
				rq.outcome = "skipped"
				return
			}
		}
		rq.instance = w.instances[c.instance]
		w.submit(rq)
	})
	return nil
}

// stream schedules reads with exponentially distributed interarrival times.
func (w *simulation) stream(e *event, at time.Duration) error {
	a := &e.args
	rate, length, cost := a.number("rate"), a.duration("for", 0), a.duration("cost", defaultCost)
	if a.err != nil || w.accounts[e.target] == nil || rate <= 0 {
		return fmt.Errorf("replay: bad stream of %s: %w", e.target, a.err)
	}
	var targets []*instance
	for id := range strings.SplitSeq(a.str("instances"), ",") {
		if w.instances[id] == nil {
			return fmt.Errorf("replay: unknown instance %s", id)
		}
		targets = append(targets, w.instances[id])
	}
	w.end = max(w.end, at+length)
	n := 0
	for t := at; t < at+length; t += time.Duration(w.rng.ExpFloat64() / rate * float64(time.Second)) {
		rq := &request{account: e.target, verb: "read", key: "stream", sql: "SELECT 1", cost: cost, instance: targets[n%len(targets)]}
		n++
		w.after(t, func() { w.submit(rq) })
	}
	return nil
}

// move reconnects the client to another instance and presents its token there.
func (w *simulation) move(c *caller, to string, noToken bool) {
	c.instance, c.floorObservedAt = to, time.Time{}
	account := fleet.AccountID(c.account)
	c.token = session.New(account)
	if noToken || c.encodedToken == "" {
		return
	}
	if t, err := session.Verify([][]byte{tokenKey}, account, c.encodedToken); err == nil {
		c.token = t
	}
}

// submit passes a request to the rate limit of its account.
func (w *simulation) submit(rq *request) {
	rq.arrived, rq.attempt = w.now, 1
	rq.statement = route.Classify(rq.sql)
	rq.instance.retry.RecordRequest()
	w.applyDecision(rq, rq.instance.lenders[rq.account].Admit(w.now, 1))
}

// applyDecision applies the decision of the rate limit: refuses the request,
// routes it, or keeps it pending.
func (w *simulation) applyDecision(rq *request, v quota.Result) {
	in := rq.instance
	switch v.Decision {
	case quota.Refused:
		w.finish(rq, string(outcome.OverRate), "")
	case quota.Admitted:
		acc := w.accounts[rq.account]
		acc.tokens = min(acc.tokens+acc.rate*(w.now-acc.refilledAt).Seconds(), acc.burst) - 1
		acc.refilledAt = w.now
		acc.minTokens = min(acc.minTokens, acc.tokens)
		w.routeRequest(rq)
	case quota.Pending:
		in.pending[rq.account] = append(in.pending[rq.account], rq)
		w.sendExchange(in, rq.account)
		w.after(v.After, func() {
			if i := slices.Index(in.pending[rq.account], rq); i >= 0 {
				in.pending[rq.account] = slices.Delete(in.pending[rq.account], i, i+1)
				w.applyDecision(rq, in.lenders[rq.account].AdmitPending(w.now, 1))
			}
		})
	}
}

// sendExchange sends the quota call that is due, if any.
func (w *simulation) sendExchange(in *instance, acc string) {
	ex, to, ok := in.lenders[acc].NextExchange(w.now)
	if !ok {
		return
	}
	ex.Closed = slices.Clone(ex.Closed)
	delay := oneWayDelay
	if string(to) == in.id {
		delay = 0
	}
	w.after(delay, func() {
		g := w.instances[string(to)].holders[acc].HandleExchange(w.now, fleet.InstanceID(in.id), ex)
		w.after(delay, func() {
			in.lenders[acc].HandleGrant(w.now, to, g)
			waiting := in.pending[acc]
			in.pending[acc] = nil
			for _, rq := range waiting {
				w.applyDecision(rq, in.lenders[acc].AdmitPending(w.now, 1))
			}
			w.sendExchange(in, acc)
		})
	})
}

// applied returns how much of the log an endpoint has applied.
func (w *simulation) applied(ep *endpoint) int {
	return prefixLength(w.log, func(e entry) bool { return ep.primary || e.at+ep.lag <= w.now })
}

// prefixLength returns the length of the longest prefix whose entries all
// satisfy ok.
func prefixLength(log []entry, ok func(entry) bool) int {
	n := 0
	for n < len(log) && ok(log[n]) {
		n++
	}
	return n
}

// group returns the current snapshot of the group, as an instance sees it.
func (w *simulation) group() *snapshot.Group {
	now := epoch.Add(w.now)
	g := &snapshot.Group{ID: groupID, Term: 1}
	for _, ep := range w.endpoints {
		role := fleet.RoleReplica
		if ep.primary {
			role = fleet.RolePrimary
			g.Primary = fleet.EndpointID(ep.id)
		}
		pos := fleet.Position(w.applied(ep))
		g.Endpoints = append(g.Endpoints, &snapshot.Endpoint{ID: fleet.EndpointID(ep.id), DataCentre: fleet.DataCentre(ep.dc),
			Slots: ep.slots, StatusAt: now, AppliedAsOf: now.Add(-ep.lag), Status: fleet.EndpointStatus{Role: role, Term: 1,
				AppliedTerm: 1, Applied: pos, LastLogTerm: 1, Received: pos}})
	}
	return g
}

// routeRequest chooses an endpoint for the request and queues it there.
func (w *simulation) routeRequest(rq *request) {
	in := rq.instance
	in.tieBreaker++
	req := route.Request{Group: w.group(), Write: rq.statement.Kind != route.Read, FloorKnown: true, MaxAge: rq.maxAge,
		MaxAgeSet: rq.hasAge, PrimaryLatency: 5 * time.Millisecond, Waited: rq.waited, TieBreaker: in.tieBreaker}
	if c := rq.session; c != nil {
		req.Floor, req.FloorKnown = c.token.Floor(groupID)
		req.FloorObservedAt = c.floorObservedAt
	}
	for i := range w.endpoints {
		req.InFlight = append(req.InFlight, float64(in.queues[i].InFlight()+in.queues[i].Len()))
	}
	d := route.Choose(epoch.Add(w.now), &in.routing, &req)
	switch d.Action {
	case route.Unavailable:
		w.finish(rq, string(outcome.Unavailable), "")
	case route.Wait:
		step := min(d.Wait, oneWayDelay)
		rq.waited += step
		w.after(step, func() { w.routeRequest(rq) })
	case route.Use:
		rq.confirm, rq.role = d.Confirm, "replica"
		if d.Primary {
			rq.role = "primary"
		}
		i := slices.IndexFunc(w.endpoints, func(ep *endpoint) bool { return ep.id == string(d.Endpoint.ID) })
		in.queues[i].Push(w.now, &fair.Item[*request]{Account: fleet.AccountID(rq.account),
			Weight: w.accounts[rq.account].weight, Deadline: rq.arrived + deadline, Value: rq})
		w.dispatch(in, i)
	}
}

// dispatch starts the requests that the in-flight limit allows.
func (w *simulation) dispatch(in *instance, i int) {
	q, ep := in.queues[i], w.endpoints[i]
	for it := q.Next(w.now); it != nil; it = q.Next(w.now) {
		w.after(oneWayDelay, func() {
			w.serve(ep, it.Value, func() {
				w.after(oneWayDelay, func() {
					q.Done(w.now, it, true)
					w.dispatch(in, i)
				})
			})
		})
	}
}

// serve executes a request as soon as the endpoint has a free slot.
func (w *simulation) serve(ep *endpoint, rq *request, done func()) {
	if ep.busySlots == ep.slots {
		ep.waiting = append(ep.waiting, func() { w.serve(ep, rq, done) })
		return
	}
	ep.busySlots++
	w.after(rq.cost, func() {
		ep.busySlots--
		if len(ep.waiting) > 0 {
			next := ep.waiting[0]
			ep.waiting = ep.waiting[1:]
			next()
		}
		w.execute(ep, rq)
		done()
	})
}

// execute applies a request at the endpoint and sends the answer.
func (w *simulation) execute(ep *endpoint, rq *request) {
	if rq.refuseStale {
		rq.refuseStale = false
		w.handleError(rq, outcome.New(outcome.StaleTerm, outcome.NotRun, "stale term", "retry"))
		return
	}
	value := ""
	if rq.verb == "read" {
		value = lastValue(w.log[:w.applied(ep)], rq.key)
	} else {
		id, digest := rq.account+"/"+rq.statement.RequestID, rq.verb+" "+rq.key+" "+rq.val
		first, seen := w.outcomes[id]
		switch {
		case rq.statement.RequestID != "" && seen && w.disabledRule != "request-id":
			if first.digest != digest {
				w.after(oneWayDelay, func() { w.finish(rq, string(outcome.RequestIDReused), "") })
				return
			}
			value = first.value
		default:
			w.log = append(w.log, entry{w.now, rq.verb, rq.key, rq.val})
			value = rq.val
			w.outcomes[id] = storedOutcome{digest, value}
		}
	}
	position := fleet.Position(len(w.log))
	w.after(oneWayDelay, func() {
		if rq.loseAnswer {
			rq.loseAnswer = false
			w.handleError(rq, outcome.New(outcome.WriteUnknown, outcome.Unknown, "no answer", "repeat with the request id"))
			return
		}
		w.handleAnswer(rq, value, position)
	})
}

// lastValue returns the last value of a key in a log.
func lastValue(log []entry, key string) string {
	value := "none"
	for _, e := range log {
		if e.key == key {
			value = e.value
		}
	}
	return value
}

// handleAnswer raises the floor after a write or a confirmed read, gives the
// client its token and finishes the request.
func (w *simulation) handleAnswer(rq *request, value string, position fleet.Position) {
	if c := rq.session; c != nil && (rq.verb != "read" || rq.confirm) {
		c.token.Raise(groupID, fleet.LogPosition{Term: 1, Position: position})
		c.floorObservedAt = epoch.Add(w.now)
		if text, err := session.NewSigner(tokenKey).Sign(&c.token); err == nil {
			c.encodedToken = text
		}
	}
	w.finish(rq, "done", value)
}

// handleError retries a request after an error if the retry policy allows it.
func (w *simulation) handleError(rq *request, err *outcome.Error) {
	d := rq.instance.retry.Decide(retry.Attempt{Number: rq.attempt, Outcome: err.Outcome, Kind: err.Kind,
		ReadOnly: rq.verb == "read", Remaining: deadline - (w.now - rq.arrived)})
	if d.Retry {
		rq.attempt++
		w.after(d.After, func() { w.routeRequest(rq) })
		return
	}
	if err.Outcome == outcome.Unknown {
		w.finish(rq, "unknown", "")
		return
	}
	w.finish(rq, string(err.Kind), "")
}

// finish records the result of a request.
func (w *simulation) finish(rq *request, result, value string) {
	rq.outcome, rq.value = result, value
	acc := w.accounts[rq.account]
	switch result {
	case "done":
		acc.done++
		acc.latencies = append(acc.latencies, w.now-rq.arrived)
	case string(outcome.OverRate), string(outcome.QueueDeadline), string(outcome.Unavailable):
		acc.refused++
	}
}

// measure returns the current value of the subject of an expectation.
func (w *simulation) measure(e expectation) (string, error) {
	switch e.subject {
	case "label":
		if rq := w.labels[e.name]; rq != nil {
			switch e.field {
			case "outcome":
				return rq.outcome, nil
			case "value":
				return rq.value, nil
			case "role":
				return rq.role, nil
			}
		}
	case "key":
		switch e.field {
		case "value":
			return lastValue(w.log, e.name), nil
		case "rows":
			rows := 0
			for _, en := range w.log {
				if en.key == e.name {
					rows++
					if en.verb == "put" {
						rows = 1
					}
				}
			}
			return strconv.Itoa(rows), nil
		}
	case "account":
		acc := w.accounts[e.name]
		if acc == nil {
			break
		}
		switch e.field {
		case "done":
			return strconv.Itoa(acc.done), nil
		case "refused":
			return strconv.Itoa(acc.refused), nil
		case "excess":
			return strconv.Itoa(int(math.Ceil(-acc.minTokens - 1e-6))), nil
		case "p99":
			if len(acc.latencies) == 0 {
				return "none", nil
			}
			slices.Sort(acc.latencies)
			return acc.latencies[(len(acc.latencies)*99-1)/100].String(), nil
		}
	}
	return "", fmt.Errorf("cannot measure %s %s %s", e.subject, e.name, e.field)
}

// timer is a scheduled function. timerQueue is a heap of them, ordered by time
// and, at equal times, by the order of scheduling.
type timer struct {
	at  time.Duration
	seq int
	do  func()
}

type timerQueue []timer

func (a timerQueue) Len() int { return len(a) }
func (a timerQueue) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}
func (a timerQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *timerQueue) Push(x any)   { *a = append(*a, x.(timer)) }
func (a *timerQueue) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// after schedules do to run after d. Functions due at the same time run in the
// order in which they were scheduled.
func (w *simulation) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, timer{w.now + d, w.seq, do})
}
