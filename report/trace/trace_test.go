package trace

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const sampleLogs = `  7.1 edge-2 {"time":"2026-03-08T14:21:37.100Z","instance":"edge-2","message":"store: lost","table":"op"}
{"time":"2026-03-08T14:21:38.000Z","instance":"edge-1","message":"pool: endpoint unreachable","endpoint":"i-1"}
{"time":"2026-03-08T14:21:38.200Z","instance":"edge-1","id":"abc","endpoint":"i-1","why":"lost","message":"session: statement offered again"}
not a JSON log line
{"time":"2026-03-08T14:21:38.700Z","instance":"edge-1","id":"abc","code":"busy","why":"the group has no primary now","message":"session: statement refused"}
{"time":"2026-03-08T14:21:38.800Z","instance":"edge-1","id":"other","message":"session: statement refused"}
`

// A trace must contain every log line of the request. Its cause must name the
// reason, the failed endpoint and the event before it.
func TestFindReportsCause(t *testing.T) {
	lines, err := Read(strings.NewReader(sampleLogs))
	assert.NilError(t, err)
	assert.Equal(t, len(lines), 5)
	s, err := Find(lines, "abc")
	assert.NilError(t, err)
	assert.Equal(t, s.Cause, "statement refused at edge-1: the group has no primary now; before, endpoint i-1 answered lost; "+
		"700ms earlier: pool: endpoint unreachable")
	var b strings.Builder
	assert.NilError(t, s.Write(&b))
	assert.Equal(t, strings.Count(b.String(), "\n"), 4)
	_, err = Find(lines, "unknown")
	assert.ErrorContains(t, err, "no log line has the request ID")
}
