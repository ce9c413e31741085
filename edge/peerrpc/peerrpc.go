// Package peerrpc implements the protocol between instances: unary Connect RPCs
// with JSON messages. Each instance follows the changes of one other, see package
// relay.
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
	"github.com/vanillahinge/vanillahinge/core/takeover"
)

// TableState describes the version of an instance's copy of a table.
type TableState struct {
	// AsOf is the store version up to which the copy is complete.
	AsOf uint64 `json:"a"`
	// Digest is a digest of the rows; it differs if the rows differ.
	Digest uint64 `json:"d"`
}

// TableChange brings a copy of a table up to date.
type TableChange struct {
	TableState
	// Rows are the rows that the caller lacks, deleted ones included. If Complete is
	// set they are the whole table instead.
	Rows     []kvstore.Row `json:"r"`
	Complete bool          `json:"w,omitempty"`
}

// WatchRequest asks for the changes that the caller lacks. The call is held while
// there are none.
type WatchRequest struct {
	From   fleet.InstanceID      `json:"f"`
	Tables map[string]TableState `json:"t"`
	// Announced holds the order of the leadership records that the caller knows
	// and its copy of the fleet's table lacks.
	Announced map[fleet.GroupID]uint64 `json:"l,omitempty"`
	// ProofAgeMS is the age of the caller's proof in milliseconds, see
	// WatchResponse; negative if it has none.
	ProofAgeMS int64 `json:"p"`
	// InContact is set if the caller has had contact with the root recently.
	InContact bool `json:"c,omitempty"`
	// HoldMS bounds the time for which the call is held, in milliseconds.
	HoldMS int64 `json:"h"`
	// Serving is false while the caller is starting or leaving.
	Serving bool `json:"s"`
	// Heard lists the instances that the caller has heard from recently; nil if the
	// list has not changed since the caller's last successful call to this instance.
	Heard []fleet.InstanceID `json:"e"`
	// AbsentHash is the hash of the absent instances known to the caller.
	AbsentHash uint64 `json:"b,omitempty"`
	// Era is the era of the caller's copy of the fleet's own table.
	Era uint64 `json:"g,omitempty"`
	// CatalogVersion is the operator's version of the configuration in force at the
	// caller, and CatalogAhead the same if the store has only an older one.
	CatalogVersion uint64 `json:"v,omitempty"`
	CatalogAhead   uint64 `json:"n,omitempty"`
}

// WatchResponse returns the state that the caller lacks.
type WatchResponse struct {
	// HeldMS is for how long the call had been held when the ages in this response were
	// taken, in milliseconds, rounded down.
	HeldMS int64 `json:"h"`
	// Tables are the changes of tables by name.
	Tables map[string]TableChange `json:"t,omitempty"`
	// ProofAgeMS is how long ago this instance's copy of the fleet's own table
	// was proved complete, in milliseconds; negative if never.
	ProofAgeMS int64 `json:"p"`
	// ContactAgeMS is how long ago this instance had contact with the root, directly
	// or through others, in milliseconds; negative if never.
	ContactAgeMS int64 `json:"c"`
	// Serving is false while this instance is starting or leaving.
	Serving bool `json:"s"`
	// Leaders are the leadership records that this instance acts on and the caller
	// lacks. They may be newer than its copy of the table if it received them from
	// the holder of a change of primary.
	Leaders []catalog.Leadership `json:"l,omitempty"`
	// Absent lists the members that the root has not heard from, if HasAbsent is set:
	// the caller has another list.
	Absent    []fleet.InstanceID `json:"b,omitempty"`
	HasAbsent bool               `json:"a,omitempty"`
	// Era is the era of this instance's copy of the fleet's own table, and ProvenSince
	// the era in which its process had its first proof.
	Era         uint64 `json:"g,omitempty"`
	ProvenSince uint64 `json:"o,omitempty"`
	// Catalog is the encoded configuration in force, if the caller has an older one and
	// the store has lost it.
	Catalog []byte `json:"n,omitempty"`
}

