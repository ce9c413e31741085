// Package outcome defines the typed errors of vanillahinge. An error states
// whether the request ran and what the caller or operator can do about it, and
// carries the SQLSTATE sent to the caller.
package outcome

import (
	"errors"
	"fmt"
)

// Outcome is what is known about the execution of a request.
type Outcome int

// Outcomes of a request.
const (
	// Unknown means that the request may or may not have run.
	Unknown Outcome = iota
	// NotRun means that the request certainly did not run or was rolled back.
	NotRun
	// Done means that the request ran and its outcome is stored.
	Done
)

// String returns the outcome as callers see it in messages.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not run"
	case Done:
		return "done"
	default:
		return "outcome unknown"
	}
}

// Kind classifies an error.
type Kind string

// Kinds of error, with the SQLSTATE of each.
const (
	BadKey          Kind = "bad_key"           // 28P01
	KeyWithdrawn    Kind = "key_withdrawn"     // 28000
	NotAllowed      Kind = "not_allowed"       // 42501
	StaleTerm       Kind = "stale_term"        // VH001
	RequestIDReused Kind = "request_id_reused" // VH422
	OverRate        Kind = "over_rate"         // VH429
	Unavailable     Kind = "unavailable"       // VH503
	QueueDeadline   Kind = "queue_deadline"    // VH504
	NotSupported    Kind = "not_supported"     // 0A000
	ShuttingDown    Kind = "shutting_down"     // 57P01
	Cancelled       Kind = "cancelled"         // 57014
	WriteUnknown    Kind = "write_unknown"     // 08007
	BadToken        Kind = "bad_token"         // 28000
	Protocol        Kind = "protocol"          // 08P01
)

var sqlstates = map[Kind]string{
	BadKey:          "28P01",
	KeyWithdrawn:    "28000",
	NotAllowed:      "42501",
	StaleTerm:       "VH001",
	RequestIDReused: "VH422",
	OverRate:        "VH429",
	Unavailable:     "VH503",
	QueueDeadline:   "VH504",
	NotSupported:    "0A000",
	ShuttingDown:    "57P01",
	Cancelled:       "57014",
	WriteUnknown:    "08007",
	BadToken:        "28000",
	Protocol:        "08P01",
}

// Error is a refusal or failure as reported to a caller.
type Error struct {
	Kind    Kind
	Outcome Outcome
	Message string
	// Remedy tells the caller or operator what to do. It is sent as the hint of the
	// error response.
	Remedy string
	Cause  error
}

// New returns an error of kind k. The message must not contain keys.
func New(k Kind, o Outcome, message, remedy string) *Error {
	return &Error{Kind: k, Outcome: o, Message: message, Remedy: remedy}
}

// Wrap returns an error of kind k that wraps cause.
func Wrap(cause error, k Kind, o Outcome, message, remedy string) *Error {
	return &Error{Kind: k, Outcome: o, Message: message, Remedy: remedy, Cause: cause}
}

// Error returns the outcome, the message, the cause and the remedy.
func (e *Error) Error() string {
	s := fmt.Sprintf("%s: %s", e.Outcome, e.Message)
	if e.Cause != nil {
		s += ": " + e.Cause.Error()
	}
	if e.Remedy != "" {
		s += " (" + e.Remedy + ")"
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// SQLState returns the five-character SQLSTATE sent to the caller.
func (e *Error) SQLState() string {
	if s, ok := sqlstates[e.Kind]; ok {
		return s
	}
	return "XX000"
}

// Of returns the outcome of the Error in err's chain, or Unknown if there is none.
func Of(err error) Outcome {
	var e *Error
	if errors.As(err, &e) {
		return e.Outcome
	}
	return Unknown
}

// IsKind reports whether the first Error in err's chain is of kind k.
func IsKind(err error, k Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == k
}
