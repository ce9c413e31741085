package main

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the platform's store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store is a linearizable stand-in for the platform's metadata store.
type store struct {
	mu      sync.Mutex
	rows    map[string]row
	log     []row // every change, in order
	ver     uint64
	changed chan struct{}
	started time.Time
	// refuse is the status of all answers while it is set, -1 for no answer. lose is the share
	// of the transactions that are not answered; late is set if they are applied seconds later.
	refuse int
	lose   float64
	late   bool
	// refuseTable is a table whose rows are refused with 503.
	refuseTable string
	// lastWriter is the instance that last wrote under a condition.
	lastWriter string
}

func newStore() *store {
	return &store{rows: map[string]row{}, changed: make(chan struct{}), started: time.Now()}
}

func rowKey(table, part, key string) string { return table + "\x00" + part + "\x00" + key }

// put writes a row as the operator or a server.
func (s *store) put(table, key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.write(row{Table: table, Key: key, Value: raw, Ver: s.ver})
	s.announce()
}

// drop deletes a row if it exists.
func (s *store) drop(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.rows[rowKey(table, "", key)]; !ok {
		return
	}
	s.ver++
	s.write(row{Table: table, Key: key, Ver: s.ver, Deleted: true})
	s.announce()
}

func (s *store) write(r row) {
	k := rowKey(r.Table, r.Part, r.Key)
	if r.Deleted {
		delete(s.rows, k)
	} else {
		s.rows[k] = r
	}
	s.log = append(s.log, r)
}

func (s *store) announce() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func reply(w http.ResponseWriter, status int, body map[string]any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller has left if it fails
}

func (s *store) answer(w http.ResponseWriter, status int, ver uint64, body map[string]any) {
	body["ver"], body["now_ms"] = ver, time.Since(s.started).Milliseconds()
	reply(w, status, body)
}

// ServeHTTP implements the calls for rows.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	refuse := s.refuse
	s.mu.Unlock()
	switch {
	case refuse < 0:
		<-r.Context().Done()
		return
	case refuse > 0:
		reply(w, refuse, map[string]any{"error": "refused"})
		return
	}
	q := r.URL.Query()
	s.mu.Lock()
	part := s.refuseTable != "" && q.Get("table") == s.refuseTable
	s.mu.Unlock()
	if part {
		reply(w, 503, map[string]any{"error": "this part is unavailable"})
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "POST /vanillahinge/rows-tx":
		s.transact(w, r)
	case "GET /vanillahinge/rows-get":
		limit, err := strconv.Atoi(q.Get("limit"))
		if err != nil || limit <= 0 || limit > 500 {
			limit = 500
		}
		s.mu.Lock()
		found := []row{}
		for _, x := range s.rows {
			if x.Table == q.Get("table") && x.Part == q.Get("part") && x.Key >= q.Get("from") && (q.Get("target") == "" || x.Key < q.Get("target")) {
				found = append(found, x)
			}
		}
		ver := s.ver
		s.mu.Unlock()
		sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
		more := len(found) > limit
		if more {
			found = found[:limit]
		}
		s.answer(w, 200, ver, map[string]any{"rows": found, "has_more": more})
	case "GET /vanillahinge/rows-feed":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
		defer timer.Stop()
		for last := false; ; {
			s.mu.Lock()
			found, ver, changed := []row{}, s.ver, s.changed
			for i := sort.Search(len(s.log), func(i int) bool { return s.log[i].Ver > after }); i < len(s.log); i++ {
				if s.log[i].Table == q.Get("table") {
					found = append(found, s.log[i])
				}
			}
			s.mu.Unlock()
			if len(found) > 0 || last {
				s.answer(w, 200, ver, map[string]any{"rows": found})
				return
			}
			select {
			case <-changed:
			case <-timer.C:
				last = true
			case <-r.Context().Done():
				return
			}
		}
	default:
		reply(w, 404, map[string]any{"error": "no such call"})
	}
}

// discard drops the answer to a call.
type discard struct{ http.ResponseWriter }

func (discard) WriteHeader(int)             {}
func (discard) Write(b []byte) (int, error) { return len(b), nil }

// transact applies all entries of a rows-tx call or none of them.
func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	type entry struct {
		Table string  `json:"table"`
		Part  string  `json:"part"`
		Key   string  `json:"key"`
		Value []byte  `json:"value"`
		Ver   *uint64 `json:"ver"`
	}
	var tx struct {
		On   []entry `json:"precondition"`
		Put  []entry `json:"upserts"`
		Drop []entry `json:"deletes"`
	}
	if json.NewDecoder(r.Body).Decode(&tx) != nil {
		reply(w, 400, map[string]any{"error": "not a transaction"})
		return
	}
	for _, e := range append(append([]entry{}, tx.Put...), tx.Drop...) {
		if e.Table == "op" || e.Table == "servers" {
			reply(w, 403, map[string]any{"error": "not yours"})
			return
		}
	}
	time.Sleep(8 * time.Millisecond)
	s.mu.Lock()
	lost, late := rand.Float64() < s.lose, s.late
	s.mu.Unlock()
	if lost && late {
		time.Sleep(time.Second + rand.N(5*time.Second))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	defer func() {
		if lost {
			panic(http.ErrAbortHandler)
		}
	}()
	if lost {
		w = discard{w}
	}
	current, holds := []row{}, true
	for _, e := range tx.On {
		x, ok := s.rows[rowKey(e.Table, e.Part, e.Key)]
		if ok {
			current = append(current, x)
		}
		holds = holds && e.Ver != nil && x.Ver == *e.Ver
	}
	if !holds {
		s.answer(w, 412, s.ver, map[string]any{"rows": current})
		return
	}
	s.ver++
	if len(tx.On) > 0 {
		s.lastWriter, _ = r.Context().Value(callerKey{}).(string)
	}
	for _, e := range tx.Put {
		s.write(row{Table: e.Table, Part: e.Part, Key: e.Key, Value: e.Value, Ver: s.ver})
	}
	for _, e := range tx.Drop {
		if _, ok := s.rows[rowKey(e.Table, e.Part, e.Key)]; ok {
			s.write(row{Table: e.Table, Part: e.Part, Key: e.Key, Ver: s.ver, Deleted: true})
		}
	}
	s.announce()
	s.answer(w, 200, s.ver, map[string]any{})
}
