package stmt

import (
	"errors"
	"fmt"
)

var (
	// ErrUnreachable: the endpoint's address did not accept a connection.
	ErrUnreachable = errors.New("endpoint: not reachable; use another endpoint")
	// ErrLost: the connection ended before the whole answer had come. What was
	// sent may have run.
	ErrLost = errors.New("endpoint: the answer was lost; what was sent may have run")
)

// RefusedError is an endpoint's refusal of a new connection.
type RefusedError struct {
	Code Code
	Text string
}

// Error returns the refusal.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("endpoint: connection refused: %s %s; use another endpoint or try again", e.Code, e.Text)
}
