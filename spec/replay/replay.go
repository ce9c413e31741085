// Package replay runs recorded traces of client requests through the cores of the
// request path (session, route, quota, fair, retry) and verifies the outcomes that
// the trace expects. A trace also names the rule that prevents the recorded
// failure; replayed with that rule disabled, it must show the failure.
//
// # Format
//
// A trace is a text file, one directive per line. A line that is empty or
// starts with # is a comment. Durations are as in Go (5ms, 2s). Directives
// take key=value arguments; values contain no spaces.
//
//	trace NAME                  first line
//	seed N                      seed of all randomness; 1 if missing
//	rule NAME                   the rule that is disabled in the broken mode:
//	                            floor, request-id, retry, quota or fair
//	endpoint ID dc=DC lag=D slots=N [primary]
//	instance ID dc=DC
//	account ID rate=N burst=N weight=N
//	session ID account=ID instance=ID [token=none]
//	                            unless token=none, the floor is known and empty
//
// Events start with the time since the start of the trace:
//
//	at D lag ENDPOINT D         sets the replication lag of a replica
//	at D move SESSION INSTANCE [token=none]
//	                            the client reconnects and presents its token,
//	                            unless token=none
//	at D LABEL: read SESSION key=K [max-age=D] [cost=D]
//	at D LABEL: put SESSION key=K value=V [id=ID] [cost=D] [lost] [stale-term] [if=LABEL:VALUE]
//	at D LABEL: add SESSION key=K value=V ...
//	at D stream ACCOUNT instances=ID,ID rate=N for=D cost=D
//	                            reads with random arrival times, sent to the
//	                            instances in turn
//
// put replaces the value of a key, add appends a row. With lost, the answer to the
// first attempt is lost after the write has run. With stale-term, the first attempt
// is refused with VH001. With if, the statement is sent only if the read LABEL
// returned VALUE, where none stands for a missing key.
//
// Expectations are verified at the end of the normal mode (expect) or of the mode
// with the rule disabled (broken). OP is =, !=, <= or >=:
//
//	expect label LABEL outcome|value|role OP X
//	expect key KEY value|rows OP X
//	expect account ID done|refused|p99|excess OP X
//
// The outcome of a statement is done, unknown, skipped or its error kind. The role
// is primary or replica. The value of a repeated request id is that of the first
// run. excess is the largest number of requests admitted beyond burst + rate*window
// in any window. p99 is the latency from arrival to answer.
//
// The endpoints, the client and the network are simulated. An endpoint serves as
// many requests at a time as it has slots and queues the others in order of
// arrival. A replica has applied what the primary had one lag ago. The outcome of a
// request id is stored together with the write, as section 7 of the design defines.
package replay

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"
)

// Trace is a parsed trace.
type Trace struct {
	Name, Rule string
	Seed       uint64
	endpoints  []endpointSpec
	instances  []instanceSpec
	accounts   []accountSpec
	sessions   []sessionSpec
	events     []event
	expect     []expectation
	broken     []expectation
}

type (
	endpointSpec struct {
		id, dc  string
		lag     time.Duration
		slots   int
		primary bool
	}
	instanceSpec struct{ id, dc string }
	accountSpec  struct {
		id          string
		rate, burst float64
		weight      int
	}
	sessionSpec struct {
		id, account, instance string
		noToken               bool
	}
	event struct {
		at          time.Duration
		verb, label string
		target      string // session, endpoint or account
		to          string // new instance of a move, new lag of a lag event
		args        args
	}
	expectation struct {
		line                             int
		subject, name, field, op, wanted string
	}
)

// args holds the key=value arguments of a directive and the first error found in
// them.
type args struct {
	m   map[string]string
	err error
}

func parseArgs(words []string) args {
	a := args{m: map[string]string{}}
	for _, w := range words {
		k, v, ok := strings.Cut(w, "=")
		if !ok {
			v = "yes"
		}
		a.m[k] = v
	}
	return a
}

func (a *args) str(k string) string { return a.m[k] }
func (a *args) has(k string) bool   { return a.m[k] != "" }

func (a *args) recordError(k string, err error) {
	if err != nil && a.err == nil {
		a.err = fmt.Errorf("argument %s: %w", k, err)
	}
}

