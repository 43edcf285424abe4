package entry

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/redwingnotch/redwingnotch/admin"
)

// maxRecentRequests is the number of requests that a node retains for operators.
const maxRecentRequests = 1024

// recentRequests holds explanations of the latest requests that waited, were
// refused, failed or needed more than one attempt, by the request id that the
// caller knows. It is safe for concurrent use.
type recentRequests struct {
	mu     sync.Mutex
	byID   map[string]admin.Explanation
	ids    []string // ring buffer of the keys of byID
	oldest int      // index in ids of the next entry to replace
}

func newRecentRequests() *recentRequests {
	return &recentRequests{byID: make(map[string]admin.Explanation)}
}

// add records an explanation. It replaces the one with the same request id or, if
// maxRecentRequests are held, the oldest one.
func (r *recentRequests) add(e admin.Explanation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.byID[e.RequestID]; !known {
		if len(r.ids) < maxRecentRequests {
			r.ids = append(r.ids, e.RequestID)
		} else {
			delete(r.byID, r.ids[r.oldest])
			r.ids[r.oldest] = e.RequestID
			r.oldest = (r.oldest + 1) % maxRecentRequests
		}
	}
	r.byID[e.RequestID] = e
}

// Explain returns the explanation of a recent request, for operators.
func (h *Handler) Explain(requestID string) (admin.Explanation, bool) {
	h.recent.mu.Lock()
	defer h.recent.mu.Unlock()
	e, ok := h.recent.byID[requestID]
	return e, ok
}

// addStep appends a step to the request's history.
func (r *chatRequest) addStep(format string, args ...any) {
	r.steps = append(r.steps, admin.Step{At: time.Now().UTC(), Description: fmt.Sprintf(format, args...)})
}

// recordWait records why the request waits, if the reason has changed.
func (h *Handler) recordWait(req *chatRequest, reason string) {
	if reason == "" || reason == req.waitReason {
		return
	}
	req.waitReason = reason
	req.addStep("waits: %s", reason)
	h.recordExplanation(req, "", "", reason)
}

// recordExplanation makes the request's history available to operators.
func (h *Handler) recordExplanation(req *chatRequest, outcome string, code Code, reason string) {
	h.recent.add(admin.Explanation{
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
