package tablestore

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// fakeTable is a Table with a single row. It can drop a number of requests, or
// of responses to puts that have taken effect.
type fakeTable struct {
	mu               sync.Mutex
	row              Row
	dropPutResponses int // number of puts that take effect but get no response
	dropPutRequests  int // number of puts that are lost before they take effect
	dropReads        int
	puts             int
}

func (f *fakeTable) Get(context.Context, string) (Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.dropReads > 0 {
		f.dropReads--
		return Row{}, ErrUnavailable
	}
	if f.row.Version == 0 {
		return Row{}, ErrNotFound
	}
	return f.row, nil
}

func (f *fakeTable) Put(_ context.Context, key string, ifVersion uint64, v []byte) (Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.puts++
	if f.dropPutRequests > 0 {
		f.dropPutRequests--
		return Row{}, ErrUnavailable
	}
	if f.row.Version != ifVersion {
		return Row{}, ErrConflict
	}
	f.row = Row{Key: key, Version: ifVersion + 1, Value: v}
	if f.dropPutResponses > 0 {
		f.dropPutResponses--
		return Row{}, ErrUnavailable
	}
	return f.row, nil
}

func (f *fakeTable) List(context.Context, string) ([]Row, error) { return nil, nil }

func containsNonce(nonce string) func([]byte) bool {
	return func(v []byte) bool { return strings.Contains(string(v), nonce) }
}

// Guards against a put that is applied twice, or reported as failed, when only
// its response was lost.
func TestPutWithReadBackAfterLostResponse(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()

	f := &fakeTable{dropPutResponses: 1, dropReads: 2}
	row, err := PutWithReadBack(ctx, f, "k", 0, []byte("n1"), containsNonce("n1"))
	assert.NilError(t, err)
	assert.Equal(t, row.Version, uint64(1))
	assert.Equal(t, f.puts, 1)

	f = &fakeTable{dropPutRequests: 1}
	row, err = PutWithReadBack(ctx, f, "k", 0, []byte("n1"), containsNonce("n1"))
	assert.NilError(t, err)
	assert.Equal(t, row.Version, uint64(1))
	assert.Equal(t, f.puts, 2)

	// The put is lost, and another writer has updated the row.
	f = &fakeTable{dropPutRequests: 1, row: Row{Version: 7, Value: []byte("n2")}}
	row, err = PutWithReadBack(ctx, f, "k", 6, []byte("n1"), containsNonce("n1"))
	assert.ErrorIs(t, err, ErrConflict)
	assert.Equal(t, string(row.Value), "n2")
	assert.Equal(t, f.puts, 1)

	// No read succeeds before the deadline, so the outcome stays unknown.
	shortCtx, cancelShort := context.WithTimeout(context.Background(), 150*time.Millisecond)
	defer cancelShort()
	f = &fakeTable{dropPutResponses: 1, dropReads: 100}
	_, err = PutWithReadBack(shortCtx, f, "k", 0, []byte("n1"), containsNonce("n1"))
	assert.ErrorIs(t, err, ErrUnavailable)
}

// Guards against two concurrent writers that both see their put succeed. The
// first response is lost, so the writer that put the row learns its success by
// reading back.
func TestPutWithReadBackConcurrentWriters(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	for range 50 {
		f := &fakeTable{dropPutResponses: 1}
		var wg sync.WaitGroup
		var mu sync.Mutex
		winners := 0
		for _, n := range []string{"n1", "n2", "n3"} {
			wg.Go(func() {
				if _, err := PutWithReadBack(ctx, f, "k", 0, []byte(n), containsNonce(n)); err == nil {
					mu.Lock()
					winners++
					mu.Unlock()
				} else if !errors.Is(err, ErrConflict) {
					t.Error(err)
				}
			})
		}
		wg.Wait()
		assert.Equal(t, winners, 1)
	}
}

// Guards against a client that deviates from the HTTP API, or that hangs on a
// service that does not respond.
func TestClientHTTPInterface(t *testing.T) {
	var requests []string
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/table/{key...}", func(w http.ResponseWriter, r *http.Request) {
		requests = append(requests, r.PathValue("key")+" "+r.Header.Get("X-Instance"))
		if r.PathValue("key") == "absent" {
			http.NotFound(w, r)
			return
		}
		_ = json.NewEncoder(w).Encode(Row{Key: r.PathValue("key"), Version: 4, Value: []byte("v")})
	})
	mux.HandleFunc("PUT /v1/table/{key...}", func(w http.ResponseWriter, r *http.Request) {
		var p PutRequest
		_ = json.NewDecoder(r.Body).Decode(&p)
		if p.IfVersion != 4 {
			w.WriteHeader(http.StatusConflict)
			return
		}
		_ = json.NewEncoder(w).Encode(Row{Version: 5, Value: p.Value})
	})
	mux.HandleFunc("GET /v1/table", func(w http.ResponseWriter, r *http.Request) {
		_ = json.NewEncoder(w).Encode([]Row{{Key: r.URL.Query().Get("prefix") + "1"}})
	})
	mux.HandleFunc("PUT /v1/instances/{id}", func(w http.ResponseWriter, r *http.Request) {})
	mux.HandleFunc("GET /v1/instances", func(w http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
	})
	mux.HandleFunc("GET /v1/objects/{key...}", func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	srv := httptest.NewServer(mux)
	defer srv.Close()
	c := NewClient(strings.TrimPrefix(srv.URL, "http://"), "entry-1", 200*time.Millisecond)
	defer c.Close()
	ctx := context.Background()

	row, err := c.Get(ctx, "group/g 1")
	assert.NilError(t, err)
	assert.Equal(t, row.Version, uint64(4))
	assert.Equal(t, requests[0], "group/g 1 entry-1")
	_, err = c.Get(ctx, "absent")
	assert.ErrorIs(t, err, ErrNotFound)
	_, err = c.Put(ctx, "k", 3, []byte("x"))
	assert.ErrorIs(t, err, ErrConflict)
	row, err = c.Put(ctx, "k", 4, []byte("x"))
	assert.NilError(t, err)
	assert.Equal(t, string(row.Value), "x")
	rows, err := c.List(ctx, "group/")
	assert.NilError(t, err)
	assert.Equal(t, rows[0].Key, "group/1")
	assert.NilError(t, c.InstanceRegistry().Register(ctx, InstanceEntry{ID: "entry-1"}))
	_, err = c.GetObject(ctx, "bundles/1")
	assert.ErrorIs(t, err, ErrUnavailable)
	start := time.Now()
	_, err = c.InstanceRegistry().List(ctx)
	assert.ErrorIs(t, err, ErrUnavailable)
	assert.Assert(t, time.Since(start) < 2*time.Second)
}

