package node

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/internal/httpsend"
	"github.com/redwingnotch/redwingnotch/peer"
	"github.com/redwingnotch/redwingnotch/standin/endless"
	"github.com/redwingnotch/redwingnotch/standin/pipenet"
)

// TestEndlessResponsesOfPeersFail: another process has taken over a node's address
// and sends responses without end.
func TestEndlessResponsesOfPeersFail(t *testing.T) {
	const address = "peer:80"
	for _, server := range endless.Servers() {
		t.Run(server.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := pipenet.New()
				l, err := network.Listen(address)
				assert.NilError(t, err)
				s := &http.Server{Handler: server}
				go func() { _ = s.Serve(l) }()
				defer s.Close()
				client := peer.NewCellProtobufClient("http://"+address, &authClient{client: httpsend.NewClient(httpsend.Options{Dial: network.Dial})})
				const limit = time.Second
				ctx, cancel := context.WithTimeout(t.Context(), limit)
				defer cancel()
				begin := time.Now()
				_, err = client.Acquire(ctx, &peer.AcquireRequest{})
				assert.Assert(t, err != nil)
				assert.Assert(t, time.Since(begin) <= limit)
				assert.Assert(t, !server.GaveUp())
				time.Sleep(2 * server.Pause)
				synctest.Wait()
				assert.Equal(t, server.Open(), 0)
			})
		})
	}
}
