package front

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-kit/log/level"

	"github.com/redwingnotch/redwingnotch/internal/bootclock"
	"github.com/redwingnotch/redwingnotch/internal/httpsend"
	"github.com/redwingnotch/redwingnotch/replicas"
)

// Limits of connections to backend servers.
const (
	serverIdleTimeout = 3 * time.Second        // idle timeout of connections, unless a server of the service names one
	keepAliveMargin   = 300 * time.Millisecond // least time before the end of the keep-alive time that a server names after which its connections are not used
	keepAliveShare    = 0.9                    // part of that time that is used at most
	shortIdleTimeout  = 250 * time.Millisecond // idle timeout while servers of the service drop idle connections silently
	shortIdlePeriod   = 30 * time.Second       // time for which shortIdleTimeout applies after a server dropped an idle connection silently
	serverDialTimeout = 400 * time.Millisecond // timeout of connecting; the zones are milliseconds apart
	maxIdlePerServer  = 6                      // limit of idle connections to one server, which accepts few from all nodes together
	orderTimeout      = 350 * time.Millisecond // timeout of an order or report request; servers respond within milliseconds
)

// serverClients holds one HTTP client for each start of each backend server.
type serverClients struct {
	onDial       func(e replicas.Entry, cause dialCause) // called for each connection that is opened for requests
	mu           sync.Mutex
	byServer     map[startKey]*serverClient
	open         map[startKey]*atomic.Int64 // connections that are open
	keepAlive    map[string]time.Duration   // by service: idle timeout by the keep-alive time that a server named last
	lastIdleDrop map[string]time.Time       // by service: when a server last dropped an idle connection silently
	freshClient  *http.Client               // client for requests that the server may have refused before, each on a connection of its own
	orderClient  *http.Client               // client for orders and report requests, each on a connection of its own
}

// startKey identifies one start of a backend server.
type startKey struct {
	id      string
	address string
	start   int64
}

// serverClient is the HTTP client of one start of a backend server.
type serverClient struct {
	client  *http.Client
	service string
	idle    time.Duration // idle timeout of the client's connections
	use     *connUse
}

func newServerClients(onDial func(replicas.Entry, dialCause)) *serverClients {
	return &serverClients{
		onDial:       onDial,
		byServer:     map[startKey]*serverClient{},
		open:         map[startKey]*atomic.Int64{},
		keepAlive:    map[string]time.Duration{},
		lastIdleDrop: map[string]time.Time{},
		freshClient:  httpsend.NewClient(httpsend.Options{SingleUse: true, DialTimeout: serverDialTimeout}),
		orderClient:  httpsend.NewClient(httpsend.Options{SingleUse: true, DialTimeout: serverDialTimeout, Dial: dialWithReset}),
	}
}

