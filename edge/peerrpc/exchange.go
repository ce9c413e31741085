// Package peerrpc is the protocol between instances: unary connect calls with
// JSON bodies. An instance calls each other one periodically, and all of them
// during a change of primary.
package peerrpc

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"

	"connectrpc.com/connect"

	"github.com/vanillahinge/vanillahinge/core/catalog"
	"github.com/vanillahinge/vanillahinge/core/fleet"
	"github.com/vanillahinge/vanillahinge/core/kvstore"
)

// TableState says how recent an instance's copy of a table is.
type TableState struct {
	// AsOf is the store's version up to which the copy is complete.
	AsOf uint64 `json:"a"`
	// Digest differs when the rows do.
	Digest uint64 `json:"d"`
}

// Table is a whole copy.
type Table struct {
	TableState
	Rows []kvstore.Row `json:"r"`
}

// UpdateRequest is the call made periodically.
type UpdateRequest struct {
	From   fleet.InstanceID      `json:"f"`
	Tables map[string]TableState `json:"t"`
	// RequestedTables names the tables whose rows the caller asks for.
	RequestedTables []string `json:"w,omitempty"`
	// Serving is false while the caller starts or leaves.
	Serving bool `json:"s"`
}

// UpdateResponse brings what the caller lacks.
type UpdateResponse struct {
	// Tables are those whose rows are newer here and were asked for, and the
	// fleet's own table, without which ProofAge would prove nothing.
	Tables map[string]Table `json:"t,omitempty"`
	// NewerTables names the other tables whose rows are newer here.
	NewerTables []string `json:"n,omitempty"`
	// ProofAgeMS is how long ago this instance's copy of the fleet's own table
	// was proved complete, in milliseconds; negative if never.
	ProofAgeMS int64 `json:"p"`
	// Serving is false while the instance starts or leaves.
	Serving bool `json:"s"`
	// Leaders are the records this instance acts on; they may be ahead of its
	// table when the holder of a change has told it.
	Leaders []catalog.Leadership `json:"l,omitempty"`
}

// ConfirmRequest asks an instance to act on a record of a group's primary.
type ConfirmRequest struct {
	Record catalog.Leadership `json:"l"`
}

// ConfirmResponse says that the instance has stopped using any earlier primary.
type ConfirmResponse struct {
	// Version is the version of the record that the instance acts on.
	Version uint64 `json:"v"`
}

// ReachRequest asks whether an instance reaches an endpoint.
type ReachRequest struct {
	Endpoint fleet.EndpointID `json:"e"`
	Addr     string           `json:"a"`
}

// ReachResponse is the answer to Reach.
type ReachResponse struct {
	Reachable bool `json:"r"`
}

// GrantRequest asks an account's home for tokens.
type GrantRequest struct {
	Account         fleet.AccountID `json:"a"`
	RequestedTokens int             `json:"w"`
}

// GrantResponse are the tokens given, and the time after which there will be one if
// they are fewer than wanted.
type GrantResponse struct {
	Tokens  int   `json:"t"`
	RetryMS int64 `json:"r,omitempty"`
}

// LeaveRequest tells that an instance leaves, or is no longer the home of accounts,
// and passes on the tokens that are left for those whose next home is called.
type LeaveRequest struct {
	From    fleet.InstanceID            `json:"f"`
	Leaving bool                        `json:"l"`
	Tokens  map[fleet.AccountID]float64 `json:"t,omitempty"`
}

// LeaveResponse answers Leave.
type LeaveResponse struct{}

// Service answers the calls of other instances.
type Service interface {
	Update(ctx context.Context, u *UpdateRequest) (*UpdateResponse, error)
	Confirm(ctx context.Context, c *ConfirmRequest) (*ConfirmResponse, error)
	Reach(ctx context.Context, r *ReachRequest) (*ReachResponse, error)
	Grant(ctx context.Context, g *GrantRequest) (*GrantResponse, error)
	Leave(ctx context.Context, l *LeaveRequest) (*LeaveResponse, error)
}

const (
	servicePath         = "/vanillahinge.edge.v1.Fleet/"
	updatePath          = servicePath + "Update"
	confirmPath         = servicePath + "Confirm"
	reachPath           = servicePath + "Reach"
	grantPath           = servicePath + "Grant"
	leavePath           = servicePath + "Leave"
	dialTimeout         = 300 * time.Millisecond // several round trips between data centres
	maxIdleConnsPerPeer = 4                      // calls that run at the same time, mostly
	maxMessageBytes     = 8 << 20                // a configuration is at most 64 KB a row, and tables have some hundred rows
	// compressMinBytes is the size from which answers are compressed: whole tables
	// are, the frequent small answers are not. A configuration of 30 KB takes
	// 25 ms of a 10 Mbit/s link.
	compressMinBytes = 2 << 10
)

