package front

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/redwingnotch/redwingnotch/internal/bootclock"
)

// Time limits of a graceful stop.
const (
	stopServePeriod  = 3300 * time.Millisecond // time for which new requests are served; some callers use addresses for three times addressTTL
	exitReserve      = 800 * time.Millisecond  // part of the grace period left for the process to exit
	stopPollInterval = 20 * time.Millisecond   // interval at which the end of active requests is checked
)

// stop makes this node unready, resigns its leaderships, serves requests that
// still arrive for stopServePeriod, refuses further ones, and returns when those
// in progress have finished or the grace period is nearly over.
func (n *Node) stop() {
	began := bootclock.Now()
	n.stopping.Store(true)
	n.mu.Lock()
	for _, c := range n.cells {
		c.leadership.Resign()
	}
	n.publish(began, sendAllNow)
	n.mu.Unlock()
	level.Info(n.log).Log("event", "stopping", "running", n.activeRequests.Load())
	time.Sleep(stopServePeriod)
	n.refuseNew()
	end := began.Add(n.settings.Bounds.GracePeriod - exitReserve)
	for n.activeRequests.Load() > 0 && bootclock.Now().Before(end) {
		time.Sleep(stopPollInterval)
	}
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
