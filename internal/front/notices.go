package front

import (
	"net/http"

	"github.com/go-kit/log/level"

	"github.com/redwingnotch/redwingnotch/internal/bootclock"
	"github.com/redwingnotch/redwingnotch/platform"
	"github.com/redwingnotch/redwingnotch/replicas"
)

// recordReply records what a server has said with its response to an order or a report request.
func (n *Node) recordReply(server replicas.Entry, reply platform.Reply) {
	if reply.KeepAlive > 0 {
		n.serverClients.setKeepAlive(server, reply.KeepAlive)
	}
	if reply.Notice != (replicas.Notice{}) {
		n.recordNotice(server, reply.Notice)
	}
}

// recordResponse records what a server has said of itself with its response to a request.
func (n *Node) recordResponse(server replicas.Entry, resp *http.Response) {
	if keepAlive, ok := platform.KeepAlive(resp.Header); ok {
		n.serverClients.setKeepAlive(server, keepAlive)
	}
	n.recordNotice(server, platform.ServerNotice(resp))
	if load, ok := platform.ParseServerLoad(resp.Header); ok {
		n.setReportedLoad(server, load)
	}
}

// recordNotice records what a server has said of itself with a response. That it is leaving is told
// to the other nodes; that it turns requests away holds for this node only.
func (n *Node) recordNotice(server replicas.Entry, notice replicas.Notice) {
	now := bootclock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	leaving := n.table.RecordNotice(now, server, notice)
	if notice.RetryAfter > 0 {
		level.Info(n.log).Log("event", "server_sheds", "server", server.ID, "start", server.Start, "retry_after_ms", notice.RetryAfter.Milliseconds())
		n.metrics.ServerNotice("sheds")
		n.dispatchWaiting(now)
	}
	if !leaving {
		return
	}
	level.Info(n.log).Log("event", "server", "server", server.ID, "service", server.Service, "draining", true, "start", server.Start, "source", "answer")
	n.metrics.ServerNotice("leaving")
	if entry, listed := n.table.Entry(server.ID); listed && n.table.SameStart(server) {
		n.announceDeparture(entry, false)
	}
	n.dispatchWaiting(now)
}
