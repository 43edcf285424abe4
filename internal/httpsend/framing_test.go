package httpsend_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/internal/httpsend"
	"github.com/redwingnotch/redwingnotch/standin/rawhttp"
)

// TestEndOfTellsBrokenFromWholeResponse guards against a broken response that counts
// as whole: all framings, cut after each byte, with all ends.
func TestEndOfTellsBrokenFromWholeResponse(t *testing.T) {
	for _, framing := range rawhttp.Framings() {
		whole := rawhttp.Response{Framing: framing, Parts: []string{"some ", "bytes"}, Cut: rawhttp.All}
		for cut := range len(whole.EncodedBody()) + 1 {
			for _, end := range []rawhttp.End{rawhttp.Close, rawhttp.Reset} {
				t.Run(fmt.Sprint(framing, " ", cut, " ", end), func(t *testing.T) {
					r := whole
					r.Cut, r.End = cut, end
					want := httpsend.EndTruncated
					switch {
					case framing != httpsend.FramingClose && cut == len(whole.EncodedBody()):
						want = httpsend.EndComplete
					case framing == httpsend.FramingChunks && cut >= len(whole.EncodedBody())-len("\r\n"):
						want = httpsend.EndMalformed // net/http does not tell how the connection ended here
					case end == rawhttp.Reset:
						want = httpsend.EndReset
					case framing == httpsend.FramingClose:
						want = httpsend.EndClosed
					}
					server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
						_ = r.WriteTo(w) // fails if the client has left
					}))
					defer server.Close()
					resp, err := httpsend.Do(httpsend.NewClient(httpsend.Options{}), get(t, server.URL))
					assert.NilError(t, err)
					assert.Equal(t, httpsend.FramingOf(resp), framing)
					_, err = httpsend.ReadBody(resp.Body, 100)
					assert.Equal(t, httpsend.EndOf(framing, err), want, "%v", err)
				})
			}
		}
	}
}

func get(t *testing.T, url string) *http.Request {
	req, err := http.NewRequest(http.MethodGet, url, nil)
	assert.NilError(t, err)
	return req
}
