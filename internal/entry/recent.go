package entry

import (
	"sync"

	"github.com/redwingnotch/redwingnotch/internal/operators"
)

// maxRecent is the number of requests that a node remembers for operators.
const maxRecent = 1024

// recentRequests remembers the last requests that were refused, failed or were
// tried more than once, by the caller's request id. Safe for concurrent use.
type recentRequests struct {
	mu   sync.Mutex
	byID map[string]operators.Explanation
	ids  []string // ring
	next int
}

func newRecent() *recentRequests {
	return &recentRequests{byID: make(map[string]operators.Explanation)}
}

func (r *recentRequests) add(e operators.Explanation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.byID[e.RequestID]; !known {
		if len(r.ids) < maxRecent {
			r.ids = append(r.ids, e.RequestID)
		} else {
			delete(r.byID, r.ids[r.next])
			r.ids[r.next] = e.RequestID
			r.next = (r.next + 1) % maxRecent
		}
	}
	r.byID[e.RequestID] = e
}

// Explain returns what is remembered of a request.
func (h *Handler) Explain(requestID string) (operators.Explanation, bool) {
	h.recent.mu.Lock()
	defer h.recent.mu.Unlock()
	e, ok := h.recent.byID[requestID]
	return e, ok
}

// remember keeps a request for operators, unless its first try was answered.
func (h *Handler) remember(req *chatRequest, e operators.Explanation) {
	if e.Code == string(codeOK) && len(req.attempts) <= 1 {
		return
	}
	e.RequestID = req.id
	e.Node = h.cfg.Node
	e.Caller = req.caller
	e.Target = req.target.String()
	e.Rank = req.rank.String()
	e.Arrival = req.arrival
	e.Attempts = req.attempts
	h.recent.add(e)
}
