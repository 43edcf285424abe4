package entry

import (
	"sync"
	"time"

	"github.com/redwingnotch/redwingnotch/dispatch"
	"github.com/redwingnotch/redwingnotch/fleet"
)

// maxDirectServers is the number of backend servers that requests with one
// content may reach by direct dispatch, through all nodes together. It bounds the
// backend servers that a poison request can crash without a controller.
const maxDirectServers = 1

// directRequests counts the requests in flight that this node has dispatched without
// a grant from the controller.
type directRequests struct {
	mu       sync.Mutex
	inFlight map[fleet.BackendID]int // requests in flight by backend server
}

// grantDirect chooses a ready replica from the last snapshot while the controller
// is unresponsive. It returns false if there is none, or if the content is
// suspected of crashing backend servers. This node dispatches no more requests
// directly to a replica than the replica has slots.
func (h *Handler) grantDirect(req *chatRequest, history *attemptHistory) (grant, bool) {
	if h.cfg.Quarantine.IsSuspected(time.Now(), req.target.Model, req.contentHash) {
		return grant{}, false
	}
	h.direct.mu.Lock()
	defer h.direct.mu.Unlock()
	candidates := dispatch.DirectReplicas(h.cfg.Grants.Snapshot(), req.target.Model, req.target.Adapter, req.contentHash, maxDirectServers)
	var best *fleet.Replica
	for i := range candidates {
		r := &candidates[i]
		if history.tried(r.Backend) || h.direct.inFlight[r.Backend] >= r.Slots {
			continue
		}
		if best == nil || h.direct.inFlight[r.Backend] < h.direct.inFlight[best.Backend] {
			best = r
		}
	}
	if best == nil {
		return grant{}, false
	}
	h.direct.inFlight[best.Backend]++
	return grant{backend: best.Backend, boot: best.Boot, address: best.Address, version: best.Version, attempt: history.count}, true
}

// finishDirect frees the slot that grantDirect reserved.
func (h *Handler) finishDirect(b fleet.BackendID) {
	h.direct.mu.Lock()
	defer h.direct.mu.Unlock()
	if h.direct.inFlight[b]--; h.direct.inFlight[b] <= 0 {
		delete(h.direct.inFlight, b)
	}
}
