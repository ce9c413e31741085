package outcome

import (
	"errors"
	"fmt"
	"io"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against an error that loses its outcome, kind or cause when it is
// wrapped, and against a message that omits the remedy.
func TestWrappedErrorKeepsOutcome(t *testing.T) {
	err := fmt.Errorf("pool: %w", Wrap(io.EOF, Unavailable, NotRun, "no endpoint", "retry"))
	assert.Equal(t, Of(err), NotRun)
	assert.Assert(t, IsKind(err, Unavailable))
	assert.Assert(t, errors.Is(err, io.EOF))
	assert.Equal(t, err.Error(), "pool: not run: no endpoint: EOF (retry)")
}

// Guards against reporting an error of another type as "not run".
func TestUntypedErrorIsUnknown(t *testing.T) {
	assert.Equal(t, Of(io.EOF), Unknown)
}

// Guards against a kind with a malformed SQLSTATE, and against an unknown kind
// that is not reported as an internal error.
func TestKindSQLStates(t *testing.T) {
	for k, code := range sqlstates {
		assert.Equal(t, len(code), 5, string(k))
		assert.Equal(t, New(k, NotRun, "", "").SQLState(), code)
	}
	assert.Equal(t, New("other", Unknown, "", "").SQLState(), "XX000")
}