// lossyObjectStore applies puts but drops the responses to the first few.
type lossyObjectStore struct {
	dropPutResponses int
	content          string
}

func (o *lossyObjectStore) GetObject(context.Context, string) ([]byte, error) {
	return []byte(o.content), nil
}

func (o *lossyObjectStore) PutObject(_ context.Context, _ string, data []byte) error {
	if o.content != "" && o.content != string(data) {
		return ErrConflict
	}
	o.content = string(data)
	if o.dropPutResponses > 0 {
		o.dropPutResponses--
		return ErrUnavailable
	}
	return nil
}

// Guards against a bundle version that can no longer be published because the
// response to the put of its object was lost.
func TestPutObjectWithRetryAfterLostResponse(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	o := &lossyObjectStore{dropPutResponses: 2}
	assert.NilError(t, PutObjectWithRetry(ctx, o, "k", []byte("a")))
	assert.ErrorIs(t, PutObjectWithRetry(ctx, o, "k", []byte("b")), ErrConflict)
	o.dropPutResponses = 1000
	assert.ErrorIs(t, PutObjectWithRetry(ctx, o, "k", []byte("a")), ErrUnavailable)
}

// Guards against an instance that stops following the list of instances because of one odd entry.
func TestOddInstanceEntryLeavesTheOthersReadable(t *testing.T) {
	const first = `{"id":"entry-1","data_centre":"dc1","peer_addr":"127.0.0.1:6433","ops_addr":"127.0.0.1:6434","leaving":true}`
	const last = `{"id":"entry-2","data_centre":"dc1","peer_addr":"[::1]:6433","ops_addr":"","leaving":false}`
	nested := func(depth int) string { return strings.Repeat("[", depth) + strings.Repeat("]", depth) }
	body := ""
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, err := io.WriteString(w, body)
		assert.Check(t, err)
	}))
	defer srv.Close()
	c := NewClient(strings.TrimPrefix(srv.URL, "http://"), "entry-1", time.Second)
	defer c.Close()
	for name, odd := range map[string]string{
		"nested": nested(1 << 17), "nested id": `{"id":` + nested(1<<17) + `}`, "number": "7", "null": "null", "text": `"odd"`, "empty": "{}",
		"long": `{"id":"odd","ops_addr":"` + strings.Repeat("x", 1<<20) + `"}`, "no JSON": "tru", "id of another type": `{"id":7,"peer_addr":"127.0.0.1:6433"}`,
		"port 70000": `{"id":"odd","peer_addr":"127.0.0.1:70000"}`, "port 0": `{"id":"odd","peer_addr":"127.0.0.1:0"}`, "negative port": `{"id":"odd","peer_addr":"127.0.0.1:-1"}`,
		"port 1e999": `{"id":"odd","peer_addr":"127.0.0.1:1e999"}`, "no port": `{"id":"odd","peer_addr":"127.0.0.1"}`, "port as a number": `{"id":"odd","peer_addr":6433}`,
		"leaving 1e999": `{"id":"odd","peer_addr":"127.0.0.1:6433","leaving":1e999}`, "no separator": `{"id" "odd"}`,
	} {
		body = "[" + first + "," + odd + "," + last + "]"
		got, err := c.InstanceRegistry().List(context.Background())
		assert.NilError(t, err, name)
		assert.Equal(t, len(got), 3, name)
		assert.Equal(t, got[0], InstanceEntry{ID: "entry-1", DataCentre: "dc1", PeerAddr: "127.0.0.1:6433", OpsAddr: "127.0.0.1:6434", Leaving: true}, name)
		assert.Equal(t, got[2], InstanceEntry{ID: "entry-2", DataCentre: "dc1", PeerAddr: "[::1]:6433"}, name)
		assert.Assert(t, got[1].Invalid != "" && len(got[1].Invalid) < 500 && got[1].PeerAddr == "", "%s: %+v", name, got[1])
	}
	for _, cut := range []string{"", "[", "[" + first, "{}", "[" + first + "," + `{"id":"x`} {
		body = cut
		_, err := c.InstanceRegistry().List(context.Background())
		assert.ErrorIs(t, err, ErrUnavailable, cut)
	}
}
