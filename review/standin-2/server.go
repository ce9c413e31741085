package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// position is a position in a group's log.
type position struct{ term, number uint64 }

func (p position) String() string { return fmt.Sprintf("%d.%d", p.term, p.number) }
func (p position) less(q position) bool {
	return p.term < q.term || p.term == q.term && p.number < q.number
}

// commit is an entry of a log.
type commit struct {
	at position
	// id is that of the statement that committed.
	id     string
	writes map[string]string
	// visible is when a replica applies it.
	visible time.Time
}

// run is what a server did with a statement of a client.
type run struct {
	at                        time.Time
	service, server, id, text string
	role, result, value       string
	applied                   position
	tenant                    string
}

// group is a service: a primary and its replicas.
type group struct {
	name  string
	store *store
	// work is the time of a read, write or commit in a slot.
	work, promoteTime time.Duration
	// syncReplicas is how many replicas have received a commit before it is acknowledged.
	syncReplicas int

	mu      sync.Mutex
	lag     time.Duration
	members []*server
	runs    []run
	// leads are the promotions that have taken effect. led is closed at the next one.
	leads  []lead
	led    chan struct{}
	record func(format string, a ...any)
}

// lead is a promotion that has taken effect.
type lead struct {
	at     time.Time
	server *server
	term   uint64
	// log is that of the server at this time.
	log []commit
}

type server struct {
	id, addr, zone string
	g              *group
	slots          chan struct{}
	born           int64

	// Guarded by the group's mutex.
	primary bool
	term    uint64
	log     []commit
	seq     int
	// deaf is set while the replica receives nothing, paused is the term held by PAUSE.
	deaf   bool
	paused uint64
	// down is set while the server has crashed.
	down     bool
	listener net.Listener
	conns    map[net.Conn]bool
	// cutFrom, if set, tells whether a connection is on a link that is cut: nothing is
	// answered there.
	cutFrom func(net.Conn) bool
}

const heartbeat = 1200 * time.Millisecond

func newGroup(st *store, name, ip string, zones []string, record func(string, ...any)) (*group, error) {
	g := &group{name: name, store: st, work: 8 * time.Millisecond, promoteTime: 600 * time.Millisecond, lag: 8 * time.Millisecond, record: record, led: make(chan struct{})}
	for i, zone := range zones {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		s := &server{id: fmt.Sprintf("i-%s%d", name, i), addr: l.Addr().String(), zone: zone, g: g, slots: make(chan struct{}, 3),
			born: time.Now().UnixMilli(), primary: i == 0, term: 1, listener: l, conns: map[net.Conn]bool{}}
		g.members = append(g.members, s)
		go s.accept(l)
	}
	for _, s := range g.members {
		go func() {
			for {
				g.mu.Lock()
				down := s.down
				g.mu.Unlock()
				if !down {
					s.beat()
				}
				time.Sleep(heartbeat)
			}
		}()
	}
	return g, nil
}

func (g *group) setLag(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lag = d
}

// beat writes the server's entry in the store.
func (s *server) beat() {
	s.g.mu.Lock()
	s.seq++
	role := "replica"
	if s.primary {
		role = "primary"
	}
	seq := s.seq
	s.g.mu.Unlock()
	s.g.store.set("servers", s.id, map[string]any{"service": s.g.name, "addr": s.addr, "zone": s.zone, "version": "v1", "slots": 3,
		"state": "ready", "cold_ms": 0, "db_role": role, "seq": seq, "born": s.born})
}

func (s *server) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s.g.mu.Lock()
		s.conns[c] = true
		cut := s.cutFrom
		s.g.mu.Unlock()
		if cut != nil && cut(c) {
			continue // silent
		}
		go s.serve(c)
	}
}

// restart starts the process of a server that has crashed again, with its log: as a replica
// if another one has been promoted.
func (s *server) restart() {
	l, err := net.Listen("tcp", s.addr)
	if err != nil {
		panic(err)
	}
	s.g.mu.Lock()
	s.down, s.listener, s.born, s.seq, s.paused = false, l, time.Now().UnixMilli(), 0, 0
	for _, o := range s.g.members {
		if o.primary && o.term > s.term {
			s.primary, s.term, s.log = false, o.term, append([]commit(nil), o.log...)
		}
	}
	s.g.mu.Unlock()
	go s.accept(l)
	s.beat()
	s.g.record("server %s/%s runs again, primary %v", s.g.name, s.id, s.primary)
}

