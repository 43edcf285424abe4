package fault_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/internal/httpsend"
	"github.com/redwingnotch/redwingnotch/standin/fault"
	"github.com/redwingnotch/redwingnotch/standin/host"
	"github.com/redwingnotch/redwingnotch/standin/pipenet"
	"github.com/redwingnotch/redwingnotch/standin/rawhttp"
)

func TestWrapInjectsFaults(t *testing.T) {
	for _, tc := range []struct {
		name        string
		configure   func(b *fault.Injector)
		method      string
		status      int // zero: no response
		handlerRuns int
	}{
		{"none", func(*fault.Injector) {}, http.MethodPost, 200, 1},
		{"outage", func(b *fault.Injector) { b.SetOutage(true) }, http.MethodPost, 503, 0},
		{"failure", func(b *fault.Injector) { b.FailNext(1) }, http.MethodPost, 500, 0},
		{"lost response", func(b *fault.Injector) { b.DropResponses(1) }, http.MethodPost, 0, 1},
		{"reads keep their responses", func(b *fault.Injector) { b.DropResponses(1) }, http.MethodGet, 200, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			faults := &fault.Injector{}
			tc.configure(faults)
			var handlerRuns atomic.Int32
			server := httptest.NewServer(faults.Wrap(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { handlerRuns.Add(1) })))
			defer server.Close()
			req, err := http.NewRequest(tc.method, server.URL, nil)
			assert.NilError(t, err)
			resp, err := http.DefaultTransport.RoundTrip(req)
			if tc.status == 0 {
				assert.Assert(t, err != nil)
			} else {
				assert.NilError(t, err)
				resp.Body.Close()
				assert.Equal(t, resp.StatusCode, tc.status)
			}
			assert.Equal(t, int(handlerRuns.Load()), tc.handlerRuns)
		})
	}
}

// TestWrapCutsResponses checks the framing of responses and how they break off.
func TestWrapCutsResponses(t *testing.T) {
	for _, tc := range []struct {
		unframed bool
		end      rawhttp.End
		framing  httpsend.Framing
		want     httpsend.End
	}{
		{false, rawhttp.Close, httpsend.FramingChunks, httpsend.EndTruncated},
		{false, rawhttp.Reset, httpsend.FramingChunks, httpsend.EndReset},
		{false, rawhttp.Open, httpsend.FramingChunks, httpsend.EndCanceled},
		{true, rawhttp.Close, httpsend.FramingClose, httpsend.EndClosed},
		{true, rawhttp.Reset, httpsend.FramingClose, httpsend.EndReset},
		{true, rawhttp.Open, httpsend.FramingClose, httpsend.EndCanceled},
	} {
		t.Run(fmt.Sprint("unframed=", tc.unframed, " ", tc.end), func(t *testing.T) {
			faults := &fault.Injector{}
			faults.SetUnframed(tc.unframed)
			faults.CutResponses(1, fault.Cut{After: 2, End: tc.end})
			h := host.New(faults.Wrap(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "hello") })), faults)
			address, err := h.Start("127.0.0.1:0")
			assert.NilError(t, err)
			defer h.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()
			for _, want := range []string{"he", "hello"} {
				req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address, nil)
				assert.NilError(t, err)
				resp, err := http.DefaultTransport.RoundTrip(req)
				assert.NilError(t, err)
				body, err := io.ReadAll(resp.Body)
				assert.Equal(t, string(body), want)
				if want == "he" {
					assert.Equal(t, httpsend.FramingOf(resp), tc.framing)
					assert.Equal(t, httpsend.EndOf(tc.framing, err), tc.want, "%v", err)
					ctx = t.Context()
				}
				resp.Body.Close()
			}
		})
	}
}

// The client of a stalled connection must not see a response, nor the close of
// the connection when the server stops.
func TestStalledConnectionDeliversNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := pipenet.New()
		faults := &fault.Injector{}
		h := host.New(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "hello") }), faults)
		l, err := network.Listen("a:1")
		assert.NilError(t, err)
		assert.NilError(t, h.Serve(l))
		conn, err := network.Dial(t.Context(), "", "a:1")
		assert.NilError(t, err)
		synctest.Wait()
		faults.StallConns()
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		assert.NilError(t, err)
		h.Close()
		assert.NilError(t, conn.SetReadDeadline(time.Now().Add(time.Hour)))
		_, err = conn.Read(make([]byte, 1))
		assert.ErrorContains(t, err, "timeout")
		conn.Close()
	})
}
