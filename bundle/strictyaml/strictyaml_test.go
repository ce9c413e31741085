package strictyaml

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

type doc struct {
	Name  string `yaml:"name"`
	Wait  Duration
	Items []struct {
		ID   string  `yaml:"id"`
		Rate float64 `yaml:"rate"`
	} `yaml:"items"`
}

// Guards against errors without the position of the error or without a remedy.
func TestDecodeErrorsIncludePositionAndRemedy(t *testing.T) {
	for _, c := range []struct{ name, in, want string }{
		{"unknown field", "name: a\ncolour: red\n", "f.yaml:2:1: "},
		{"unit missing", "name: a\nwait: 20\n", `f.yaml:2:7: wait: not a duration with a unit: "20"`},
		{"wrong unit", "wait: 20parsecs\n", `f.yaml:1:7: wait: not a duration with a unit: "20parsecs"`},
		{"negative", "wait: -2s\n", `f.yaml:1:7: wait: duration is negative: "-2s"`},
		{"wrong type", "items:\n- id: x\n  rate: fast\n", "f.yaml:3:9: "},
		{"duplicate key", "name: a\nname: b\n", "f.yaml:2:1: "},
		{"alias", "name: &a x\n", "f.yaml:1:7: anchors"},
		{"empty", "", "f.yaml:1:1: document is empty"},
		{"scalar", "hello", "f.yaml:1:1: document is not a mapping"},
		{"two documents", "name: a\n---\nname: b\n", "f.yaml:3:1: more than one document"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var d doc
			_, err := Decode("f.yaml", []byte(c.in), &d)
			var e *Error
			assert.Assert(t, errors.As(err, &e), "%v", err)
			assert.Assert(t, strings.HasPrefix(e.Error(), c.want), "%v", e)
			assert.Assert(t, e.Remedy != "")
		})
	}
}

// Guards against validation errors that give the wrong line.
func TestErrorfFindsPositionByPath(t *testing.T) {
	var d doc
	src, err := Decode("f.yaml", []byte("name: a\nitems:\n- id: x\n- id: y\n  rate: 3\n"), &d)
	assert.NilError(t, err)
	e := src.Errorf("$.items[1].rate", "lower it", "rate is too high")
	assert.Equal(t, e.Error(), `f.yaml:5:9: items[1].rate: rate is too high: "3" (lower it)`)
	e = src.Errorf("$.items[0].rate", "add it", "rate is missing")
	assert.Equal(t, e.Line, 3)
	e = src.Secretf("$.items[1].id", "", "bad")
	assert.Equal(t, e.Value, "")
}

// Guards against panics and against errors that are not of type *Error.
func FuzzDecode(f *testing.F) {
	f.Add([]byte("name: a\nwait: 2s\nitems:\n- {id: x, rate: 3}\n"))
	f.Add([]byte("name: &a x\nwait: *a\n"))
	f.Add([]byte("? {a: b}\n: [c]\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		var d doc
		if _, err := Decode("f", in, &d); err != nil {
			var e *Error
			if !errors.As(err, &e) {
				t.Fatalf("Decode returned an error of type %T instead of *Error: %v", err, err)
			}
		}
	})
}
