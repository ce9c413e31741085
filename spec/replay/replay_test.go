package replay

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// traces parses all trace files, by file name.
func traces(t *testing.T) map[string]*Trace {
	files, err := filepath.Glob("../testdata/*.trace")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	all := map[string]*Trace{}
	for _, f := range files {
		r, err := os.Open(f)
		assert.NilError(t, err)
		tr, err := Parse(r)
		assert.NilError(t, err, f)
		assert.NilError(t, r.Close())
		all[filepath.Base(f)] = tr
	}
	return all
}

// Guards against a recurrence of the recorded incidents, and against a trace that
// passes even with the rule disabled that prevents the incident.
func TestTracesPassOnlyWithTheirRule(t *testing.T) {
	for name, tr := range traces(t) {
		for mode, disabledRule := range map[string]string{"expect": "", "broken": tr.Rule} {
			t.Run(name+"/"+mode, func(t *testing.T) {
				measured, failed, err := tr.Run(disabledRule)
				assert.NilError(t, err)
				t.Log(strings.Join(measured, "\n"))
				assert.Assert(t, len(failed) == 0, "%s\n%s", tr.Name, strings.Join(failed, "\n"))
			})
		}
	}
}

// Guards against a malformed trace that is accepted with another meaning: each
// error must name the faulty line.
func TestParseErrorNamesLine(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"trace a\nnonsense b", "line 2: unknown directive"},
		{"trace a\nat 5 move s e1", "line 2: time: missing unit"},
		{"trace a\nat 5ms read s key=k", "line 2: read needs a label"},
		{"trace a\nat 5ms a: jump s", "line 2: unknown event"},
		{"trace a\n\nexpect label a outcome done", "line 3: expect needs"},
		{"trace a\nendpoint e slots=x", "line 2: argument slots"},
		{"trace a\nrule floor", "needs trace, rule, expect and broken"},
	} {
		_, err := Parse(strings.NewReader(c.text))
		assert.ErrorContains(t, err, c.want)
	}
}
