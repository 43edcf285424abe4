package front_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/platform"
)

// TestStopUnderLoadCutsNoAcceptedRequest guards against requests that were cut off without an
// answer by a planned stop although the node had read them: callers keep using their open
// connections until the process is gone.
func TestStopUnderLoadCutsNoAcceptedRequest(t *testing.T) {
	c := newCluster(t)
	c.slots = 64
	var reached sync.Map
	c.backendServer("s1", "plain", func(w http.ResponseWriter, r *http.Request) {
		reached.Store(r.Header.Get(platform.HeaderRequestID), true)
		time.Sleep(20 * time.Millisecond)
		fmt.Fprint(w, "done")
	})
	n := c.node("127.0.0.1", 0)
	var callers sync.WaitGroup
	var cut, answered atomic.Int64
	for i := range 16 {
		callers.Go(func() {
			for j := 0; ; j++ {
				conn, err := net.Dial("tcp", n.settings.CallerListen)
				if err != nil {
					return // the process is gone
				}
				for ok := true; ok; j++ {
					id := fmt.Sprint("r", i, "-", j)
					_, err := io.WriteString(conn, requestHead("/unsafe/x", id, 0))
					var resp *http.Response
					if err == nil {
						resp, err = http.ReadResponse(bufio.NewReader(conn), nil)
					}
					if err == nil {
						_, err = io.Copy(io.Discard, resp.Body)
					}
					if err == nil {
						answered.Add(1)
					} else if _, sent := reached.Load(id); sent {
						cut.Add(1)
					}
					ok = err == nil && !resp.Close
				}
				conn.Close()
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	n.stop()
	assert.NilError(t, <-n.done)
	callers.Wait()
	assert.Assert(t, answered.Load() > 100)
	assert.Equal(t, cut.Load(), int64(0), "of %d answered", answered.Load())
}
