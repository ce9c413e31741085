// Package where defines the explanation of where a statement would go, as the metrics port of
// an instance serves it under Path and `vanillahinge where` reads it.
package where

// Path is the path of the explanation. The query has the parameters Route, Account and Kind, and
// Forwarded if it is about a statement that another instance hands to this one.
const (
	Path      = "/where"
	Route     = "route"
	Account   = "account"
	Kind      = "kind"
	Forwarded = "forwarded"
)

// Kinds of statement.
const (
	Read        = "read"
	Write       = "write"
	Transaction = "transaction"
)

// Outcomes of a Decision.
const (
	Run     = "run"
	Wait    = "wait"
	Refuse  = "refuse"
	Forward = "forward"
)

// Decisions of an Admission.
const (
	Admitted               = "admitted"
	Refused                = "refused"
	RefusedHomeUnreachable = "refused_home_unreachable"
	// AskHome means that the account's home decides.
	AskHome = "ask_home"
)

// Answer explains where a statement of a new session would go now.
type Answer struct {
	Instance   string `json:"instance"`
	DataCentre string `json:"data_centre"`
	// Configuration is the version of the configuration in force.
	Configuration uint64     `json:"configuration"`
	Kind          string     `json:"kind"`
	Account       string     `json:"account"`
	Route         RouteEntry `json:"route"`
	Homes         Homes      `json:"homes"`
	Admission     *Admission `json:"admission,omitempty"` // missing if the statement is forwarded to this instance
	Keeper        *Keeper    `json:"keeper,omitempty"`    // missing if the statement is forwarded to this instance
	Pool          *Pool      `json:"pool,omitempty"`      // missing if another instance runs the statement
	Decision      Decision   `json:"decision"`
}

// RouteEntry is the configuration of the route.
type RouteEntry struct {
	Database    string  `json:"database"`
	Group       string  `json:"group"`
	Consistency string  `json:"consistency"`
	Priority    int     `json:"priority"`
	ObjectiveMS float64 `json:"objective_ms"`
	LimitMS     float64 `json:"limit_ms"`
	StalenessMS float64 `json:"staleness_ms,omitempty"`
}

// Homes are the regions in which the statement may be handled.
type Homes struct {
	Restricted bool     `json:"restricted"`
	Regions    []string `json:"regions,omitempty"`
}

// Admission is what the account's rate limit says at this instance.
type Admission struct {
	Decision string `json:"decision"`
	// Home is the account's home if it is another instance that is known.
	Home string `json:"home,omitempty"`
	// HomeState is local, remote or unreachable; unlimited if the account has no limits.
	HomeState string `json:"home_state"`
	// Tokens can be spent here without asking the home.
	Tokens float64 `json:"tokens"`
	// Level is the last known level of the account's bucket, LevelAgeMS its age.
	Level      *float64 `json:"level,omitempty"`
	LevelAgeMS float64  `json:"level_age_ms,omitempty"`
}

// Keeper is the instance that would run the statement.
type Keeper struct {
	Instance    string `json:"instance"`
	Addr        string `json:"forward_addr,omitempty"`
	Self        bool   `json:"self"`
	OtherRegion bool   `json:"other_region,omitempty"`
	// Others are asked in this order if the keeper is not reached.
	Others []string `json:"others,omitempty"`
}

// Pool is what the connection pool of the instance would do.
type Pool struct {
	// PrimaryOnly is set if only the primary may run the statement.
	PrimaryOnly bool   `json:"primary_only"`
	Primary     string `json:"primary,omitempty"`
	// NotPermitted is why this instance may not use the primary now.
	NotPermitted string     `json:"not_permitted,omitempty"`
	ServiceMS    float64    `json:"service_ms"`
	Endpoints    []Endpoint `json:"endpoints"`
	// Queue is the number of statements of the group that wait here, Ahead those of them of the
	// same or a more urgent priority that may use an endpoint which this one may use.
	Queue    int      `json:"queue"`
	Ahead    int      `json:"ahead"`
	Decision Decision `json:"decision"`
}

// Endpoint is how an endpoint of the group fits the statement.
type Endpoint struct {
	ID         string `json:"id"`
	DataCentre string `json:"data_centre"`
	Primary    bool   `json:"primary"`
	// Excluded is why the endpoint cannot serve the statement at all, NotNow why it cannot at
	// present.
	Excluded string `json:"excluded,omitempty"`
	NotNow   string `json:"not_now,omitempty"`
	// The others are missing if the endpoint is excluded.
	ExpectedMS     float64 `json:"expected_ms,omitempty"`
	IdleConnection bool    `json:"idle_connection"`
	Connections    int     `json:"connections"`
	MaxConnections int     `json:"max_connections"`
	InFlight       int     `json:"in_flight"`
	MaxInFlight    int     `json:"max_in_flight"`
	// RampLimit is the limit of statements in flight while the endpoint ramps.
	RampLimit int `json:"ramp_limit,omitempty"`
}

// Decision is what would happen to the statement.
type Decision struct {
	Outcome  string `json:"outcome"`
	Instance string `json:"instance,omitempty"`
	Endpoint string `json:"endpoint,omitempty"`
	// WaitMS is how long the statement would wait at most.
	WaitMS float64 `json:"wait_ms,omitempty"`
	Reason string  `json:"reason,omitempty"`
	Remedy string  `json:"remedy,omitempty"`
	// Condition is what has to happen first.
	Condition string `json:"condition,omitempty"`
}

// Problems of a request, named by Error.Problem.
const (
	KeyGiven       = "key_given"
	UnknownRoute   = "unknown_route"
	UnknownAccount = "unknown_account"
	UnknownKind    = "unknown_kind"
	NotReady       = "not_ready"
)

// Error is the answer to a request that cannot be explained. It never repeats a value of the
// request, since any of them may be a key.
type Error struct {
	Problem string `json:"problem"`
	Message string `json:"message"`
}

// Error implements error.
func (e *Error) Error() string { return e.Message }
