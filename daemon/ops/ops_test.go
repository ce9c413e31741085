package ops

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/vanillahinge/vanillahinge/bundle"
	coredecision "github.com/vanillahinge/vanillahinge/core/decision"
	"github.com/vanillahinge/vanillahinge/daemon/control"
	"github.com/vanillahinge/vanillahinge/daemon/logging"
	"github.com/vanillahinge/vanillahinge/report/decision"
)

type fakeControl struct {
	err error
	doc *bundle.Document
	got []byte
}

func (f *fakeControl) Accept(_ context.Context, e []byte) (control.Result, error) {
	f.got = e
	return control.Result{Version: 4, Accepted: true}, f.err
}
func (f *fakeControl) Withdraw(_ context.Context, e []byte) (control.Result, error) {
	return control.Result{Accepted: true}, f.err
}
func (f *fakeControl) Describe(context.Context) (control.Status, error) {
	return control.Status{Instance: "entry-1"}, nil
}
func (f *fakeControl) Bundle(context.Context) (*bundle.Document, error) { return f.doc, nil }
func (f *fakeControl) Ready() error                                     { return f.err }

func get(t *testing.T, h http.Handler, method, path, body string) (int, string) {
	t.Helper()
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	b, err := io.ReadAll(w.Result().Body)
	assert.NilError(t, err)
	return w.Code, string(b)
}

func newHandler() (*Handler, *fakeControl, *decision.Ring, metrics.Registry) {
	c, r, m := &fakeControl{}, decision.NewRing("entry-1", 16), metrics.NewRegistry()
	return New(c, r, nil, m, logging.ForComponent(nil, "ops")), c, r, m
}

// Guards against a command line that cannot tell a race from a refusal.
func TestRefusalsAreClassified(t *testing.T) {
	h, c, _, _ := newHandler()
	for _, x := range []struct {
		err  error
		code int
		kind string
	}{
		{fmt.Errorf("%w: 3", bundle.ErrOlderVersion), 409, "older"},
		{fmt.Errorf("%w: 3", control.ErrConflict), 409, "race"},
		{control.ErrOutcomeUnknown, 504, "unknown"},
		{control.ErrStoreUnavailable, 503, "store"},
		{bundle.ErrUnknownKey, 422, "refused"},
		{errors.New("malformed"), 422, "refused"},
	} {
		c.err = x.err
		code, body := get(t, h, "POST", "/bundle/accept", "envelope")
		assert.Equal(t, code, x.code, body)
		assert.Assert(t, strings.Contains(body, `"kind":"`+x.kind+`"`), body)
	}
	c.err = nil
	code, body := get(t, h, "POST", "/bundle/accept", "envelope")
	assert.Equal(t, code, 200)
	assert.Assert(t, strings.Contains(body, `"accepted":true`), body)
	assert.Equal(t, string(c.got), "envelope")
}

// Guards against secrets of the bundle at the operators' port.
func TestBundleIsShownWithoutSecrets(t *testing.T) {
	h, c, _, _ := newHandler()
	code, _ := get(t, h, "GET", "/bundle", "")
	assert.Equal(t, code, 404)
	c.doc = &bundle.Document{Kind: "bundle", TokenKeys: []bundle.TokenKey{{ID: "t1", Secret: "oats"}}}
	code, body := get(t, h, "GET", "/bundle", "")
	assert.Equal(t, code, 200)
	assert.Assert(t, strings.Contains(body, "t1") && !strings.Contains(body, "oats"), body)
}

func TestDecisionsAndMetrics(t *testing.T) {
	h, c, r, m := newHandler()
	r.Record(coredecision.Record{Kind: coredecision.Refusal, Account: "a", Session: 7})
	r.Record(coredecision.Record{Kind: coredecision.Bundle})
	code, body := get(t, h, "GET", "/decisions?account=a&session=7&since=1m", "")
	assert.Equal(t, code, 200)
	assert.Equal(t, strings.Count(body, `"seq"`), 1, body)
	for _, bad := range []string{"limit=x", "since=yesterday", "acount=a"} {
		code, body = get(t, h, "GET", "/decisions?"+bad, "")
		assert.Equal(t, code, 400, body)
	}
	metrics.GetOrRegisterCounter("control.polls", m).Inc(3)
	_, body = get(t, h, "GET", "/metrics", "")
	assert.Assert(t, strings.Contains(body, "vanillahinge_control_polls 3"), body)
	c.err = errors.New("not fresh")
	code, body = get(t, h, "GET", "/readyz", "")
	assert.Equal(t, code, 503)
	assert.Assert(t, strings.Contains(body, "not fresh"))
	code, _ = get(t, h, "GET", "/healthz", "")
	assert.Equal(t, code, 200)
	code, _ = get(t, h, "GET", "/burn", "")
	assert.Equal(t, code, 404)
}
