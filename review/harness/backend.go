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

// position is a position in the log of a service.
type position struct{ term, number uint64 }

func (p position) String() string { return fmt.Sprintf("%d.%d", p.term, p.number) }

func (p position) less(q position) bool {
	return p.term < q.term || p.term == q.term && p.number < q.number
}

type commit struct {
	at     position
	writes map[string]string
}

// run is a statement that a backend ran for a client.
type run struct {
	at                  time.Time
	id, tenant, backend string
	text                string
}

const (
	heartbeat     = 1200 * time.Millisecond
	handshakeTime = 12 * time.Millisecond
	promoteTime   = 600 * time.Millisecond
	replicaLag    = 8 * time.Millisecond
	slotQueue     = 24
)

// service is a database: a primary and its replicas. Its backends replicate one log.
type service struct {
	name     string
	store    *store
	log      *record
	workTime time.Duration
	maxConns int
	// sync is sync_replicas: how many replicas receive a commit before it is acknowledged.
	sync int

	mu       sync.Mutex
	backends []*backend
	term     uint64
	runs     []run
	// onLead is called with a backend that has begun to lead, if it is set.
	onLead func(b *backend)
}

// backend is one server of a service.
type backend struct {
	id, addr, zone string
	service        *service
	listener       net.Listener
	slots          chan struct{}
	born           int64

	// Guarded by the mutex of the service.
	waiting  int
	primary  bool
	term     uint64
	commits  []commit
	applied  int
	conns    map[net.Conn]bool
	down     bool
	draining bool
	// deaf is set while a replica receives nothing, paused after PAUSE.
	deaf, paused bool
	seq          int
}

func newService(s *store, log *record, name string, zones []string, maxConns int, work time.Duration) *service {
	v := &service{name: name, store: s, log: log, workTime: work, maxConns: maxConns, term: 1}
	for i, zone := range zones {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			cannotRun("listen for a backend: %v", err)
		}
		b := &backend{id: fmt.Sprintf("i-%s%d", name, i), addr: l.Addr().String(), zone: zone, service: v, listener: l,
			slots: make(chan struct{}, 3), born: time.Now().UnixMilli(), primary: i == 0, term: 1, conns: map[net.Conn]bool{}}
		v.backends = append(v.backends, b)
	}
	for _, b := range v.backends {
		b.report()
		go b.accept()
		go func() {
			for {
				time.Sleep(heartbeat)
				v.mu.Lock()
				down := b.down
				v.mu.Unlock()
				if !down {
					b.report()
				}
			}
		}()
	}
	return v
}

// report writes the backend's entry to the store.
func (b *backend) report() {
	b.service.mu.Lock()
	role, state := "replica", "ready"
	if b.primary {
		role = "primary"
	}
	if b.draining {
		state = "draining"
	}
	b.seq++
	entry := map[string]any{"service": b.service.name, "addr": b.addr, "zone": b.zone, "version": "v1", "slots": cap(b.slots), "state": state,
		"cold_ms": 0, "db_role": role, "seq": b.seq, "born": b.born}
	b.service.mu.Unlock()
	b.service.store.put("servers", b.id, entry)
}

// crash ends the backend; its entry lapses after three heartbeats.
func (b *backend) crash() {
	b.service.mu.Lock()
	b.down = true
	_ = b.listener.Close()
	for c := range b.conns {
		_ = c.Close()
	}
	b.service.mu.Unlock()
	time.AfterFunc(3*heartbeat, func() { b.service.store.drop("servers", b.id) })
}

// restart starts a crashed backend again at its address, as a replica with the log of the
// backend that leads now.
func (b *backend) restart() {
	l, err := net.Listen("tcp", b.addr)
	if err != nil {
		cannotRun("listen again for a backend: %v", err)
	}
	v := b.service
	v.mu.Lock()
	b.listener, b.down, b.primary, b.born, b.seq = l, false, false, time.Now().UnixMilli(), 0
	for _, o := range v.backends {
		if o.primary && !o.down {
			b.term, b.commits = o.term, append([]commit(nil), o.commits...)
			b.applied = len(b.commits)
		}
	}
	v.mu.Unlock()
	b.report()
	go b.accept()
}

func (b *backend) received() position {
	if len(b.commits) == 0 {
		return position{1, 0}
	}
	return b.commits[len(b.commits)-1].at
}

func (b *backend) appliedAt() position {
	if b.applied == 0 {
		return position{1, 0}
	}
	return b.commits[b.applied-1].at
}

// promote carries out a call of POST /promote.
func (v *service) promote(id string) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, b := range v.backends {
		if b.id != id {
			continue
		}
		if b.down {
			return http.StatusConflict
		}
		if b.primary && b.term == v.term {
			return http.StatusOK
		}
		time.AfterFunc(promoteTime, func() { v.lead(b) })
		return http.StatusOK
	}
	return http.StatusConflict
}

