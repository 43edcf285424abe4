package entry

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/fleet"
)

func FuzzEnvelope(f *testing.F) {
	f.Add("urgent", "30s", "req-1", "key", "caller")
	f.Add("", "2030-01-01T00:00:00Z", "", "", "")
	f.Add("bulk", "-1h", "\x00", "é", " ")
	f.Add("standard", "9223372036854775807ns", "x", "y", "z")
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	defaults := deadlines{time.Second, time.Minute, time.Hour}
	f.Fuzz(func(t *testing.T, rank, deadline, id, key, caller string) {
		h := http.Header{}
		h.Set(HeaderRank, rank)
		h.Set(HeaderDeadline, deadline)
		h.Set(HeaderRequestID, id)
		h.Set(HeaderKey, key)
		h.Set(HeaderCaller, caller)
		e, bad := parseEnvelope(h, now, defaults)
		if bad != nil {
			assert.Equal(t, bad.Outcome, fleet.OutcomeNotRun)
			return
		}
		assert.Assert(t, len(e.id) <= maxNameBytes)
		assert.Assert(t, e.rank < fleet.RankCount)
		assert.Assert(t, e.deadline.After(now) && !e.deadline.After(now.Add(maxDeadline)))
	})
}
