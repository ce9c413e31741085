// Package table is a stand-in for the platform's service: the transactional
// table, the object store and the lagging list of instances, over the HTTP
// interface that package platform documents. Tests inject latency, outages,
// lost answers and list lag.
package table

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/tablestore"
)

// maxBody bounds the body of a request.
const maxBody = 16 << 20

// Faults is the set of injected faults; durations are in nanoseconds in JSON.
type Faults struct {
	// Latency is added to each request before it takes effect.
	Latency time.Duration `json:"latency" yaml:"latency"`
	// Outage names the instances that get no service; "*" is everyone.
	Outage []string `json:"outage" yaml:"outage"`
	// OutageHang lets requests during an outage hang instead of answering 503.
	OutageHang bool `json:"outage_hang" yaml:"outage_hang"`
	// LoseAnswers loses the answers of that many puts after they took effect.
	LoseAnswers int `json:"lose_answers" yaml:"lose_answers"`
	// ListLag is how old the list of instances is.
	ListLag time.Duration `json:"list_lag" yaml:"list_lag"`
}

// Config describes the service. Zero values take the defaults of Start.
type Config struct {
	Listen      string `yaml:"listen"`
	FaultListen string `yaml:"fault_listen"`
	// Expiry is how long an instance stays listed without a heartbeat, 10 s
	// by default.
	Expiry time.Duration `yaml:"expiry"`
	Faults Faults        `yaml:"faults"`
}

// Stats counts requests, by what they cost the service.
type Stats struct {
	Reads  int `json:"reads"`
	Writes int `json:"writes"`
}

// listing is the list of instances from one moment on.
type listing struct {
	at   time.Time
	list []tablestore.InstanceEntry
}

// Service is the running service.
type Service struct {
	cfg     Config
	api     net.Listener
	control net.Listener
	servers []*http.Server
	ctx     context.Context
	cancel  context.CancelFunc
	tasks   sync.WaitGroup

	mu      sync.Mutex
	faults  Faults
	changed chan struct{}
	rows    map[string]tablestore.Row
	objects map[string][]byte
	members map[fleet.InstanceID]tablestore.InstanceEntry
	beats   map[fleet.InstanceID]time.Time
	history []listing
	stats   Stats
}