// lead makes a backend the primary of the next term, with what it has received.
func (v *service) lead(b *backend) {
	v.mu.Lock()
	if b.down || b.primary && b.term == v.term {
		v.mu.Unlock()
		return
	}
	v.term++
	b.primary, b.term, b.paused = true, v.term, false
	if v.onLead != nil {
		v.onLead(b)
	}
	b.commits = append(b.commits, commit{at: position{v.term, b.received().number + 1}})
	b.applied = len(b.commits)
	for _, o := range v.backends {
		if o != b && !o.down && !o.deaf {
			o.primary, o.term, o.paused = false, v.term, false
			o.commits = append([]commit(nil), b.commits...)
			o.applied = len(o.commits)
		}
	}
	v.mu.Unlock()
	v.log.write("%s: %s leads term %d", v.name, b.id, v.term)
	for _, o := range v.backends {
		if !o.down {
			o.report()
		}
	}
}

// cloud is the stand-in of the platform's promotion call.
type cloud struct {
	services map[string]*service
	log      *record
}

func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Service string `json:"service"`
		ID      string `json:"id"`
	}
	if r.Method != http.MethodPost || r.URL.Path != "/promote" || json.NewDecoder(r.Body).Decode(&q) != nil || c.services[q.Service] == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status := c.services[q.Service].promote(q.ID)
	c.log.write("promote %s %s by %s with fence %s: %d", q.Service, q.ID, r.Header.Get("X-Lease-Holder"), r.Header.Get("X-Fence-Token"), status)
	w.WriteHeader(status)
}

func (b *backend) accept() {
	for {
		c, err := b.listener.Accept()
		if err != nil {
			return
		}
		go b.serve(c)
	}
}

// conn is the state of one connection to a backend.
type conn struct {
	b        *backend
	tenant   string
	prepared map[string]string
	open     bool
	readOnly bool
	failed   bool
	writes   map[string]string
}

func (b *backend) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReaderSize(c, 64<<10)
	line, err := r.ReadString('\n')
	f := strings.Split(strings.TrimRight(line, "\r\n"), " ")
	if err != nil || len(f) < 3 || f[0] != "STARTUP" {
		return
	}
	v := b.service
	if f[1] != v.name || len(f) > 3 && f[3] != b.id {
		fmt.Fprintf(c, "ERR MOVED %s\r\n", b.id)
		return
	}
	v.mu.Lock()
	full := len(b.conns) >= v.maxConns
	if !full {
		b.conns[c] = true
	}
	v.mu.Unlock()
	if full {
		fmt.Fprint(c, "ERR MAXCONN full\r\n")
		return
	}
	defer func() {
		v.mu.Lock()
		delete(b.conns, c)
		v.mu.Unlock()
	}()
	b.slots <- struct{}{}
	time.Sleep(handshakeTime)
	<-b.slots
	v.mu.Lock()
	fmt.Fprintf(c, "READY I %s\r\n", b.appliedAt())
	v.mu.Unlock()
	s := &conn{b: b, tenant: f[2], prepared: map[string]string{}, writes: map[string]string{}}
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		f := strings.SplitN(strings.TrimRight(line, "\r\n"), " ", 3)
		if len(f) < 3 || f[0] != "QUERY" {
			return
		}
		out := s.statement(f[1], f[2])
		if out == "" {
			return // the answer is lost
		}
		state := "I"
		switch {
		case s.failed:
			state = "E"
		case s.open:
			state = "T"
		}
		v.mu.Lock()
		at := b.appliedAt()
		v.mu.Unlock()
		if _, err := fmt.Fprintf(c, "%sREADY %s %s\r\n", out, state, at); err != nil {
			return
		}
	}
}

// slot takes a slot for the time of a statement. It returns false if too many wait.
func (b *backend) slot() bool {
	b.service.mu.Lock()
	if b.waiting >= slotQueue {
		b.service.mu.Unlock()
		return false
	}
	b.waiting++
	b.service.mu.Unlock()
	b.slots <- struct{}{}
	time.Sleep(b.service.workTime)
	<-b.slots
	b.service.mu.Lock()
	b.waiting--
	b.service.mu.Unlock()
	return true
}

func (s *conn) fail(text string) string {
	if s.open {
		s.failed, s.writes = true, map[string]string{}
	}
	return "ERR " + text + "\r\n"
}

