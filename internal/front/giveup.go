package front

import (
	"context"
	"slices"
	"time"

	"github.com/redwingnotch/redwingnotch/internal/bootclock"
	"github.com/redwingnotch/redwingnotch/latency"
	"github.com/redwingnotch/redwingnotch/replicas"
	"github.com/redwingnotch/redwingnotch/routes"
)

// giveUpInterval is the interval at which an attempt that may be given up looks for another
// server.
const giveUpInterval = 100 * time.Millisecond

// giveUpTimer returns a timer that cancels the attempt once it has gone without a response
// for so long that another server is to be tried. A request that can't be sent again, or for
// which there is no other server, waits until its deadline.
func (x *exchange) giveUpTimer(server replicas.Entry, cancel context.CancelCauseFunc) *time.Timer {
	timeout := max(0, x.deadline.Sub(bootclock.Now())) + responseGrace
	if x.route.Idempotent() && x.runs+1 < x.route.MaxAttempts {
		timeout = min(timeout, latency.AttemptTimeout(x.route.Target, timeout, x.node.slowestAttempt(x.route)))
	}
	elsewhere := x.waitingRequest().Requirement
	elsewhere.Excluded = append(slices.Clone(elsewhere.Excluded), replicas.Exclusion{ID: server.ID, Start: server.Start})
	deadline := x.deadline
	var timer *time.Timer
	check := make(chan struct{}) // closed once timer is set
	timer = time.AfterFunc(timeout, func() {
		<-check
		left := deadline.Sub(bootclock.Now())
		if left > 0 && !x.node.answersElsewhere(x.route, elsewhere, left) {
			timer.Reset(min(giveUpInterval, left+responseGrace))
			return
		}
		cancel(errResponseTimeout)
	})
	close(check)
	return timer
}

// slowAfter returns the time without a response after which the server counts as
// failing for other requests.
func (x *exchange) slowAfter() time.Duration {
	return latency.SlowAfter(x.route.Target, x.node.slowestAttempt(x.route))
}

// slowestAttempt returns the longest time in which a server lately answered an attempt of the
// route, zero if that is not known.
func (n *Node) slowestAttempt(route *routes.Route) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.attempts.Slowest(bootclock.Now(), route.Name)
}

// answersElsewhere reports whether some server can take the request now and answer it in the
// time left.
func (n *Node) answersElsewhere(route *routes.Route, req replicas.Requirement, left time.Duration) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := bootclock.Now()
	_, result := n.table.Choose(now, req)
	return result == replicas.Chosen && left >= n.attempts.Slowest(now, route.Name)
}
