package auth

import (
	"errors"
	"fmt"

	"github.com/xdg-go/scram"
)

// Credentials are the credentials with which the system logs in to endpoints.
// The SCRAM client caches the derived key, since deriving it takes milliseconds.
type Credentials struct {
	user   string
	client *scram.Client
}

// NewCredentials returns credentials for a user name and password.
func NewCredentials(user, password string) (*Credentials, error) {
	c, err := scram.SHA256.NewClient(user, password, "")
	if err != nil {
		return nil, errors.New("the endpoint credentials contain characters that SCRAM does not allow; " +
			"correct the credentials file")
	}
	return &Credentials{user: user, client: c}, nil
}

// User returns the user name.
func (c *Credentials) User() string { return c.user }

// ClientExchange is the instance's side of a SCRAM exchange with an endpoint.
type ClientExchange struct{ conv *scram.ClientConversation }

// Start returns a new exchange and its client-first message.
func (c *Credentials) Start() (*ClientExchange, string, error) {
	e := &ClientExchange{conv: c.client.NewConversation()}
	first, err := e.conv.Step("")
	if err != nil {
		return nil, "", fmt.Errorf("start SCRAM exchange: %w", err)
	}
	return e, first, nil
}

// Step processes a message of the endpoint and returns the reply.
func (e *ClientExchange) Step(msg string) (string, error) {
	r, err := e.conv.Step(msg)
	if err != nil {
		return "", fmt.Errorf("SCRAM exchange with the endpoint: %w", err)
	}
	return r, nil
}

// Verified reports whether the endpoint has proved that it knows the verifier.
func (e *ClientExchange) Verified() bool { return e.conv.Done() && e.conv.Valid() }
