package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond
	// promoteTime is how long after the call the promoted server leads.
	promoteTime = 600 * time.Millisecond
	workTime    = 5 * time.Millisecond
)

// commit is an entry of a log.
type commit struct {
	term, number uint64
	writes       [][2]string // item, data
	ids          []string    // the ids of the statements
}

func (c commit) same(o commit) bool { return c.term == o.term && c.number == o.number }

// server is a database backend.
type server struct {
	g              *group
	id, addr, zone string
	ln             net.Listener
	conns          map[net.Conn]bool

	up, deaf    bool
	primary     bool
	term, held  uint64
	log         []commit
	ids         map[string]int // how often the log holds a statement
	mute        bool           // answers nothing
	draining    bool
	lose        float64 // share of the answers that are lost after the run
	seq         int
	born        int64
	lastBeat    time.Time
	listed      bool
	sawNewerFor time.Duration // since when, as primary, it has reached a newer one
}

// group is a service: one primary and its replicas.
type group struct {
	w         *world
	name      string
	sync      int
	mu        sync.Mutex
	cloudDown atomic.Bool
	servers   []*server
	fence     uint64
	// acked holds the ids of the statements whose commit was acknowledged to a client.
	acked map[string]acking
	// promotedAt is when the last promote took effect.
	promotedAt time.Time
	// rolledBack are those of them that a promote has rolled back, late those that were committed
	// at an old primary, refused those for which a client got a promise.
	rolledBack, late, refused map[string]bool
	// sent holds when the client sent a statement, and its route and session.
	sent   map[string]sending
	broken []string
}

func (s *server) last() (uint64, uint64) {
	if n := len(s.log); n > 0 {
		return s.log[n-1].term, s.log[n-1].number
	}
	return 1, 0
}

func (s *server) position() string {
	t, n := s.last()
	return fmt.Sprintf("%d.%d", t, n)
}

func (g *group) break_(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	g.broken = append(g.broken, text)
	g.w.note("BROKEN %s", text)
}

// sending is what is known of a statement that a client sent.
type sending struct {
	at             time.Time
	route, session string
}

// acking is what is known of an acknowledged commit.
type acking struct {
	at      time.Time
	session string
}

// leader returns the primary of the newest term that runs.
func (g *group) leader() *server {
	var leader *server
	for _, s := range g.servers {
		if s.up && s.primary && (leader == nil || s.term > leader.term) {
			leader = s
		}
	}
	return leader
}

// checkRead checks a read that runs at a server against STALE.
func (g *group) checkRead(s *server, id string) {
	q, ok := g.sent[id]
	if !ok {
		if id != "-" {
			g.break_("UNASKED: %s runs %s, which no client sent", s.id, id)
		}
		return
	}
	for other, a := range g.acked {
		before := q.at
		switch {
		case q.route == "bounded":
			before = before.Add(-1500 * time.Millisecond)
		case q.route == "own" && a.session != q.session:
			before = before.Add(-2500 * time.Millisecond)
		}
		if a.at.Before(before) && s.ids[other] == 0 && !g.rolledBack[other] {
			g.break_("STALE: read %s on route %s at %s lacks %s, acknowledged %v before", id, q.route, s.id, other, q.at.Sub(a.at))
			return
		}
	}
}

// checkEnd checks what was kept.
func (g *group) checkEnd() {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.leader()
	if s == nil {
		g.w.note("no primary runs at the end")
		return
	}
	for id := range g.refused {
		if s.ids[id] > 0 {
			g.break_("REFUSED: %s is committed though the client got a promise", id)
		}
	}
	for id, n := range s.ids {
		if n > 1 {
			g.break_("TWICE: %s took effect %d times", id, n)
		}
	}
	for id := range g.acked {
		if s.ids[id] == 0 && !g.rolledBack[id] {
			g.break_("an acknowledged commit is missing: %s", id)
		}
	}
}

// newGroup starts a service with a server in each zone, the first as primary.
func newGroup(w *world, name string, sync int, zones []string) *group {
	g := &group{w: w, name: name, sync: sync, acked: map[string]acking{}, rolledBack: map[string]bool{}, late: map[string]bool{},
		refused: map[string]bool{}, sent: map[string]sending{}}
	for i, z := range zones {
		s := &server{g: g, id: fmt.Sprintf("i-%s-%d", name, i+1), zone: z, term: 1, primary: i == 0,
			log: []commit{{term: 1, number: 1}}, ids: map[string]int{}}
		g.servers = append(g.servers, s)
		g.start(s)
	}
	go g.run()
	return g
}

