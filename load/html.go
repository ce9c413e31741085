package load

import (
	"fmt"
	"html/template"
	"io"
	"math"
	"strings"
)

const (
	plotWidth  = 860
	plotHeight = 180
	plotMargin = 50
)

// WriteHTML writes a self-contained page with the plots of each result.
func WriteHTML(w io.Writer, results []*Result) error {
	return page.Execute(w, results)
}

// polyline returns SVG points of a series, scaled to the plot.
func polyline(xs, ys []float64, maxX, maxY float64) string {
	var b strings.Builder
	for i := range xs {
		x := plotMargin + xs[i]/maxX*plotWidth
		y := plotHeight - math.Min(ys[i]/maxY, 1)*plotHeight
		fmt.Fprintf(&b, "%.1f,%.1f ", x, y)
	}
	return b.String()
}

// plot draws series over time with fault marks.
func plot(r *Result, unit string, colours []string, names []string, pick func(Point) []float64) template.HTML {
	if len(r.Series) == 0 {
		return ""
	}
	maxX, maxY := r.Series[len(r.Series)-1].At, 0.0
	ys := make([][]float64, len(names))
	var xs []float64
	for _, p := range r.Series {
		xs = append(xs, p.At)
		for i, v := range pick(p) {
			ys[i] = append(ys[i], v)
			maxY = max(maxY, v)
		}
	}
	maxX, maxY = max(maxX, 1), max(maxY, 1)
	var b strings.Builder
	fmt.Fprintf(&b, `<svg viewBox="0 0 %d %d" role="img">`, plotWidth+2*plotMargin, plotHeight+40)
	for _, m := range r.Marks {
		end := m.End.Seconds()
		if end == 0 {
			end = maxX
		}
		x0, x1 := plotMargin+m.Begin.Seconds()/maxX*plotWidth, plotMargin+min(end, maxX)/maxX*plotWidth
		fmt.Fprintf(&b, `<rect x="%.1f" y="0" width="%.1f" height="%d" fill="#d33" opacity="0.10"><title>%s</title></rect>`, x0, max(x1-x0, 1), plotHeight, template.HTMLEscapeString(m.Action+" "+m.Resolved))
		fmt.Fprintf(&b, `<text x="%.1f" y="12" class="m">%s</text>`, x0+2, template.HTMLEscapeString(m.Action+" "+m.Resolved))
	}
	for i := range names {
		fmt.Fprintf(&b, `<polyline fill="none" stroke="%s" stroke-width="1.5" points="%s"/>`, colours[i], polyline(xs, ys[i], maxX, maxY))
		fmt.Fprintf(&b, `<text x="%d" y="%d" fill="%s">%s</text>`, plotMargin+plotWidth-70, 14+14*i, colours[i], names[i])
	}
	fmt.Fprintf(&b, `<path d="M%d 0V%dH%d" fill="none" stroke="#555"/>`, plotMargin, plotHeight, plotMargin+plotWidth)
	fmt.Fprintf(&b, `<text x="2" y="12">%.1f %s</text><text x="2" y="%d">0</text><text x="%d" y="%d">%.0f s</text></svg>`, maxY, unit, plotHeight, plotMargin+plotWidth-20, plotHeight+16, maxX)
	return template.HTML(b.String())
}

// bars draws the p99 of each account.
func bars(r *Result) template.HTML {
	top := 1.0
	for _, a := range r.Accounts {
		top = max(top, a.Latency.P99)
	}
	var b strings.Builder
	fmt.Fprintf(&b, `<svg viewBox="0 0 %d %d" role="img">`, plotWidth+2*plotMargin, 20*len(r.Accounts)+10)
	for i, a := range r.Accounts {
		fmt.Fprintf(&b, `<text x="2" y="%d">%s</text><rect x="110" y="%d" width="%.1f" height="14" fill="#36c"/><text x="%.1f" y="%d">p99 %.1f ms, success %.4f, offered %.0f/s</text>`,
			20*i+14, template.HTMLEscapeString(a.ID), 20*i+3, a.Latency.P99/top*500, 116+a.Latency.P99/top*500, 20*i+14, a.Latency.P99, a.Success, a.Offered)
	}
	b.WriteString(`</svg>`)
	return template.HTML(b.String())
}

var page = template.Must(template.New("report").Funcs(template.FuncMap{
	"latency": func(r *Result) template.HTML {
		return plot(r, "ms", []string{"#36c", "#c63"}, []string{"p50", "p99"}, func(p Point) []float64 { return []float64{p.P50, p.P99} })
	},
	"burn": func(r *Result) template.HTML {
		return plot(r, "x", []string{"#a0a"}, []string{"burn"}, func(p Point) []float64 { return []float64{p.Burn} })
	},
	"bars": bars,
	"table": func(rs []*Result) (string, error) {
		var b strings.Builder
		err := WriteTable(&b, rs)
		return b.String(), err
	},
}).Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>vanillahinge load report</title>
<style>body{font:14px sans-serif;max-width:1000px;margin:2em auto;padding:0 1em}svg{width:100%;font:11px sans-serif}svg .m{font-size:9px;fill:#900}pre{overflow-x:auto;font-size:11px}</style></head><body>
<h1>vanillahinge load report</h1>
<pre>{{table .}}</pre>
{{range .}}<h2>{{.Profile}}: {{.Name}}{{if .Baseline}} (baseline {{.Baseline}}){{end}}, seed {{.Seed}}</h2>
<h3>Latency from the intended start, with faults</h3>{{latency .}}
<h3>Service per client account</h3>{{bars .}}
<h3>Burn rate of 99.9% availability</h3>{{burn .}}
{{if .Wrongful}}<p>Refused although inside the rate: {{range $code, $n := .Wrongful}}{{$code}}: {{$n}} {{end}}</p>{{end}}
{{if .Verdict.Violations}}<h3>Violations</h3><ul>{{range .Verdict.Violations}}<li>{{.Rule}}: {{.Detail}}</li>{{end}}</ul>{{end}}
{{end}}</body></html>
`))
