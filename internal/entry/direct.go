package entry

import (
	"sync"
	"time"

	"github.com/redwingnotch/redwingnotch/dispatch"
	"github.com/redwingnotch/redwingnotch/fleet"
)

// directServers is the number of backend servers that may get one content
// without a grant, through all nodes together.
const directServers = 1

// directLoad counts the requests that this node dispatched without a grant.
type directLoad struct {
	mu      sync.Mutex
	running map[fleet.BackendID]int
}

// dispatchDirectly chooses a ready replica from the last snapshot while the
// controller is silent, if there is one. This node fills no more than the slots
// of a replica.
func (h *Handler) dispatchDirectly(req *chatRequest, history *attempts) (grant, bool) {
	if h.cfg.Quarantine.Suspected(time.Now(), req.target.Model, req.hash) {
		return grant{}, false
	}
	h.direct.mu.Lock()
	defer h.direct.mu.Unlock()
	usable := dispatch.Direct(h.cfg.Grants.Snapshot(), req.target.Model, req.target.Adapter, req.hash, directServers)
	var best *fleet.Replica
	for i := range usable {
		r := &usable[i]
		if history.excludes(r.Backend) || h.direct.running[r.Backend] >= r.Slots {
			continue
		}
		if best == nil || h.direct.running[r.Backend] < h.direct.running[best.Backend] {
			best = r
		}
	}
	if best == nil {
		return grant{}, false
	}
	h.direct.running[best.Backend]++
	return grant{backend: best.Backend, boot: best.Boot, address: best.Address, version: best.Version, attempt: history.count}, true
}

// endDirect gives back what dispatchDirectly took.
func (h *Handler) endDirect(b fleet.BackendID) {
	h.direct.mu.Lock()
	defer h.direct.mu.Unlock()
	if h.direct.running[b]--; h.direct.running[b] <= 0 {
		delete(h.direct.running, b)
	}
}
