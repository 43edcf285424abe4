package front

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log/level"

	"github.com/redwingnotch/redwingnotch/internal/bootclock"
	"github.com/redwingnotch/redwingnotch/internal/httpsend"
	"github.com/redwingnotch/redwingnotch/poison"
	"github.com/redwingnotch/redwingnotch/replicas"
)

// Limits of the evidence for the end of a backend server's process.
const (
	lossRetention     = 10 * time.Second       // time for which the end of its server may explain a lost connection
	endCheckTimeout   = 300 * time.Millisecond // timeout of the connection that shows whether a server still accepts any
	unprovenRetention = time.Second            // time after a response that ended with its connection in which the server's next response, or its end, shows what it was
	maxLostRequests   = 256                    // requests of this node that are remembered for one start of a server
	endCheckInterval  = 500 * time.Millisecond // least time between two such connections to one server
)

// endEvidence says what shows that a backend server's process has ended.
type endEvidence string

// Evidence for the end of a backend server's process.
const (
	endRefused   endEvidence = "refused"   // it refuses connections
	endRestarted endEvidence = "restarted" // its entry names a later start
	endReplaced  endEvidence = "replaced"  // a later start with another ID has its address
	endReported  endEvidence = "reported"  // another node has evidence
)

// lostRequests are the requests of this node that lost their connections to one
// start of a backend server.
type lostRequests struct {
	server    replicas.Entry         // its entry when the first of them was lost
	requests  map[uint64]lostRequest // by contentHash
	checking  bool                   // a connection that shows whether the server has ended is being made
	checkedAt time.Time              // when the last such connection was begun
	ended     bool                   // the server has ended
}

// lostRequest is a request that lost its connection, or whose response ended with it.
type lostRequest struct {
	poison.Request
	at       time.Time
	unproven bool // the response ended with its connection: it is complete if the server lives on
}

// contentHash identifies what the request asks for: the same request of a caller that
// comes again has the same hash at every node.
func (x *exchange) contentHash() uint64 {
	if x.content != 0 {
		return x.content
	}
	d := xxhash.New()
	for _, part := range []string{x.r.Method, x.r.Host, x.r.RequestURI, x.params.Model, x.params.Adapter} {
		_, _ = d.WriteString(part) // never fails
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(x.body)
	x.content = max(1, d.Sum64())
	return x.content
}

// maxPartsLogged limits the parts of a prompt in one log line.
const maxPartsLogged = 8

// formatParts returns the IDs of the parts of the request's prompt that other requests may
// share, as the logs have them.
func (x *exchange) formatParts() string {
	var ids []string
	shared := x.sharedParts()
	for _, p := range shared[:min(maxPartsLogged, len(shared))] {
		ids = append(ids, p.ID)
	}
	return strings.Join(ids, ",")
}

// connectionLost records that an attempt lost its connection to the server after the
// request was sent. It starts a check whether the server has ended.
func (x *exchange) connectionLost(server replicas.Entry) {
	n, now := x.node, bootclock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	request := lostRequest{Request: x.lostRequest(now), at: now}
	lost := n.addLost(now, server, x.contentHash(), request)
	switch {
	case lost.ended:
		n.reportEnd(now, server, []poison.Request{request.Request})
	default:
		n.startCheck(now, lost)
	}
}

// startCheck starts a check whether the server has ended, unless one was made just before.
// The caller holds n.mu.
func (n *Node) startCheck(now time.Time, lost *lostRequests) {
	if lost.ended || lost.checking || now.Sub(lost.checkedAt) < endCheckInterval {
		return
	}
	lost.checking, lost.checkedAt = true, now
	go n.checkEnded(lost.server)
}

// serverDown handles another node's report that it failed to connect to the server. The
// caller holds n.mu.
func (n *Node) serverDown(now time.Time, id string) {
	n.forgetLosses(now)
	for key, lost := range n.lost {
		if key.id == id && len(lost.requests) > 0 {
			n.startCheck(now, lost)
		}
	}
}

// addLost adds a request to those that lost their connections to the server. The caller
// holds n.mu.
func (n *Node) addLost(now time.Time, server replicas.Entry, hash uint64, r lostRequest) *lostRequests {
	lost := n.lost[keyOf(server)]
	if lost == nil {
		n.forgetLosses(now)
		lost = &lostRequests{server: server, requests: map[uint64]lostRequest{}}
		n.lost[keyOf(server)] = lost
	}
	if len(lost.requests) < maxLostRequests {
		lost.requests[hash] = r
	}
	return lost
}

// responseClosed records a response that ended with its connection. Whether it was
// complete shows soon: the server responds to a later request, or has ended.
func (x *exchange) responseClosed(server replicas.Entry) {
	n, now := x.node, bootclock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.addLost(now, server, x.contentHash(), lostRequest{Request: x.lostRequest(now), at: now, unproven: true})
}

// serverAlive records that the server responded to a request that was sent at the given
// time: responses that ended with their connections shortly before were complete.
func (n *Node) serverAlive(server replicas.Entry, sent time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	lost, now := n.lost[keyOf(server)], bootclock.Now()
	if lost == nil {
		return
	}
	n.forgetLosses(now)
	for hash, r := range lost.requests {
		if !r.unproven || !r.at.Before(sent) {
			continue
		}
		delete(lost.requests, hash)
		if n.poison.Answered(now, r.at, r.Traits...) {
			n.publishInnocent(now, r.Traits)
		}
	}
}

// forgetLosses removes the requests that lost their connections too long ago. The caller
// holds n.mu.
func (n *Node) forgetLosses(now time.Time) {
	for key, lost := range n.lost {
		maps.DeleteFunc(lost.requests, func(_ uint64, r lostRequest) bool {
			return now.Sub(r.at) > lossRetention || r.unproven && now.Sub(r.at) > unprovenRetention
		})
		if len(lost.requests) == 0 && !lost.checking {
			delete(n.lost, key)
		}
	}
}

// checkEnded connects to a server that closed the connection of a request. A process
// that has ended refuses; one that only closed the connection accepts another.
func (n *Node) checkEnded(server replicas.Entry) {
	ctx, cancel := context.WithTimeout(context.Background(), endCheckTimeout)
	defer cancel()
	began := bootclock.Now()
	conn, err := httpsend.DialTCP(ctx, "tcp", server.Address)
	if err == nil {
		err = conn.Close()
	}
	refused := errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
	level.Info(n.log).Log("event", "server_check", "server", server.ID, "start", server.Start, "refused", refused,
		"took_ms", bootclock.Now().Sub(began).Milliseconds(), "err", err)
	n.mu.Lock()
	defer n.mu.Unlock()
	if lost := n.lost[keyOf(server)]; lost != nil {
		lost.checking = false
	}
	if refused {
		n.serverEnded(server, endRefused)
	}
}

// connectionRefused handles a server that refused a connection for a request.
func (n *Node) connectionRefused(server replicas.Entry) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.serverEnded(server, endRefused)
}

