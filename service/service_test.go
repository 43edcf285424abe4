package service_test

import (
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/service"
	"github.com/redwingnotch/redwingnotch/standin/pipenet"
	standin "github.com/redwingnotch/redwingnotch/standin/service"
)

const address = "ordering:70"

// run runs the test in virtual time with a plain service and a client connected
// to it.
func run(t *testing.T, test func(t *testing.T, s *standin.Service, c *service.Client)) {
	synctest.Test(t, func(t *testing.T) {
		network := pipenet.New()
		s := standin.New()
		s.SetListen(func() (net.Listener, error) { return network.Listen(address) })
		assert.NilError(t, s.Restart())
		client := service.NewClient(service.Options{BaseURL: "http://" + address, Dial: network.Dial})
		defer synctest.Wait()
		defer client.Close()
		defer s.Close()
		test(t, s, client)
	})
}

func orderCall(key string) service.Request {
	return service.Request{RequestID: "r1", Method: http.MethodPost, Path: "/orders", Body: []byte("spindle"), Key: key}
}

func TestCallReturnsResponse(t *testing.T) {
	run(t, func(t *testing.T, s *standin.Service, c *service.Client) {
		resp, err := c.Call(t.Context(), orderCall("k"))
		assert.NilError(t, err)
		assert.Equal(t, resp.Status, http.StatusOK)
		assert.Equal(t, string(resp.Body), `{"key":"k","run":1,"path":"/orders","body":"spindle"}`+"\n")
		assert.Equal(t, s.Runs("k"), 1)
	})
}

func TestFailedCallIsSentOnceAndReturnsItsError(t *testing.T) {
	past := orderCall("k")
	past.Deadline = time.Unix(0, 0)
	pooled := orderCall("k")
	pooled.Idempotent = true
	for _, tc := range []struct {
		name  string
		fault func(s *standin.Service)
		req   service.Request
		want  error
		runs  int
	}{
		{"connection refused", func(s *standin.Service) { s.Close() }, orderCall("k"), service.ErrUnreachable, 0},
		{"deadline past", func(*standin.Service) {}, past, service.ErrNotSent, 0},
		{"draining", func(s *standin.Service) { s.SetDraining(true) }, orderCall("k"), service.ErrRefused, 0},
		{"response lost", func(s *standin.Service) { s.Faults.DropResponses(1) }, orderCall("k"), service.ErrUnknown, 1},
		{"response lost, idempotent", func(s *standin.Service) { s.Faults.DropResponses(1) }, pooled, service.ErrUnknown, 1},
		{"crash before the response", func(s *standin.Service) { s.CrashAfterRun(1) }, orderCall("k"), service.ErrUnknown, 1},
		{"slow", func(s *standin.Service) { s.SetRunTime(time.Hour) }, orderCall("k"), service.ErrUnknown, 1},
		{"stalled pooled connection", func(s *standin.Service) { s.Faults.StallConns() }, pooled, service.ErrUnknown, 0},
		{"stalled pooled connection, not idempotent", func(s *standin.Service) { s.Faults.StallConns() }, orderCall("k"), nil, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			run(t, func(t *testing.T, s *standin.Service, c *service.Client) {
				first := service.Request{Method: http.MethodGet, Path: "/", Idempotent: true, Key: "warm"}
				_, err := c.Call(t.Context(), first) // leaves an idle pooled connection
				assert.NilError(t, err)
				synctest.Wait()
				tc.fault(s)
				started := time.Now()
				_, err = c.Call(t.Context(), tc.req)
				assert.ErrorIs(t, err, tc.want)
				assert.Assert(t, time.Since(started) <= service.DefaultCallTimeout)
				assert.Equal(t, s.Runs("k"), tc.runs)
				time.Sleep(2 * time.Hour) // lets the slow call finish
			})
		})
	}
}

func TestCallRejectsResponseToAnotherRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := pipenet.New()
		l, err := network.Listen(address)
		assert.NilError(t, err)
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(service.HeaderRequestID, "other")
		})}
		go func() { _ = server.Serve(l) }()
		defer server.Close()
		client := service.NewClient(service.Options{BaseURL: "http://" + address, Dial: network.Dial})
		_, err = client.Call(t.Context(), orderCall("k"))
		assert.ErrorIs(t, err, service.ErrMismatch)
	})
}
