package admin_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/admin"
	"github.com/redwingnotch/redwingnotch/internal/httpsend"
	"github.com/redwingnotch/redwingnotch/standin/endless"
	"github.com/redwingnotch/redwingnotch/standin/pipenet"
)

// TestEndlessResponsesFail: a process at a node's address sends a response without
// end. The operator's call has to fail in its time.
func TestEndlessResponsesFail(t *testing.T) {
	const (
		address = "node:80"
		limit   = 5 * time.Second // timeout of a call
	)
	for _, server := range endless.Servers() {
		t.Run(server.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := pipenet.New()
				l, err := network.Listen(address)
				assert.NilError(t, err)
				s := &http.Server{Handler: server}
				go func() { _ = s.Serve(l) }()
				defer s.Close()
				c := admin.Client{Address: address, HTTP: httpsend.NewClient(httpsend.Options{Dial: network.Dial})}
				begin := time.Now()
				_, err = c.Status(t.Context())
				assert.ErrorIs(t, err, admin.ErrUnreachable)
				assert.Assert(t, time.Since(begin) <= limit)
				time.Sleep(2 * server.Pause)
				synctest.Wait()
				assert.Equal(t, server.Open(), 0)
			})
		})
	}
}
