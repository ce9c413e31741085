package endpoint

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	sqlite3 "modernc.org/sqlite/lib"
)

// pgError is an error with the SQLSTATE that the client receives.
type pgError struct {
	code    string
	message string
	hint    string
}

func (e *pgError) Error() string { return e.code + ": " + e.message }

func errorf(code, format string, args ...any) *pgError {
	return &pgError{code: code, message: fmt.Sprintf(format, args...)}
}

func staleTerm(format string, args ...any) *pgError {
	e := errorf("VH001", format, args...)
	e.hint = "read the endpoint's status and use the group's current term"
	return e
}

// toPgError maps an engine error to its SQLSTATE.
func toPgError(err error) *pgError {
	var p *pgError
	if errors.As(err, &p) {
		return p
	}
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return errorf("57014", "canceling statement due to user request")
	}
	var s *sqliteError
	if !errors.As(err, &s) {
		return errorf("XX000", "%v", err)
	}
	m := s.message
	switch s.code {
	case sqlite3.SQLITE_CONSTRAINT_UNIQUE, sqlite3.SQLITE_CONSTRAINT_PRIMARYKEY, sqlite3.SQLITE_CONSTRAINT_ROWID:
		return errorf("23505", "duplicate key value violates unique constraint: %s", m)
	case sqlite3.SQLITE_CONSTRAINT_NOTNULL:
		return errorf("23502", "%s", m)
	case sqlite3.SQLITE_CONSTRAINT_FOREIGNKEY:
		return errorf("23503", "%s", m)
	case sqlite3.SQLITE_CONSTRAINT_CHECK:
		return errorf("23514", "%s", m)
	}
	switch s.code & 0xff {
	case sqlite3.SQLITE_CONSTRAINT:
		return errorf("23000", "%s", m)
	case sqlite3.SQLITE_READONLY:
		return errorf("25006", "cannot execute a write in a read-only transaction")
	case sqlite3.SQLITE_BUSY, sqlite3.SQLITE_LOCKED:
		return errorf("55P03", "%s", m)
	case sqlite3.SQLITE_INTERRUPT:
		return errorf("57014", "canceling statement due to user request")
	case sqlite3.SQLITE_MISMATCH:
		return errorf("22P02", "%s", m)
	}
	switch {
	case strings.HasPrefix(m, "no such table"):
		return errorf("42P01", "%s", m)
	case strings.HasPrefix(m, "no such column"), strings.Contains(m, "has no column named"):
		return errorf("42703", "%s", m)
	case strings.HasPrefix(m, "no such function"), strings.HasPrefix(m, "wrong number of arguments"):
		return errorf("42883", "%s", m)
	case strings.HasPrefix(m, "no such savepoint"):
		return errorf("3B001", "%s", m)
	case strings.Contains(m, "already exists"):
		return errorf("42P07", "%s", m)
	case strings.Contains(m, "syntax error"), strings.Contains(m, "incomplete input"), strings.Contains(m, "unrecognized token"):
		return errorf("42601", "%s", m)
	}
	return errorf("42000", "%s", m)
}

func (e *pgError) response(severity string) *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{
		Severity: severity, SeverityUnlocalized: severity,
		Code: e.code, Message: e.message, Hint: e.hint,
	}
}