// start starts a server, with the log that it has.
func (g *group) start(s *server) {
	addr := s.addr
	if addr == "" {
		addr = g.w.ip(200) + ":0"
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		g.w.fail("server %s cannot listen: %v", s.id, err)
	}
	g.mu.Lock()
	s.addr, s.ln, s.up, s.conns, s.held = ln.Addr().String(), ln, true, map[net.Conn]bool{}, 0
	s.born, s.seq, s.lastBeat = time.Now().UnixMilli(), 0, time.Time{}
	for _, o := range g.servers {
		if s.primary && o != s && o.primary && o.term > s.term {
			s.primary = false // another one was promoted
		}
	}
	g.mu.Unlock()
	g.w.note("server %s starts, primary=%v, log to %s", s.id, s.primary, s.position())
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			g.mu.Lock()
			s.conns[c] = true
			g.mu.Unlock()
			go s.serve(c)
		}
	}()
}

// crash ends a server and starts it again after a time, with its log.
func (g *group) crash(s *server, down time.Duration) {
	g.mu.Lock()
	s.up = false
	_ = s.ln.Close()
	for c := range s.conns {
		_ = c.Close()
	}
	g.w.note("server %s crashes for %v, primary=%v, log to %s", s.id, down, s.primary, s.position())
	g.mu.Unlock()
	time.AfterFunc(down, func() { g.start(s) })
}

// release replaces a server as planned: it drains, ends, and a new one starts at its address
// with its log.
func (g *group) release(s *server) {
	g.mu.Lock()
	s.draining, s.lastBeat = true, time.Time{}
	g.w.note("server %s drains, primary=%v", s.id, s.primary)
	g.mu.Unlock()
	time.AfterFunc(8*time.Second, func() {
		g.mu.Lock()
		s.up = false
		_ = s.ln.Close()
		for c := range s.conns {
			_ = c.Close()
		}
		n := &server{g: g, id: s.id + "n", addr: s.addr, zone: s.zone, term: s.term, primary: s.primary, log: s.log, ids: s.ids}
		for i, o := range g.servers {
			if o == s {
				g.servers[i] = n
			}
		}
		g.w.note("server %s ends", s.id)
		g.mu.Unlock()
		g.w.store.drop("servers", s.id)
		time.Sleep(300 * time.Millisecond)
		g.start(n)
	})
}

// run replicates, and reports the servers to the store.
func (g *group) run() {
	start := time.Now()
	for range time.Tick(2 * time.Millisecond) {
		g.mu.Lock()
		leader := g.leader()
		for _, s := range g.servers {
			if s.up && s.primary && leader != nil && s != leader {
				if s.sawNewerFor == 0 {
					s.sawNewerFor = time.Since(start)
				} else if time.Since(start) > s.sawNewerFor+time.Second {
					s.primary, s.sawNewerFor = false, 0
				}
			}
			if s.up && !s.primary && !s.deaf && s.held == 0 && leader != nil && leader.term >= s.term {
				s.receive(leader)
			}
		}
		type beat struct {
			id  string
			row map[string]any
		}
		var beats []beat
		var gone []string
		for _, s := range g.servers {
			role := "replica"
			if s.primary {
				role = "primary"
			}
			state := "ready"
			if s.draining {
				state = "draining"
			}
			if s.up && time.Since(s.lastBeat) >= heartbeat {
				s.seq++
				s.lastBeat, s.listed = time.Now(), true
				beats = append(beats, beat{s.id, map[string]any{"service": g.name, "addr": s.addr, "zone": s.zone, "version": "v1", "slots": 3,
					"state": state, "cold_ms": 0, "db_role": role, "born": s.born, "seq": s.seq}})
			}
			if !s.up && s.listed && time.Since(s.lastBeat) >= 3*heartbeat {
				s.listed = false
				gone = append(gone, s.id)
				g.w.note("entry of %s removed", s.id)
			}
		}
		g.mu.Unlock()
		for _, b := range beats {
			g.w.store.put("servers", b.id, b.row)
		}
		for _, id := range gone {
			g.w.store.drop("servers", id)
		}
	}
}

// receive gives a replica what it lacks of the primary's log; it drops what the primary lacks.
func (s *server) receive(leader *server) {
	n := 0
	for n < len(s.log) && n < len(leader.log) && s.log[n].same(leader.log[n]) {
		n++
	}
	for _, c := range s.log[n:] {
		for _, id := range c.ids {
			s.ids[id]--
		}
	}
	for _, c := range leader.log[n:] {
		for _, id := range c.ids {
			s.ids[id]++
		}
	}
	s.log = append(s.log[:n:n], leader.log[n:]...)
	s.term = leader.term
}

