// Package peerrpc implements the protocol between instances: unary Connect RPCs
// with JSON messages. Each instance calls every other one periodically, and all
// of them during a change of primary.
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

// TableState describes the version of an instance's copy of a table.
type TableState struct {
	// AsOf is the store version up to which the copy is complete.
	AsOf uint64 `json:"a"`
	// Digest is a digest of the rows; it differs if the rows differ.
	Digest uint64 `json:"d"`
}

// Table is a complete copy of a table.
type Table struct {
	TableState
	Rows []kvstore.Row `json:"r"`
}

// UpdateRequest is sent periodically to exchange the state of table copies.
type UpdateRequest struct {
	From   fleet.InstanceID      `json:"f"`
	Tables map[string]TableState `json:"t"`
	// RequestedTables lists the tables whose rows the caller requests.
	RequestedTables []string `json:"w,omitempty"`
	// Serving is false while the caller is starting or leaving.
	Serving bool `json:"s"`
}

// UpdateResponse returns the state that the caller lacks.
type UpdateResponse struct {
	// Tables are the requested tables whose rows are newer at this instance. The
	// fleet's own table is included if it is newer even if not requested, since
	// ProofAgeMS would prove nothing without it.
	Tables map[string]Table `json:"t,omitempty"`
	// NewerTables lists the other tables whose rows are newer at this instance.
	NewerTables []string `json:"n,omitempty"`
	// ProofAgeMS is how long ago this instance's copy of the fleet's own table
	// was proved complete, in milliseconds; negative if never.
	ProofAgeMS int64 `json:"p"`
	// Serving is false while this instance is starting or leaving.
	Serving bool `json:"s"`
	// Leaders are the leadership records that this instance acts on. They may be
	// newer than its copy of the table if it received them from the holder of a
	// change of primary.
	Leaders []catalog.Leadership `json:"l,omitempty"`
}

// ConfirmRequest asks an instance to act on a group's leadership record.
type ConfirmRequest struct {
	Record catalog.Leadership `json:"l"`
}

// ConfirmResponse confirms that the instance has stopped using any earlier primary.
type ConfirmResponse struct {
	// Version is the version of the record that the instance acts on.
	Version uint64 `json:"v"`
}

// ReachRequest asks an instance whether it can reach an endpoint.
type ReachRequest struct {
	Endpoint fleet.EndpointID `json:"e"`
	Addr     string           `json:"a"`
}

// ReachResponse is the response to ReachRequest.
type ReachResponse struct {
	Reachable bool `json:"r"`
}

// GrantRequest asks the home instance of an account for rate limit tokens.
type GrantRequest struct {
	Account         fleet.AccountID `json:"a"`
	RequestedTokens int             `json:"w"`
}

// GrantResponse returns the granted tokens. If they are fewer than requested, RetryMS
// is the time in milliseconds after which another one will be available.
type GrantResponse struct {
	Tokens  int   `json:"t"`
	RetryMS int64 `json:"r,omitempty"`
}

// LeaveRequest announces that an instance is leaving the fleet, or is no longer the
// home of some accounts. It hands over the remaining tokens of the accounts whose
// next home is the instance called.
type LeaveRequest struct {
	From    fleet.InstanceID            `json:"f"`
	Leaving bool                        `json:"l"`
	Tokens  map[fleet.AccountID]float64 `json:"t,omitempty"`
}

// LeaveResponse is the empty response to LeaveRequest.
type LeaveResponse struct{}

// Service handles the calls of other instances.
type Service interface {
	Update(ctx context.Context, u *UpdateRequest) (*UpdateResponse, error)
	Confirm(ctx context.Context, c *ConfirmRequest) (*ConfirmResponse, error)
	Reach(ctx context.Context, r *ReachRequest) (*ReachResponse, error)
	Grant(ctx context.Context, g *GrantRequest) (*GrantResponse, error)
	Leave(ctx context.Context, l *LeaveRequest) (*LeaveResponse, error)
}

const (
	servicePath = "/vanillahinge.edge.v1.Fleet/"
	updatePath  = servicePath + "Update"
	confirmPath = servicePath + "Confirm"
	reachPath   = servicePath + "Reach"
	grantPath   = servicePath + "Grant"
	leavePath   = servicePath + "Leave"

	// dialTimeout allows several round trips between data centres.
	dialTimeout = 300 * time.Millisecond
	// maxIdleConnsPerPeer is the usual maximum of concurrent calls to a peer.
	maxIdleConnsPerPeer = 4
	// maxMessageBytes is the maximum size of a message. A configuration has at
	// most 64 KB per row, and tables have a few hundred rows.
	maxMessageBytes = 8 << 20
	// compressMinBytes is the size from which responses are compressed. Complete
	// tables are compressed, the frequent small responses are not. A
	// configuration of 30 KB takes 25 ms of a 10 Mbit/s link.
	compressMinBytes = 2 << 10
)

// codec encodes plain structs as JSON; Connect's own JSON codec requires protobuf
// messages.
type codec struct{}

func (codec) Name() string                        { return "json" }
func (codec) Marshal(v any) ([]byte, error)       { return json.Marshal(v) }
func (codec) Unmarshal(raw []byte, v any) error   { return json.Unmarshal(raw, v) }
func (codec) MarshalStable(v any) ([]byte, error) { return json.Marshal(v) }
func (codec) IsBinary() bool                      { return false }

// Handler returns the HTTP handler that serves s.
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

// ErrNotRunning means that no process listens on the address of the instance.
var ErrNotRunning = errors.New("peerrpc: no process listens on the address of the instance")

// Peer is a client for one other instance.
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

// Close closes idle connections.
func (p *Peer) Close() { p.http.CloseIdleConnections() }

func call[Req, Res any](ctx context.Context, c *connect.Client[Req, Res], req *Req) (*Res, error) {
	res, err := c.CallUnary(ctx, connect.NewRequest(req))
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			return nil, fmt.Errorf("%w: %w", ErrNotRunning, err)
		}
		return nil, fmt.Errorf("peerrpc: %w", err)
	}
	return res.Msg, nil
}

// Update exchanges table states with the peer.
func (p *Peer) Update(ctx context.Context, u *UpdateRequest) (*UpdateResponse, error) {
	return call(ctx, p.update, u)
}

// Confirm asks the peer to act on a leadership record.
func (p *Peer) Confirm(ctx context.Context, c *ConfirmRequest) (*ConfirmResponse, error) {
	return call(ctx, p.confirm, c)
}

// Reach asks the peer whether it can reach an endpoint.
func (p *Peer) Reach(ctx context.Context, r *ReachRequest) (*ReachResponse, error) {
	return call(ctx, p.reach, r)
}

// Grant asks the peer for rate limit tokens.
func (p *Peer) Grant(ctx context.Context, g *GrantRequest) (*GrantResponse, error) {
	return call(ctx, p.grant, g)
}

// Leave tells the peer that this instance is leaving or is no longer the home of some
// accounts, and hands over tokens.
func (p *Peer) Leave(ctx context.Context, l *LeaveRequest) (*LeaveResponse, error) {
	return call(ctx, p.leave, l)
}
