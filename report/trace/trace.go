// Package trace finds what the logs of several instances say of one request
// and names the cause of its failure.
package trace

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// Line is a line of an instance's log.
type Line struct {
	Time     time.Time
	Instance string
	Event    string
	Fields   map[string]any
}

// maxLine bounds a log line.
const maxLine = 1 << 20

// Read returns the lines of a log; text before the JSON and lines of another
// form are skipped.
func Read(r io.Reader) ([]Line, error) {
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLine)
	var out []Line
	for sc.Scan() {
		raw := sc.Text()
		i := strings.IndexByte(raw, '{')
		if i < 0 {
			continue
		}
		f := map[string]any{}
		if json.Unmarshal([]byte(raw[i:]), &f) != nil {
			continue // not one of our lines
		}
		l := Line{Fields: f}
		l.Instance, _ = f["instance"].(string)
		l.Event, _ = f["message"].(string)
		text, _ := f["time"].(string)
		at, err := time.Parse(time.RFC3339Nano, text)
		if err != nil || l.Event == "" {
			continue // not one of our lines
		}
		l.Time = at
		for _, k := range []string{"time", "instance", "message", "level"} {
			delete(f, k)
		}
		out = append(out, l)
	}
	return out, sc.Err()
}

// context is how long before a request's first line events of the same
// instance are shown that may explain it.
const context = 2 * time.Second

// background are the events that change what an instance believes.
var background = []string{"control: ", "store: ", "pool: endpoint", "app: "}

// RequestTrace is what is known of a request.
type RequestTrace struct {
	ID    string
	Lines []Line
	// RelatedEvents are events of the same instances shortly before.
	RelatedEvents []Line
	Cause         string
}

// Find returns a request's story.
func Find(lines []Line, id string) (RequestTrace, error) {
	s := RequestTrace{ID: id}
	for _, l := range lines {
		if l.Fields["id"] == id {
			s.Lines = append(s.Lines, l)
		}
	}
	if len(s.Lines) == 0 {
		return s, fmt.Errorf("trace: no line names the request %q; give the logs of all instances, and look at the suppressed counts", id)
	}
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(s.Lines, byTime)
	first, last := s.Lines[0], s.Lines[len(s.Lines)-1]
	for _, l := range lines {
		if l.Instance == first.Instance && !l.Time.Before(first.Time.Add(-context)) && !l.Time.After(last.Time) &&
			slices.ContainsFunc(background, func(p string) bool { return strings.HasPrefix(l.Event, p) }) {
			s.RelatedEvents = append(s.RelatedEvents, l)
		}
	}
	slices.SortStableFunc(s.RelatedEvents, byTime)
	s.Cause = cause(s)
	return s, nil
}

func cause(s RequestTrace) string {
	last := s.Lines[len(s.Lines)-1]
	text := fmt.Sprintf("%s at %s", strings.TrimPrefix(last.Event, "session: "), last.Instance)
	if w, ok := last.Fields["why"].(string); ok {
		text += ": " + w
	}
	for i := len(s.Lines) - 2; i >= 0; i-- {
		if w, ok := s.Lines[i].Fields["why"].(string); ok {
			text += fmt.Sprintf("; before, endpoint %v answered %s", s.Lines[i].Fields["endpoint"], w)
			break
		}
	}
	for i := len(s.RelatedEvents) - 1; i >= 0; i-- {
		e := s.RelatedEvents[i].Event
		if strings.HasPrefix(e, "pool: endpoint unreachable") || strings.HasPrefix(e, "control: change of primary claimed") ||
			strings.HasPrefix(e, "store: lost") || strings.HasPrefix(e, "app: starting") {
			return text + fmt.Sprintf("; %v earlier: %s", last.Time.Sub(s.RelatedEvents[i].Time).Round(time.Millisecond), e)
		}
	}
	return text
}

// Write prints a story, one line an event, and the cause last.
func (s RequestTrace) Write(w io.Writer) error {
	all := append(slices.Clone(s.RelatedEvents), s.Lines...)
	slices.SortStableFunc(all, func(a, b Line) int { return a.Time.Compare(b.Time) })
	for _, l := range all {
		var fields []string
		for _, k := range slices.Sorted(maps.Keys(l.Fields)) {
			fields = append(fields, fmt.Sprintf("%s=%v", k, l.Fields[k]))
		}
		if _, err := fmt.Fprintf(w, "%s %s %s %s\n", l.Time.Format("15:04:05.000"), l.Instance, l.Event, strings.Join(fields, " ")); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "cause: %s\n", s.Cause)
	return err
}
