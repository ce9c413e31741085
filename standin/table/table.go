// Package table implements a stand-in for the platform's service: the
// transactional table, the object store and the eventually consistent list of
// instances, over the HTTP interface that package tablestore documents. Tests
// can inject latency, outages, lost responses and a stale list.
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

// maxBodyBytes limits the size of a request body.
const maxBodyBytes = 16 << 20

// maxSnapshots limits the retained snapshots of the list of instances.
const maxSnapshots = 1000

// Faults is the set of injected faults; durations are in nanoseconds in JSON.
type Faults struct {
	// Latency delays each request before it is carried out.
	Latency time.Duration `json:"latency" yaml:"latency"`
	// Outage lists the instances whose requests fail; "*" stands for all clients.
	Outage []string `json:"outage" yaml:"outage"`
	// OutageHang makes requests block for the duration of the outage instead of
	// failing with status 503.
	OutageHang bool `json:"outage_hang" yaml:"outage_hang"`
	// LoseAnswers is the number of upcoming successful PUT requests whose
	// response is dropped after the write was applied.
	LoseAnswers int `json:"lose_answers" yaml:"lose_answers"`
	// ListLag is the staleness of the list of instances.
	ListLag time.Duration `json:"list_lag" yaml:"list_lag"`
}

// Config is the configuration of the service. Start replaces zero values with
// defaults.
type Config struct {
	Listen      string `yaml:"listen"`
	FaultListen string `yaml:"fault_listen"`
	// Expiry is the time without a heartbeat after which an instance is removed
	// from the list, 10 s by default.
	Expiry time.Duration `yaml:"expiry"`
	Faults Faults        `yaml:"faults"`
}

// Stats counts requests by cost class.
type Stats struct {
	Reads  int `json:"reads"`
	Writes int `json:"writes"`
}

// listSnapshot is the list of instances as it stood from the given time until the
// next snapshot.
type listSnapshot struct {
	at   time.Time
	list []tablestore.InstanceEntry
}

// Service is a running stand-in.
type Service struct {
	cfg           Config
	apiListener   net.Listener
	faultListener net.Listener
	servers       []*http.Server
	ctx           context.Context
	cancel        context.CancelFunc
	wg            sync.WaitGroup

	mu            sync.Mutex
	faults        Faults
	changed       chan struct{}
	rows          map[string]tablestore.Row
	objects       map[string][]byte
	instances     map[fleet.InstanceID]tablestore.InstanceEntry
	lastHeartbeat map[fleet.InstanceID]time.Time
	snapshots     []listSnapshot
	stats         Stats
}

// Start starts the service, which runs until Close.
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
		instances: map[fleet.InstanceID]tablestore.InstanceEntry{}, lastHeartbeat: map[fleet.InstanceID]time.Time{},
	}
	var err error
	if s.apiListener, err = net.Listen("tcp", cfg.Listen); err != nil {
		return nil, fmt.Errorf("platform stand-in: cannot listen on service port: %w", err)
	}
	if s.faultListener, err = net.Listen("tcp", cfg.FaultListen); err != nil {
		s.apiListener.Close()
		return nil, fmt.Errorf("platform stand-in: cannot listen on fault injection port: %w", err)
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	serve := func(l net.Listener, h http.Handler) {
		srv := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
		s.servers = append(s.servers, srv)
		s.wg.Go(func() { srv.Serve(l) })
	}
	serve(s.apiListener, s.injectFaults(s.routes()))
	serve(s.faultListener, s.faultRoutes())
	s.wg.Go(s.expireLoop)
	return s, nil
}

// Addr returns the listen address of the service.
func (s *Service) Addr() string { return s.apiListener.Addr().String() }

// FaultAddr returns the listen address of the fault injection port.
func (s *Service) FaultAddr() string { return s.faultListener.Addr().String() }

