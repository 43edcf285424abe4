package front

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/redwingnotch/redwingnotch/internal/bootclock"
	"github.com/redwingnotch/redwingnotch/internal/httpsend"
	"github.com/redwingnotch/redwingnotch/replicas"
)

// Terms of connections to backend servers.
const (
	linkIdle      = 3 * time.Second        // an idle connection is kept, unless the server names a shorter time
	linkIdleShare = 0.7                    // of the time that a server names
	linkIdleLeast = 250 * time.Millisecond // while servers of the service drop idle connections without notice
	linkDropsFor  = 30 * time.Second       // after such a drop, for which idle connections are kept only shortly
	linkDial      = 400 * time.Millisecond // for a connection to be made; zones are milliseconds apart
	linkMaxIdle   = 6                      // idle connections to one server: servers accept few from all nodes
	orderTimeout  = 350 * time.Millisecond // for the answer to an order or report; servers give it in milliseconds
)

// links are the HTTP clients of backend servers, one for each start of a server.
type links struct {
	mu      sync.Mutex
	clients map[linkKey]*link
	dropped map[string]time.Time // by service: when a server last dropped an idle connection without notice
	orders  *http.Client         // each order and report uses a connection of its own
}

type linkKey struct {
	id      string
	address string
	start   int64
}

type link struct {
	client  *http.Client
	service string
	idle    time.Duration
}

func newLinks() *links {
	return &links{
		clients: map[linkKey]*link{},
		dropped: map[string]time.Time{},
		orders:  httpsend.NewClient(httpsend.Options{SingleUse: true, DialTimeout: linkDial, Dial: dialAbortive}),
	}
}

// dialAbortive opens connections whose Close discards what was not delivered, so
// that an order that was given up does not arrive when a partition heals.
func dialAbortive(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := httpsend.DialTCP(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		if err := tcp.SetLinger(0); err != nil {
			return nil, err
		}
	}
	until, limited := ctx.Value(writeLimitKey{}).(time.Time)
	if !limited {
		return conn, nil
	}
	return &limitedConn{Conn: conn, until: until}, nil
}

type writeLimitKey struct{}

// withWriteLimit bounds when a connection may still be written to, by a clock
// that counts suspensions: timers of the standard library do not.
func withWriteLimit(ctx context.Context, until time.Time) context.Context {
	return context.WithValue(ctx, writeLimitKey{}, until)
}

// errWriteLimit is returned by writes after a connection's limit.
var errWriteLimit = errors.New("the time to send has passed")

type limitedConn struct {
	net.Conn
	until time.Time
}

// Write implements net.Conn.
func (c *limitedConn) Write(p []byte) (int, error) {
	if !bootclock.Now().Before(c.until) {
		return 0, errWriteLimit
	}
	return c.Conn.Write(p)
}

func keyOf(e replicas.Entry) linkKey { return linkKey{id: e.ID, address: e.Address, start: e.Start} }

// client returns the client of a server.
func (l *links) client(e replicas.Entry) *http.Client {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := keyOf(e)
	if c := l.clients[key]; c != nil {
		return c.client
	}
	idle := l.idle(e.Service, linkIdle)
	c := &link{client: newLinkClient(idle), service: e.Service, idle: idle}
	l.clients[key] = c
	return c.client
}

// idle returns for how long idle connections to a service's servers are kept.
// l.mu is held.
func (l *links) idle(service string, usual time.Duration) time.Duration {
	if at := l.dropped[service]; !at.IsZero() && bootclock.Now().Sub(at) < linkDropsFor {
		return min(usual, linkIdleLeast)
	}
	return usual
}

// connectionDropped notes that a connection which had rested for some time did
// not carry a request to its end. A server that forgets idle connections resets
// what is sent next on them, and a request that must not run twice is lost then.
// It reports whether that is news.
func (l *links) connectionDropped(service string, rest time.Duration) bool {
	if rest <= linkIdleLeast {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := bootclock.Now()
	before := l.dropped[service]
	l.dropped[service] = now
	for _, c := range l.clients {
		if c.service == service && c.idle > linkIdleLeast {
			c.replace(linkIdleLeast)
		}
	}
	return before.IsZero() || now.Sub(before) >= linkDropsFor
}

// replace lets requests in progress finish on the old client.
func (c *link) replace(idle time.Duration) {
	c.client.CloseIdleConnections()
	c.client, c.idle = newLinkClient(idle), idle
}

func newLinkClient(idle time.Duration) *http.Client {
	return httpsend.NewClient(httpsend.Options{DialTimeout: linkDial, IdleTimeout: idle, MaxIdle: linkMaxIdle})
}

// keepAlive notes for how long a server says it keeps idle connections.
func (l *links) keepAlive(e replicas.Entry, told time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	idle := l.idle(e.Service, time.Duration(linkIdleShare*float64(told)))
	c := l.clients[keyOf(e)]
	if c == nil || idle == c.idle {
		return
	}
	c.replace(idle)
}

// retain drops the clients of servers that are gone.
func (l *links) retain(entries []replicas.Entry) {
	listed := map[linkKey]bool{}
	for _, e := range entries {
		listed[keyOf(e)] = true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, c := range l.clients {
		if !listed[key] {
			c.client.CloseIdleConnections()
			delete(l.clients, key)
		}
	}
}
