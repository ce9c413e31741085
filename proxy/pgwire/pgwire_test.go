package pgwire

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"github.com/vanillahinge/vanillahinge/core/outcome"
)

// Guards against messages that are split or joined when they arrive in pieces.
func TestReaderKeepsFrames(t *testing.T) {
	w := NewWriter(nil)
	w.Query("SELECT 1")
	w.EmptyMessage('S')
	w.Query(strings.Repeat("x", 40_000))
	w.Query("SELECT 2")
	want := append([]byte(nil), w.Bytes()...)
	for name, src := range map[string]io.Reader{
		"whole": bytes.NewReader(want), "bytes": iotest.OneByteReader(bytes.NewReader(want)), "halves": iotest.HalfReader(bytes.NewReader(want)),
	} {
		r := NewReader(src, MaxCallerMessage)
		var got []byte
		for {
			f, err := r.Next()
			if err == io.EOF {
				break
			}
			assert.NilError(t, err, name)
			got = append(got, f...)
		}
		assert.Assert(t, bytes.Equal(got, want), name)
	}
}

// Guards against a length that makes the instance allocate or wait for more
// than a connection may send.
func TestReaderLimits(t *testing.T) {
	_, err := NewReader(bytes.NewReader([]byte{'Q', 0x7f, 0xff, 0xff, 0xff}), MaxCallerMessage).Next()
	assert.Assert(t, errors.Is(err, ErrTooLarge))
	_, err = NewReader(bytes.NewReader([]byte{'Q', 0, 0, 0, 3}), MaxCallerMessage).Next()
	assert.Assert(t, errors.Is(err, ErrMalformed))
	_, err = NewReader(bytes.NewReader([]byte{'Q', 0, 0, 0, 9, 'x'}), MaxCallerMessage).Next()
	assert.Equal(t, err, io.ErrUnexpectedEOF)
	r := NewReader(bytes.NewReader([]byte{'Q', 0, 0xff, 0xff, 0xff, 'x'}), MaxCallerMessage)
	_, err = r.Next()
	assert.Equal(t, err, io.ErrUnexpectedEOF)
	assert.Assert(t, len(r.buf) <= 2*bufferSize, "allocated %d bytes for 6 received", len(r.buf))
	_, _, err = NewReader(bytes.NewReader([]byte{0, 0, 0x27, 0x11, 0, 3, 0, 0}), MaxCallerMessage).Startup()
	assert.Assert(t, errors.Is(err, ErrTooLarge))
}

// Guards against an error without outcome, remedy or SQLSTATE, and against a
// cause that reaches the caller.
func TestErrorResponse(t *testing.T) {
	e := outcome.Wrap(errors.New("dial 10.0.0.1"), outcome.WriteUnknown, outcome.Unknown, "the write may have been applied", "repeat it")
	m := ErrorResponse(SeverityError, e)
	assert.Equal(t, m.Code, "08007")
	assert.Equal(t, m.Message, "outcome unknown: the write may have been applied")
	assert.Equal(t, m.Hint, "repeat it")
	assert.Equal(t, m.Detail, "outcome=unknown")
	b, err := m.Encode(nil)
	assert.NilError(t, err)
	assert.Assert(t, !bytes.Contains(b, []byte("10.0.0.1")))
	assert.Equal(t, ErrorField(Frame(b).Body(), 'C'), "08007")
	assert.Assert(t, SQLStateIs(Frame(b).Body(), "08007"))
	assert.Equal(t, ErrorResponse(SeverityError, errors.New("secret")).Message, "outcome unknown: internal error of the instance")
}

func TestStartupOptions(t *testing.T) {
	m, err := StartupOptions(`-c vh.token=abc -cvh.max_age=1s --default-transaction-read-only=on -c a=b\ c`)
	assert.NilError(t, err)
	assert.DeepEqual(t, m, map[string]string{"vh.token": "abc", "vh.max_age": "1s", "default_transaction_read_only": "on", "a": "b c"})
	for _, bad := range []string{"-c", "-c x", "-B 3", "x=y", "-c =1"} {
		_, err := StartupOptions(bad)
		assert.Assert(t, errors.Is(err, ErrMalformed), bad)
	}
}

// FuzzReader checks that no input makes the reader return bytes that were not
// sent, or fail in another way than with an error.
func FuzzReader(f *testing.F) {
	f.Add([]byte{'Q', 0, 0, 0, 5, 0, 'S', 0, 0, 0, 4})
	f.Add([]byte{'Q', 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, in []byte) {
		r := NewReader(iotest.HalfReader(bytes.NewReader(in)), 1<<16)
		var got []byte
		for {
			m, err := r.Next()
			if err != nil {
				break
			}
			got = append(got, m...)
		}
		if !bytes.HasPrefix(in, got) {
			t.Fatal("frames differ from the input")
		}
	})
}

// FuzzStartup checks the decoding of startup packets and their options.
func FuzzStartup(f *testing.F) {
	f.Add([]byte("user\x00x\x00options\x00-c a=b\x00\x00"))
	f.Fuzz(func(t *testing.T, in []byte) {
		_, _, _ = NewReader(bytes.NewReader(in), MaxStartup).Startup()
		p, err := StartupParams(in)
		if err != nil {
			return
		}
		_, _ = StartupOptions(p["options"])
	})
}

// FuzzExtended checks that what the decoders accept, pgproto3 accepts too, and
// that rewriting names keeps the rest.
func FuzzExtended(f *testing.F) {
	b, _ := (&pgproto3.Bind{PreparedStatement: "s", Parameters: [][]byte{[]byte("1"), nil}, ResultFormatCodes: []int16{1}}).Encode(nil)
	f.Add(b[5:])
	b, _ = (&pgproto3.Parse{Name: "s", Query: "SELECT $1", ParameterOIDs: []uint32{23}}).Encode(nil)
	f.Add(b[5:])
	b, _ = (&pgproto3.Describe{ObjectType: 'S', Name: "s"}).Encode(nil)
	f.Add(b[5:])
	f.Fuzz(func(t *testing.T, in []byte) {
		if m, err := DecodeParse(in); err == nil {
			var p pgproto3.Parse
			if err := p.Decode(in); err != nil || p.Query != string(m.SQL) {
				t.Fatalf("Parse: %v", err)
			}
			if out := AppendParse(nil, string(m.Name), m.SQL, m.OIDs); !bytes.Equal(out[5:], in) {
				t.Fatal("Parse changes when it is written again")
			}
		}
		if m, err := DecodeBind(in); err == nil {
			var p pgproto3.Bind
			if err := p.Decode(in); err != nil {
				t.Fatalf("Bind: %v", err)
			}
			if out := AppendBind(nil, m.Portal, string(m.Statement), m.Rest); !bytes.Equal(out[5:], in) {
				t.Fatal("Bind changes when it is written again")
			}
		}
		_, _, _ = DecodeTarget(in)
		_, _ = DecodeExecute(in)
		_, _ = DecodeQuery(in)
		_ = ErrorField(in, 'C')
	})
}
