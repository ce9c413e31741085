package stmt

import (
	"errors"
	"fmt"
)

// Errors of a connection to an endpoint.
var (
	// ErrUnreachable means that the endpoint's address did not accept a connection.
	ErrUnreachable = errors.New("endpoint: unreachable; use another endpoint")
	// ErrLost means that the connection was closed before the answer was complete.
	// The statements that were sent may have run.
	ErrLost = errors.New("endpoint: connection closed before the answer was complete; the statements sent may have run")
)

// RefusedError reports that an endpoint refused a new connection.
type RefusedError struct {
	Code Code
	Text string
}

// Error returns the code and the explanation of the refusal.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("endpoint: connection refused: %s %s; use another endpoint or try again", e.Code, e.Text)
}
