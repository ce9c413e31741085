package burn

import (
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// Render writes the current report in the given format: text, json or html.
func (t *Tracker) Render(w io.Writer, format string) error { return t.Report().Render(w, format) }

// Render writes the report in the given format: text, json or html.
func (r Report) Render(w io.Writer, format string) error {
	switch format {
	case "json":
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		if err := enc.Encode(r); err != nil {
			return fmt.Errorf("burn: write report: %w", err)
		}
		return nil
	case "html":
		if err := htmlTemplate.Execute(w, r); err != nil {
			return fmt.Errorf("burn: write report: %w", err)
		}
		return nil
	case "text":
		return r.writeText(w)
	default:
		return fmt.Errorf("burn: unknown format %q; use text, json or html", format)
	}
}

func (r Report) writeText(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "burn report of %v at %s, counting since %s\n", r.Instances, formatTime(r.Time), formatTime(r.Since))
	if len(r.Entries) == 0 {
		b.WriteString("no objectives; add them to the bundle under objectives\n")
	}
	for _, e := range r.Entries {
		fmt.Fprintf(&b, "\n%s on %s: %s; budget left %s by availability %s, %s by latency %s within %v\n", e.Account, e.Route, e.State,
			formatPercent(e.AvailabilityLeft), formatPercent(e.Availability), formatPercent(e.LatencyLeft), formatPercent(e.LatencyShare), e.Latency)
		tw := tabwriter.NewWriter(&b, 2, 8, 2, ' ', tabwriter.AlignRight)
		fmt.Fprintln(tw, "window\trequests\tfailed\tslow\tavailability burn\tlatency burn\t")
		for _, x := range e.Windows {
			fmt.Fprintf(tw, "%s\t%d\t%d\t%d\t%.2f\t%.2f\t\n", x.Name, x.Total, x.Failed, x.Slow, x.AvailabilityBurn, x.LatencyBurn)
		}
		if err := tw.Flush(); err != nil {
			return fmt.Errorf("burn: write report: %w", err)
		}
		for _, d := range e.Decisions {
			fmt.Fprintf(&b, "  %s %s #%d %s: %s\n", formatTime(d.Time), d.Instance, d.Seq, d.Rule, d.Outcome)
		}
	}
	if _, err := io.WriteString(w, b.String()); err != nil {
		return fmt.Errorf("burn: write report: %w", err)
	}
	return nil
}

func formatTime(t time.Time) string { return t.UTC().Format("2006-01-02 15:04:05Z") }

func formatPercent(x float64) string { return fmt.Sprintf("%.4g%%", 100*x) }

var htmlTemplate = template.Must(template.New("burn").Funcs(template.FuncMap{"stamp": formatTime, "percent": formatPercent,
	"rate": func(x float64) string { return fmt.Sprintf("%.2f", x) }}).Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Burn report</title>
<style>
body{font:15px/1.4 system-ui,sans-serif;margin:2em;max-width:70em;color:#222}
table{border-collapse:collapse;margin:.5em 0}td,th{border:1px solid #bbb;padding:.2em .7em;text-align:right}
.ok{color:#175c2b}.attention{color:#8a5a00}.urgent{color:#a11}
li{font-family:ui-monospace,monospace;font-size:13px}
</style></head><body>
<h1>Burn report</h1>
<p>Instances: {{range $i, $x := .Instances}}{{if $i}}, {{end}}{{$x}}{{end}}. At {{stamp .Time}}, counting since {{stamp .Since}}.</p>
{{range .Entries}}
<h2>{{.Account}} on {{.Route}}: <span class="{{.State}}">{{.State}}</span></h2>
<p>Objectives: {{percent .Availability}} answered, {{percent .LatencyShare}} within {{.Latency}}.
Budget of the last 6 h left: {{percent .AvailabilityLeft}} by availability, {{percent .LatencyLeft}} by latency.</p>
<table><tr><th>window</th><th>requests</th><th>failed</th><th>slow</th><th>availability burn</th><th>latency burn</th></tr>
{{range .Windows}}<tr><td>{{.Name}}</td><td>{{.Total}}</td><td>{{.Failed}}</td><td>{{.Slow}}</td><td>{{rate .AvailabilityBurn}}</td><td>{{rate .LatencyBurn}}</td></tr>
{{end}}</table>
{{if .Decisions}}<p>Decisions behind it:</p><ul>{{range .Decisions}}<li>{{stamp .Time}} {{.Instance}} #{{.Seq}} {{.Rule}}: {{.Outcome}}</li>{{end}}</ul>{{end}}
{{else}}<p>No objectives; add them to the bundle under objectives.</p>{{end}}
</body></html>
`))