// ConfirmRequest asks an instance to act on a group's leadership record.
type ConfirmRequest struct {
	Record catalog.Leadership `json:"l"`
}

// ConfirmResponse confirms that the instance has stopped using any earlier primary.
type ConfirmResponse struct {
	// Version is the order of the record that the instance acts on, 0 if the record of
	// the request is from an earlier era than the instance's copy of the table.
	Version uint64 `json:"v"`
	// Acknowledged is what the instance knows of the acknowledged commits of the group; nil
	// from an instance of an earlier version.
	Acknowledged *takeover.AcknowledgedCommits `json:"a,omitempty"`
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
	// KnownLevel is what the caller knows of the account's bucket, nil if nothing.
	KnownLevel *KnownLevel `json:"k,omitempty"`
	// Endpoint is set instead of Account if the tokens are for statements to a cold
	// endpoint.
	Endpoint fleet.EndpointID `json:"e,omitempty"`
}

// KnownLevel is the level of a bucket, in tokens, as known some milliseconds ago.
type KnownLevel struct {
	Tokens float64 `json:"t"`
	AgeMS  int64   `json:"a"`
}

// GrantResponse returns the granted tokens. If they are fewer than requested, RetryMS
// is the time in milliseconds after which another one will be available.
type GrantResponse struct {
	Tokens  int   `json:"t"`
	RetryMS int64 `json:"r,omitempty"`
	// Level is the level of the bucket after the grant, in tokens, and TotalRate the
	// recent rate of the grants to all instances, in operations a second.
	Level     float64 `json:"l"`
	TotalRate float64 `json:"o"`
	// NotHome is set if this instance is not the account's home, and Leaving if it is
	// leaving. Nothing is granted then.
	NotHome bool `json:"n,omitempty"`
	Leaving bool `json:"m,omitempty"`
}

// LeaveRequest hands over the remaining tokens of the accounts whose home was the
// caller and is the instance called from now on. Leaving is set if the caller is
// leaving the fleet.
type LeaveRequest struct {
	From    fleet.InstanceID            `json:"f"`
	Leaving bool                        `json:"l"`
	Tokens  map[fleet.AccountID]float64 `json:"t,omitempty"`
	// ColdTokens are those for statements to cold endpoints.
	ColdTokens map[fleet.EndpointID]float64 `json:"c,omitempty"`
}

// LeaveResponse is the empty response to LeaveRequest.
type LeaveResponse struct{}

// Service handles the calls of other instances.
type Service interface {
	Watch(ctx context.Context, w *WatchRequest) (*WatchResponse, error)
	Confirm(ctx context.Context, c *ConfirmRequest) (*ConfirmResponse, error)
	Reach(ctx context.Context, r *ReachRequest) (*ReachResponse, error)
	Grant(ctx context.Context, g *GrantRequest) (*GrantResponse, error)
	Leave(ctx context.Context, l *LeaveRequest) (*LeaveResponse, error)
}

const (
	servicePath = "/vanillahinge.edge.v1.Fleet/"
	watchPath   = servicePath + "Watch"
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
	handle(mux, watchPath, s.Watch)
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

// ErrRefused means that the connection to the instance was refused: no process listens on
// its address, or a network between refuses connections to it.
var ErrRefused = errors.New("peerrpc: the connection to the instance was refused; it is called again")

// Peer is a client for one other instance.
type Peer struct {
	http    *http.Client
	watch   *connect.Client[WatchRequest, WatchResponse]
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
	p.watch = newClient[WatchRequest, WatchResponse](p.http, url+watchPath)
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
			return nil, fmt.Errorf("%w: %w", ErrRefused, err)
		}
		return nil, fmt.Errorf("peerrpc: %w", err)
	}
	return res.Msg, nil
}

// Watch asks the peer for changes.
func (p *Peer) Watch(ctx context.Context, w *WatchRequest) (*WatchResponse, error) {
	return call(ctx, p.watch, w)
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
