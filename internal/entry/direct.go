package entry

import (
	"sync"

	"github.com/redwingnotch/redwingnotch/dispatch"
	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/quarantine"
)

// directLoad counts the requests that this node dispatched without a grant.
type directLoad struct {
	mu      sync.Mutex
	running map[fleet.BackendID]int
}

// dispatchDirectly chooses a ready replica from the last snapshot while the
// controller is silent, if there is one. This node fills no more than the slots
// of a replica.
func (h *Handler) dispatchDirectly(req *chatRequest, history *attempts) (grant, bool) {
	h.direct.mu.Lock()
	defer h.direct.mu.Unlock()
	usable := dispatch.Direct(h.cfg.Grants.Snapshot(), req.target.Model, req.target.Adapter, req.hash, quarantine.MaxCrashes)
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
	return grant{backend: best.Backend, address: best.Address, version: best.Version, attempt: history.count}, true
}

// endDirect gives back what dispatchDirectly took.
func (h *Handler) endDirect(b fleet.BackendID) {
	h.direct.mu.Lock()
	defer h.direct.mu.Unlock()
	if h.direct.running[b]--; h.direct.running[b] <= 0 {
		delete(h.direct.running, b)
	}
}
