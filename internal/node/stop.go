package node

import (
	"context"
	"fmt"
	"time"

	"github.com/go-kit/log/level"

	"github.com/redwingnotch/redwingnotch/invariant"
)

// spreadTime is the time in which all nodes hear that a node leaves.
const spreadTime = 2 * time.Second

// Stop stops the node gracefully and returns when Run may. First the node
// leaves the answers about addresses and gives the cell to a successor. When
// these answers have aged, it takes no new connections and finishes what runs.
// It returns ErrCut if requests were still in progress after the shutdown
// timeout.
func (n *Node) Stop(ctx context.Context) error {
	if n.stopping.Swap(true) {
		<-n.done
		return nil
	}
	defer n.halt()
	level.Info(n.cfg.Log).Log("event", "stopping")
	n.members.leave()
	n.office.leave(time.Now())
	n.entry.Stopping()
	if err := sleep(ctx, n.cfg.EntryTTL+spreadTime); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, n.cfg.ShutdownTimeout)
	defer cancel()
	if err := n.callerServer.Shutdown(ctx); err != nil {
		n.callerServer.Close()
		return fmt.Errorf("%w: %w", ErrCut, err)
	}
	n.entry.Wait()
	n.keys.Wait()
	checkNothingRuns(n.entry.Running())
	n.members.left()
	n.unregister(ctx)
	level.Info(n.cfg.Log).Log("event", "stopped")
	return nil
}

// checkNothingRuns asserts that a stop that waited for all requests cut none.
func checkNothingRuns(running int64) {
	invariant.Check(running == 0, invariant.GracefulStop, "%d requests in progress after the stop", running)
}

// giveUpName ends the run: another live node bears this node's name.
func (n *Node) giveUpName() {
	if n.stopping.Swap(true) {
		return
	}
	level.Error(n.cfg.Log).Log("event", "name_in_use", "name", n.cfg.ID)
	close(n.nameTaken)
}

func (n *Node) closeListeners() {
	n.callerServer.Close()
	n.peerServer.Close()
	n.cfg.Callers.Close()
	n.cfg.Peers.Close()
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
