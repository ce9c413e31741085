// Package peer provides the server and the clients of the Peer service, through
// which instances exchange state. Both use the Connect protocol over HTTP/2, in
// plaintext or with mutual TLS.
package peer

import (
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/vanillahinge/vanillahinge/peer/v1/peerv1connect"
)

// MaxMessageBytes is the size limit of a message between instances. The largest
// message is a pull response with the envelope of a bundle of the size that is
// expected in the future.
const MaxMessageBytes = 32 << 20

// compressMinBytes is the minimum size of a message to be compressed. A gzip
// writer takes about 800 KB of memory, and resetting it takes longer than
// sending a short message; only bundles and withdrawals are long.
const compressMinBytes = 4 << 10

// DialTimeout is the timeout for connecting to a peer. Peers in the same region
// respond within milliseconds, and a pull must not take longer than the 500 ms
// between pulls.
const DialTimeout = 400 * time.Millisecond

// NewServer returns the HTTP server of the Peer service; use Serve to start it.
// A nil tlsConfig means plaintext; otherwise it must require client
// certificates.
func NewServer(h peerv1connect.PeerHandler, tlsConfig *tls.Config) *http.Server {
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewPeerHandler(h, connect.WithReadMaxBytes(MaxMessageBytes), connect.WithCompressMinBytes(compressMinBytes)))
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(tlsConfig != nil)
	protocols.SetUnencryptedHTTP2(tlsConfig == nil)
	return &http.Server{
		Handler:           mux,
		Protocols:         &protocols,
		TLSConfig:         tlsConfig,
		ReadHeaderTimeout: 5 * time.Second,
		IdleTimeout:       2 * time.Minute,
	}
}

// Serve accepts connections on l until the server is shut down.
func Serve(s *http.Server, l net.Listener) error {
	if s.TLSConfig != nil {
		return s.ServeTLS(l, "", "")
	}
	return s.Serve(l)
}

// Clients keeps one client per peer address. It is safe for concurrent use.
type Clients struct {
	httpClient *http.Client
	scheme     string

	mu     sync.Mutex
	byAddr map[string]peerv1connect.PeerClient
}

// NewClients returns a Clients without any client; a nil tlsConfig means
// plaintext.
func NewClients(tlsConfig *tls.Config) *Clients {
	var protocols http.Protocols
	protocols.SetHTTP2(tlsConfig != nil)
	protocols.SetUnencryptedHTTP2(tlsConfig == nil)
	c := &Clients{scheme: "http", byAddr: map[string]peerv1connect.PeerClient{}}
	if tlsConfig != nil {
		c.scheme = "https"
	}
	c.httpClient = &http.Client{Transport: &http.Transport{
		DialContext:     (&net.Dialer{Timeout: DialTimeout}).DialContext,
		TLSClientConfig: tlsConfig,
		Protocols:       &protocols,
		IdleConnTimeout: time.Minute,
		// Without pings, calls to a peer that disappeared without closing its
		// connection would keep failing on that connection.
		HTTP2: &http.HTTP2Config{SendPingTimeout: time.Second, PingTimeout: time.Second},
	}}
	return c
}

// Client returns the client for the peer at addr (host:port).
func (c *Clients) Client(addr string) peerv1connect.PeerClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, ok := c.byAddr[addr]
	if !ok {
		client = peerv1connect.NewPeerClient(c.httpClient, c.scheme+"://"+addr, connect.WithReadMaxBytes(MaxMessageBytes))
		c.byAddr[addr] = client
	}
	return client
}

// RetainOnly removes the clients of all addresses that are not in addrs.
func (c *Clients) RetainOnly(addrs map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for a := range c.byAddr {
		if !addrs[a] {
			delete(c.byAddr, a)
		}
	}
}

// Close closes idle connections.
func (c *Clients) Close() { c.httpClient.CloseIdleConnections() }
