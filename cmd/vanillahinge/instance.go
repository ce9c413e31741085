package main

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
	"os"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"github.com/vanillahinge/vanillahinge/core/decision"
	"github.com/vanillahinge/vanillahinge/daemon/config"
	"github.com/vanillahinge/vanillahinge/daemon/ops"
	"github.com/vanillahinge/vanillahinge/report/burn"
)

// callTimeout leaves time for the acceptance of a bundle, which takes up to 20 s
// at the instance.
const callTimeout = 25 * time.Second

// errNoConnection means that the request was not sent.
var errNoConnection = errors.New("no connection to the instance")

var client = &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: 2 * time.Second}).DialContext}}

// addresses splits and validates a comma-separated list of host:port addresses.
// Each is the address of the operators' port of an instance.
func addresses(s string) ([]string, error) {
	var out []string
	for _, a := range strings.Split(s, ",") {
		if a = strings.TrimSpace(a); a == "" {
			continue
		}
		if _, _, err := net.SplitHostPort(a); err != nil {
			return nil, usageError("bad address %q; give host:port of the operators' port", a)
		}
		out = append(out, a)
	}
	if len(out) == 0 {
		return nil, usageError("no instance; give the operators' address of one with --instance")
	}
	return out, nil
}

// callJSON sends a request to an operators' port and decodes the JSON response.
func (t *tool) callJSON(ctx context.Context, method, addr, path string, body []byte, into any) error {
	data, err := t.fetch(ctx, method, addr, path, body)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, into); err != nil {
		return fmt.Errorf("cannot decode the response of %s: %w; check that the address is an operators' port", addr, err)
	}
	return nil
}

// withoutURL removes the URL from the error of a call: a parameter may be a key that was given
// by mistake.
func withoutURL(err error) error {
	var u *url.Error
	if errors.As(err, &u) {
		return u.Err
	}
	return err
}

// fetch sends a request to an operators' port and returns the response body.
// Its errors carry the exit code of the failure.
func (t *tool) fetch(ctx context.Context, method, addr, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, usageError("bad request: %w", err)
	}
	req.GetBody = nil // keeps the transport from sending a change twice
	res, err := client.Do(req)
	if err != nil {
		err = withoutURL(err)
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			return nil, withExitCode(exitNoAnswer, fmt.Errorf("%w %s: %w; try another instance", errNoConnection, addr, err))
		}
		if method != http.MethodGet {
			return nil, withExitCode(exitUnknown, fmt.Errorf("instance %s did not answer: %w; the change may be in force; check with vanillahinge bundle status", addr, err))
		}
		return nil, withExitCode(exitNoAnswer, fmt.Errorf("instance %s did not answer: %w; try another instance", addr, err))
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return nil, withExitCode(exitUnknown, fmt.Errorf("response of %s is incomplete: %w", addr, err))
	}
	if res.StatusCode == http.StatusOK {
		return data, nil
	}
	var p ops.ErrorResponse
	if json.Unmarshal(data, &p) != nil || p.Message == "" {
		return nil, fmt.Errorf("instance %s: status %d; check that the address is an operators' port", addr, res.StatusCode)
	}
	code := exitFailed
	switch p.Kind {
	case "refused":
		code = exitRefused
	case "older", "race":
		code = exitConflict
	case "unknown":
		code = exitUnknown
	case "store", "busy":
		code = exitNoAnswer
	case "bad_request":
		code = exitUsage
	}
	return nil, withExitCode(code, errors.New(p.Message))
}

func (t *tool) configCheck(sc *flaggy.Subcommand) func() error {
	var path string
	sc.AddPositionalValue(&path, "file", 1, true, "Settings file (YAML).")
	return func() error {
		s, err := config.Load(path)
		if err != nil {
			return withExitCode(exitRefused, err)
		}
		return t.print(map[string]any{"valid": true, "instance": s.Instance, "data_centre": s.DataCentre},
			fmt.Sprintf("settings of instance %s in data centre %s are valid", s.Instance, s.DataCentre))
	}
}

func (t *tool) configDefaults(*flaggy.Subcommand) func() error {
	return func() error {
		b, err := config.MarshalDefaults()
		if err != nil {
			return err
		}
		return t.print(map[string]string{"yaml": string(b)}, string(b))
	}
}

func (t *tool) explain(sc *flaggy.Subcommand) func() error {
	var instances string
	values := map[string]*string{}
	sc.String(&instances, "i", "instance", "Addresses (host:port) of the operators' ports of instances, separated by commas.")
	for _, f := range []struct{ name, desc string }{
		{"seq", "Sequence number of one record."}, {"session", "Process id of a caller's session."}, {"account", "Client account."},
		{"group", "Database group."}, {"endpoint", "Endpoint."}, {"kind", "Kind: promotion, refusal, reroute, bundle, withdrawal, slot, freshness or drain."},
		{"rule", "Rule."}, {"since", "Age, such as 10m, or time."}, {"limit", "Keep the newest records."},
	} {
		v := new(string)
		values[f.name] = v
		sc.String(v, "", f.name, f.desc)
	}
	return func() error {
		addrs, err := addresses(instances)
		if err != nil {
			return err
		}
		q := url.Values{}
		for name, v := range values {
			if *v != "" {
				q.Set(name, *v)
			}
		}
		all := []decision.Record{}
		for _, a := range addrs {
			var recs []decision.Record
			if err := t.callJSON(context.Background(), "GET", a, "/decisions?"+q.Encode(), nil, &recs); err != nil {
				return err
			}
			all = append(all, recs...)
		}
		var text strings.Builder
		for _, r := range all {
			fmt.Fprintf(&text, "%s %s #%d %s/%s: %s", r.Time.UTC().Format(time.RFC3339Nano), r.Instance, r.Seq, r.Kind, r.Rule, r.Outcome)
			for _, x := range []struct{ k, v string }{{"account", string(r.Account)}, {"group", string(r.Group)}, {"endpoint", string(r.Endpoint)}} {
				if x.v != "" {
					fmt.Fprintf(&text, " %s=%s", x.k, x.v)
				}
			}
			if r.Session != 0 {
				fmt.Fprintf(&text, " session=%d", r.Session)
			}
			for _, in := range r.Inputs {
				fmt.Fprintf(&text, " %s=%q", in.Name, in.Value)
			}
			text.WriteString("\n")
		}
		if len(all) == 0 {
			text.WriteString("no decision fits\n")
		}
		return t.print(all, text.String())
	}
}

func (t *tool) reportBurn(sc *flaggy.Subcommand) func() error {
	var instances, out string
	format := "text"
	sc.String(&instances, "i", "instance", "Operators' addresses, separated by commas; counts are added up.")
	sc.String(&format, "", "format", "Format: text, json or html.")
	sc.String(&out, "f", "out", "File to write; the standard output without it.")
	return func() error {
		addrs, err := addresses(instances)
		if err != nil {
			return err
		}
		if t.output == "json" {
			format = "json"
		}
		var reports []burn.Report
		for _, a := range addrs {
			var r burn.Report
			if err := t.callJSON(context.Background(), "GET", a, "/burn?format=json", nil, &r); err != nil {
				return err
			}
			reports = append(reports, r)
		}
		var b bytes.Buffer
		if err := burn.Merge(reports...).Render(&b, format); err != nil {
			return usageError("%w", err)
		}
		if out == "" {
			_, err := t.out.Write(b.Bytes())
			return err
		}
		if err := os.WriteFile(out, b.Bytes(), 0o644); err != nil {
			return fmt.Errorf("write report: %w", err)
		}
		return t.print(map[string]string{"file": out}, "report is written to "+out)
	}
}
