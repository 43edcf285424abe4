package service_test

import (
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/service"
	"github.com/redwingnotch/redwingnotch/standin/endless"
	"github.com/redwingnotch/redwingnotch/standin/pipenet"
)

// TestEndlessResponsesFail: a plain service sends a response without end. The call
// has to fail by its deadline, and may have run.
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
				c := service.NewClient(service.Options{BaseURL: "http://" + address, Dial: network.Dial})
				defer c.Close()
				for _, idempotent := range []bool{false, true} {
					call := orderCall("k")
					call.Idempotent, call.Deadline = idempotent, time.Now().Add(time.Second)
					_, err := c.Call(t.Context(), call)
					assert.Assert(t, !time.Now().After(call.Deadline))
					assert.Assert(t, err != nil)
					for _, notRun := range []error{service.ErrNotSent, service.ErrUnreachable, service.ErrRefused} {
						assert.Assert(t, !errors.Is(err, notRun), err)
					}
					time.Sleep(2 * peer.Pause)
					synctest.Wait()
					assert.Equal(t, peer.Open(), 0)
				}
			})
		})
	}
}
