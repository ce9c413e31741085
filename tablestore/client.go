package tablestore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/jsonstream"
)

// DefaultTimeout is the timeout of a call if the client is given none. The
// state machines for slots and terms read a row back after 1 s and 300 ms
// without a response, so a longer call has no use.
const DefaultTimeout = time.Second

// Size limits for response bodies. The largest object is the envelope of a
// 16 MiB bundle, encoded in base64.
const (
	maxObjectBytes   = 32 << 20
	maxResponseBytes = 32 << 20
)

// Client calls the HTTP API of the platform service. It implements Table and
// ObjectStore; its InstanceRegistry method returns an InstanceRegistry. It is
// safe for concurrent use.
type Client struct {
	baseURL    string
	instance   fleet.InstanceID
	timeout    time.Duration
	httpClient *http.Client
}

// NewClient returns a client for the service at addr (host:port) that
// identifies itself as the given instance. The timeout applies to each call; 0
// means DefaultTimeout.
func NewClient(addr string, instance fleet.InstanceID, timeout time.Duration) *Client {
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	return &Client{
		baseURL:  "http://" + addr,
		instance: instance,
		timeout:  timeout,
		httpClient: &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: timeout}).DialContext,
			MaxIdleConnsPerHost: 8,
			IdleConnTimeout:     time.Minute,
		}},
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.httpClient.CloseIdleConnections() }

// send sends one request and returns the response body. It returns
// ErrUnavailable on a lost response, a timeout, or a status of 5xx or 429.
func (c *Client) send(ctx context.Context, method, path string, body []byte, limit int64) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("tablestore: build request %s %s: %w", method, path, err)
	}
	// Without GetBody, the transport cannot by itself resend a put whose
	// response was lost.
	req.GetBody = nil
	req.Header.Set("X-Instance", string(c.instance))
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	res, err := c.httpClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("%w: %s %s: %w", ErrUnavailable, method, path, err)
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, limit+1))
	if err != nil {
		return nil, fmt.Errorf("%w: %s %s: %w", ErrUnavailable, method, path, err)
	}
	switch {
	case res.StatusCode == http.StatusOK || res.StatusCode == http.StatusNoContent:
		if int64(len(data)) > limit {
			return nil, fmt.Errorf("tablestore: response to %s %s is larger than %d bytes", method, path, limit)
		}
		return data, nil
	case res.StatusCode == http.StatusNotFound:
		return nil, fmt.Errorf("%w: %s", ErrNotFound, path)
	case res.StatusCode == http.StatusConflict:
		return nil, fmt.Errorf("%w: %s", ErrConflict, path)
	case res.StatusCode >= 500 || res.StatusCode == http.StatusTooManyRequests:
		return nil, fmt.Errorf("%w: %s %s: status %d", ErrUnavailable, method, path, res.StatusCode)
	default:
		return nil, fmt.Errorf("tablestore: %s %s: unexpected status %d; check the platform address", method, path, res.StatusCode)
	}
}

// callJSON calls send with in encoded as JSON and decodes the response into
// out. Either may be nil.
func (c *Client) callJSON(ctx context.Context, method, path string, in, out any) error {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return fmt.Errorf("tablestore: encode request: %w", err)
		}
	}
	data, err := c.send(ctx, method, path, body, maxResponseBytes)
	if err != nil || out == nil {
		return err
	}
	if err := json.Unmarshal(data, out); err != nil {
		// A truncated response does not tell whether a put took effect.
		return fmt.Errorf("%w: %s %s: malformed response: %w", ErrUnavailable, method, path, err)
	}
	return nil
}

// Get reads a row.
func (c *Client) Get(ctx context.Context, key string) (Row, error) {
	var r Row
	err := c.callJSON(ctx, http.MethodGet, "/v1/table/"+escapePath(key), nil, &r)
	return r, err
}

// Put replaces a row if its current version is ifVersion; 0 means that the row
// must not exist.
func (c *Client) Put(ctx context.Context, key string, ifVersion uint64, value []byte) (Row, error) {
	var r Row
	err := c.callJSON(ctx, http.MethodPut, "/v1/table/"+escapePath(key), PutRequest{IfVersion: ifVersion, Value: value}, &r)
	return r, err
}

// List reads all rows whose keys start with prefix.
func (c *Client) List(ctx context.Context, prefix string) ([]Row, error) {
	var rows []Row
	err := c.callJSON(ctx, http.MethodGet, "/v1/table?prefix="+url.QueryEscape(prefix), nil, &rows)
	return rows, err
}

// GetObject reads an object.
func (c *Client) GetObject(ctx context.Context, key string) ([]byte, error) {
	return c.send(ctx, http.MethodGet, "/v1/objects/"+escapePath(key), nil, maxObjectBytes)
}

// PutObject writes an object. Objects are immutable, so putting the same
// content again is safe; PutObjectWithRetry does so.
func (c *Client) PutObject(ctx context.Context, key string, data []byte) error {
	_, err := c.send(ctx, http.MethodPut, "/v1/objects/"+escapePath(key), data, maxResponseBytes)
	return err
}

