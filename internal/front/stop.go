package front

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/redwingnotch/redwingnotch/internal/bootclock"
)

// Times of a stop.
const (
	stopServesFor = 3300 * time.Millisecond // callers keep addresses for addressTTL, some three times as long
	stopReserve   = 800 * time.Millisecond  // of the grace period that is kept for the end of the process
	stopPoll      = 20 * time.Millisecond
)

// stop leaves the addresses told to callers, serves those that still come, lets
// what runs finish, and returns.
func (n *Node) stop() {
	began := bootclock.Now()
	n.leaving.Store(true)
	n.mu.Lock()
	for _, c := range n.cells {
		c.tenure.Release()
	}
	n.tell(began, allAtOnce)
	n.mu.Unlock()
	level.Info(n.log).Log("event", "stopping", "running", n.running.Load())
	time.Sleep(stopServesFor)
	n.refuseNew()
	end := began.Add(n.settings.Bounds.GracePeriod - stopReserve)
	for n.running.Load() > 0 && bootclock.Now().Before(end) {
		time.Sleep(stopPoll)
	}
}

// refuseNew refuses requests from now on, and those that wait: another node can
// still serve them.
func (n *Node) refuseNew() {
	n.refuse.Store(true)
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, d := range n.list.RefuseAll(bootclock.Now()) {
		n.waiters[d.Key] <- d // buffered
		delete(n.waiters, d.Key)
	}
}
