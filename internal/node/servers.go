package node

import (
	"crypto/subtle"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/redwingnotch/redwingnotch/engine"
	"github.com/redwingnotch/redwingnotch/internal/closeframe"
	"github.com/redwingnotch/redwingnotch/internal/entry"
	"github.com/redwingnotch/redwingnotch/peer"
)

// HeaderSecret is the request header with the secret that all nodes of a deployment
// share.
const HeaderSecret = "Redwingnotch-Secret"

// peerHeaderTimeout is the timeout for reading another node's request header.
const peerHeaderTimeout = 2 * time.Second

func (n *Node) entryConfig() entry.Config {
	return entry.Config{
		Node:              n.cfg.ID,
		Incarnation:       n.incarnation,
		Cell:              n.cfg.Cell,
		Zone:              n.cfg.Zone,
		Grants:            n.peers,
		Catalog:           n.catalog,
		Quarantine:        n.cell,
		Engine:            func(address string) engine.Engine { return n.backends.engine(address) },
		Keys:              n.keys,
		Services:          n.backends,
		Addresses:         n.members.entryAddresses,
		Metrics:           n.cfg.Metrics,
		Log:               n.cfg.Log,
		MaxBody:           n.cfg.MaxBody,
		BodyTimeout:       n.cfg.BodyTimeout,
		WriteTimeout:      n.cfg.WriteTimeout,
		Deadlines:         n.cfg.Deadlines,
		EntryTTL:          n.cfg.EntryTTL,
		KeyRetention:      n.cfg.Idempotency.Retention,
		ControllerTimeout: n.cfg.ControllerTimeout,
	}
}

func (n *Node) newCallerServer() *http.Server {
	return &http.Server{
		Handler:           n.entry,
		ReadHeaderTimeout: n.cfg.HeaderTimeout,
		IdleTimeout:       n.cfg.IdleTimeout,
		MaxHeaderBytes:    n.cfg.MaxHeader,
		ConnContext:       closeframe.ConnContext,
		ErrorLog:          serverLog(n.cfg.Log),
	}
}

func (n *Node) newPeerServer() *http.Server {
	mux := http.NewServeMux()
	mux.Handle(peer.CellPathPrefix, peer.NewCellServer(n.cell))
	mux.Handle(peer.KeysPathPrefix, peer.NewKeysServer(keyServer{n}))
	mux.Handle(peer.ReleasePathPrefix, peer.NewReleaseServer(n.releaseLoop))
	mux.HandleFunc("GET "+identityPath, n.serveIdentity)
	return &http.Server{
		Handler:           n.requireSecret(mux),
		ReadHeaderTimeout: peerHeaderTimeout,
		ErrorLog:          serverLog(n.cfg.Log),
	}
}

// requireSecret rejects calls that don't carry the deployment's secret.
func (n *Node) requireSecret(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		given := r.Header.Get(HeaderSecret)
		if subtle.ConstantTimeCompare([]byte(given), n.cfg.Secret) != 1 {
			http.Error(w, "missing or wrong deployment secret", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func serve(server *http.Server, listener net.Listener) error {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// limitedListener limits the number of open connections. Further connections wait in
// the backlog of the listener.
type limitedListener struct {
	net.Listener
	slots  chan struct{}
	closed chan struct{}
	once   sync.Once
}

func limitConnections(l net.Listener, limit int) net.Listener {
	return &limitedListener{Listener: l, slots: make(chan struct{}, limit), closed: make(chan struct{})}
}

// Accept implements net.Listener. It blocks while the limit is reached.
func (l *limitedListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitedConn{Conn: conn, release: sync.OnceFunc(func() { <-l.slots })}, nil
}

// Close implements net.Listener.
func (l *limitedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

type limitedConn struct {
	net.Conn
	release func()
}

// Close implements net.Conn and frees the connection's slot.
func (c *limitedConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}
