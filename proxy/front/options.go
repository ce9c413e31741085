// Package front is the caller port: it authenticates callers, keeps the state
// of their sessions, places each statement on an endpoint and forwards the
// answers.
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

// Admitter admits one statement of an account. A refusal is an *outcome.Error
// of the kind outcome.OverRate. Callers of an open route have OpenAccount.
type Admitter interface {
	Admit(ctx context.Context, account fleet.AccountID) error
}

// AnonymousAccount is the account of every caller of an open route. The user name
// proves nothing there, so it must not spend the quota of an account.
const AnonymousAccount fleet.AccountID = ""

// Observation is one finished request, for the report on service levels.
type Observation struct {
	Account  fleet.AccountID
	Database string
	// Write is set for requests that ran on a read-write connection.
	Write bool
	// Primary is set for requests that ran on the primary.
	Primary bool
	Latency time.Duration
	// Err is nil or a typed error; errors of the statement itself are nil.
	Err error
}

// CancelKey is what a caller presents to cancel a request. Process holds the
// number of the instance in its upper bits.
type CancelKey struct {
	Process, Secret uint32
}

// sessionBits is the part of a process id that names the session; the 13 bits
// above it name the instance, which is enough for 8,192 instances.
const sessionBits = 18

// Instance returns the number of the instance that owns the session.
func (k CancelKey) Instance() uint32 { return k.Process >> sessionBits }

// Options are the settings of the caller port.
type Options struct {
	// Addr is the address to listen on. Listener replaces it when set.
	Addr     string
	Listener net.Listener
	// TLS is used for callers that ask for it; RequireTLS refuses the others.
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

	// InstanceNumber is unique among the live instances; it is the upper part
	// of every process id.
	InstanceNumber uint32
	// ForwardCancel hands a cancel request to the instance that owns it.
	ForwardCancel func(ctx context.Context, instance uint32, k CancelKey) error

	// Parameters are reported to callers at startup.
	Parameters map[string]string
	// StartupTimeout bounds TLS, startup and authentication; 10 s by default.
	StartupTimeout time.Duration
	// QueueTimeout bounds the wait for a slot and a connection; 2 s by default.
	QueueTimeout time.Duration
	// StatementTimeout bounds a statement; 60 s by default. A session can
	// set a shorter statement_timeout.
	StatementTimeout time.Duration
	// AckTimeout bounds the wait for replication; 2 s by default.
	AckTimeout time.Duration
	// IdleTimeout ends sessions without a request; 0 means never.
	IdleTimeout time.Duration
	// IdleInTransactionTimeout ends sessions that hold a server connection
	// without using it; 60 s by default.
	IdleInTransactionTimeout time.Duration
	// WriteTimeout ends sessions whose caller does not take its answer, since
	// an answer in progress holds a slot of the endpoint; 30 s by default.
	WriteTimeout time.Duration
	// DrainTimeout is when Stop closes the remaining sessions; 20 s by default.
	DrainTimeout time.Duration
	// MaxSessions bounds the sessions of the instance; 20,000 by default.
	MaxSessions int
}

func (o *Options) setDefaults() {
	def := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	def(&o.StartupTimeout, 10*time.Second)
	def(&o.QueueTimeout, 2*time.Second)
	def(&o.StatementTimeout, time.Minute)
	def(&o.AckTimeout, 2*time.Second)
	def(&o.IdleInTransactionTimeout, time.Minute)
	def(&o.WriteTimeout, 30*time.Second)
	def(&o.DrainTimeout, 20*time.Second)
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

type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }

// Errors of the caller port that several places return.

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
