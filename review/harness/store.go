package main

import (
	"encoding/json"
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
	Version uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowID struct{ table, part, key string }

func (r row) id() rowID { return rowID{r.Table, r.Part, r.Key} }

const (
	transactionTime = 8 * time.Millisecond
	readTime        = 4 * time.Millisecond
)

// store is a stand-in of the platform's metadata store. It answers linearizably and keeps
// its whole history.
type store struct {
	mu      sync.Mutex
	rows    map[rowID]row
	history []row
	version uint64
	changed chan struct{}
	started time.Time
}

func newStore() *store {
	return &store{rows: map[rowID]row{}, changed: make(chan struct{}), started: time.Now()}
}

// put writes a row with a JSON value, as the operator or a backend does.
func (s *store) put(table, key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.record(row{Table: table, Key: key, Value: raw, Version: s.version})
	s.wake()
}

// drop deletes a row.
func (s *store) drop(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.record(row{Table: table, Key: key, Version: s.version, Deleted: true})
	s.wake()
}

func (s *store) record(r row) {
	if r.Deleted {
		delete(s.rows, r.id())
	} else {
		s.rows[r.id()] = r
	}
	s.history = append(s.history, r)
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "POST /vanillahinge/rows-tx":
		s.apply(w, r)
	case "GET /vanillahinge/rows-get":
		s.read(w, r)
	case "GET /vanillahinge/rows-feed":
		s.feed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) answer(w http.ResponseWriter, status int, body map[string]any) {
	body["now_ms"] = time.Since(s.started).Milliseconds()
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw) // the caller may have gone
}

func (s *store) apply(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Precondition []row `json:"precondition"`
		Upserts      []row `json:"upserts"`
		Deletes      []row `json:"deletes"`
	}
	if json.NewDecoder(r.Body).Decode(&q) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(transactionTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	current := []row{}
	conflict := false
	for _, p := range q.Precondition {
		now := s.rows[p.id()]
		if now.Version > 0 {
			current = append(current, now)
		}
		conflict = conflict || now.Version != p.Version
	}
	if conflict {
		s.answer(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "ver": s.version})
		return
	}
	s.version++
	for _, u := range q.Upserts {
		u.Version = s.version
		s.record(u)
	}
	for _, d := range q.Deletes {
		s.record(row{Table: d.Table, Part: d.Part, Key: d.Key, Version: s.version, Deleted: true})
	}
	s.wake()
	s.answer(w, http.StatusOK, map[string]any{"ver": s.version})
}

const pageRows = 500

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	time.Sleep(readTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []row{}
	for _, x := range s.rows {
		if x.Table == q.Get("table") && x.Part == q.Get("part") && x.Key >= q.Get("from") && (q.Get("target") == "" || x.Key < q.Get("target")) {
			found = append(found, x)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	more := len(found) > pageRows
	if more {
		found = found[:pageRows]
	}
	s.answer(w, http.StatusOK, map[string]any{"rows": found, "has_more": more, "ver": s.version})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err1 := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("wait_ms"))
	if err1 != nil || err2 != nil || wait > 30000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for over := false; ; {
		s.mu.Lock()
		found := []row{}
		for _, h := range s.history {
			if h.Table == q.Get("table") && h.Version > after {
				found = append(found, h)
			}
		}
		if len(found) > 0 || over {
			s.answer(w, http.StatusOK, map[string]any{"rows": found, "ver": s.version})
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}
