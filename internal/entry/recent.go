package entry

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/redwingnotch/redwingnotch/admin"
)

// maxRecent is the number of requests that a node remembers for operators.
const maxRecent = 1024

// recentRequests remembers the last requests that waited, were refused, failed
// or were tried more than once, by the caller's request id. Safe for concurrent
// use.
type recentRequests struct {
	mu   sync.Mutex
	byID map[string]admin.Explanation
	ids  []string // ring
	next int
}

func newRecent() *recentRequests {
	return &recentRequests{byID: make(map[string]admin.Explanation)}
}

func (r *recentRequests) put(e admin.Explanation) {
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
func (h *Handler) Explain(requestID string) (admin.Explanation, bool) {
	h.recent.mu.Lock()
	defer h.recent.mu.Unlock()
	e, ok := h.recent.byID[requestID]
	return e, ok
}

// note adds a step to the request's story.
func (r *chatRequest) note(format string, args ...any) {
	r.steps = append(r.steps, admin.Step{At: time.Now().UTC(), What: fmt.Sprintf(format, args...)})
}

// noteWait remembers why the request waits, if that is news.
func (h *Handler) noteWait(req *chatRequest, reason string) {
	if reason == "" || reason == req.waitReason {
		return
	}
	req.waitReason = reason
	req.note("waits: %s", reason)
	h.remember(req, "", "", reason)
}

// remember keeps the request's story for operators.
func (h *Handler) remember(req *chatRequest, outcome string, code Code, reason string) {
	h.recent.put(admin.Explanation{
		RequestID: req.id,
		Node:      h.cfg.Node,
		Target:    req.target.String(),
		Rank:      req.rank.String(),
		Outcome:   outcome,
		Code:      string(code),
		Reason:    reason,
		Steps:     slices.Clone(req.steps),
	})
}
