package entry

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/fleet"
)

func FuzzParseRequestHeaders(f *testing.F) {
	f.Add("urgent", "30s", "req-1", "key", "caller")
	f.Add("", "2030-01-01T00:00:00Z", "", "", "")
	f.Add("bulk", "-1h", "\x00", "é", " ")
	f.Add("standard", "9223372036854775807ns", "x", "y", "z")
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	defaults := defaultDeadlines{time.Second, time.Minute, time.Hour}
	f.Fuzz(func(t *testing.T, rank, deadline, id, key, caller string) {
		h := http.Header{}
		h.Set(HeaderRank, rank)
		h.Set(HeaderDeadline, deadline)
		h.Set(HeaderRequestID, id)
		h.Set(HeaderIdempotencyKey, key)
		h.Set(HeaderCaller, caller)
		headers, apiErr := parseRequestHeaders(h, now, defaults)
		if apiErr != nil {
			assert.Equal(t, apiErr.Outcome, fleet.OutcomeNotRun)
			return
		}
		assert.Assert(t, len(headers.id) <= maxHeaderValueBytes)
		assert.Assert(t, headers.rank < fleet.RankCount)
		assert.Assert(t, headers.deadline.After(now) && !headers.deadline.After(now.Add(maxDeadline)))
	})
}
