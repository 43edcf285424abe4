package fault_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/standin/fault"
	"github.com/redwingnotch/redwingnotch/standin/host"
	"github.com/redwingnotch/redwingnotch/standin/pipenet"
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
