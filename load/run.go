package load

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
)

// Config describes one run.
type Config struct {
	Profile  Profile
	Fleet    Fleet
	Schedule Schedule
	Seed     uint64
	// Warmup is driven before the measured part.
	Warmup time.Duration
	// RetryUnknown repeats writes of unknown outcome with their request id.
	RetryUnknown bool
	// Timeout bounds one attempt of a request, 5 s by default.
	Timeout time.Duration
	// User and Password, if set, replace the accounts' own; for a run against
	// an endpoint without vanillahinge.
	User, Password string
	// Audit, if set, reads the rows after the run; by default a new session
	// does through the caller port.
	Audit func(ctx context.Context, database string) ([]Row, error)
}

const (
	// maxAttempts bounds the repetitions of one request.
	maxAttempts = 4
	// backlog bounds the arrivals that wait for a session. A run that
	// overflows it is reported as such.
	backlog = 200_000
	table   = "load_log"
)

// accountState is one account during a run.
type accountState struct {
	Account
	index int
	// factor multiplies the arrival rate, in thousandths.
	factor   atomic.Int64
	arrivals chan arrival
	dropped  atomic.Int64
}

// arrival is one request that is due.
type arrival struct {
	at       time.Duration
	write    bool
	database string
	key      string
	name     string
}

type runner struct {
	cfg      Config
	start    time.Time
	accounts []*accountState
	history  history
	sessions atomic.Int64
	mu       sync.Mutex
	marks    []Mark
}

// Run drives one run and returns its result.
func Run(ctx context.Context, cfg Config) (*Result, error) {
	if err := cfg.Schedule.Validate(); err != nil {
		return nil, err
	}
	if len(cfg.Fleet.Instances) == 0 || len(cfg.Profile.Accounts) == 0 || len(cfg.Profile.Groups) == 0 {
		return nil, errors.New("load: instances, accounts and groups must be given")
	}
	if cfg.Timeout == 0 {
		cfg.Timeout = 5 * time.Second
	}
	if cfg.Schedule.Duration == 0 {
		cfg.Schedule.Duration = 10 * time.Second
	}
	r := &runner{cfg: cfg}
	for i, a := range cfg.Profile.Accounts {
		s := &accountState{Account: a, index: i, arrivals: make(chan arrival, backlog)}
		s.factor.Store(1000)
		r.accounts = append(r.accounts, s)
	}
	if err := r.createTables(ctx); err != nil {
		return nil, err
	}
	// Times in the history start after the warm-up and are negative in it.
	r.start = time.Now().Add(cfg.Warmup)
	before := map[string]endpointStats{}
	var generators, workers, faults sync.WaitGroup
	stop, cancel := context.WithCancel(ctx)
	defer cancel()
	for _, a := range r.accounts {
		generators.Go(func() { r.generate(stop, a) })
		for i := range a.Sessions {
			s := r.newSession(a, i)
			workers.Go(func() { s.run(ctx) })
		}
	}
	faults.Go(func() {
		if !sleepUntil(stop, r.start) {
			return
		}
		before = cfg.Fleet.reads(ctx)
		var each sync.WaitGroup
		for _, f := range cfg.Schedule.Faults {
			each.Go(func() { r.fault(stop, f) })
		}
		each.Wait()
	})
	sleepUntil(ctx, r.start.Add(cfg.Schedule.Duration))
	cancel()
	generators.Wait()
	faults.Wait()
	after := cfg.Fleet.reads(ctx)
	for _, a := range r.accounts {
		close(a.arrivals)
	}
	workers.Wait()
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("load: interrupted: %w", err)
	}
	rows, err := r.audit(ctx)
	if err != nil {
		return nil, err
	}
	return r.result(rows, before, after), nil
}

func sleepUntil(ctx context.Context, t time.Time) bool {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *runner) since() time.Duration { return time.Since(r.start) }

