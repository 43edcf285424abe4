package front

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/go-kit/log/level"

	"github.com/redwingnotch/redwingnotch/internal/bootclock"
	"github.com/redwingnotch/redwingnotch/internal/httpsend"
	"github.com/redwingnotch/redwingnotch/platform"
	"github.com/redwingnotch/redwingnotch/replicas"
)

// Limits of the check which start of a backend server responds.
const (
	startCheckTimeout = 250 * time.Millisecond // timeout of one report request
	startCheckTries   = 2                      // report requests until one gets a response
)

// errOtherStart means that a server has restarted since the entry that this node has of it.
var errOtherStart = errors.New("the server runs as another start than its entry names")

// confirmSoftware returns the server's entry with the software that certainly begins or goes on with
// the stream, none if that is not known. It returns an error if the stream has begun at another
// server and this one may not go on with it.
func (x *exchange) confirmSoftware(ctx context.Context, server replicas.Entry) (replicas.Entry, error) {
	if !x.route.Resumable && x.software == nil {
		return server, nil
	}
	err := x.confirmStart(ctx, server)
	if err != nil && x.software == nil {
		server.Software = ""
		return server, nil
	}
	return server, err
}

// checkStart returns an error unless the start of the server that the entry names responds now, and
// the start that does; zero if none does or it is not told.
//
// The report is requested on a connection of its own: a response on another one may be an earlier
// one, or of a process that has ended.
func (x *exchange) checkStart(ctx context.Context, server replicas.Entry) (int64, error) {
	var start int64
	var err error
	for range startCheckTries {
		if start, err = x.reportedStart(ctx, server); err == nil || ctx.Err() != nil {
			break
		}
	}
	if err == nil && start != server.Start {
		err = errOtherStart
	}
	return start, err
}

// reportedStart returns the start that the server reports.
func (x *exchange) reportedStart(ctx context.Context, server replicas.Entry) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, startCheckTimeout)
	defer cancel()
	return platform.ServerStart(ctx, x.node.serverClients.freshClient, server.Address, server.ID)
}

// confirmStart returns an error unless the process that responds on a connection which is open now
// is the start that the entry names. Only the start says which software a server runs: a server may
// restart under its ID and address with another one before its new entry is known.
//
// The connection of the report is later than that of the response. So if it names the start of the
// entry, which was known before, no later start can have responded.
func (x *exchange) confirmStart(ctx context.Context, server replicas.Entry) error {
	if server.Start == 0 {
		return fmt.Errorf("%w: it names none", errOtherStart)
	}
	began := bootclock.Now()
	start, err := x.checkStart(ctx, server)
	if start > server.Start {
		x.node.markRestarted(server)
	}
	if err != nil {
		level.Info(x.node.log).Log("event", "server_start_unconfirmed", "id", x.params.ID, "server", server.ID, "service", server.Service,
			"software", server.Software, "start", server.Start, "reported", start, "took_ms", bootclock.Now().Sub(began).Milliseconds(), "err", err)
	}
	return err
}

// markRestarted records that a later start than the entry's runs under the server's ID.
func (n *Node) markRestarted(server replicas.Entry) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.table.MarkRestarted(server)
}

// livesOn reports whether the process that sent a response until its connection was closed still
// runs. The kernel closes the connections of a process that ends in order. Only the entry's start
// was known before the response: a report that came with it may be of a process that took over
// meanwhile. Of a server without reports, or without a known start, it is only checked that it
// accepts connections.
func (x *exchange) livesOn(server replicas.Entry) bool {
	began := bootclock.Now()
	var err error
	if x.params.Model == "" || server.Start == 0 {
		err = x.checkAccepts(server)
	} else {
		_, err = x.checkStart(x.r.Context(), server)
	}
	level.Info(x.node.log).Log("event", "stream_end_check", "id", x.params.ID, "server", server.ID, "start", server.Start, "alive", err == nil,
		"took_ms", bootclock.Now().Sub(began).Milliseconds(), "err", err)
	return err == nil
}

// acceptedFor is the time for which a connection must stay open to show that its server runs. The kernel closes
// the sockets of a process that has ended one after another, so that the one that listens may still
// accept connections after that of the response was closed; it resets them when it is closed.
const acceptedFor = 20 * time.Millisecond

// checkAccepts returns an error if the server accepts no connection.
func (x *exchange) checkAccepts(server replicas.Entry) error {
	ctx, cancel := context.WithTimeout(x.r.Context(), startCheckTries*startCheckTimeout)
	defer cancel()
	conn, err := httpsend.DialTCP(ctx, "tcp", server.Address)
	if err != nil {
		return err
	}
	defer conn.Close()
	if err := conn.SetReadDeadline(time.Now().Add(acceptedFor)); err != nil {
		return err
	}
	if _, err := conn.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return nil
	}
	// It has ended, or has too many connections. If it runs, it accepts another one.
	again, err := httpsend.DialTCP(ctx, "tcp", server.Address)
	if err != nil {
		return err
	}
	return again.Close()
}