// statement runs one statement and returns the answer without its READY line.
func (s *conn) statement(id, text string) string {
	b, v := s.b, s.b.service
	verb, rest, _ := strings.Cut(text, " ")
	if verb == "WAITLSN" {
		at, inner, _ := strings.Cut(rest, " ")
		term, number, _ := strings.Cut(at, ".")
		t, _ := strconv.ParseUint(term, 10, 64)
		n, _ := strconv.ParseUint(number, 10, 64)
		v.mu.Lock()
		behind := b.appliedAt().less(position{t, n})
		v.mu.Unlock()
		if behind {
			return s.fail("LAGGING " + b.id)
		}
		verb, rest, _ = strings.Cut(inner, " ")
		text = inner
	}
	if verb == "EXEC" {
		name, args, _ := strings.Cut(rest, " ")
		shape, ok := s.prepared[name]
		if !ok {
			return s.fail("NOSTMT " + name)
		}
		verb, _, _ = strings.Cut(shape, " ")
		rest = args
	}
	if s.failed && verb != "ROLLBACK" && verb != "COMMIT" {
		return "ERR BADMSG failed\r\n"
	}
	if verb == "FETCH" || verb == "PUT" || verb == "COMMIT" {
		if !b.slot() {
			return "ERR BUSY full\r\n"
		}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	ran := func() string {
		v.runs = append(v.runs, run{time.Now(), id, s.tenant, b.id, text})
		return fmt.Sprintf("DONE %s.%s\r\n", b.id, id)
	}
	switch verb {
	case "BEGIN":
		if rest == "" && !b.primary {
			return s.fail("READONLY " + b.id)
		}
		s.open, s.readOnly = true, rest == "FETCH"
		return "DONE -\r\n"
	case "SET", "DEALLOC":
		return "DONE -\r\n"
	case "PREPARE":
		name, shape, _ := strings.Cut(rest, " ")
		s.prepared[name] = shape
		return "DONE -\r\n"
	case "RESET":
		s.prepared = map[string]string{}
		return "DONE -\r\n"
	case "STATUS", "PAUSE", "RESUME", "DEMOTE":
		t, _ := strconv.ParseUint(rest, 10, 64)
		switch {
		case verb == "DEMOTE" && t > b.term:
			b.primary = false
		case verb == "PAUSE" && t > b.term:
			b.paused = true
		case verb == "RESUME":
			b.paused = false
		}
		role := "replica"
		if b.primary {
			role = "primary"
		}
		return fmt.Sprintf("ROW %s %d %s %d 0 0 %d\r\nDONE -\r\n", role, b.term, b.received(), b.term, len(b.conns))
	case "FETCH":
		value := ""
		for _, c := range b.commits[:b.applied] {
			if w, ok := c.writes[rest]; ok {
				value = w
			}
		}
		if w, ok := s.writes[rest]; ok {
			value = w
		}
		return "ROW " + value + "\r\n" + ran()
	case "PUT":
		if !b.primary {
			return s.fail("READONLY " + b.id)
		}
		item, data, _ := strings.Cut(rest, " ")
		if s.open {
			s.writes[item] = data
			return ran()
		}
		if !b.commit(map[string]string{item: data}) {
			return ""
		}
		return ran()
	case "COMMIT":
		writes, open, failed := s.writes, s.open, s.failed
		s.open, s.failed, s.writes = false, false, map[string]string{}
		switch {
		case !open || failed:
			return "ERR BADMSG no transaction\r\n"
		case len(writes) > 0 && !b.primary:
			return "ERR READONLY " + b.id + "\r\n"
		case len(writes) > 0 && !b.commit(writes):
			return ""
		}
		return ran()
	case "ROLLBACK":
		s.open, s.failed, s.writes = false, false, map[string]string{}
		return "DONE -\r\n"
	}
	return s.fail("BADMSG " + verb)
}

// commit appends to the log of the primary. A replica that receives it applies it later. It
// returns false if not enough replicas receive it; then there is no answer. The caller holds
// the mutex.
func (b *backend) commit(writes map[string]string) bool {
	c := commit{at: position{b.term, b.received().number + 1}, writes: writes}
	b.commits = append(b.commits, c)
	b.applied = len(b.commits)
	received := 0
	for _, o := range b.service.backends {
		if o == b || o.down || o.deaf || o.paused || o.term > b.term {
			continue
		}
		received++
		o.commits = append(o.commits, c)
		time.AfterFunc(replicaLag, func() {
			o.service.mu.Lock()
			defer o.service.mu.Unlock()
			if o.term == c.at.term && !o.primary {
				o.applied = min(o.applied+1, len(o.commits))
			}
		})
	}
	return received >= b.service.sync
}

// setDeaf sets whether a replica receives nothing. Afterwards it gets what it lacks.
func (b *backend) setDeaf(deaf bool) {
	v := b.service
	v.mu.Lock()
	defer v.mu.Unlock()
	b.deaf = deaf
	for _, o := range v.backends {
		if !deaf && o.primary && !o.down && o.term >= b.term && !b.primary {
			b.term, b.commits = o.term, append([]commit(nil), o.commits...)
			b.applied = len(b.commits)
		}
	}
}

// drain announces in the store that the backend is about to leave.
func (b *backend) drain() {
	b.service.mu.Lock()
	b.draining = true
	b.service.mu.Unlock()
	b.report()
}

// ran returns the runs of all services.
func ran(services map[string]*service) []run {
	var all []run
	for _, v := range services {
		v.mu.Lock()
		all = append(all, v.runs...)
		v.mu.Unlock()
	}
	return all
}
