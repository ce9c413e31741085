// Package trace collects the log lines of one request from the logs of several
// instances and reports the probable cause of its failure.
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

// Line is a structured line of an instance's log.
type Line struct {
	Time     time.Time
	Instance string
	Event    string
	Fields   map[string]any
}

// maxLineBytes is the size limit of a log line.
const maxLineBytes = 1 << 20

// Read parses a log. It ignores any text before the JSON object of a line and
// skips lines in another format.
func Read(r io.Reader) ([]Line, error) {
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLineBytes)
	var out []Line
	for sc.Scan() {
		raw := sc.Text()
		i := strings.IndexByte(raw, '{')
		if i < 0 {
			continue
		}
		f := map[string]any{}
		if json.Unmarshal([]byte(raw[i:]), &f) != nil {
			continue // not a JSON log line
		}
		l := Line{Fields: f}
		l.Instance, _ = f["instance"].(string)
		l.Event, _ = f["message"].(string)
		text, _ := f["time"].(string)
		at, err := time.Parse(time.RFC3339Nano, text)
		if err != nil || l.Event == "" {
			continue // not a log line of an instance
		}
		l.Time = at
		for _, k := range []string{"time", "instance", "message", "level"} {
			delete(f, k)
		}
		out = append(out, l)
	}
	return out, sc.Err()
}

// relatedWindow is how long before the first line of a request the search for
// related events of the same instance begins.
const relatedWindow = 2 * time.Second

// relatedEventPrefixes select the events that change an instance's view of the
// fleet, and so may explain the outcome of a request.
var relatedEventPrefixes = []string{"control: ", "store: ", "pool: endpoint", "app: "}

// RequestTrace holds the log lines of one request and the cause derived from
// them.
type RequestTrace struct {
	ID    string
	Lines []Line
	// RelatedEvents are events of the instance that logged the first line,
	// from shortly before that line until the last one.
	RelatedEvents []Line
	Cause         string
}

// Find returns the trace of the request with the given ID.
func Find(lines []Line, id string) (RequestTrace, error) {
	t := RequestTrace{ID: id}
	for _, l := range lines {
		if l.Fields["id"] == id {
			t.Lines = append(t.Lines, l)
		}
	}
	if len(t.Lines) == 0 {
		return t, fmt.Errorf("trace: no log line has the request ID %q; pass the logs of all instances, and check their counts of suppressed lines", id)
	}
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(t.Lines, byTime)
	first, last := t.Lines[0], t.Lines[len(t.Lines)-1]
	for _, l := range lines {
		if l.Instance == first.Instance && !l.Time.Before(first.Time.Add(-relatedWindow)) && !l.Time.After(last.Time) &&
			slices.ContainsFunc(relatedEventPrefixes, func(p string) bool { return strings.HasPrefix(l.Event, p) }) {
			t.RelatedEvents = append(t.RelatedEvents, l)
		}
	}
	slices.SortStableFunc(t.RelatedEvents, byTime)
	t.Cause = describeCause(t)
	return t, nil
}

// describeCause returns the final event of the request with its reason, the
// previous reason that an endpoint gave, and the latest related event that can
// have caused the failure.
func describeCause(t RequestTrace) string {
	last := t.Lines[len(t.Lines)-1]
	text := fmt.Sprintf("%s at %s", strings.TrimPrefix(last.Event, "session: "), last.Instance)
	if reason, ok := last.Fields["why"].(string); ok {
		text += ": " + reason
	}
	for i := len(t.Lines) - 2; i >= 0; i-- {
		if reason, ok := t.Lines[i].Fields["why"].(string); ok {
			text += fmt.Sprintf("; before, endpoint %v answered %s", t.Lines[i].Fields["endpoint"], reason)
			break
		}
	}
	for i := len(t.RelatedEvents) - 1; i >= 0; i-- {
		e := t.RelatedEvents[i].Event
		if strings.HasPrefix(e, "pool: endpoint unreachable") || strings.HasPrefix(e, "control: change of primary claimed") ||
			strings.HasPrefix(e, "store: lost") || strings.HasPrefix(e, "app: starting") {
			return text + fmt.Sprintf("; %v earlier: %s", last.Time.Sub(t.RelatedEvents[i].Time).Round(time.Millisecond), e)
		}
	}
	return text
}

// Write prints the trace with one line per event, followed by the cause.
func (t RequestTrace) Write(w io.Writer) error {
	events := append(slices.Clone(t.RelatedEvents), t.Lines...)
	slices.SortStableFunc(events, func(a, b Line) int { return a.Time.Compare(b.Time) })
	for _, l := range events {
		var fields []string
		for _, k := range slices.Sorted(maps.Keys(l.Fields)) {
			fields = append(fields, fmt.Sprintf("%s=%v", k, l.Fields[k]))
		}
		if _, err := fmt.Fprintf(w, "%s %s %s %s\n", l.Time.Format("15:04:05.000"), l.Instance, l.Event, strings.Join(fields, " ")); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "cause: %s\n", t.Cause)
	return err
}