// dialWithReset opens connections whose Close discards unsent and unacknowledged data,
// so that an order that timed out is not delivered after a network partition ends. What
// the server's kernel has acknowledged may still reach a server that was stalled.
func dialWithReset(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := httpsend.DialTCP(ctx, network, address)
	if err != nil {
		return nil, err
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil, errors.Join(fmt.Errorf("dial %s: not a TCP connection", network), conn.Close())
	}
	if err := tcp.SetLinger(0); err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	deadline, limited := ctx.Value(writeDeadlineKey{}).(time.Time)
	if !limited {
		return conn, nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	return &deadlineConn{Conn: tcp, raw: raw, deadline: deadline}, nil
}

// writeDeadlineKey is the context key of withWriteDeadline.
type writeDeadlineKey struct{}

// withWriteDeadline sets the time after which a connection dialed with the
// context rejects writes. The deadline counts time for which the machine is
// suspended; timers of the standard library do not.
func withWriteDeadline(ctx context.Context, deadline time.Time) context.Context {
	return context.WithValue(ctx, writeDeadlineKey{}, deadline)
}

// errWriteDeadline is returned by writes after the connection's deadline.
var errWriteDeadline = errors.New("write after the deadline of the order")

// deadlineConn is a connection that rejects writes after its deadline, and on which the
// kernel gives up retransmissions then.
type deadlineConn struct {
	net.Conn // no wider type: its other methods would write past the deadline
	raw      syscall.RawConn
	deadline time.Time
}

// Write implements net.Conn.
func (c *deadlineConn) Write(p []byte) (int, error) {
	left := c.deadline.Sub(bootclock.Now())
	if left <= 0 {
		return 0, errWriteDeadline
	}
	// The kernel sends unacknowledged data again on its own. This process can't close
	// the connection while it is suspended.
	if err := httpsend.SetUserTimeout(c.raw, left); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// keyOf returns the key of the server's client.
func keyOf(e replicas.Entry) startKey { return startKey{id: e.ID, address: e.Address, start: e.Start} }

// connections returns the number of open connections to the server, which is kept current.
func (l *serverClients) connections(e replicas.Entry) *atomic.Int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counter(keyOf(e))
}

// counter returns the number of open connections to a start of a server. The caller holds
// l.mu.
func (l *serverClients) counter(key startKey) *atomic.Int64 {
	if l.open[key] == nil {
		l.open[key] = &atomic.Int64{}
	}
	return l.open[key]
}

// client returns the client of a server.
func (l *serverClients) client(e replicas.Entry) *http.Client {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := keyOf(e)
	if c := l.byServer[key]; c != nil {
		return c.client
	}
	usual, known := l.keepAlive[e.Service]
	if !known {
		usual = serverIdleTimeout
	}
	idle := l.idle(e.Service, usual)
	use := &connUse{count: l.counter(key)}
	use.onDial = func(cause dialCause) { l.onDial(e, cause) }
	c := &serverClient{client: newHTTPClient(idle, use), service: e.Service, idle: idle, use: use}
	l.byServer[key] = c
	return c.client
}

// idle returns the idle timeout of connections to the service's servers: usual,
// or less after a silent drop. The caller holds l.mu.
func (l *serverClients) idle(service string, usual time.Duration) time.Duration {
	if at := l.lastIdleDrop[service]; !at.IsZero() && bootclock.Now().Sub(at) < shortIdlePeriod {
		return min(usual, shortIdleTimeout)
	}
	return usual
}

// recordIdleDrop records that a connection that had been idle for some time failed
// before it delivered a response. A server that drops idle connections silently
// resets them at the next request, and a request that must not run twice is lost.
// It reports whether the service had no such drop within shortIdlePeriod before.
func (l *serverClients) recordIdleDrop(service string, idleFor time.Duration) bool {
	if idleFor <= shortIdleTimeout {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := bootclock.Now()
	before := l.lastIdleDrop[service]
	l.lastIdleDrop[service] = now
	for _, c := range l.byServer {
		if c.service == service && c.idle > shortIdleTimeout {
			c.replace(shortIdleTimeout)
		}
	}
	return before.IsZero() || now.Sub(before) >= shortIdlePeriod
}

// replace installs a new client. Requests in progress finish on the old one.
func (c *serverClient) replace(idle time.Duration) {
	c.client.CloseIdleConnections()
	c.client, c.idle = newHTTPClient(idle, c.use), idle
}

// newHTTPClient returns a client with the idle timeout, whose connections are counted in use.
func newHTTPClient(idle time.Duration, use *connUse) *http.Client {
	return httpsend.NewClient(httpsend.Options{DialTimeout: serverDialTimeout, IdleTimeout: idle, MaxIdle: maxIdlePerServer, Dial: use.dial})
}

// setKeepAlive sets the idle timeout by the keep-alive time that a server named.
func (l *serverClients) setKeepAlive(e replicas.Entry, timeout time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	usual := max(timeout/2, min(timeout-keepAliveMargin, time.Duration(keepAliveShare*float64(timeout))))
	l.keepAlive[e.Service] = usual
	idle := l.idle(e.Service, usual)
	c := l.byServer[keyOf(e)]
	if c == nil || idle == c.idle {
		return
	}
	c.replace(idle)
}

// idleTimeout returns the idle timeout of the connections to a server.
func (l *serverClients) idleTimeout(e replicas.Entry) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.byServer[keyOf(e)]; c != nil {
		return c.idle
	}
	return serverIdleTimeout
}

// dialed records that a connection to the server is opened for a request.
func (n *Node) dialed(server replicas.Entry, cause dialCause) {
	n.metrics.ServerConnection(string(cause))
	level.Info(n.log).Log("event", "server_connection", "server", server.ID, "service", server.Service, "cause", cause,
		"idle_timeout_ms", n.serverClients.idleTimeout(server).Milliseconds())
}

// closeUnlisted drops the clients of servers that are not among the entries.
func (l *serverClients) closeUnlisted(entries []replicas.Entry) {
	listed := map[startKey]bool{}
	for _, e := range entries {
		listed[keyOf(e)] = true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, c := range l.byServer {
		if !listed[key] {
			c.client.CloseIdleConnections()
			delete(l.byServer, key)
			delete(l.open, key)
		}
	}
}