// SetFaults applies change to the injected faults.
func (s *Service) SetFaults(change func(*Faults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setFaultsLocked(change)
}

// setFaultsLocked applies change and wakes the requests that block during an
// outage. The caller holds s.mu.
func (s *Service) setFaultsLocked(change func(*Faults)) {
	change(&s.faults)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Stats returns the request counts since Start.
func (s *Service) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Close stops the service and closes its connections.
func (s *Service) Close() error {
	s.cancel()
	for _, srv := range s.servers {
		srv.Close()
	}
	s.wg.Wait()
	return nil
}

// injectFaults delays, blocks or rejects requests before they are carried out.
func (s *Service) injectFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// net/http detects that the client has disconnected only after the body
		// has been read, so read it before the request may block.
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
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

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}

// respondPut sends the response to a PUT that was applied, or drops it if a lost
// response is injected. A nil v sends an empty body.
func (s *Service) respondPut(w http.ResponseWriter, v any) {
	s.mu.Lock()
	drop := s.faults.LoseAnswers > 0
	if drop {
		s.faults.LoseAnswers--
	}
	s.mu.Unlock()
	if drop {
		// http.ErrAbortHandler closes the connection without a response.
		panic(http.ErrAbortHandler)
	}
	if v == nil {
		w.WriteHeader(http.StatusOK)
		return
	}
	writeJSON(w, v)
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
	writeJSON(w, row)
}

// putRow writes a row if its current version is IfVersion; a missing row has
// version 0.
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
	s.respondPut(w, row)
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
	writeJSON(w, rows)
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

// putObject creates an object. Objects are immutable: a repeated PUT succeeds only
// with the same content.
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
	s.respondPut(w, nil)
}

// register adds or updates an instance in the list and counts as its heartbeat.
func (s *Service) register(w http.ResponseWriter, r *http.Request) {
	var entry tablestore.InstanceEntry
	if err := json.NewDecoder(r.Body).Decode(&entry); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if id := r.PathValue("id"); string(entry.ID) != id {
		http.Error(w, fmt.Sprintf("the body names instance %q, the path %q", entry.ID, id), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.stats.Writes++
	s.lastHeartbeat[entry.ID] = time.Now()
	if old, ok := s.instances[entry.ID]; !ok || old != entry {
		s.instances[entry.ID] = entry
		s.recordSnapshotLocked()
	}
	s.mu.Unlock()
	s.respondPut(w, nil)
}

// recordSnapshotLocked appends the current list to s.snapshots and discards the
// oldest beyond maxSnapshots. The caller holds s.mu.
func (s *Service) recordSnapshotLocked() {
	list := make([]tablestore.InstanceEntry, 0, len(s.instances))
	for _, m := range s.instances {
		list = append(list, m)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	s.snapshots = append(s.snapshots, listSnapshot{time.Now(), list})
	if len(s.snapshots) > maxSnapshots {
		s.snapshots = slices.Delete(s.snapshots, 0, len(s.snapshots)-maxSnapshots)
	}
}

// listInstances returns the list of instances as it was ListLag ago.
func (s *Service) listInstances(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	s.stats.Reads++
	at := time.Now().Add(-s.faults.ListLag)
	list := []tablestore.InstanceEntry{}
	for _, h := range s.snapshots {
		if !h.at.After(at) {
			list = h.list
		}
	}
	s.mu.Unlock()
	writeJSON(w, list)
}

// expireLoop removes instances from the list whose last heartbeat is older than
// Expiry.
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
		expired := false
		for id, at := range s.lastHeartbeat {
			if time.Since(at) > s.cfg.Expiry {
				delete(s.lastHeartbeat, id)
				delete(s.instances, id)
				expired = true
			}
		}
		if expired {
			s.recordSnapshotLocked()
		}
		s.mu.Unlock()
	}
}

// faultRoutes serves GET, PUT and PATCH /faults and GET /stats. PUT replaces the
// faults; PATCH keeps those that the body does not name.
func (s *Service) faultRoutes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		f := s.faults
		s.mu.Unlock()
		writeJSON(w, f)
	})
	update := func(merge bool) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			s.mu.Lock()
			defer s.mu.Unlock()
			var f Faults
			if merge {
				f = s.faults
				f.Outage = slices.Clone(f.Outage)
			}
			dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16))
			dec.DisallowUnknownFields()
			if err := dec.Decode(&f); err != nil && !errors.Is(err, io.EOF) {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
			s.setFaultsLocked(func(old *Faults) { *old = f })
			writeJSON(w, f)
		}
	}
	mux.HandleFunc("PUT /faults", update(false))
	mux.HandleFunc("PATCH /faults", update(true))
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Stats()) })
	return mux
}
