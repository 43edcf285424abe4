package httpsend_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
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

// TestResetSeenByWriterIsNotEndOfResponse guards against a reset that is taken for the
// end of an unframed response: the kernel reports a reset once, to the write of the
// request's body, and the read of the response then ends without an error.
func TestResetSeenByWriterIsNotEndOfResponse(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			// The client notices whatever fails here.
			_, _ = io.ReadFull(conn, make([]byte, 1))
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nhalf")
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	}()
	client := httpsend.NewClient(httpsend.Options{})
	for range 500 {
		req, err := http.NewRequest(http.MethodPost, "http://"+l.Addr().String(), bytes.NewReader([]byte(strings.Repeat("x", 4<<20))))
		assert.NilError(t, err)
		resp, err := httpsend.Do(client, req)
		if err != nil {
			continue // the reset came before the head was read
		}
		body, err := httpsend.ReadBody(resp.Body, 100)
		assert.Assert(t, err != nil, "%q counts as the whole body", body)
	}
}
