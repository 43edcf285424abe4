package engine_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/dispatch"
	"github.com/redwingnotch/redwingnotch/engine"
	"github.com/redwingnotch/redwingnotch/standin/endless"
	"github.com/redwingnotch/redwingnotch/standin/pipenet"
)

// endlessEngine sends a stream that begins with start and repeats unit without end,
// with a pause after each write. It records how much it sent.
type endlessEngine struct {
	start, unit string
	pause       time.Duration
	sent        int
	closed      bool
}

func (e *endlessEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(engine.HeaderRequestID, r.Header.Get(engine.HeaderRequestID))
	w.Header().Set("Content-Type", "text/event-stream")
	fmt.Fprint(w, e.start)
	for e.sent < maxEndlessSent {
		n, err := io.WriteString(w, e.unit)
		e.sent += n
		if err != nil {
			e.closed = true
			return
		}
		if e.pause > 0 {
			w.(http.Flusher).Flush()
			time.Sleep(e.pause)
		}
	}
}

// withEndlessEngine runs the test in virtual time with a client of the engine, and
// checks that the client closes the connection.
func withEndlessEngine(t *testing.T, e *endlessEngine, test func(t *testing.T, c *engine.Client)) {
	synctest.Test(t, func(t *testing.T) {
		network := pipenet.New()
		l, err := network.Listen(address)
		assert.NilError(t, err)
		server := &http.Server{Handler: e}
		go func() { _ = server.Serve(l) }()
		defer server.Close()
		client := engine.NewClient(engine.Options{BaseURL: "http://" + address, Dial: network.Dial})
		test(t, client)
		client.Close()
		time.Sleep(e.pause)
		synctest.Wait()
		assert.Assert(t, e.closed)
	})
}

// maxEndlessSent ends the response to a client that does not.
const maxEndlessSent = 256 << 20

// maxEndlessEvent limits what the client may read of one event, with a margin for
// buffers.
const maxEndlessEvent = 10 << 20

// TestEndlessEventIsCutOff: an event of a stream never ends, so the client would
// collect it until its memory is used up.
func TestEndlessEventIsCutOff(t *testing.T) {
	const block = 64 << 10
	for _, tc := range []struct{ name, start, unit string }{
		{"line", "data: ", strings.Repeat("x", block)},
		{"event of many lines", "", "data: " + strings.Repeat("x", block) + "\n"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			e := &endlessEngine{start: tc.start, unit: tc.unit}
			withEndlessEngine(t, e, func(t *testing.T, c *engine.Client) {
				_, err := inferAndRead(c, newRequest("r1"))
				assert.ErrorIs(t, err, engine.ErrUnknown)
			})
			assert.Assert(t, e.sent < maxEndlessEvent, "%d bytes", e.sent)
		})
	}
}

// TestEndlessResponsesFail: an engine sends a response without end. The calls have to
// fail in their time, and may have had their effect.
func TestEndlessResponsesFail(t *testing.T) {
	for _, peer := range endless.Servers() {
		t.Run(peer.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := pipenet.New()
				l, err := network.Listen(address)
				assert.NilError(t, err)
				server := &http.Server{Handler: peer}
				go func() { _ = server.Serve(l) }()
				defer server.Close()
				c := engine.NewClient(engine.Options{BaseURL: "http://" + address, Dial: network.Dial})
				defer c.Close()
				for _, call := range []struct {
					limit time.Duration
					do    func() error
				}{
					{engine.DefaultProgressTimeout, func() error { _, err := inferAndRead(c, newRequest("r1")); return err }},
					{engine.DefaultCallTimeout, func() error { _, err := c.Report(t.Context()); return err }},
					{engine.DefaultCallTimeout, func() error { _, err := c.Order(t.Context(), engine.Order{ID: "o"}); return err }},
				} {
					begin := time.Now()
					err := call.do()
					assert.Assert(t, err != nil)
					assert.Assert(t, !dispatch.NotRun(err), err)
					assert.Assert(t, time.Since(begin) <= call.limit)
					time.Sleep(2 * peer.Pause)
					synctest.Wait()
					assert.Equal(t, peer.Open(), 0)
				}
			})
		})
	}
}
