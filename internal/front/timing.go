package front

import (
	"time"

	"github.com/redwingnotch/redwingnotch/capacity"
	"github.com/redwingnotch/redwingnotch/internal/bootclock"
	"github.com/redwingnotch/redwingnotch/replicas"
)

// streamTiming measures how long a server takes for the events of a stream. The load that goes with
// a time is that known at its end: what is known when a request is sent is as old as the latest
// messages of the other nodes, and tells of the time before.
type streamTiming struct {
	x       *exchange
	server  replicas.Entry
	sent    time.Time
	events  int           // events of the stream
	began   time.Time     // when the event before the current part arrived; zero before the first event
	latest  time.Time     // when the latest event arrived
	part    int           // events of the current part
	blocked time.Duration // time of the current part in which the caller did not read
}

// timeStream begins to measure the stream that the server sends for the attempt sent at the time.
func (x *exchange) timeStream(server replicas.Entry, sent time.Time) *streamTiming {
	return &streamTiming{x: x, server: server, sent: sent}
}

// request returns what the request allows its response.
func (t *streamTiming) request() capacity.Request {
	x := t.x
	return capacity.Request{Service: x.service, OutputTokens: x.params.OutputTokens, Limit: x.timeLimit(), Target: x.route.Target, MaxGap: x.route.MaxGap}
}

// received records that an event has arrived.
func (t *streamTiming) received() {
	t.latest = bootclock.Now()
	t.events++
	if t.began.IsZero() {
		t.began = t.latest
		t.observe(func(n *Node, load int) { n.capacity.ObserveFirst(t.latest, t.request(), load, t.latest.Sub(t.sent)) })
		return
	}
	t.part++
	if t.latest.Sub(t.began) >= timedPart {
		t.endPart()
	}
}

// passedOn records that the caller has taken the latest event.
func (t *streamTiming) passedOn() { t.blocked += bootclock.Now().Sub(t.latest) }

// endPart observes the current part and begins the next one.
func (t *streamTiming) endPart() {
	took := t.latest.Sub(t.began)
	if float64(t.blocked) > maxBlockedShare*float64(took) {
		// What the caller did not read may have been sent long before it was read here.
		t.part = 0
	}
	t.observe(func(n *Node, load int) {
		n.capacity.ObserveEvents(t.latest, t.request(), capacity.Server{ID: t.server.ID, Start: t.server.Start}, load, t.part, took)
	})
	t.began, t.part, t.blocked = t.latest, 0, 0
}

// ended records the end of the stream. The times of a stream that the server broke off say nothing:
// it may have sent the last events without making them, or late because it was ending.
func (t *streamTiming) ended(result attemptResult) {
	x := t.x
	complete := result == attemptDone && x.outcome == "answered"
	cut := result == attemptDone && x.outcome == "aborted" && (x.reason == "caller_left" || x.reason == "time_over")
	if t.began.IsZero() || !complete && !cut {
		return
	}
	t.endPart()
	if complete && x.params.LastEventID == "" && x.runs == 1 {
		t.observe(func(n *Node, _ int) { n.capacity.ObserveComplete(t.latest, t.request(), t.events) })
	}
}

// observe calls f with the server's load, unless the server has restarted since the request was sent.
func (t *streamTiming) observe(f func(n *Node, load int)) {
	n := t.x.node
	n.mu.Lock()
	defer n.mu.Unlock()
	if load, known := n.table.Load(t.latest, t.server.ID); known && n.table.SameStart(t.server) {
		f(n, load)
	}
}