// promote implements POST /promote.
func (w *world) promote(rw http.ResponseWriter, r *http.Request) {
	var q struct{ Service, ID string }
	fence, err := strconv.ParseUint(r.Header.Get("X-Fence-Token"), 10, 64)
	if w.group.cloudDown.Load() {
		panic(http.ErrAbortHandler)
	}
	if r.Method+" "+r.URL.Path != "POST /promote" || json.NewDecoder(r.Body).Decode(&q) != nil || err != nil {
		reply(rw, 400, map[string]any{"error": "not a promote"})
		return
	}
	holder := r.Header.Get("X-Lease-Holder")
	w.note("POST /promote service=%s id=%s holder=%s fence=%d", q.Service, q.ID, holder, fence)
	for _, g := range w.groups {
		if q.Service != g.name {
			continue
		}
		g.mu.Lock()
		defer g.mu.Unlock()
		if fence < g.fence {
			g.break_("ONE: %s promotes with fence %d after %d", holder, fence, g.fence)
		}
		g.fence = max(g.fence, fence)
		for _, s := range g.servers {
			if s.id == q.ID && s.up {
				time.AfterFunc(promoteTime, func() { g.promoted(s) })
				reply(rw, 200, map[string]any{})
				return
			}
		}
	}
	reply(rw, 409, map[string]any{"error": "not running"})
}

// promoted makes a server the primary of the next term, with what it has received.
func (g *group) promoted(s *server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	newest := uint64(0)
	for _, o := range g.servers {
		newest = max(newest, o.term)
	}
	if !s.up || s.primary && s.term == newest {
		return
	}
	s.primary, s.term, s.held = true, newest+1, 0
	for _, o := range g.servers {
		o.held = 0
	}
	g.promotedAt = time.Now()
	g.w.note("server %s is promoted: term %d, log to %s", s.id, s.term, s.position())
	var lost []string
	for id := range g.acked {
		if s.ids[id] == 0 {
			lost = append(lost, id)
			g.rolledBack[id] = true
		}
	}
	if len(lost) > 0 {
		g.w.note("%d acknowledged commits are rolled back", len(lost))
		if g.sync > 0 {
			g.break_("LOST: %d acknowledged commits are not in the log of %s, which is promoted, e.g. %s", len(lost), s.id, lost[0])
		}
	}
}

func (s *server) isMute() bool {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	return s.mute && s.up
}

// session is a connection to a server.
type session struct {
	s              *server
	inTx, readOnly bool
	failed         bool
	writes         [][2]string
	ids            []string
	prepared       map[string]string
}

func (s *server) serve(c net.Conn) {
	defer func() {
		s.g.mu.Lock()
		delete(s.conns, c)
		s.g.mu.Unlock()
		_ = c.Close()
	}()
	r := bufio.NewReader(c)
	line, err := r.ReadString('\n')
	f := strings.Fields(line)
	if err != nil || len(f) < 3 || f[0] != "STARTUP" {
		return
	}
	if f[1] != s.g.name || len(f) > 3 && f[3] != s.id {
		fmt.Fprintf(c, "ERR MOVED %s\r\n", s.id)
		return
	}
	time.Sleep(12 * time.Millisecond)
	s.g.mu.Lock()
	pos := s.position()
	s.g.mu.Unlock()
	fmt.Fprintf(c, "READY I %s\r\n", pos)
	x := &session{s: s, prepared: map[string]string{}}
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		f := strings.SplitN(strings.TrimRight(line, "\r\n"), " ", 3)
		if len(f) < 3 || f[0] != "QUERY" {
			return
		}
		out, ok := x.run(f[1], f[2])
		if !ok {
			return
		}
		s.g.mu.Lock()
		lost := f[1] != "-" && rand.Float64() < s.lose
		s.g.mu.Unlock()
		if lost {
			return
		}
		for s.isMute() {
			time.Sleep(10 * time.Millisecond)
		}
		state := "I"
		switch {
		case x.failed:
			state = "E"
		case x.inTx:
			state = "T"
		}
		s.g.mu.Lock()
		pos := s.position()
		s.g.mu.Unlock()
		if _, err := fmt.Fprintf(c, "%sREADY %s %s\r\n", out, state, pos); err != nil {
			return
		}
	}
}

func (x *session) err(text string) (string, bool) {
	if x.inTx {
		x.failed = true
	}
	return "ERR " + text + "\r\n", true
}

