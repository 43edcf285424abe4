package front

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/redwingnotch/redwingnotch/internal/bootclock"
	"github.com/redwingnotch/redwingnotch/replicas"
)

// Limits of the pauses of streams.
const (
	gapFactor     = 4                       // multiple of the route's MaxGap after which a resumable stream is resumed at another server
	minGapTimeout = 1500 * time.Millisecond // lower limit of the pause after which a stream is resumed
)

// errGapTimeout is the cancellation cause of streams that paused for too long.
var errGapTimeout = errors.New("stream of the backend server paused for too long")

// gapLimit cancels an attempt whose server pauses for too long, once the stream can go on at another
// server. Until then it stays with its server: silence does not end it. Nil limits nothing.
type gapLimit struct {
	timeout    time.Duration
	cancel     context.CancelCauseFunc
	elsewhere  func() bool // reports whether another server can take the request now
	mu         sync.Mutex  // guards the fields below
	timer      *time.Timer
	stopped    bool
	pauses     int  // pauses begun, so that a check of an earlier one ends nothing
	repeatable bool // the stream may go on at another server after what was passed on
}

// limitGaps starts a limit of the pauses of a stream that can be resumed at another server. A node that stops
// does not give up a server: the request could not be sent again.
func (x *exchange) limitGaps(server replicas.Entry, cancel context.CancelCauseFunc) *gapLimit {
	if !x.route.Resumable || x.runs >= x.route.MaxAttempts {
		return nil
	}
	n, route, deadline, req := x.node, x.route, x.deadline, x.waitingRequest().Requirement
	req.Excluded = append(slices.Clone(req.Excluded), replicas.Exclusion{ID: server.ID, Start: server.Start})
	if req.Software == nil {
		req.Software = &server.Software
	}
	g := &gapLimit{timeout: max(minGapTimeout, gapFactor*route.MaxGap), cancel: cancel, repeatable: x.repeatable()}
	g.elsewhere = func() bool {
		left := deadline.Sub(bootclock.Now())
		return !n.stopping.Load() && (!n.knowsStart(server) || left > 0 && n.answersElsewhere(route, req, left))
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.timer = time.AfterFunc(g.timeout, g.check)
	return g
}

// check cancels the attempt if another server can take the request, and looks again a little later if none
// can.
func (g *gapLimit) check() {
	g.mu.Lock()
	pause := g.pauses
	g.mu.Unlock()
	elsewhere := g.elsewhere()
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.stopped || g.pauses != pause:
	case elsewhere && g.repeatable:
		g.cancel(errGapTimeout)
	default:
		g.timer.Reset(giveUpInterval)
	}
}

// start begins a pause. repeatable says whether the stream may go on at another server.
func (g *gapLimit) start(repeatable bool) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopped, g.repeatable = false, repeatable
	g.pauses++
	g.timer.Reset(g.timeout)
}

// stop ends a pause.
func (g *gapLimit) stop() {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopped = true
	g.timer.Stop()
}

// knowsStart reports whether the server is known and has not started again.
func (n *Node) knowsStart(server replicas.Entry) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.SameStart(server)
}