// Start starts the service. It serves until Close.
func Start(cfg Config) (*Service, error) {
	if cfg.Listen == "" {
		cfg.Listen = "127.0.0.1:0"
	}
	if cfg.FaultListen == "" {
		cfg.FaultListen = "127.0.0.1:0"
	}
	if cfg.Expiry == 0 {
		cfg.Expiry = 10 * time.Second
	}
	s := &Service{
		cfg: cfg, faults: cfg.Faults, changed: make(chan struct{}),
		rows: map[string]tablestore.Row{}, objects: map[string][]byte{},
		members: map[fleet.InstanceID]tablestore.InstanceEntry{}, beats: map[fleet.InstanceID]time.Time{},
	}
	var err error
	if s.api, err = net.Listen("tcp", cfg.Listen); err != nil {
		return nil, fmt.Errorf("platform stand-in: listen: %w", err)
	}
	if s.control, err = net.Listen("tcp", cfg.FaultListen); err != nil {
		s.api.Close()
		return nil, fmt.Errorf("platform stand-in: listen for faults: %w", err)
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	serve := func(l net.Listener, h http.Handler) {
		srv := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
		s.servers = append(s.servers, srv)
		s.tasks.Go(func() { srv.Serve(l) })
	}
	serve(s.api, s.withFaults(s.routes()))
	serve(s.control, s.faultRoutes())
	s.tasks.Go(s.expireLoop)
	return s, nil
}

// Addr returns the address of the service.
func (s *Service) Addr() string { return s.api.Addr().String() }

// FaultAddr returns the address of the fault port.
func (s *Service) FaultAddr() string { return s.control.Addr().String() }

// SetFaults changes the injected faults.
func (s *Service) SetFaults(change func(*Faults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setFaults(change)
}

func (s *Service) setFaults(change func(*Faults)) {
	change(&s.faults)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Stats returns the counts so far.
func (s *Service) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Close stops the service.
func (s *Service) Close() error {
	s.cancel()
	for _, srv := range s.servers {
		srv.Close()
	}
	s.tasks.Wait()
	return nil
}

// withFaults delays or refuses requests before they take effect.
func (s *Service) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// The body is read first, so that the server notices a client that
		// gives up while its request hangs.
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
		if err != nil {
			http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		instance := r.Header.Get("X-Instance")
		for {
			s.mu.Lock()
			f, changed := s.faults, s.changed
			s.mu.Unlock()
			if !slices.Contains(f.Outage, "*") && !slices.Contains(f.Outage, instance) {
				select {
				case <-time.After(f.Latency):
				case <-r.Context().Done():
					return
				}
				break
			}
			if !f.OutageHang {
				http.Error(w, "injected outage", http.StatusServiceUnavailable)
				return
			}
			select {
			case <-changed:
			case <-r.Context().Done():
				return
			case <-s.ctx.Done():
				return
			}
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Service) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/table/{key...}", s.getRow)
	mux.HandleFunc("PUT /v1/table/{key...}", s.putRow)
	mux.HandleFunc("GET /v1/table", s.listRows)
	mux.HandleFunc("GET /v1/objects/{key...}", s.getObject)
	mux.HandleFunc("PUT /v1/objects/{key...}", s.putObject)
	mux.HandleFunc("GET /v1/instances", s.listInstances)
	mux.HandleFunc("PUT /v1/instances/{id}", s.register)
	return mux
}

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}

// answerPut answers a put that took effect, unless its answer is to be lost.
func (s *Service) answerPut(w http.ResponseWriter, v any) {
	s.mu.Lock()
	lose := s.faults.LoseAnswers > 0
	if lose {
		s.faults.LoseAnswers--
	}
	s.mu.Unlock()
	if lose {
		// http.ErrAbortHandler closes the connection without an answer.
		panic(http.ErrAbortHandler)
	}
	if v == nil {
		w.WriteHeader(http.StatusOK)
		return
	}
	answer(w, v)
}

func (s *Service) getRow(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	row, ok := s.rows[r.PathValue("key")]
	s.stats.Reads++
	s.mu.Unlock()
	if !ok {
		http.Error(w, "no such row", http.StatusNotFound)
		return
	}
	answer(w, row)
}

func (s *Service) putRow(w http.ResponseWriter, r *http.Request) {
	var p tablestore.PutRequest
	if err := json.NewDecoder(r.Body).Decode(&p); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	key := r.PathValue("key")
	s.mu.Lock()
	s.stats.Writes++
	old := s.rows[key]
	if old.Version != p.IfVersion {
		s.mu.Unlock()
		http.Error(w, fmt.Sprintf("the row has version %d", old.Version), http.StatusConflict)
		return
	}
	row := tablestore.Row{Key: key, Version: old.Version + 1, Value: p.Value}
	s.rows[key] = row
	s.mu.Unlock()
	s.answerPut(w, row)
}

func (s *Service) listRows(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	rows := []tablestore.Row{}
	s.mu.Lock()
	s.stats.Reads++
	for k, row := range s.rows {
		if strings.HasPrefix(k, prefix) {
			rows = append(rows, row)
		}
	}
	s.mu.Unlock()
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	answer(w, rows)
}

func (s *Service) getObject(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	data, ok := s.objects[r.PathValue("key")]
	s.stats.Reads++
	s.mu.Unlock()
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Write(data)
}

func (s *Service) putObject(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	key := r.PathValue("key")
	s.mu.Lock()
	s.stats.Writes++
	old, ok := s.objects[key]
	if ok && !bytes.Equal(old, data) {
		s.mu.Unlock()
		http.Error(w, "the object exists with other content", http.StatusConflict)
		return
	}
	s.objects[key] = data
	s.mu.Unlock()
	s.answerPut(w, nil)
}

func (s *Service) register(w http.ResponseWriter, r *http.Request) {
	var l tablestore.InstanceEntry
	if err := json.NewDecoder(r.Body).Decode(&l); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if id := r.PathValue("id"); string(l.ID) != id {
		http.Error(w, fmt.Sprintf("the body names instance %q, the path %q", l.ID, id), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.stats.Writes++
	s.beats[l.ID] = time.Now()
	if old, ok := s.members[l.ID]; !ok || old != l {
		s.members[l.ID] = l
		s.remember()
	}
	s.mu.Unlock()
	s.answerPut(w, nil)
}

// remember appends the current list to the history; needs s.mu.
func (s *Service) remember() {
	list := make([]tablestore.InstanceEntry, 0, len(s.members))
	for _, m := range s.members {
		list = append(list, m)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	s.history = append(s.history, listing{time.Now(), list})
	if len(s.history) > 1000 {
		s.history = slices.Delete(s.history, 0, len(s.history)-1000)
	}
}

// listInstances answers with the list as it was ListLag ago.
func (s *Service) listInstances(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	s.stats.Reads++
	at := time.Now().Add(-s.faults.ListLag)
	list := []tablestore.InstanceEntry{}
	for _, h := range s.history {
		if !h.at.After(at) {
			list = h.list
		}
	}
	s.mu.Unlock()
	answer(w, list)
}

// expireLoop drops instances without a heartbeat from the list.
func (s *Service) expireLoop() {
	t := time.NewTicker(max(s.cfg.Expiry/20, time.Millisecond))
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-s.ctx.Done():
			return
		}
		s.mu.Lock()
		gone := false
		for id, at := range s.beats {
			if time.Since(at) > s.cfg.Expiry {
				delete(s.beats, id)
				delete(s.members, id)
				gone = true
			}
		}
		if gone {
			s.remember()
		}
		s.mu.Unlock()
	}
}

// faultRoutes serves GET, PUT and PATCH /faults and GET /stats.
func (s *Service) faultRoutes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		f := s.faults
		s.mu.Unlock()
		answer(w, f)
	})
	change := func(keep bool) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			s.mu.Lock()
			defer s.mu.Unlock()
			var f Faults
			if keep {
				f = s.faults
				f.Outage = slices.Clone(f.Outage)
			}
			dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16))
			dec.DisallowUnknownFields()
			if err := dec.Decode(&f); err != nil && !errors.Is(err, io.EOF) {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
			s.setFaults(func(old *Faults) { *old = f })
			answer(w, f)
		}
	}
	mux.HandleFunc("PUT /faults", change(false))
	mux.HandleFunc("PATCH /faults", change(true))
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { answer(w, s.Stats()) })
	return mux
}