// crash ends the server's process. Its entry is removed after three heartbeat intervals.
func (s *server) crash() {
	time.AfterFunc(3*heartbeat, func() {
		s.g.mu.Lock()
		down := s.down
		s.g.mu.Unlock()
		if down {
			s.g.store.remove("servers", s.id)
		}
	})
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	s.down = true
	s.listener.Close()
	for c := range s.conns {
		c.Close()
	}
	s.g.record("server %s/%s crashed", s.g.name, s.id)
}

// applied returns the position up to which the server has applied its log.
func (s *server) applied(now time.Time) position {
	p := position{s.firstTerm(), 0}
	for _, c := range s.log {
		if s.primary || !now.Before(c.visible) {
			p = c.at
		}
	}
	return p
}

func (s *server) firstTerm() uint64 {
	if len(s.log) > 0 {
		return s.log[0].at.term
	}
	return s.term
}

func (s *server) value(item string, now time.Time) string {
	for i := len(s.log) - 1; i >= 0; i-- {
		if v, ok := s.log[i].writes[item]; ok && (s.primary || !now.Before(s.log[i].visible)) {
			return v
		}
	}
	return "none"
}

// session is the state of one connection to a server.
type session struct {
	s        *server
	tenant   string
	prepared map[string]string
	open     bool
	readOnly bool
	failed   bool
	writes   map[string]string
}

func (s *server) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReaderSize(c, 1<<16)
	line, err := r.ReadString('\n')
	f := strings.Fields(line)
	if err != nil || len(f) < 3 || f[0] != "STARTUP" {
		return
	}
	if f[1] != s.g.name || len(f) > 3 && f[3] != s.id {
		fmt.Fprintf(c, "ERR MOVED %s\r\n", s.id)
		return
	}
	s.g.mu.Lock()
	p := s.applied(time.Now())
	s.g.mu.Unlock()
	fmt.Fprintf(c, "READY I %s\r\n", p)
	ss := &session{s: s, tenant: f[2], prepared: map[string]string{}, writes: map[string]string{}}
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		f := strings.SplitN(strings.TrimRight(line, "\r\n"), " ", 3)
		if len(f) < 3 || f[0] != "QUERY" {
			return
		}
		out := ss.handle(f[1], f[2])
		state := "I"
		if ss.failed {
			state = "E"
		} else if ss.open {
			state = "T"
		}
		s.g.mu.Lock()
		p := s.applied(time.Now())
		s.g.mu.Unlock()
		if _, err := fmt.Fprintf(c, "%sREADY %s %s\r\n", out, state, p); err != nil {
			return
		}
	}
}

func parsePosition(t string) position {
	a, b, _ := strings.Cut(t, ".")
	x, _ := strconv.ParseUint(a, 10, 64)
	y, _ := strconv.ParseUint(b, 10, 64)
	return position{x, y}
}

