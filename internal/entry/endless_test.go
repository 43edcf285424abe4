package entry_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/engine"
	"github.com/redwingnotch/redwingnotch/fleet"
)

// TestOversizedUnstreamedResponseFails: an engine goes on sending valid chunks of a
// response that this node collects, until the node's memory is used up.
func TestOversizedUnstreamedResponseFails(t *testing.T) {
	const chunkBytes = 64 << 10
	withHarness(t, func(t *testing.T, h *harness) {
		h.engines["b1"] = &fakeEngine{tokens: 2 * engine.MaxEventBytes / chunkBytes, chunkBytes: chunkBytes}
		got := h.chat(unstreamedRequest)
		assert.Equal(t, got.status, http.StatusBadGateway)
		code, outcome := got.code(t)
		assert.Equal(t, code, "backend_failed")
		assert.Equal(t, outcome, fleet.OutcomeFailed.String())
		assert.Equal(t, h.grants.outcomes(), "failed")
	})
}
