package front_test

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/internal/httpsend"
	"github.com/redwingnotch/redwingnotch/platform"
	"github.com/redwingnotch/redwingnotch/standin/rawhttp"
)

// send returns a handler that sends the raw response.
func send(r rawhttp.Response) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) {
		_ = r.WriteTo(w) // fails if the node has left, which tests see by what the caller gets
	}
}

// eventStream returns a stream of the events from..to with the rest behind them.
func eventStream(framing httpsend.Framing, from, to int, rest string) rawhttp.Response {
	r := rawhttp.Response{Framing: framing, Header: http.Header{"Content-Type": {"text/event-stream"}}, Cut: rawhttp.All, End: rawhttp.Close}
	for i := from; i <= to; i++ {
		r.Parts = append(r.Parts, eventText(i, i))
	}
	r.Parts = append(r.Parts, rest)
	return r
}

// TestLogTellsHowResponseEnded checks that a broken response can be told from a whole
// one by the log, whatever the caller got.
func TestLogTellsHowResponseEnded(t *testing.T) {
	cut := eventStream(httpsend.FramingChunks, 1, 3, "")
	cut.Cut = len(cut.EncodedBody()) - len("0\r\n\r\n")
	reset := eventStream(httpsend.FramingClose, 1, 3, "id: 4")
	reset.End = rawhttp.Reset
	for _, tc := range []struct {
		want     string
		response rawhttp.Response
	}{
		{"framing=chunks end=complete inside_event=false", eventStream(httpsend.FramingChunks, 1, 3, "")},
		{"framing=length end=complete inside_event=false", eventStream(httpsend.FramingLength, 1, 3, "")},
		{"framing=close end=closed inside_event=false", eventStream(httpsend.FramingClose, 1, 3, "")},
		{"framing=close end=closed inside_event=true", eventStream(httpsend.FramingClose, 1, 3, "id: 4")},
		{"framing=chunks end=truncated inside_event=false", cut},
		{"framing=close end=reset inside_event=true", reset},
		{"framing=length end=complete inside_event=false", rawhttp.Response{Framing: httpsend.FramingLength, Parts: []string{"x"}, Cut: rawhttp.All}},
		{"framing=close end=closed inside_event=false", rawhttp.Response{Framing: httpsend.FramingClose, Parts: []string{"x"}, Cut: rawhttp.All, End: rawhttp.Close}},
	} {
		t.Run(tc.want, func(t *testing.T) {
			c := newCluster(t)
			c.backendServer("s1", "llm", send(tc.response))
			n := c.node("127.0.0.1", 0)
			c.call(n, http.MethodPost, "/chat/x", "r1", platform.HeaderModel, "m")
			c.eventually(func() bool { return strings.Contains(c.text(), "event=request id=r1 ") })
			_, line, _ := strings.Cut(c.text(), "event=request id=r1 ")
			line, _, _ = strings.Cut(line, "\n")
			assert.Assert(t, strings.Contains(line, tc.want), line)
		})
	}
}