// handle runs a statement and returns the answer without READY.
func (ss *session) handle(id, text string) string {
	s, g := ss.s, ss.s.g
	verb, rest, _ := strings.Cut(text, " ")
	var floor position
	if verb == "WAITLSN" {
		at, inner, _ := strings.Cut(rest, " ")
		floor = parsePosition(at)
		verb, rest, _ = strings.Cut(inner, " ")
	}
	if verb == "EXEC" {
		name, args, _ := strings.Cut(rest, " ")
		shape, ok := ss.prepared[name]
		if !ok {
			return ss.fail("NOSTMT " + name)
		}
		verb, _, _ = strings.Cut(shape, " ")
		rest = args
	}
	if ss.failed && verb != "ROLLBACK" && verb != "COMMIT" {
		return "ERR BADMSG failed\r\n"
	}
	if verb == "FETCH" || verb == "PUT" || verb == "COMMIT" || verb == "STATUS" {
		s.slots <- struct{}{}
		time.Sleep(g.work)
		defer func() { <-s.slots }()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	role := "replica"
	if s.primary {
		role = "primary"
	}
	note := func(result, value string) {
		r := run{at: now, service: g.name, server: s.id, id: id, text: text, role: role, result: result, value: value, applied: s.applied(now), tenant: ss.tenant}
		g.runs = append(g.runs, r)
		if id != "-" {
			g.record("server %s/%s (%s) for %s: %s %s -> %s %s, log applied to %s", g.name, s.id, role, ss.tenant, id, text, result, value, r.applied)
		}
	}
	if s.applied(now).less(floor) {
		return ss.fail("LAGGING " + s.id)
	}
	signature := fmt.Sprintf("DONE %s.%s\r\n", s.id, id)
	switch verb {
	case "BEGIN":
		if rest == "" && !s.primary {
			return ss.fail("READONLY " + s.id)
		}
		ss.open, ss.readOnly = true, rest == "FETCH"
		return "DONE -\r\n"
	case "SET", "DEALLOC":
		return "DONE -\r\n"
	case "PREPARE":
		name, shape, _ := strings.Cut(rest, " ")
		ss.prepared[name] = shape
		return "DONE -\r\n"
	case "RESET":
		ss.prepared = map[string]string{}
		return "DONE -\r\n"
	case "STATUS", "PAUSE", "RESUME", "DEMOTE":
		t, _ := strconv.ParseUint(rest, 10, 64)
		switch {
		case verb == "DEMOTE" && t > s.term && s.primary:
			s.primary = false
			g.record("server %s/%s demoted with term %d", g.name, s.id, t)
			go s.beat() // a change of its role is reported at once
		case verb == "PAUSE" && t > s.term && !s.primary:
			s.paused = t
			g.record("server %s/%s paused at term %d", g.name, s.id, t)
		case verb == "RESUME":
			s.paused = 0
			s.catchUp()
		}
		role := "replica"
		if s.primary {
			role = "primary"
		}
		received := position{s.firstTerm(), 0}
		if len(s.log) > 0 {
			received = s.log[len(s.log)-1].at
		}
		return fmt.Sprintf("ROW %s %d %s %d 0 0 1\r\nDONE -\r\n", role, s.term, received, s.paused)
	case "FETCH":
		v := s.value(rest, now)
		if w, ok := ss.writes[rest]; ok {
			v = w
		}
		note("row", v)
		return "ROW " + v + "\r\n" + signature
	case "PUT":
		if !s.primary {
			return ss.fail("READONLY " + s.id)
		}
		item, data, _ := strings.Cut(rest, " ")
		if ss.open {
			ss.writes[item] = data
			note("in transaction", data)
			return signature
		}
		at := s.commit(id, map[string]string{item: data}, now)
		note("committed at "+at.String(), data)
		if !s.awaitReplicas(at) {
			return "ERR FAILED " + s.id + "\r\n"
		}
		return signature
	case "COMMIT":
		writes, open, failed := ss.writes, ss.open, ss.failed
		ss.open, ss.failed, ss.writes = false, false, map[string]string{}
		switch {
		case !open || failed:
			return "ERR ABORTED failed\r\n"
		case len(writes) > 0 && !s.primary:
			return "ERR READONLY " + s.id + "\r\n"
		case len(writes) > 0:
			at := s.commit(id, writes, now)
			note("committed at "+at.String(), fmt.Sprint(writes))
			if !s.awaitReplicas(at) {
				return "ERR FAILED " + s.id + "\r\n"
			}
		}
		return signature
	case "ROLLBACK":
		ss.open, ss.failed, ss.writes = false, false, map[string]string{}
		return "DONE -\r\n"
	}
	return ss.fail("BADMSG " + verb)
}

func (ss *session) fail(text string) string {
	if ss.open {
		ss.failed = true
		ss.writes = map[string]string{}
	}
	return "ERR " + text + "\r\n"
}

// commit appends to the logs of the primary and its replicas.
func (s *server) commit(id string, writes map[string]string, now time.Time) position {
	n := uint64(1)
	if len(s.log) > 0 {
		n = s.log[len(s.log)-1].at.number + 1
	}
	c := commit{at: position{s.term, n}, id: id, writes: writes, visible: now.Add(s.g.lag)}
	for _, o := range s.g.members {
		if o == s || o.receives() && o.term <= s.term {
			o.log = append(o.log, c)
			o.term = max(o.term, s.term)
		}
	}
	return c.at
}

// receives reports whether the server receives the commits of a primary.
func (s *server) receives() bool { return !s.primary && !s.down && !s.deaf && s.paused == 0 }

// catchUp gives a replica the log of the primary, if both can.
func (s *server) catchUp() {
	for _, o := range s.g.members {
		if o.primary && !o.down && o.term >= s.term && s.receives() {
			s.term, s.log = o.term, append([]commit(nil), o.log...)
		}
	}
}

// setDeaf sets whether a replica receives nothing.
func (s *server) setDeaf(deaf bool) {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	s.deaf = deaf
	s.catchUp()
	s.g.record("server %s/%s receives nothing: %v", s.g.name, s.id, deaf)
}

// awaitReplicas waits until enough replicas have received a commit. It returns false if the
// server stops being the primary before. The group's mutex is held, and given up meanwhile.
func (s *server) awaitReplicas(at position) bool {
	for {
		n := 0
		for _, o := range s.g.members {
			if o != s && len(o.log) > 0 && !o.log[len(o.log)-1].at.less(at) {
				n++
			}
		}
		if n >= s.g.syncReplicas {
			return true
		}
		if s.down || !s.primary {
			return false
		}
		s.g.mu.Unlock()
		time.Sleep(time.Millisecond)
		s.g.mu.Lock()
	}
}

// promoteCall is a call for a promotion that the platform has received.
type promoteCall struct {
	at                  time.Time
	service, id, holder string
	fence               uint64
}

// cloud is a stand-in of the platform's promotion call.
type cloud struct {
	addr   string
	groups map[string]*group

	mu    sync.Mutex
	calls []promoteCall
}

func newCloud(ip string, record func(string, ...any), groups ...*group) (*cloud, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	c := &cloud{addr: l.Addr().String(), groups: map[string]*group{}}
	for _, g := range groups {
		c.groups[g.name] = g
	}
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			var q struct{ Service, ID string }
			fence, err := strconv.ParseUint(r.Header.Get("X-Fence-Token"), 10, 64)
			if r.URL.Path != "/promote" || json.NewDecoder(r.Body).Decode(&q) != nil || err != nil || c.groups[q.Service] == nil {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			c.mu.Lock()
			c.calls = append(c.calls, promoteCall{time.Now(), q.Service, q.ID, r.Header.Get("X-Lease-Holder"), fence})
			c.mu.Unlock()
			record("platform: promote %s of %s, holder %s, fence %d", q.ID, q.Service, r.Header.Get("X-Lease-Holder"), fence)
			if !c.groups[q.Service].promote(q.ID) {
				w.WriteHeader(http.StatusConflict)
			}
		}))
	}()
	return c, nil
}

// promote makes a server lead the next term after promoteTime.
func (g *group) promote(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.members {
		if s.id != id {
			continue
		}
		if s.down {
			return false
		}
		if s.primary {
			return true
		}
		time.AfterFunc(g.promoteTime, func() {
			g.mu.Lock()
			term := uint64(0)
			for _, o := range g.members {
				term = max(term, o.term)
			}
			s.primary, s.term, s.paused = true, term+1, 0
			for _, o := range g.members {
				o.paused = 0
				if o != s && o.receives() {
					o.term, o.log = s.term, append([]commit(nil), s.log...)
				}
			}
			g.leads = append(g.leads, lead{time.Now(), s, term + 1, append([]commit(nil), s.log...)})
			close(g.led)
			g.led = make(chan struct{})
			g.mu.Unlock()
			g.record("server %s/%s leads term %d", g.name, id, term+1)
			s.beat()
			// The former primary follows a second after it can reach the new one.
			time.AfterFunc(time.Second, func() {
				g.mu.Lock()
				defer g.mu.Unlock()
				for _, o := range g.members {
					if o != s && o.primary && o.term < s.term {
						o.primary, o.term, o.log = false, s.term, append([]commit(nil), s.log...)
					}
				}
			})
		})
		return true
	}
	return false
}
