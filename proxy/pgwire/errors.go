package pgwire

import (
	"bytes"
	"errors"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/vanillahinge/vanillahinge/core/outcome"
)

// Severities of error responses.
const (
	SeverityError = "ERROR"
	SeverityFatal = "FATAL"
)

// ErrorResponse converts err to the message that is sent to a caller. The message
// text begins with the outcome, the hint is the remedy, and the detail is the
// outcome in machine-readable form. Wrapped causes are not included: they can
// contain internal addresses, which mean nothing to callers.
func ErrorResponse(severity string, err error) *pgproto3.ErrorResponse {
	var e *outcome.Error
	var se *StatementError
	switch {
	case errors.As(err, &se):
		return &pgproto3.ErrorResponse{
			Severity: severity, SeverityUnlocalized: severity, Code: se.Code,
			Message: "not run: " + se.Message, Hint: se.Hint, Detail: "outcome=not_run",
		}
	case !errors.As(err, &e):
		e = outcome.New("internal", outcome.Unknown, "internal error of the instance",
			"repeat reads; repeat writes only with a request id")
	}
	return &pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                e.SQLState(),
		Message:             e.Outcome.String() + ": " + e.Message,
		Hint:                e.Remedy,
		Detail:              "outcome=" + outcomeName(e.Outcome),
	}
}

// outcomeName returns the outcome as it is written in the detail of an
// ErrorResponse.
func outcomeName(o outcome.Outcome) string {
	switch o {
	case outcome.NotRun:
		return "not_run"
	case outcome.Done:
		return "done"
	default:
		return "unknown"
	}
}

// ErrorField returns one field of the body of an ErrorResponse or
// NoticeResponse, or "" when the field is missing or the body is malformed.
func ErrorField(body []byte, field byte) string {
	for len(body) > 0 && body[0] != 0 {
		end := bytes.IndexByte(body[1:], 0)
		if end < 0 {
			return ""
		}
		if body[0] == field {
			return string(body[1 : 1+end])
		}
		body = body[end+2:]
	}
	return ""
}

// SQLStateIs reports whether the body of an ErrorResponse has the SQLSTATE code.
// It does not allocate.
func SQLStateIs(body []byte, code string) bool {
	for len(body) > 0 && body[0] != 0 {
		end := bytes.IndexByte(body[1:], 0)
		if end < 0 {
			return false
		}
		if body[0] == 'C' {
			return string(body[1:1+end]) == code
		}
		body = body[end+2:]
	}
	return false
}

// StatementError is an error that PostgreSQL itself defines, such as the use
// of a prepared statement that does not exist. The statement has not run.
type StatementError struct {
	Code, Message, Hint string
}

// Error returns the SQLSTATE and the message.
func (e *StatementError) Error() string { return e.Code + ": " + e.Message }
