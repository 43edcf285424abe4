package rwnctl_test

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/internal/rwnctl"
)

// frontLog holds recorded log lines about a refused, a failed and a late request,
// and unrelated lines. They are not sorted by time, one is truncated, and some have
// a prefix.
const frontLog = "testdata/front.log"

func TestExplainLogPrintsRelatedLines(t *testing.T) {
	for _, tc := range []struct {
		name, id string
		want     []string // parts of the output, in this order
	}{
		{"refused", "426de82472ba7ab2", []string{
			"event=order cell=mixco server=i-120ca49397 unload=false model=cuye85070", "reason=ahead from_store=true",
			"event=order cell=mixco server=i-120ca49397 unload=true model=cuye85070", "reason=makes_room",
			"event=tenure cell=mixco holding=false", "event=order cell=villanueva server=i-bb54e9fd20 unload=true model=cuye85070",
			"event=tenure cell=mixco holding=true", "event=request id=426de82472ba7ab2", "reason=model_not_ready", "waited_ms=1729",
		}},
		{"failed", "081093a8363330f2", []string{
			"event=server server=i-5a3ec4c6de", "event=attempt_failed id=081093a8363330f2", "again=false", "EOF",
			"event=request id=081093a8363330f2", "status=502",
		}},
		{"late", "1f24b74bcef3ab60", []string{
			"event=order cell=escuintla server=i-80df8bce67 unload=false model=nygo130ac2", "result=conflict", "result=accepted",
			"event=request id=1f24b74bcef3ab60", "waited_ms=2658",
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := tool{t: t}.run("explain", "--log", frontLog, tc.id)
			assert.Equal(t, got.code, rwnctl.ExitOK, got.err)
			rest := got.out
			for _, part := range tc.want {
				_, after, found := strings.Cut(rest, part)
				assert.Assert(t, found, "%q is missing or out of order in:\n%s", part, got.out)
				rest = after
			}
			for _, unrelated := range []string{"id=ca1c69e948b99bfd", "id=3337269dcd4b0c82", "model=yese570004", "model=xacu3c912", "model=fise91283a"} {
				assert.Assert(t, !strings.Contains(got.out, unrelated), got.out)
			}
		})
	}
}

// TestExplainShowsAllAttemptsOfAStream guards against a refused resumption that is shown without
// the attempt that began the stream, or the other way round.
func TestExplainShowsAllAttemptsOfAStream(t *testing.T) {
	const log = `ts=2026-12-06T02:00:00.100Z event=request id=first outcome=aborted reason=stream_cut total_ms=100
ts=2026-12-06T02:00:00.150Z event=request id=other outcome=answered total_ms=10
ts=2026-12-06T02:00:00.200Z event=stream_resumption id=second resumes=first software=v1 source=peer_record refused=
ts=2026-12-06T02:00:00.300Z event=request id=second outcome=aborted reason=stream_cut total_ms=100
ts=2026-12-06T02:00:00.400Z event=stream_resumption id=third resumes=first source=unknown refused=stream_origin_unknown
ts=2026-12-06T02:00:00.400Z event=request id=third outcome=refused reason=stream_origin_unknown total_ms=100
`
	for _, id := range []string{"first", "second", "third"} {
		got := tool{t: t, in: log}.run("explain", "--log", "-", id)
		assert.Equal(t, got.code, rwnctl.ExitOK, got.err)
		assert.Equal(t, strings.Count(got.out, "\n"), 5, got.out)
		assert.Assert(t, !strings.Contains(got.out, "id=other"), got.out)
	}
}

func TestExplainLogReadsStandardInputAndReportsUnknownID(t *testing.T) {
	data, err := os.ReadFile(frontLog)
	assert.NilError(t, err)
	got := tool{t: t, in: string(data)}.run("explain", "--log", "-", "081093a8363330f2")
	assert.Equal(t, got.code, rwnctl.ExitOK)
	got = tool{t: t, in: string(data)}.run("explain", "--log", "-", "unknown-id")
	assert.Equal(t, got.code, rwnctl.ExitRefused)
	assert.Assert(t, strings.Contains(got.err, "no line of the log names the request"), got.err)
	got = tool{t: t}.run("explain", "--log", "testdata/absent.log", "x")
	assert.Equal(t, got.code, rwnctl.ExitUsage)
}
