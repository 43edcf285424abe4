package engine_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/engine"
	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/standin/rawhttp"
)

// TestCutStreamIsNotComplete guards against a broken stream that counts as complete: all
// framings, cut after each byte, with all ends. The event [DONE] tells the end of a
// stream, whatever its framing.
func TestCutStreamIsNotComplete(t *testing.T) {
	parts := []string{": accepted\n\n", "id: r-1/0/1\ndata: a\n\n", "id: r-1/1/1\ndata: b\n\n", "data: [DONE]\n\n"}
	for _, framing := range rawhttp.Framings() {
		r := rawhttp.Response{
			Header:  http.Header{"Content-Type": {"text/event-stream"}, engine.HeaderRequestID: {"r-1"}},
			Framing: framing,
			Parts:   parts,
		}
		// done is the number of bytes after which the last event is complete.
		done := len(rawhttp.Response{Framing: framing, Parts: parts}.EncodedBody()) - len(framingTail[string(framing)])
		for cut := range len(r.EncodedBody()) + 1 {
			for _, end := range rawhttp.Ends() {
				t.Run(fmt.Sprint(framing, " ", cut, " ", end), func(t *testing.T) {
					t.Parallel()
					cutResponse := r
					cutResponse.Cut, cutResponse.End = cut, end
					server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
						_ = cutResponse.WriteTo(w) // fails if the client has left
					}))
					defer server.Close()
					client := engine.NewClient(engine.Options{BaseURL: server.URL, ProgressTimeout: 200 * time.Millisecond})
					defer client.Close()
					stream, err := client.Infer(t.Context(), engine.InferRequest{RequestID: "r-1", Target: fleet.Target{Model: "m"}, Stream: true})
					assert.NilError(t, err)
					defer stream.Close()
					for err == nil {
						_, err = stream.Next()
					}
					assert.Equal(t, err == io.EOF, cut >= done, "%v", err)
				})
			}
		}
	}
}

// framingTail is what follows the last event in each framing.
var framingTail = map[string]string{"chunks": "\r\n0\r\n\r\n"}
