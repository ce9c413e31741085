// Package ops serves the operators' HTTP port: health, metrics, decision
// records, status, burn rates, and the requests that put a bundle or withdrawal
// in force.
//
//	GET  /healthz          200 while the process runs
//	GET  /readyz           200 if requests with a key can be served, otherwise 503
//	GET  /metrics          text; ?format=json for JSON
//	GET  /decisions        decision records; parameters seq, after, since, kind,
//	                       rule, account, group, endpoint, session, limit
//	GET  /status           state of the instance
//	GET  /bundle           the bundle in force, without secrets
//	GET  /burn             burn report; ?format=text, json or html
//	POST /bundle/accept    body: a signed bundle envelope
//	POST /withdrawal       body: a signed withdrawal envelope
package ops

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/vanillahinge/vanillahinge/bundle"
	"github.com/vanillahinge/vanillahinge/bundle/strictyaml"
	coredecision "github.com/vanillahinge/vanillahinge/core/decision"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/daemon/control"
	"github.com/vanillahinge/vanillahinge/daemon/logging"
	"github.com/vanillahinge/vanillahinge/report/decision"
	"github.com/vanillahinge/vanillahinge/tablestore"
)

// Control is the part of control.Control that the operators' port uses.
type Control interface {
	Accept(ctx context.Context, envelope []byte) (control.Result, error)
	Withdraw(ctx context.Context, envelope []byte) (control.Result, error)
	Describe(ctx context.Context) (control.Status, error)
	Bundle(ctx context.Context) (*bundle.Document, error)
	Ready() error
}

// DecisionStore finds decision records that match a query.
type DecisionStore interface {
	Find(q decision.Query) []coredecision.Record
}

// BurnReport renders the burn rate report as text, json or html.
type BurnReport interface {
	Render(w io.Writer, format string) error
}

// ErrorResponse is the JSON body of an error response.
type ErrorResponse struct {
	// Kind classifies the error: refused, older, race, store, unknown, busy, none,
	// internal or bad_request.
	Kind    string `json:"kind"`
	Message string `json:"message"`
}

// requestTimeout bounds a request. It leaves time for the acceptance of a bundle
// including its waits.
const requestTimeout = 20 * time.Second

// Handler serves the operators' port.
type Handler struct {
	control   Control
	decisions DecisionStore
	burn      BurnReport
	metrics   metrics.Registry
	log       logging.Logger
	mux       *http.ServeMux
}

// New returns a handler. Without a burn report (b is nil), GET /burn returns 404.
func New(c Control, d DecisionStore, b BurnReport, m metrics.Registry, l logging.Logger) *Handler {
	h := &Handler{control: c, decisions: d, burn: b, metrics: m, log: l, mux: http.NewServeMux()}
	h.mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	h.mux.HandleFunc("GET /readyz", h.serveReady)
	h.mux.HandleFunc("GET /metrics", h.serveMetrics)
	h.mux.HandleFunc("GET /decisions", h.serveDecisions)
	h.mux.HandleFunc("GET /status", h.serveStatus)
	h.mux.HandleFunc("GET /bundle", h.serveBundle)
	h.mux.HandleFunc("GET /burn", h.serveBurnReport)
	h.mux.HandleFunc("POST /bundle/accept", h.handleEnvelope(c.Accept))
	h.mux.HandleFunc("POST /withdrawal", h.handleEnvelope(c.Withdraw))
	return h
}

// ServeHTTP serves one request within requestTimeout.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	h.mux.ServeHTTP(w, r.WithContext(ctx))
}