func (r *runner) fault(ctx context.Context, f Fault) {
	if !sleepUntil(ctx, r.start.Add(f.At)) {
		return
	}
	m := Mark{Fault: f, Begin: r.since()}
	// The end of a fault must happen even when the run is over.
	end, err := r.inject(context.WithoutCancel(ctx), f, &m)
	if err != nil {
		m.Error = err.Error()
	} else if end != nil && f.For > 0 {
		sleepUntil(ctx, r.start.Add(f.At+f.For))
		if err := end(); err != nil {
			m.Error = err.Error()
		}
		m.End = r.since()
	}
	r.mu.Lock()
	r.marks = append(r.marks, m)
	r.mu.Unlock()
}

// generate produces the arrivals of one account by a Poisson process. An
// arrival does not wait for earlier requests.
func (r *runner) generate(ctx context.Context, a *accountState) {
	p := r.cfg.Profile
	rng := rand.New(rand.NewPCG(r.cfg.Seed, uint64(a.index)))
	next := time.Now()
	for n := 0; ; n++ {
		rate := a.Offered * float64(a.factor.Load()) / 1000
		if rate <= 0 {
			return
		}
		next = next.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		x := arrival{
			write:    rng.Float64() < p.Writes,
			database: p.Groups[rng.IntN(len(p.Groups))],
			key:      fmt.Sprintf("%s/%d", a.ID, rng.IntN(max(1, p.Keys))),
			name:     fmt.Sprintf("%s-%d-%d", a.ID, r.cfg.Seed, n),
		}
		if !sleepUntil(ctx, next) {
			return
		}
		x.at = next.Sub(r.start)
		select {
		case a.arrivals <- x:
		default:
			a.dropped.Add(1)
		}
	}
}

// caller is one caller session: it runs one request at a time and moves
// between instances.
type caller struct {
	r       *runner
	a       *accountState
	rng     *rand.Rand
	aged    bool
	conns   map[string]*pgconn.PgConn
	tokens  map[string]string
	floor   map[string]bool // databases in which the session has a floor
	number  int
	target  int
	untilGo int
}

func (r *runner) newSession(a *accountState, i int) *caller {
	rng := rand.New(rand.NewPCG(r.cfg.Seed+1, uint64(a.index)<<32|uint64(i)))
	p := r.cfg.Profile
	s := &caller{r: r, a: a, rng: rng, number: int(r.sessions.Add(1)), target: rng.IntN(len(r.cfg.Fleet.Instances)), conns: map[string]*pgconn.PgConn{}, tokens: map[string]string{}, floor: map[string]bool{}}
	// A session either accepts an age for all its reads or for none.
	if p.Writes < 1 {
		s.aged = rng.Float64() < p.AgedReads/(1-p.Writes)
	}
	s.untilGo = s.nextRoam()
	return s
}

func (s *caller) nextRoam() int {
	every := s.r.cfg.Profile.RoamEvery
	if every <= 0 {
		return -1
	}
	return 1 + int(s.rng.ExpFloat64()*every)
}

func (s *caller) run(ctx context.Context) {
	defer s.disconnect()
	for x := range s.a.arrivals {
		if ctx.Err() != nil {
			return
		}
		if s.untilGo--; s.untilGo == 0 {
			s.roam()
		}
		// Operations of the warm-up count in the checks but not in the
		// measures, because later reads return their rows.
		s.r.history.add(s.perform(ctx, x))
	}
}

func (s *caller) disconnect() {
	for db, c := range s.conns {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		c.Close(ctx)
		cancel()
		delete(s.conns, db)
	}
}

// roam moves the session to another instance, sometimes without its token.
func (s *caller) roam() {
	s.untilGo = s.nextRoam()
	s.disconnect()
	s.another()
	if s.rng.Float64() < s.r.cfg.Profile.DropToken {
		s.number = int(s.r.sessions.Add(1))
		clear(s.tokens)
		clear(s.floor)
	}
}

func (s *caller) another() {
	if n := len(s.r.cfg.Fleet.Instances); n > 1 {
		s.target = (s.target + 1 + s.rng.IntN(n-1)) % n
	}
}

