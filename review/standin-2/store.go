package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// row is a row of the platform's store. All rows used here are in the empty part.
type row struct {
	Table   string  `json:"table"`
	Part    string  `json:"part"`
	Key     string  `json:"key"`
	Value   []byte  `json:"value,omitempty"`
	Ver     *uint64 `json:"ver,omitempty"`
	Deleted bool    `json:"deleted,omitempty"`
}

const (
	// txTime and answerTime are those of a small deployment.
	txTime     = 8 * time.Millisecond
	answerTime = 4 * time.Millisecond
)

// store is a stand-in of the platform's metadata store.
type store struct {
	addr string

	mu      sync.Mutex
	started time.Time
	ver     uint64
	rows    map[string]map[string]row
	// history holds each change with its version.
	history []row
	changed chan struct{}
	// down is set while the store answers 503.
	down bool
}

func newStore(ip string) (*store, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &store{addr: l.Addr().String(), started: time.Now(), rows: map[string]map[string]row{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /vanillahinge/rows-tx", s.tx)
	mux.HandleFunc("GET /vanillahinge/rows-get", s.get)
	mux.HandleFunc("GET /vanillahinge/rows-feed", s.feed)
	go func() { _ = http.Serve(l, mux) }()
	return s, nil
}

// setDown sets whether the store answers 503.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// set writes a row as the operator or a server does.
func (s *store) set(table, key string, value any) uint64 {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.put(row{Table: table, Key: key, Value: raw})
	s.wake()
	return s.ver
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.drop(row{Table: table, Key: key})
	s.wake()
}

func (s *store) put(r row) {
	v := s.ver
	r.Ver = &v
	if s.rows[r.Table] == nil {
		s.rows[r.Table] = map[string]row{}
	}
	s.rows[r.Table][r.Key] = r
	s.history = append(s.history, r)
}

func (s *store) drop(r row) {
	v := s.ver
	delete(s.rows[r.Table], r.Key)
	s.history = append(s.history, row{Table: r.Table, Key: r.Key, Ver: &v, Deleted: true})
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) now() int64 { return time.Since(s.started).Milliseconds() }

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	var q struct{ Precondition, Upserts, Deletes []row }
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if s.turnedAway(w) {
		return
	}
	time.Sleep(txTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range q.Precondition {
		have := uint64(0)
		if old, ok := s.rows[p.Table][p.Key]; ok {
			have = *old.Ver
		}
		if p.Ver == nil || *p.Ver != have {
			current := []row{}
			for _, p := range q.Precondition {
				if old, ok := s.rows[p.Table][p.Key]; ok {
					current = append(current, old)
				}
			}
			reply(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "ver": s.ver, "now_ms": s.now()})
			return
		}
	}
	s.ver++
	for _, u := range q.Upserts {
		s.put(u)
	}
	for _, d := range q.Deletes {
		s.drop(d)
	}
	s.wake()
	reply(w, http.StatusOK, map[string]any{"ver": s.ver, "now_ms": s.now()})
}

func (s *store) turnedAway(w http.ResponseWriter) bool {
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if !down {
		return false
	}
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	if s.turnedAway(w) {
		return
	}
	time.Sleep(answerTime)
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []row{}
	for k, v := range s.rows[q.Get("table")] {
		if k >= q.Get("from") && (q.Get("target") == "" || k < q.Get("target")) {
			out = append(out, v)
		}
	}
	slices.SortFunc(out, func(a, b row) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	reply(w, http.StatusOK, map[string]any{"rows": out, "has_more": false, "ver": s.ver, "now_ms": s.now()})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	if s.turnedAway(w) {
		return
	}
	time.Sleep(answerTime)
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	deadline := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		out := []row{}
		for _, h := range s.history {
			if h.Table == q.Get("table") && *h.Ver > after {
				out = append(out, h)
			}
		}
		changed, ver := s.changed, s.ver
		s.mu.Unlock()
		if len(out) > 0 {
			reply(w, http.StatusOK, map[string]any{"rows": out, "ver": ver, "now_ms": s.now()})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			reply(w, http.StatusOK, map[string]any{"rows": out, "ver": ver, "now_ms": s.now()})
			return
		case <-r.Context().Done():
			return
		}
	}
}