// codec encodes plain structures as JSON.
type codec struct{}

func (codec) Name() string                        { return "json" }
func (codec) Marshal(v any) ([]byte, error)       { return json.Marshal(v) }
func (codec) Unmarshal(raw []byte, v any) error   { return json.Unmarshal(raw, v) }
func (codec) MarshalStable(v any) ([]byte, error) { return json.Marshal(v) }
func (codec) IsBinary() bool                      { return false }

// Handler serves the protocol.
func Handler(s Service) http.Handler {
	mux := http.NewServeMux()
	handle(mux, updatePath, s.Update)
	handle(mux, confirmPath, s.Confirm)
	handle(mux, reachPath, s.Reach)
	handle(mux, grantPath, s.Grant)
	handle(mux, leavePath, s.Leave)
	return mux
}

func handle[Req, Res any](mux *http.ServeMux, path string, f func(context.Context, *Req) (*Res, error)) {
	mux.Handle(path, connect.NewUnaryHandler(path, func(ctx context.Context, r *connect.Request[Req]) (*connect.Response[Res], error) {
		res, err := f(ctx, r.Msg)
		if err != nil {
			return nil, err
		}
		return connect.NewResponse(res), nil
	}, connect.WithCodec(codec{}), connect.WithReadMaxBytes(maxMessageBytes), connect.WithCompressMinBytes(compressMinBytes)))
}

// ErrNotRunning means that no process listens at the instance's address.
var ErrNotRunning = errors.New("exchange: no process listens there")

// Peer calls one other instance.
type Peer struct {
	http    *http.Client
	update  *connect.Client[UpdateRequest, UpdateResponse]
	confirm *connect.Client[ConfirmRequest, ConfirmResponse]
	reach   *connect.Client[ReachRequest, ReachResponse]
	grant   *connect.Client[GrantRequest, GrantResponse]
	leave   *connect.Client[LeaveRequest, LeaveResponse]
}

// NewPeer returns a client for the instance at addr (host:port).
func NewPeer(addr string) *Peer {
	dial := &net.Dialer{Timeout: dialTimeout}
	p := &Peer{http: &http.Client{Transport: &http.Transport{DialContext: dial.DialContext, DisableCompression: true,
		MaxIdleConnsPerHost: maxIdleConnsPerPeer}}}
	url := "http://" + addr
	p.update = newClient[UpdateRequest, UpdateResponse](p.http, url+updatePath)
	p.confirm = newClient[ConfirmRequest, ConfirmResponse](p.http, url+confirmPath)
	p.reach = newClient[ReachRequest, ReachResponse](p.http, url+reachPath)
	p.grant = newClient[GrantRequest, GrantResponse](p.http, url+grantPath)
	p.leave = newClient[LeaveRequest, LeaveResponse](p.http, url+leavePath)
	return p
}

func newClient[Req, Res any](h *http.Client, url string) *connect.Client[Req, Res] {
	return connect.NewClient[Req, Res](h, url, connect.WithCodec(codec{}), connect.WithReadMaxBytes(maxMessageBytes))
}

// Close drops the connections.
func (p *Peer) Close() { p.http.CloseIdleConnections() }

func call[Req, Res any](ctx context.Context, c *connect.Client[Req, Res], req *Req) (*Res, error) {
	res, err := c.CallUnary(ctx, connect.NewRequest(req))
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			return nil, fmt.Errorf("%w: %w", ErrNotRunning, err)
		}
		return nil, fmt.Errorf("exchange: %w", err)
	}
	return res.Msg, nil
}

// Update exchanges states.
func (p *Peer) Update(ctx context.Context, u *UpdateRequest) (*UpdateResponse, error) {
	return call(ctx, p.update, u)
}

// Confirm asks for a confirmation.
func (p *Peer) Confirm(ctx context.Context, c *ConfirmRequest) (*ConfirmResponse, error) {
	return call(ctx, p.confirm, c)
}

// Reach asks about an endpoint.
func (p *Peer) Reach(ctx context.Context, r *ReachRequest) (*ReachResponse, error) {
	return call(ctx, p.reach, r)
}

// Grant asks for tokens.
func (p *Peer) Grant(ctx context.Context, g *GrantRequest) (*GrantResponse, error) {
	return call(ctx, p.grant, g)
}

// Leave passes tokens on.
func (p *Peer) Leave(ctx context.Context, l *LeaveRequest) (*LeaveResponse, error) {
	return call(ctx, p.leave, l)
}