// connect returns the connection to a database. A refused connection moves on
// to another instance, as the platform's balancer does.
func (s *caller) connect(ctx context.Context, database string) (*pgconn.PgConn, error) {
	if c := s.conns[database]; c != nil && !c.IsClosed() {
		return c, nil
	}
	var last error
	for range len(s.r.cfg.Fleet.Instances) + 1 {
		c, err := s.r.dial(ctx, s.r.cfg.Fleet.Instances[s.target].Callers, s.a.Account, database, s.tokens[database], s.aged)
		if err == nil {
			s.conns[database] = c
			return c, nil
		}
		last = err
		var refusal *pgconn.PgError
		if errors.As(err, &refusal) && refusal.Code != "57P01" && refusal.Code != "VH503" {
			return nil, err
		}
		s.another()
	}
	return nil, last
}

func (r *runner) dial(ctx context.Context, addr string, a Account, database, token string, aged bool) (*pgconn.PgConn, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	user, password := a.ID, a.Key
	if r.cfg.User != "" {
		user, password = r.cfg.User, r.cfg.Password
	}
	q := url.Values{"sslmode": {"disable"}, "application_name": {"vhload"}}
	if token != "" {
		q.Set("vh.token", token)
	}
	if aged {
		q.Set("vh.max_age", strconv.FormatInt(r.cfg.Profile.MaxAge.Milliseconds(), 10)+"ms")
	}
	u := url.URL{Scheme: "postgres", Host: addr, Path: database, User: url.UserPassword(user, password), RawQuery: q.Encode()}
	cfg, err := pgconn.ParseConfig(u.String())
	if err != nil {
		return nil, err
	}
	return pgconn.ConnectConfig(ctx, cfg)
}

// perform runs one request to its end.
func (s *caller) perform(ctx context.Context, x arrival) Op {
	op := Op{Account: s.a.ID, Session: s.number, Database: x.database, Key: x.key, Intended: x.at, Start: s.r.since()}
	switch {
	case x.write:
		op.Kind, op.Name = Write, x.name
	case s.aged:
		op.Kind, op.MaxAge = AgedRead, s.r.cfg.Profile.MaxAge
	case s.floor[x.database]:
		op.Kind = Read
	default:
		op.Kind = FirstRead
	}
	unknown := false
	for op.Attempts = 1; ; op.Attempts++ {
		sent, result, code := s.attempt(ctx, x, &op)
		op.Result, op.Code = result, code
		if result == Done {
			break
		}
		unknown = unknown || result == Unknown && sent
		// Reads have no effect, so a failed connection is no reason to give
		// up; a write goes on only under its request id.
		again := code == "connection" || code == "timeout" || code == "08007"
		if !again || x.write && unknown && !s.r.cfg.RetryUnknown || op.Attempts >= maxAttempts || ctx.Err() != nil {
			break
		}
		s.another()
		time.Sleep(time.Duration(s.rng.Int64N(int64(20*time.Millisecond) << op.Attempts)))
	}
	if op.Result == NotRun && unknown {
		// The last refusal says nothing of the attempt before it.
		op.Result = Unknown
	}
	op.End = s.r.since()
	return op
}

// attempt sends the request once. sent reports whether any byte was sent.
func (s *caller) attempt(ctx context.Context, x arrival, op *Op) (sent bool, result OpResult, code string) {
	ctx, cancel := context.WithTimeout(ctx, s.r.cfg.Timeout)
	defer cancel()
	c, err := s.connect(ctx, x.database)
	if err != nil {
		result, code = classify(err)
		return false, NotRun, code
	}
	var res *pgconn.Result
	if x.write {
		sql := "INSERT INTO " + table + " (key, name) VALUES ($1, $2) RETURNING id"
		if s.r.cfg.User == "" {
			sql = "/* vh.request_id='" + x.name + "' */ " + sql
		}
		res = c.ExecParams(ctx, sql, [][]byte{[]byte(x.key), []byte(x.name)}, nil, nil, nil).Read()
	} else {
		res = c.ExecParams(ctx, "SELECT id, name FROM "+table+" WHERE key = $1 ORDER BY id DESC LIMIT 1", [][]byte{[]byte(x.key)}, nil, nil, nil).Read()
	}
	if res.Err != nil {
		result, code = classify(res.Err)
		if c.IsClosed() {
			delete(s.conns, x.database)
		}
		return true, result, code
	}
	if x.write && len(res.Rows) != 1 {
		return true, Unknown, "no_row"
	}
	if len(res.Rows) > 0 {
		if op.ID, err = strconv.ParseInt(string(res.Rows[0][0]), 10, 64); err != nil {
			return true, Unknown, "bad_row"
		}
		if !x.write {
			op.Name = string(res.Rows[0][1])
		}
	}
	if t := c.ParameterStatus("vh.token"); t != "" {
		s.tokens[x.database] = t
	}
	if op.Kind != AgedRead {
		s.floor[x.database] = true
	}
	return true, Done, ""
}

