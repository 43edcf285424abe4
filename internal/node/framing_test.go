package node

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/internal/httpsend"
	"github.com/redwingnotch/redwingnotch/peer"
	"github.com/redwingnotch/redwingnotch/standin/rawhttp"
)

// TestCutPeerResponseFails guards against a part of another node's message that counts as
// the whole: a protobuf message that is cut at the border of a field can be decoded.
func TestCutPeerResponseFails(t *testing.T) {
	whole, err := proto.Marshal(&peer.FetchResponse{Version: 7, Differences: [][]byte{[]byte("a"), []byte("b")}, State: []byte("state")})
	assert.NilError(t, err)
	for _, framing := range rawhttp.Framings() {
		r := rawhttp.Response{
			Header:  http.Header{"Content-Type": {"application/protobuf"}},
			Framing: framing,
			Parts:   []string{string(whole)},
		}
		for cut := range len(r.EncodedBody()) {
			for _, end := range []rawhttp.End{rawhttp.Close, rawhttp.Reset} {
				t.Run(fmt.Sprint(framing, " ", cut, " ", end), func(t *testing.T) {
					cutResponse := r
					cutResponse.Cut, cutResponse.End = cut, end
					server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
						_ = cutResponse.WriteTo(w) // fails if the client has left
					}))
					defer server.Close()
					client := peer.NewReleaseProtobufClient(server.URL, &authClient{client: httpsend.NewClient(httpsend.Options{})})
					got, err := client.Fetch(t.Context(), &peer.FetchRequest{})
					assert.Assert(t, err != nil, "%v", got)
				})
			}
		}
	}
}
