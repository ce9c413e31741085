// Package front implements the caller port, on which the proxy accepts
// PostgreSQL clients. It authenticates callers, keeps the state of their
// sessions, routes each statement to an endpoint and forwards the responses.
package front

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"github.com/vanillahinge/vanillahinge/core/decision"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/outcome"
	"github.com/vanillahinge/vanillahinge/core/retry"
	"github.com/vanillahinge/vanillahinge/core/route"
	"github.com/vanillahinge/vanillahinge/core/snapshot"
	"github.com/vanillahinge/vanillahinge/ctl"
	"github.com/vanillahinge/vanillahinge/proxy/pool"
)

// Admitter enforces the rate of an account, one statement at a time. It refuses a
// statement with an *outcome.Error of kind outcome.OverRate. Callers of an open
// route are admitted as AnonymousAccount.
type Admitter interface {
	Admit(ctx context.Context, account fleet.AccountID) error
}

// AnonymousAccount is the account of every caller of an open route, which
// requires no key. The user name is not authenticated there, so it must not
// consume the quota of the account with that name.
const AnonymousAccount fleet.AccountID = ""

// Observation describes one finished request, for the service level report.
type Observation struct {
	Account  fleet.AccountID
	Database string
	// Write is true if the request ran on a read-write connection.
	Write bool
	// Primary is true if the request ran on the primary.
	Primary bool
	Latency time.Duration
	// Err is an *outcome.Error or nil. It is nil for a request that succeeded
	// and for one that failed with an error of the statement itself.
	Err error
}

// CancelKey identifies a session in a cancel request: the process id and secret
// of its BackendKeyData. Process holds the instance number in its upper bits.
type CancelKey struct {
	Process, Secret uint32
}

// sessionBits is the number of bits of a process id that identify the session.
// The 13 bits above them identify the instance, which allows 8,192 instances.
const sessionBits = 18

// Instance returns the number of the instance that owns the session.
func (k CancelKey) Instance() uint32 { return k.Process >> sessionBits }

// Options configures the caller port.
type Options struct {
	// Addr is the address to listen on. It is ignored if Listener is set.
	Addr     string
	Listener net.Listener
	// TLS is used for callers that request it. RequireTLS refuses all others.
	TLS        *tls.Config
	RequireTLS bool

	Source   snapshot.Source
	Acks     ctl.Acks
	Admitter Admitter
	Recorder decision.Recorder
	Pool     *pool.Pool
	Route    route.Config
	Retry    retry.Config
	Metrics  metrics.Registry
	Logger   *log.Logger
	// Observe is called for every finished request. It must not block.
	Observe func(Observation)

	// InstanceNumber is the upper part of every process id. It is meant to be
	// unique among the running instances.
	InstanceNumber uint32
	// ForwardCancel sends a cancel request to the instance that owns the
	// session.
	ForwardCancel func(ctx context.Context, instance uint32, k CancelKey) error

	// Parameters are reported to callers at startup.
	Parameters map[string]string
	// StartupTimeout limits the TLS handshake, startup and authentication
	// together. The default is 10 s.
	StartupTimeout time.Duration
	// QueueTimeout limits the wait for a slot and a server connection. The
	// default is 2 s.
	QueueTimeout time.Duration
	// StatementTimeout limits the total time of a statement. The default is
	// 60 s. A session can set a shorter statement_timeout.
	StatementTimeout time.Duration
	// AckTimeout limits the wait until a write is replicated. The default is
	// 2 s.
	AckTimeout time.Duration
	// IdleTimeout ends sessions that send no request for this long. 0 means no
	// limit.
	IdleTimeout time.Duration
	// IdleInTransactionTimeout ends sessions that send no request for this long
	// in an open transaction, which holds a server connection. The default is
	// 60 s.
	IdleInTransactionTimeout time.Duration
	// WriteTimeout ends sessions whose caller does not read its response, since
	// a response in progress holds a slot of the endpoint. The default is 30 s.
	WriteTimeout time.Duration
	// DrainTimeout is how long Stop waits before it ends the remaining sessions.
	// The default is 20 s.
	DrainTimeout time.Duration
	// MaxSessions limits the open sessions of the instance. The default is
	// 20,000.
	MaxSessions int
}

func (o *Options) setDefaults() {
	setDefault := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	setDefault(&o.StartupTimeout, 10*time.Second)
	setDefault(&o.QueueTimeout, 2*time.Second)
	setDefault(&o.StatementTimeout, time.Minute)
	setDefault(&o.AckTimeout, 2*time.Second)
	setDefault(&o.IdleInTransactionTimeout, time.Minute)
	setDefault(&o.WriteTimeout, 30*time.Second)
	setDefault(&o.DrainTimeout, 20*time.Second)
	if o.MaxSessions == 0 {
		o.MaxSessions = 20_000
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
	if o.Logger == nil {
		o.Logger = &log.Logger{Writer: &log.IOWriter{Writer: discard{}}}
	}
	params := map[string]string{
		"server_version":              "17.0 (vanillahinge)",
		"server_encoding":             "UTF8",
		"client_encoding":             "UTF8",
		"DateStyle":                   "ISO, MDY",
		"IntervalStyle":               "postgres",
		"TimeZone":                    "UTC",
		"integer_datetimes":           "on",
		"standard_conforming_strings": "on",
	}
	for k, v := range o.Parameters {
		params[k] = v
	}
	o.Parameters = params
}

// discard is the log output of a server without a logger.
type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }

// errNotFresh is returned once the configuration snapshot is older than its
// freshness limit.
func errNotFresh(o outcome.Outcome) *outcome.Error {
	return outcome.New(outcome.Unavailable, o, "this instance's configuration is not proved fresh",
		"connect again; the balancer chooses another instance")
}

func errShuttingDown(o outcome.Outcome) *outcome.Error {
	return outcome.New(outcome.ShuttingDown, o, "the instance is shutting down",
		"connect again and present the last vh.token")
}

func errWriteUnknown(cause error) *outcome.Error {
	return outcome.Wrap(cause, outcome.WriteUnknown, outcome.Unknown, "the write may have been applied",
		"repeat it with the same vh.request_id, or read its effect before repeating")
}

func errNoEndpoint() *outcome.Error {
	return outcome.New(outcome.Unavailable, outcome.NotRun, "no endpoint can serve the statement now",
		"repeat the request; promotion of a new primary takes about two seconds")
}