// classify says what is known of a request that failed.
func classify(err error) (OpResult, string) {
	var p *pgconn.PgError
	if errors.As(err, &p) {
		if p.Code == "08007" || strings.HasPrefix(p.Message, "outcome unknown") {
			return Unknown, p.Code
		}
		return NotRun, p.Code
	}
	if pgconn.SafeToRetry(err) {
		return NotRun, "connection"
	}
	if errors.Is(err, context.DeadlineExceeded) || pgconn.Timeout(err) {
		return Unknown, "timeout"
	}
	return Unknown, "connection"
}

// createTables creates the table in each database, waiting for the fleet.
func (r *runner) createTables(ctx context.Context) error {
	for _, db := range r.cfg.Profile.Groups {
		err := r.patiently(ctx, db, func(ctx context.Context, c *pgconn.PgConn) error {
			_, err := c.Exec(ctx, "CREATE TABLE IF NOT EXISTS "+table+" (id bigserial PRIMARY KEY, key text NOT NULL, name text NOT NULL);"+
				"CREATE INDEX IF NOT EXISTS "+table+"_key ON "+table+" (key, id)").ReadAll()
			return err
		})
		if err != nil {
			return fmt.Errorf("load: create the table in %s: %w", db, err)
		}
	}
	return nil
}

// patiently repeats f on new connections for up to 20 s.
func (r *runner) patiently(ctx context.Context, database string, f func(context.Context, *pgconn.PgConn) error) error {
	deadline := time.Now().Add(20 * time.Second)
	for n := 0; ; n++ {
		err := func() error {
			ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
			defer cancel()
			c, err := r.dial(ctx, r.cfg.Fleet.Instances[n%len(r.cfg.Fleet.Instances)].Callers, r.cfg.Profile.Accounts[0], database, "", false)
			if err != nil {
				return err
			}
			defer c.Close(ctx)
			return f(ctx, c)
		}()
		if err == nil || time.Now().After(deadline) || ctx.Err() != nil {
			return err
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// audit reads all rows after the run.
func (r *runner) audit(ctx context.Context) ([]Row, error) {
	var all []Row
	for _, db := range r.cfg.Profile.Groups {
		if r.cfg.Audit != nil {
			rows, err := r.cfg.Audit(ctx, db)
			if err != nil {
				return nil, fmt.Errorf("load: audit of %s: %w", db, err)
			}
			all = append(all, rows...)
			continue
		}
		var rows []Row
		err := r.patiently(ctx, db, func(ctx context.Context, c *pgconn.PgConn) error {
			rows = nil
			res := c.ExecParams(ctx, "SELECT id, key, name FROM "+table+" ORDER BY id", nil, nil, nil, nil).Read()
			for _, v := range res.Rows {
				id, err := strconv.ParseInt(string(v[0]), 10, 64)
				if err != nil {
					return err
				}
				rows = append(rows, Row{Database: db, Key: string(v[1]), Name: string(v[2]), ID: id})
			}
			return res.Err
		})
		if err != nil {
			return nil, fmt.Errorf("load: audit of %s: %w", db, err)
		}
		all = append(all, rows...)
	}
	return all, nil
}
