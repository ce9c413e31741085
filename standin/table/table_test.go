package table

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillahinge/vanillahinge/tablestore"
)

func startService(t *testing.T, cfg Config) *Service {
	t.Helper()
	s, err := Start(cfg)
	assert.NilError(t, err)
	t.Cleanup(func() { s.Close() })
	return s
}

// call sends one request and returns the status code, or 0 if there is no response
// within 300 ms.
func call(t *testing.T, s *Service, instance, method, path string, body, out any) int {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	data, err := json.Marshal(body)
	assert.NilError(t, err)
	req, err := http.NewRequestWithContext(ctx, method, "http://"+s.Addr()+path, bytes.NewReader(data))
	assert.NilError(t, err)
	req.Header.Set("X-Instance", instance)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if out != nil && resp.StatusCode == http.StatusOK {
		assert.NilError(t, json.NewDecoder(resp.Body).Decode(out))
	}
	return resp.StatusCode
}

func put(t *testing.T, s *Service, key string, ifVersion uint64, v string) int {
	return call(t, s, "i1", http.MethodPut, "/v1/table/"+key, tablestore.PutRequest{IfVersion: ifVersion, Value: []byte(v)}, nil)
}

// Of two conditional writes that expect the same version, only the first may
// succeed. An object cannot be overwritten with different content.
func TestConditionalPut(t *testing.T) {
	s := startService(t, Config{})
	assert.Equal(t, put(t, s, "bundle/current", 0, "a"), 200)
	assert.Equal(t, put(t, s, "bundle/current", 0, "b"), 409)
	assert.Equal(t, put(t, s, "bundle/current", 1, "c"), 200)
	assert.Equal(t, put(t, s, "group/g1", 0, "d"), 200)
	var row tablestore.Row
	assert.Equal(t, call(t, s, "i1", http.MethodGet, "/v1/table/bundle/current", nil, &row), 200)
	assert.DeepEqual(t, row, tablestore.Row{Key: "bundle/current", Version: 2, Value: []byte("c")})
	assert.Equal(t, call(t, s, "i1", http.MethodGet, "/v1/table/none", nil, nil), 404)
	var rows []tablestore.Row
	assert.Equal(t, call(t, s, "i1", http.MethodGet, "/v1/table?prefix=group/", nil, &rows), 200)
	assert.Equal(t, len(rows), 1)
	assert.Equal(t, call(t, s, "i1", http.MethodPut, "/v1/objects/bundles/1", "x", nil), 200)
	assert.Equal(t, call(t, s, "i1", http.MethodPut, "/v1/objects/bundles/1", "x", nil), 200)
	assert.Equal(t, call(t, s, "i1", http.MethodPut, "/v1/objects/bundles/1", "y", nil), 409)
}

// A dropped response belongs to a write that was applied, and each injected fault
// drops only one response.
func TestLostResponse(t *testing.T) {
	s := startService(t, Config{Faults: Faults{LoseAnswers: 1}})
	assert.Equal(t, put(t, s, "slots", 0, "a"), 0)
	var row tablestore.Row
	assert.Equal(t, call(t, s, "i1", http.MethodGet, "/v1/table/slots", nil, &row), 200)
	assert.Equal(t, row.Version, uint64(1))
	assert.Equal(t, put(t, s, "slots", 1, "b"), 200)
}

// An outage of one instance must not affect the others, and a request blocked by
// an outage must complete when the outage ends.
func TestOutage(t *testing.T) {
	s := startService(t, Config{})
	s.SetFaults(func(f *Faults) { f.Outage = []string{"i1"} })
	assert.Equal(t, put(t, s, "slots", 0, "a"), 503)
	assert.Equal(t, call(t, s, "i2", http.MethodGet, "/v1/table/slots", nil, nil), 404)
	s.SetFaults(func(f *Faults) { f.Outage, f.OutageHang = []string{"*"}, true })
	assert.Equal(t, call(t, s, "i2", http.MethodGet, "/v1/table/slots", nil, nil), 0)
	time.AfterFunc(50*time.Millisecond, func() { s.SetFaults(func(f *Faults) { f.Outage = nil }) })
	assert.Equal(t, put(t, s, "slots", 0, "a"), 200)
}

// The list must be stale by ListLag and omit instances whose heartbeat has expired.
func TestInstanceList(t *testing.T) {
	s := startService(t, Config{Expiry: 200 * time.Millisecond})
	entry := tablestore.InstanceEntry{ID: "i1", DataCentre: "d1", PeerAddr: "127.0.0.1:1"}
	assert.Equal(t, call(t, s, "i1", http.MethodPut, "/v1/instances/i1", entry, nil), 200)
	list := func() (out []tablestore.InstanceEntry) {
		assert.Equal(t, call(t, s, "i1", http.MethodGet, "/v1/instances", nil, &out), 200)
		return out
	}
	assert.DeepEqual(t, list(), []tablestore.InstanceEntry{entry})
	s.SetFaults(func(f *Faults) { f.ListLag = time.Hour })
	assert.Equal(t, len(list()), 0)
	s.SetFaults(func(f *Faults) { f.ListLag = 0 })
	time.Sleep(400 * time.Millisecond)
	assert.Equal(t, len(list()), 0)
}
