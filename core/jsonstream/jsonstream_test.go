package jsonstream_test

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/vanillahinge/vanillahinge/core/jsonstream"
)

// bufferBytes is the smallest buffer, so that values extend over several.
const bufferBytes = 16

func read(text string, limit int) ([]string, error) {
	var out []string
	j := jsonstream.NewReader(strings.NewReader(text), bufferBytes)
	err := j.List(func() error {
		raw, err := j.Value(limit)
		if raw == nil {
			raw = []byte("too long")
		}
		out = append(out, string(raw))
		return err
	})
	if err == nil {
		err = j.End()
	}
	return out, err
}

func TestListIsReadValueByValue(t *testing.T) {
	text := strings.Repeat("x", 100)
	values := []string{`1`, `-1.5e3`, `"` + text + `"`, `"` + strings.Repeat(`\"`, 40) + `"`, `"` + strings.Repeat(`\\`, 31) + `"`, `"[{,"`,
		`{"a":["]",{}],"b":"}"}`, `[[],[1,2]]`, `null`, `true`, `""`, `{}`, `[]`}
	got, err := read(" [ "+strings.Join(values, " ,\n")+" ] ", 1000)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, values)
	for _, empty := range []string{"[]", " [ ] ", "null"} {
		got, err := read(empty, 10)
		assert.NilError(t, err)
		assert.Equal(t, len(got), 0)
	}
}

// Guards against memory or a stack that grows with a value that nobody needs.
func TestValueBeyondLimitIsSkipped(t *testing.T) {
	deep := strings.Repeat(`{"a":[`, 1<<18) + strings.Repeat(`]}`, 1<<18)
	got, err := read(`[1,`+deep+`,"`+strings.Repeat("x", 1<<20)+`",`+strings.Repeat("9", 1<<20)+`,2]`, 20)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, []string{"1", "too long", "too long", "too long", "2"})
}

func TestMalformedTextIsAnError(t *testing.T) {
	for _, text := range []string{"", "[", "[1", "[1,", "[1,]", "[,1]", `["a]`, `["a\"]`, "[1]2", "{}", "nul", "[1}", `[{"a":1]`} {
		_, err := read(text, 100)
		assert.Assert(t, err != nil, text)
	}
	for text, want := range map[string]error{`{"a" 1}`: jsonstream.ErrSyntax, `{1:2}`: jsonstream.ErrSyntax, `{"a":1 "b":2}`: jsonstream.ErrSyntax,
		`{"a":1,"a":2}`: jsonstream.ErrAmbiguous, `{"\ud8":1}`: jsonstream.ErrAmbiguous, `{"a":1}`: nil, `{"a":1,"A":2}`: nil, "{}": nil} {
		j := jsonstream.NewReader(strings.NewReader(text), bufferBytes)
		err := j.Object(func(string) error { _, err := j.Value(0); return err })
		assert.Assert(t, errors.Is(err, want) && (err == nil) == (want == nil), "%s: %v", text, err)
	}
}

func FuzzList(f *testing.F) {
	for _, text := range []string{"[]", `[1,"a",{"b":[2]}]`, `["\"",[],{}]`, "[[[", `["a\\"]`, "[1 2]", "null"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		got, err := read(text, len(text))
		var want []json.RawMessage
		if json.Unmarshal([]byte(text), &want) != nil {
			return // the text of a value need not be valid
		}
		assert.NilError(t, err)
		assert.Equal(t, len(got), len(want))
		for i := range want {
			assert.Equal(t, got[i], string(want[i]))
		}
	})
}
