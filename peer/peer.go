// Package peer connects instances: an HTTP server for the Peer service and a
// set of clients by address. Both speak connect over HTTP/2, in plain text or
// with mutual TLS.
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

// MaxMessageBytes bounds a message between instances. The largest is a pull answer
// with a bundle envelope of the future size.
const MaxMessageBytes = 32 << 20

// compressMin is the size from which messages are compressed. A gzip writer
// holds about 800 KB and its reset costs more time than a short message; only
// bundles and withdrawals are long.
const compressMin = 4 << 10

// DialTimeout bounds a new connection to a peer: peers of one region answer
// within milliseconds, and a pull must not outlast its 500 ms interval.
const DialTimeout = 400 * time.Millisecond

// NewServer returns the HTTP server of the Peer service. With a TLS
// configuration it must require client certificates; use Serve to start it.
func NewServer(h peerv1connect.PeerHandler, conf *tls.Config) *http.Server {
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewPeerHandler(h, connect.WithReadMaxBytes(MaxMessageBytes), connect.WithCompressMinBytes(compressMin)))
	var p http.Protocols
	p.SetHTTP1(true)
	p.SetHTTP2(conf != nil)
	p.SetUnencryptedHTTP2(conf == nil)
	return &http.Server{
		Handler:           mux,
		Protocols:         &p,
		TLSConfig:         conf,
		ReadHeaderTimeout: 5 * time.Second,
		IdleTimeout:       2 * time.Minute,
	}
}

// Serve serves the listener until the server is shut down.
func Serve(s *http.Server, l net.Listener) error {
	if s.TLSConfig != nil {
		return s.ServeTLS(l, "", "")
	}
	return s.Serve(l)
}

// Clients keeps one client per peer address. It is safe for concurrent use.
type Clients struct {
	http   *http.Client
	scheme string

	mu     sync.Mutex
	byAddr map[string]peerv1connect.PeerClient
}

// NewClients returns an empty set; conf is nil for plain text.
func NewClients(conf *tls.Config) *Clients {
	var p http.Protocols
	p.SetHTTP2(conf != nil)
	p.SetUnencryptedHTTP2(conf == nil)
	c := &Clients{scheme: "http", byAddr: map[string]peerv1connect.PeerClient{}}
	if conf != nil {
		c.scheme = "https"
	}
	c.http = &http.Client{Transport: &http.Transport{
		DialContext:     (&net.Dialer{Timeout: DialTimeout}).DialContext,
		TLSClientConfig: conf,
		Protocols:       &p,
		IdleConnTimeout: time.Minute,
		// Without a ping, calls to a peer that vanished without closing its
		// connection would keep failing on that connection.
		HTTP2: &http.HTTP2Config{SendPingTimeout: time.Second, PingTimeout: time.Second},
	}}
	return c
}

// Client returns the client of the peer at host:port.
func (c *Clients) Client(addr string) peerv1connect.PeerClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	cl, ok := c.byAddr[addr]
	if !ok {
		cl = peerv1connect.NewPeerClient(c.http, c.scheme+"://"+addr, connect.WithReadMaxBytes(MaxMessageBytes))
		c.byAddr[addr] = cl
	}
	return cl
}

// RetainOnly forgets the clients of all other addresses.
func (c *Clients) RetainOnly(addrs map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for a := range c.byAddr {
		if !addrs[a] {
			delete(c.byAddr, a)
		}
	}
}

// Close drops idle connections.
func (c *Clients) Close() { c.http.CloseIdleConnections() }