// entryChanged compares an entry with the servers that lost requests. A later start at the
// address of one shows that it has ended; one that drains ends by itself. The caller holds
// n.mu.
func (n *Node) entryChanged(entry replicas.Entry) {
	for key, lost := range n.lost {
		switch {
		case key.id == entry.ID && key.start == entry.Start:
			lost.server.Draining = lost.server.Draining || entry.Draining
		case key.id == entry.ID:
			n.serverEnded(lost.server, endRestarted)
		case key.id != entry.ID && key.address == entry.Address && key.start < entry.Start:
			n.serverEnded(lost.server, endReplaced)
		}
	}
}

// endReportedBy handles another node's report that a server has ended. The caller holds
// n.mu.
func (n *Node) endReportedBy(end poison.End) {
	for _, lost := range n.lost {
		if !lost.ended && endOf(lost.server) == end {
			n.serverEnded(lost.server, endReported)
		}
	}
}

// serverEnded handles evidence that the start of the server that has the entry has
// ended. The caller holds n.mu.
func (n *Node) serverEnded(server replicas.Entry, evidence endEvidence) {
	n.forgetLosses(bootclock.Now())
	lost := n.lost[keyOf(server)]
	if lost == nil || lost.ended || len(lost.requests) == 0 {
		return
	}
	lost.ended = true
	server = lost.server
	n.metrics.ServerEnded(string(evidence))
	var requests []poison.Request
	var contents []poison.Key
	for _, hash := range slices.Sorted(maps.Keys(lost.requests)) {
		requests = append(requests, lost.requests[hash].Request)
		contents = append(contents, poison.Key(hash))
	}
	level.Info(n.log).Log("event", "server_ended", "server", server.ID, "start", server.Start, "draining", server.Draining,
		"evidence", evidence, "contents", len(contents), "content", formatKeys(contents))
	n.reportEnd(bootclock.Now(), server, requests)
}
