package node

import (
	"context"
	"fmt"
	"time"

	"github.com/go-kit/log/level"

	"github.com/redwingnotch/redwingnotch/invariant"
)

// leaveSpreadTime is the time for all nodes to learn that a node is leaving.
const leaveSpreadTime = 2 * time.Second

// Stop stops the node gracefully. First the node is removed from the address lists
// that callers get, and the cell is handed over to a successor. Once the lists that
// name the node have expired, it accepts no new connections and finishes the requests
// in progress. Stop returns ErrRequestsInterrupted if requests were still in progress
// after the shutdown timeout. If a stop has begun already, Stop waits until Run has
// returned and returns nil.
func (n *Node) Stop(ctx context.Context) error {
	if n.stopping.Swap(true) {
		<-n.done
		return nil
	}
	defer n.cancelLoops()
	level.Info(n.cfg.Log).Log("event", "stopping")
	n.members.startLeaving()
	n.leaseLoop.startLeaving(time.Now())
	n.entry.BeginShutdown()
	if err := sleep(ctx, n.cfg.EntryTTL+leaveSpreadTime); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, n.cfg.ShutdownTimeout)
	defer cancel()
	if err := n.callerServer.Shutdown(ctx); err != nil {
		n.callerServer.Close()
		return fmt.Errorf("%w: %w", ErrRequestsInterrupted, err)
	}
	n.entry.Wait()
	n.keys.Wait()
	checkNoneRunning(n.entry.ActiveRequests())
	n.members.announceLeft()
	n.unregister(ctx)
	level.Info(n.cfg.Log).Log("event", "stopped")
	return nil
}

// checkNoneRunning asserts that no request is in progress after a stop that waited
// for all of them.
func checkNoneRunning(running int64) {
	invariant.Check(running == 0, invariant.GracefulStop, "%d requests still in progress after a graceful stop", running)
}

// stopForNameConflict ends the run because another live node has this node's name.
func (n *Node) stopForNameConflict() {
	if n.stopping.Swap(true) {
		return
	}
	level.Error(n.cfg.Log).Log("event", "name_in_use", "name", n.cfg.ID)
	close(n.nameConflict)
}

func (n *Node) closeListeners() {
	n.callerServer.Close()
	n.peerServer.Close()
	n.cfg.Callers.Close()
	n.cfg.Peers.Close()
}

// sleep waits for d, or returns the error of ctx if that ends first.
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