func (h *Handler) serveReady(w http.ResponseWriter, _ *http.Request) {
	if err := h.control.Ready(); err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = fmt.Fprintln(w, err)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

func (h *Handler) writeJSON(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	enc := json.NewEncoder(w)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(v); err != nil {
		h.log.Debug("cannot write response", "error", err.Error())
	}
}

func (h *Handler) writeError(w http.ResponseWriter, code int, kind string, err error) {
	h.writeJSON(w, code, ErrorResponse{Kind: kind, Message: err.Error()})
}

func (h *Handler) serveStatus(w http.ResponseWriter, r *http.Request) {
	s, err := h.control.Describe(r.Context())
	if err != nil {
		h.writeError(w, http.StatusServiceUnavailable, "busy", err)
		return
	}
	h.writeJSON(w, http.StatusOK, s)
}

func (h *Handler) serveBundle(w http.ResponseWriter, r *http.Request) {
	d, err := h.control.Bundle(r.Context())
	if err != nil {
		h.writeError(w, http.StatusServiceUnavailable, "busy", err)
		return
	}
	if d == nil {
		h.writeError(w, http.StatusNotFound, "none", errors.New("no bundle is in force; publish one with vanillahinge bundle publish"))
		return
	}
	b, err := d.Redacted()
	if err != nil {
		h.writeError(w, http.StatusInternalServerError, "internal", err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(b)
}

// handleEnvelope returns a handler that passes the request body, a signed
// envelope, to f.
func (h *Handler) handleEnvelope(f func(ctx context.Context, envelope []byte) (control.Result, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		// The limit is twice the document's because an envelope holds the document
		// in base64.
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 2*strictyaml.MaxSize))
		if err != nil {
			h.writeError(w, http.StatusBadRequest, "bad_request", fmt.Errorf("cannot read the request body: %w", err))
			return
		}
		res, err := f(r.Context(), body)
		if err != nil {
			code, kind := classify(err)
			h.writeError(w, code, kind, err)
			return
		}
		h.writeJSON(w, http.StatusOK, res)
	}
}

// classify maps an error of Control to an HTTP status and an error kind.
func classify(err error) (int, string) {
	switch {
	case errors.Is(err, control.ErrOutcomeUnknown):
		return http.StatusGatewayTimeout, "unknown"
	case errors.Is(err, control.ErrConflict):
		return http.StatusConflict, "race"
	case errors.Is(err, bundle.ErrOlderVersion):
		return http.StatusConflict, "older"
	case errors.Is(err, control.ErrStoreUnavailable), errors.Is(err, tablestore.ErrUnavailable):
		return http.StatusServiceUnavailable, "store"
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return http.StatusServiceUnavailable, "busy"
	default:
		return http.StatusUnprocessableEntity, "refused"
	}
}

func (h *Handler) serveDecisions(w http.ResponseWriter, r *http.Request) {
	q, err := parseQuery(r)
	if err != nil {
		h.writeError(w, http.StatusBadRequest, "bad_request", err)
		return
	}
	recs := h.decisions.Find(q)
	if recs == nil {
		recs = []coredecision.Record{}
	}
	h.writeJSON(w, http.StatusOK, recs)
}

// parseQuery reads the parameters of GET /decisions. It rejects unknown ones, so
// that a misspelt filter does not return all records.
func parseQuery(r *http.Request) (decision.Query, error) {
	v := r.URL.Query()
	q := decision.Query{
		Kind: coredecision.Kind(v.Get("kind")), Rule: v.Get("rule"), Account: fleet.AccountID(v.Get("account")),
		Group: fleet.GroupID(v.Get("group")), Endpoint: fleet.EndpointID(v.Get("endpoint")),
	}
	known := map[string]bool{"seq": true, "after": true, "since": true, "kind": true, "rule": true, "account": true, "group": true, "endpoint": true, "session": true, "limit": true}
	for k := range v {
		if !known[k] {
			return q, fmt.Errorf("unknown parameter %q; use seq, after, since, kind, rule, account, group, endpoint, session or limit", k)
		}
	}
	var err error
	parseNumber := func(name string, bits int) uint64 {
		s := v.Get(name)
		if s == "" || err != nil {
			return 0
		}
		n, perr := strconv.ParseUint(s, 10, bits)
		if perr != nil {
			err = fmt.Errorf("parameter %s is %q; give a number", name, s)
		}
		return n
	}
	q.Seq, q.After, q.Session, q.Limit = parseNumber("seq", 64), parseNumber("after", 64), uint32(parseNumber("session", 32)), int(parseNumber("limit", 31))
	if s := v.Get("since"); s != "" && err == nil {
		if d, derr := time.ParseDuration(s); derr == nil {
			q.Since = time.Now().Add(-d)
		} else if q.Since, err = time.Parse(time.RFC3339, s); err != nil {
			err = fmt.Errorf("parameter since is %q; give a duration such as 10m or a time such as 2026-12-04T09:00:00Z", s)
		}
	}
	return q, err
}

func (h *Handler) serveBurnReport(w http.ResponseWriter, r *http.Request) {
	if h.burn == nil {
		h.writeError(w, http.StatusNotFound, "none", errors.New("this instance keeps no burn report"))
		return
	}
	format := r.URL.Query().Get("format")
	switch format {
	case "", "json":
		format = "json"
		w.Header().Set("Content-Type", "application/json")
	case "text":
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	case "html":
		w.Header().Set("Content-Type", "text/html; charset=utf-8")
	default:
		h.writeError(w, http.StatusBadRequest, "bad_request", fmt.Errorf("unknown format %q; use text, json or html", format))
		return
	}
	if err := h.burn.Render(w, format); err != nil {
		h.log.Warn("cannot write burn report", "error", err.Error())
	}
}

// serveMetrics writes one line per value, consisting of name, space and value, or
// JSON if requested.
func (h *Handler) serveMetrics(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("format") == "json" {
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(h.metrics, w)
		return
	}
	var lines []string
	add := func(name string, v any) { lines = append(lines, fmt.Sprintf("%s %v", name, v)) }
	h.metrics.Each(func(name string, m any) {
		name = metricName(name)
		switch m := m.(type) {
		case metrics.Counter:
			add(name, m.Count())
		case metrics.Gauge:
			add(name, m.Value())
		case metrics.GaugeFloat64:
			add(name, m.Value())
		case metrics.Meter:
			s := m.Snapshot()
			add(name+"_total", s.Count())
			add(name+"_rate1", s.Rate1())
		case metrics.Histogram:
			s := m.Snapshot()
			add(name+"_count", s.Count())
			for _, p := range []float64{0.5, 0.99, 0.999} {
				add(fmt.Sprintf("%s{quantile=%q}", name, strconv.FormatFloat(p, 'g', -1, 64)), s.Percentile(p))
			}
		case metrics.Timer:
			s := m.Snapshot()
			add(name+"_count", s.Count())
			for _, p := range []float64{0.5, 0.99, 0.999} {
				add(fmt.Sprintf("%s_seconds{quantile=%q}", name, strconv.FormatFloat(p, 'g', -1, 64)), s.Percentile(p)/1e9)
			}
		}
	})
	sort.Strings(lines)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = io.WriteString(w, strings.Join(lines, "\n")+"\n")
}

// metricName replaces characters that are not allowed in a metric name and adds
// the prefix vanillahinge_. Labels stay as they are.
func metricName(s string) string {
	name, labels, found := strings.Cut(s, "{")
	name = strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '_' || r == ':' {
			return r
		}
		return '_'
	}, name)
	if !strings.HasPrefix(name, "vanillahinge_") {
		name = "vanillahinge_" + name
	}
	if found {
		return name + "{" + labels
	}
	return name
}
