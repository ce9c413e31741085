package control

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillahinge/vanillahinge/core/catalog"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/kvstore"
	"github.com/vanillahinge/vanillahinge/edge/clock"
	"github.com/vanillahinge/vanillahinge/edge/pool"
	"github.com/vanillahinge/vanillahinge/edge/telemetry"
)

// silentFeedStore is a store with one configuration, whose held calls for the operator's
// table get no answer while silent is set.
type silentFeedStore struct {
	mu      sync.Mutex
	version uint64
	silent  bool
}

func (s *silentFeedStore) rows(table string) ([]kvstore.Row, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if table != "operator" {
		return nil, s.version
	}
	value := []byte(`{"version":` + string(rune('0'+s.version)) + `}`)
	return []kvstore.Row{{Table: table, Key: "config", Version: s.version, Value: value}}, s.version
}

func (s *silentFeedStore) ReadTable(_ context.Context, table string) ([]kvstore.Row, uint64, error) {
	rows, version := s.rows(table)
	return rows, version, nil
}

func (s *silentFeedStore) Changes(ctx context.Context, table string, after uint64, wait time.Duration) ([]kvstore.Row, uint64, error) {
	s.mu.Lock()
	silent := s.silent && table == "operator"
	s.mu.Unlock()
	if silent {
		<-ctx.Done()
		s.mu.Lock()
		s.silent = false // the next connection works
		s.mu.Unlock()
		return nil, 0, kvstore.ErrNoAnswer
	}
	for end := time.Now().Add(wait); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
		if rows, version := s.rows(table); len(rows) > 0 && version > after {
			return rows, version, nil
		}
	}
	_, version := s.rows(table)
	return nil, version, ctx.Err()
}

func (s *silentFeedStore) Apply(context.Context, kvstore.Transaction) (uint64, error) {
	return 0, kvstore.ErrRefused
}

// Guards against a configuration that comes into force only when a held call that no
// longer delivers anything times out. On taf-stubs-grown trouble-3 the open connections
// of both readers had become silent, and a configuration was in force after 6.5 s of the 5
// allowed.
func TestSilentFeedIsRestarted(t *testing.T) {
	store := &silentFeedStore{version: 1}
	clk, m, log := clock.New(), telemetry.NewMetrics(), telemetry.NewLog(io.Discard, "self")
	schema := Schema{OperatorTable: "operator", EndpointTable: "endpoints", FleetTable: "own", ConfigKey: "config",
		DecodeCatalog: func(raw []byte) (*catalog.Catalog, error) {
			return &catalog.Catalog{Version: uint64(raw[len(`{"version":`)] - '0')}, nil
		}}
	c := New(Config{Self: catalog.Member{ID: "self", Addr: "127.0.0.1:2"}, Clock: clk, Store: store, Log: log, Metrics: m, Schema: schema,
		Pool: pool.New(clk, nil, log, m, fleet.DataCentre("")), Limiter: NewLimiter(clk, m, true, catalog.Tolerance{Window: time.Second})})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	store.silent = true
	go c.Run(ctx)
	waitForCatalogVersion(t, c, 1)
	time.Sleep(200 * time.Millisecond)
	store.mu.Lock()
	store.version = 2
	store.mu.Unlock()
	start := time.Now()
	waitForCatalogVersion(t, c, 2)
	took := time.Since(start)
	assert.Assert(t, took < fleetTableWait+2*restartDelay, "in force after %v", took)
}
