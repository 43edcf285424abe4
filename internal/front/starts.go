package front

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/go-kit/log/level"

	"github.com/redwingnotch/redwingnotch/internal/bootclock"
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

// confirmStart returns an error unless the process that responds on a connection which is open now
// is the start that the entry names. Only the start says which software a server runs: a server may
// restart under its ID and address with another one before its new entry is known.
//
// The report is requested on a connection of its own, which is later than that of the response. So
// if it names the start of the entry, which was known before, no later start can have responded.
func (x *exchange) confirmStart(ctx context.Context, server replicas.Entry) error {
	if server.Start == 0 {
		return fmt.Errorf("%w: it names none", errOtherStart)
	}
	began := bootclock.Now()
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
	if err != nil {
		level.Info(x.node.log).Log("event", "server_start_unconfirmed", "id", x.params.ID, "server", server.ID, "service", server.Service,
			"software", server.Software, "start", server.Start, "reported", start, "took_ms", bootclock.Now().Sub(began).Milliseconds(), "err", err)
	}
	return err
}

// reportedStart returns the start that the server reports.
func (x *exchange) reportedStart(ctx context.Context, server replicas.Entry) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, startCheckTimeout)
	defer cancel()
	return platform.ServerStart(ctx, x.node.serverClients.freshClient, server.Address, server.ID)
}
