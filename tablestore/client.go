package tablestore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/vanillahinge/vanillahinge/core/fleet"
)

// DefaultTimeout bounds one call when the client is given no other. The slot
// and term cores read back after 1 s and 300 ms, so a longer call is useless.
const DefaultTimeout = time.Second

// Bounds of an answer. The largest object is a bundle envelope of 16 MiB in
// base64.
const (
	maxObject = 32 << 20
	maxAnswer = 32 << 20
)

// Client speaks the HTTP interface. It implements Table and Objects;
// InstanceList gives Instances. It is safe for concurrent use.
type Client struct {
	base     string
	instance fleet.InstanceID
	timeout  time.Duration
	http     *http.Client
}

// NewClient returns a client of the service at addr (host:port) that calls as
// the instance. A timeout of 0 means DefaultTimeout.
func NewClient(addr string, instance fleet.InstanceID, timeout time.Duration) *Client {
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	return &Client{
		base:     "http://" + addr,
		instance: instance,
		timeout:  timeout,
		http: &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: timeout}).DialContext,
			MaxIdleConnsPerHost: 8,
			IdleConnTimeout:     time.Minute,
		}},
	}
}

// Close drops idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// do sends one request. A lost answer, a timeout and a status of 5xx are
// ErrUnavailable.
func (c *Client) do(ctx context.Context, method, path string, body []byte, limit int64) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("tablestore: bad request %s %s: %w", method, path, err)
	}
	// The transport must not repeat a put whose answer was lost by itself.
	req.GetBody = nil
	req.Header.Set("X-Instance", string(c.instance))
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	res, err := c.http.Do(req)
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
			return nil, fmt.Errorf("tablestore: answer to %s %s is larger than %d bytes", method, path, limit)
		}
		return data, nil
	case res.StatusCode == http.StatusNotFound:
		return nil, fmt.Errorf("%w: %s", ErrNotFound, path)
	case res.StatusCode == http.StatusConflict:
		return nil, fmt.Errorf("%w: %s", ErrConflict, path)
	case res.StatusCode >= 500 || res.StatusCode == http.StatusTooManyRequests:
		return nil, fmt.Errorf("%w: %s %s: status %d", ErrUnavailable, method, path, res.StatusCode)
	default:
		return nil, fmt.Errorf("tablestore: %s %s: status %d; check that the platform address is right", method, path, res.StatusCode)
	}
}

// call is do with JSON bodies.
func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return fmt.Errorf("tablestore: encode: %w", err)
		}
	}
	data, err := c.do(ctx, method, path, body, maxAnswer)
	if err != nil || out == nil {
		return err
	}
	if err := json.Unmarshal(data, out); err != nil {
		// A truncated answer says nothing about whether a put took effect.
		return fmt.Errorf("%w: %s %s: malformed answer: %w", ErrUnavailable, method, path, err)
	}
	return nil
}

// Get reads a row.
func (c *Client) Get(ctx context.Context, key string) (Row, error) {
	var r Row
	err := c.call(ctx, http.MethodGet, "/v1/table/"+escape(key), nil, &r)
	return r, err
}

// Put replaces a row if its version is still ifVersion.
func (c *Client) Put(ctx context.Context, key string, ifVersion uint64, value []byte) (Row, error) {
	var r Row
	err := c.call(ctx, http.MethodPut, "/v1/table/"+escape(key), PutRequest{IfVersion: ifVersion, Value: value}, &r)
	return r, err
}

// List reads all rows with the prefix.
func (c *Client) List(ctx context.Context, prefix string) ([]Row, error) {
	var rows []Row
	err := c.call(ctx, http.MethodGet, "/v1/table?prefix="+url.QueryEscape(prefix), nil, &rows)
	return rows, err
}

// GetObject reads an object.
func (c *Client) GetObject(ctx context.Context, key string) ([]byte, error) {
	return c.do(ctx, http.MethodGet, "/v1/objects/"+escape(key), nil, maxObject)
}

// PutObject writes an object. Objects are immutable, so a repeated put of the
// same content is safe; PutObjectResolved repeats it.
func (c *Client) PutObject(ctx context.Context, key string, data []byte) error {
	_, err := c.do(ctx, http.MethodPut, "/v1/objects/"+escape(key), data, maxAnswer)
	return err
}

// InstanceRegistry returns the view of the client that implements Instances.
func (c *Client) InstanceRegistry() InstanceRegistry { return instanceList{c} }

type instanceList struct{ c *Client }

func (l instanceList) List(ctx context.Context) ([]InstanceEntry, error) {
	var out []InstanceEntry
	err := l.c.call(ctx, http.MethodGet, "/v1/instances", nil, &out)
	return out, err
}

func (l instanceList) Register(ctx context.Context, e InstanceEntry) error {
	return l.c.call(ctx, http.MethodPut, "/v1/instances/"+escape(string(e.ID)), e, nil)
}

// escape keeps the slashes of a key and escapes all else.
func escape(key string) string { return (&url.URL{Path: key}).EscapedPath() }

// PutObjectWithRetry is PutObject that sends the object again until it is
// answered or ctx ends. Objects are immutable, so at most one content is ever
// stored under the key, and a repeated put of it is answered as the first.
func PutObjectWithRetry(ctx context.Context, o ObjectStore, key string, data []byte) error {
	const wait = 100 * time.Millisecond
	for {
		err := o.PutObject(ctx, key, data)
		if !errors.Is(err, ErrUnavailable) || !sleep(ctx, wait) {
			return err
		}
	}
}

// PutWithReadBack is Put for a value that holds a nonce of its writer; mine
// reports whether a value holds that nonce. If the answer is lost it reads the
// row back until ctx ends:
//
//   - the row holds the nonce: the put took effect, and the row is returned;
//   - the row's version is unchanged: the same conditional put is sent again,
//     which is safe because at most one of the two can take effect;
//   - the row holds something else: ErrConflict, with that row.
//
// ErrUnavailable is returned only if ctx ends before any of these is known.
func PutWithReadBack(ctx context.Context, t Table, key string, ifVersion uint64, value []byte, mine func([]byte) bool) (Row, error) {
	// wait between two tries; the service carries several hundred writes a
	// second for the whole fleet.
	const wait = 100 * time.Millisecond
	for {
		row, err := t.Put(ctx, key, ifVersion, value)
		if err == nil {
			return row, nil
		}
		if !errors.Is(err, ErrUnavailable) && !errors.Is(err, ErrConflict) {
			return Row{}, err
		}
		for {
			cur, rerr := t.Get(ctx, key)
			switch {
			case rerr == nil && mine(cur.Value):
				return cur, nil
			case rerr == nil && cur.Version != ifVersion, errors.Is(rerr, ErrNotFound) && ifVersion != 0:
				return cur, fmt.Errorf("%w: %s is at version %d", ErrConflict, key, cur.Version)
			}
			known := rerr == nil || errors.Is(rerr, ErrNotFound)
			if !sleep(ctx, wait) {
				return Row{}, fmt.Errorf("%w: %s: %w", ErrUnavailable, key, err)
			}
			if known {
				break
			}
		}
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