// run runs a statement; false closes the connection without an answer.
func (x *session) run(id, text string) (string, bool) {
	s, g := x.s, x.s.g
	if rest, ok := strings.CutPrefix(text, "WAITLSN "); ok {
		at, inner, _ := strings.Cut(rest, " ")
		t, n, _ := strings.Cut(at, ".")
		term, _ := strconv.ParseUint(t, 10, 64)
		number, _ := strconv.ParseUint(n, 10, 64)
		g.mu.Lock()
		lt, ln := s.last()
		g.mu.Unlock()
		if lt < term || lt == term && ln < number {
			return x.err("LAGGING " + s.id)
		}
		text = inner
	}
	verb, rest, _ := strings.Cut(text, " ")
	if verb == "EXEC" {
		name, args, _ := strings.Cut(rest, " ")
		shape, ok := x.prepared[name]
		if !ok {
			return x.err("NOSTMT " + name)
		}
		verb, _, _ = strings.Cut(shape, " ")
		rest = args
	}
	if x.failed && verb != "ROLLBACK" && verb != "COMMIT" {
		return "ERR BADMSG failed\r\n", true
	}
	if verb == "FETCH" || verb == "PUT" || verb == "COMMIT" {
		time.Sleep(workTime)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	done := fmt.Sprintf("DONE %s.%s\r\n", s.id, id)
	switch verb {
	case "BEGIN":
		if rest == "" && !s.primary {
			return x.err("READONLY " + s.id)
		}
		x.inTx, x.readOnly = true, rest == "FETCH"
		return "DONE -\r\n", true
	case "SET", "DEALLOC", "RESET":
		if verb == "RESET" {
			x.prepared = map[string]string{}
		}
		return "DONE -\r\n", true
	case "PREPARE":
		name, shape, _ := strings.Cut(rest, " ")
		x.prepared[name] = shape
		return "DONE -\r\n", true
	case "STATUS", "PAUSE", "RESUME", "DEMOTE":
		t, _ := strconv.ParseUint(rest, 10, 64)
		switch {
		case verb == "DEMOTE" && t > s.term:
			s.primary = false
			g.w.note("server %s is demoted with term %d", s.id, t)
		case verb == "PAUSE" && t > s.term && !s.primary:
			s.held = t
		case verb == "RESUME":
			s.held = 0
		}
		role := "replica"
		if s.primary {
			role = "primary"
		}
		return fmt.Sprintf("ROW %s %d %s %d 0 0 1\r\nDONE -\r\n", role, s.term, s.position(), s.held), true
	case "FETCH":
		if x.inTx && !x.readOnly && !s.primary {
			return x.err("READONLY " + s.id)
		}
		v := "-"
		for _, c := range s.log {
			for _, w := range c.writes {
				if w[0] == rest {
					v = w[1]
				}
			}
		}
		g.w.note("%s runs %s %s", s.id, id, text)
		g.checkRead(s, id)
		return "ROW " + v + "\r\n" + done, true
	case "PUT":
		if !s.primary {
			return x.err("READONLY " + s.id)
		}
		item, data, _ := strings.Cut(rest, " ")
		g.w.note("%s runs %s %s", s.id, id, text)
		if x.inTx {
			x.writes, x.ids = append(x.writes, [2]string{item, data}), append(x.ids, id)
			return done, true
		}
		return x.commit([][2]string{{item, data}}, []string{id}, done)
	case "COMMIT":
		writes, ids, inTx, failed := x.writes, append(x.ids, id), x.inTx, x.failed
		x.inTx, x.failed, x.writes, x.ids = false, false, nil, nil
		switch {
		case !inTx:
			return "ERR BADMSG no transaction\r\n", true
		case failed:
			return "ERR ABORTED the transaction had failed\r\n", true
		case len(writes) == 0:
			return done, true
		case !s.primary:
			return "ERR READONLY " + s.id + "\r\n", true
		}
		return x.commit(writes, ids, done)
	case "ROLLBACK":
		x.inTx, x.failed, x.writes, x.ids = false, false, nil, nil
		return "DONE -\r\n", true
	}
	return x.err("BADMSG " + verb)
}

// commit appends a commit to the log of the primary and waits until enough replicas have
// received it.
func (x *session) commit(writes [][2]string, ids []string, done string) (string, bool) {
	s, g := x.s, x.s.g
	_, n := s.last()
	c := commit{term: s.term, number: n + 1, writes: writes, ids: ids}
	s.log = append(s.log, c)
	for _, id := range ids {
		s.ids[id]++
	}
	if old := g.leader(); old != s && old != nil {
		for _, id := range ids {
			g.late[id] = true
		}
	}
	g.w.note("%s commits %d.%d %v", s.id, c.term, c.number, ids)
	for g.sync > 0 {
		received := 0
		for _, o := range g.servers {
			if o != s && o.up && o.has(c) {
				received++
			}
		}
		if received >= g.sync {
			break
		}
		if !s.up || !s.has(c) {
			return "", false
		}
		g.mu.Unlock()
		time.Sleep(time.Millisecond)
		g.mu.Lock()
	}
	return done, true
}

func (s *server) has(c commit) bool {
	for i := len(s.log) - 1; i >= 0; i-- {
		if s.log[i].same(c) {
			return true
		}
	}
	return false
}