func (a *args) duration(k string, defaultValue time.Duration) time.Duration {
	if !a.has(k) {
		return defaultValue
	}
	d, err := time.ParseDuration(a.m[k])
	a.recordError(k, err)
	return d
}

func (a *args) number(k string) float64 {
	n, err := strconv.ParseFloat(a.m[k], 64)
	a.recordError(k, err)
	return n
}

// Parse reads a trace. Errors in a directive name its line.
func Parse(r io.Reader) (*Trace, error) {
	t := &Trace{Seed: 1}
	sc := bufio.NewScanner(r)
	for n := 1; sc.Scan(); n++ {
		words := strings.Fields(sc.Text())
		if len(words) == 0 || words[0][0] == '#' {
			continue
		}
		if err := t.directive(n, words); err != nil {
			return nil, fmt.Errorf("replay: line %d: %w; see the package comment for the format", n, err)
		}
	}
	if t.Name == "" || t.Rule == "" || len(t.expect) == 0 || len(t.broken) == 0 {
		return nil, fmt.Errorf("replay: a trace needs trace, rule, expect and broken lines")
	}
	return t, sc.Err()
}

func (t *Trace) directive(line int, w []string) error {
	if len(w) < 2 {
		return fmt.Errorf("%q has no argument", w[0])
	}
	a := parseArgs(w[2:])
	switch w[0] {
	case "trace":
		t.Name = w[1]
	case "rule":
		t.Rule = w[1]
	case "seed":
		seed, err := strconv.ParseUint(w[1], 10, 64)
		t.Seed = seed
		return err
	case "endpoint":
		t.endpoints = append(t.endpoints, endpointSpec{w[1], a.str("dc"), a.duration("lag", 0), int(a.number("slots")), a.has("primary")})
	case "instance":
		t.instances = append(t.instances, instanceSpec{w[1], a.str("dc")})
	case "account":
		t.accounts = append(t.accounts, accountSpec{w[1], a.number("rate"), a.number("burst"), int(a.number("weight"))})
	case "session":
		t.sessions = append(t.sessions, sessionSpec{w[1], a.str("account"), a.str("instance"), a.str("token") == "none"})
	case "at":
		return t.event(w[1:])
	case "expect", "broken":
		if len(w) != 6 {
			return fmt.Errorf("%s needs SUBJECT NAME FIELD OP VALUE", w[0])
		}
		e := expectation{line, w[1], w[2], w[3], w[4], w[5]}
		if w[0] == "expect" {
			t.expect = append(t.expect, e)
		} else {
			t.broken = append(t.broken, e)
		}
	default:
		return fmt.Errorf("unknown directive %q", w[0])
	}
	return a.err
}

func (t *Trace) event(w []string) error {
	at, err := time.ParseDuration(w[0])
	if err != nil {
		return err
	}
	e := event{at: at}
	w = w[1:]
	if len(w) > 0 && strings.HasSuffix(w[0], ":") {
		e.label = strings.TrimSuffix(w[0], ":")
		w = w[1:]
	}
	if len(w) < 2 {
		return fmt.Errorf("event needs a verb and a target")
	}
	e.verb, e.target = w[0], w[1]
	w = w[2:]
	switch e.verb {
	case "lag", "move":
		if len(w) == 0 {
			return fmt.Errorf("%s needs a second argument", e.verb)
		}
		e.to = w[0]
		w = w[1:]
	case "read", "put", "add":
		if e.label == "" {
			return fmt.Errorf("%s needs a label", e.verb)
		}
	case "stream":
	default:
		return fmt.Errorf("unknown event %q", e.verb)
	}
	e.args = parseArgs(w)
	t.events = append(t.events, e)
	return nil
}

// matches compares a measured value with the expected one, numbers and durations by
// magnitude and everything else as text.
func (e *expectation) matches(got string) bool {
	number := func(s string) (float64, bool) {
		if d, err := time.ParseDuration(s); err == nil {
			return d.Seconds(), true
		}
		f, err := strconv.ParseFloat(s, 64)
		return f, err == nil
	}
	g, ok1 := number(got)
	w, ok2 := number(e.wanted)
	switch e.op {
	case "=":
		return got == e.wanted || ok1 && ok2 && g == w
	case "!=":
		return got != e.wanted
	case "<=":
		return ok1 && ok2 && g <= w
	case ">=":
		return ok1 && ok2 && g >= w
	}
	return false
}