// InstanceRegistry returns an InstanceRegistry that uses this client.
func (c *Client) InstanceRegistry() InstanceRegistry { return instanceRegistry{c} }

type instanceRegistry struct{ c *Client }

// maxEntryBytes limits the size of an entry of the registry. A usual one has 150 bytes.
const maxEntryBytes = 64 << 10

func (l instanceRegistry) List(ctx context.Context) ([]InstanceEntry, error) {
	const path = "/v1/instances"
	data, err := l.c.send(ctx, http.MethodGet, path, nil, maxResponseBytes)
	if err != nil {
		return nil, err
	}
	var out []InstanceEntry
	j := jsonstream.NewReader(bytes.NewReader(data), len(data))
	err = j.List(func() error {
		raw, err := j.Value(maxEntryBytes)
		out = append(out, decodeInstance(raw))
		return err
	})
	if err == nil {
		err = j.End()
	}
	if err != nil {
		return nil, fmt.Errorf("%w: GET %s: malformed response: %w", ErrUnavailable, path, err)
	}
	return out, nil
}

// decodeInstance decodes and validates an entry of the registry, nil if it is too long.
func decodeInstance(raw []byte) InstanceEntry {
	var e InstanceEntry
	err := fmt.Errorf("longer than %d bytes", maxEntryBytes)
	if raw != nil {
		err = json.Unmarshal(raw, &e)
	}
	if err == nil {
		err = e.validate()
	}
	if err != nil {
		return InstanceEntry{ID: e.ID, Invalid: fmt.Sprintf("registry: entry of instance %.60q: %.200s; the instance has to register again", e.ID, err)}
	}
	return e
}

// validate reports why an entry cannot be that of an instance.
func (e InstanceEntry) validate() error {
	if e.ID == "" {
		return errors.New("the id is missing")
	}
	_, port, err := net.SplitHostPort(e.PeerAddr)
	if err != nil {
		return fmt.Errorf("peer address %.60q is not a host and port", e.PeerAddr)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return fmt.Errorf("peer address %.60q: port is not from 1 to %d", e.PeerAddr, math.MaxUint16)
	}
	return nil
}

func (l instanceRegistry) Register(ctx context.Context, e InstanceEntry) error {
	return l.c.callJSON(ctx, http.MethodPut, "/v1/instances/"+escapePath(string(e.ID)), e, nil)
}

// escapePath escapes a key for use in a URL path and keeps its slashes.
func escapePath(key string) string { return (&url.URL{Path: key}).EscapedPath() }

// PutObjectWithRetry calls PutObject until it returns something other than
// ErrUnavailable or ctx ends. Objects are immutable, so at most one content is
// ever stored under the key, and putting that content again gets the same
// response as the first put.
func PutObjectWithRetry(ctx context.Context, o ObjectStore, key string, data []byte) error {
	const retryInterval = 100 * time.Millisecond
	for {
		err := o.PutObject(ctx, key, data)
		if !errors.Is(err, ErrUnavailable) || !sleepContext(ctx, retryInterval) {
			return err
		}
	}
}

// PutWithReadBack puts a value that contains a nonce of its writer; isOwn
// reports whether a value contains that nonce. If the put returns
// ErrUnavailable or ErrConflict, it reads the row back until ctx ends:
//
//   - If the row contains the nonce, the put took effect; it returns the row.
//   - If the row's version is unchanged, it sends the same conditional put
//     again, which is safe because at most one of the two can take effect.
//   - If the row contains anything else, it returns that row and ErrConflict.
//
// It returns ErrUnavailable only if ctx ends before one of these is known.
func PutWithReadBack(ctx context.Context, t Table, key string, ifVersion uint64, value []byte, isOwn func([]byte) bool) (Row, error) {
	// The service handles only several hundred writes per second for the whole
	// fleet, so retries are spaced.
	const retryInterval = 100 * time.Millisecond
	for {
		row, err := t.Put(ctx, key, ifVersion, value)
		if err == nil {
			return row, nil
		}
		if !errors.Is(err, ErrUnavailable) && !errors.Is(err, ErrConflict) {
			return Row{}, err
		}
		for {
			current, readErr := t.Get(ctx, key)
			switch {
			case readErr == nil && isOwn(current.Value):
				return current, nil
			case readErr == nil && current.Version != ifVersion, errors.Is(readErr, ErrNotFound) && ifVersion != 0:
				return current, fmt.Errorf("%w: %s is at version %d", ErrConflict, key, current.Version)
			}
			known := readErr == nil || errors.Is(readErr, ErrNotFound)
			if !sleepContext(ctx, retryInterval) {
				return Row{}, fmt.Errorf("%w: %s: %w", ErrUnavailable, key, err)
			}
			if known {
				break
			}
		}
	}
}

// sleepContext waits for d and reports whether it did so before ctx ended.
func sleepContext(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
