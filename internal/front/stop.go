package front

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/redwingnotch/redwingnotch/internal/bootclock"
	"github.com/redwingnotch/redwingnotch/latency"
)

// Time limits of a graceful stop.
const (
	stopServePeriod  = 3 * time.Second        // time for which new requests are served, at most; some callers use addresses for three times addressTTL
	stopServeShare   = 0.4                    // the same as a part of the grace period, at most
	exitReserve      = 800 * time.Millisecond // time left of the grace period for the process to exit, at most
	exitReserveShare = 0.2                    // the same as a part of the grace period, at most
	flushShare       = 1.0 / 3                // part of that reserve in which requests that are ended are answered, and again in which their responses reach their callers
	stopPollInterval = 20 * time.Millisecond  // interval at which the end of active requests is checked
)

// errNodeStops is the cancellation cause of requests that are in progress when the node's
// grace period is nearly over.
var errNodeStops = errors.New("the entry node stops")

// stop makes this node unready, resigns its leaderships, serves requests that still arrive
// for a while if they can end in time, refuses further ones, and returns when those in
// progress have finished. Once the grace period is nearly over, it ends them: their callers
// are told that the outcome is unknown, or can resume a stream elsewhere.
func (n *Node) stop() {
	began := bootclock.Now()
	grace := n.settings.Bounds.GracePeriod
	end := began.Add(grace - n.exitReserve())
	n.stopEnd.Store(&end)
	n.stopping.Store(true)
	n.mu.Lock()
	for _, c := range n.cells {
		c.leadership.Resign()
	}
	n.publish(began, sendAllNow)
	n.mu.Unlock()
	level.Info(n.log).Log("event", "stopping", "running", n.activeRequests.Load())
	time.Sleep(min(stopServePeriod, time.Duration(stopServeShare*float64(grace))))
	n.refuseNew()
	n.waitRequestsEnd(end)
	if running := n.activeRequests.Load(); running > 0 {
		level.Warn(n.log).Log("event", "requests_ended_by_stop", "running", running)
	}
	n.endRequests(errNodeStops)
	n.waitRequestsEnd(end.Add(n.flushTime()))
}

// exitReserve returns how long before the end of the grace period requests are ended.
func (n *Node) exitReserve() time.Duration {
	return min(exitReserve, time.Duration(exitReserveShare*float64(n.settings.Bounds.GracePeriod)))
}

// flushTime returns the time for responses that have ended to reach their callers.
func (n *Node) flushTime() time.Duration {
	return time.Duration(flushShare * float64(n.exitReserve()))
}

// waitRequestsEnd returns once no request is in progress, at the given time at the latest.
func (n *Node) waitRequestsEnd(limit time.Time) {
	for n.activeRequests.Load() > 0 && bootclock.Now().Before(limit) {
		time.Sleep(stopPollInterval)
	}
}

// shutdown closes the listeners, each once it has accepted what has arrived, and the connections
// of the servers, each once the response that is being written to it has been sent, or after the
// time.
func shutdown(servers []*frontServer, within time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	var group sync.WaitGroup
	for _, s := range servers {
		group.Go(func() { s.shutdown(ctx) })
	}
	group.Wait()
	return closeAll(servers)
}

// stopped reports whether the request was ended because the node stops.
func (x *exchange) stopped() bool { return x.node.ended.Err() != nil }

// endsBeforeStop reports whether the request can end before this node stops, if it does.
func (x *exchange) endsBeforeStop() bool {
	end := x.node.stopEnd.Load()
	if end == nil {
		return true
	}
	n, now := x.node, bootclock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	return latency.EndsBy(now, *end, x.deadline, n.durations.Slowest(now, x.route.Name))
}

// refuseNew refuses the waiting requests and all new ones. Another node can still
// serve them.
func (n *Node) refuseNew() {
	n.refuse.Store(true)
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, d := range n.queue.RefuseAll(bootclock.Now()) {
		n.decideWaiter(d)
	}
}
