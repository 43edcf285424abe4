package service_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/service"
	"github.com/redwingnotch/redwingnotch/standin/fault"
	"github.com/redwingnotch/redwingnotch/standin/rawhttp"
	standin "github.com/redwingnotch/redwingnotch/standin/service"
)

// TestUnframedResponseIsNotTakenForComplete guards against a truncated response that is
// returned as complete, and so stored with the call's key: the service ended it with its
// connection, in order or not.
func TestUnframedResponseIsNotTakenForComplete(t *testing.T) {
	const whole = `{"key":"k","run":1,"path":"/orders","body":"spindle"}` + "\n"
	for _, unframed := range []bool{false, true} {
		for _, end := range rawhttp.Ends() {
			for cut := range len(whole) {
				t.Run(fmt.Sprint("unframed=", unframed, " ", end, " ", cut), func(t *testing.T) {
					t.Parallel()
					s := standin.New()
					address, err := s.Start("127.0.0.1:0")
					assert.NilError(t, err)
					defer s.Close()
					s.Faults.SetUnframed(unframed)
					s.Faults.CutResponses(1, fault.Cut{After: cut, End: end})
					client := service.NewClient(service.Options{BaseURL: "http://" + address, CallTimeout: 300 * time.Millisecond})
					defer client.Close()
					resp, err := client.Call(t.Context(), orderCall("k"))
					if unframed && end == rawhttp.Close {
						assert.NilError(t, err)
						assert.Assert(t, resp.Unframed)
						assert.Equal(t, string(resp.Body), whole[:cut])
						return
					}
					assert.Assert(t, errors.Is(err, service.ErrUnknown), "%v", err)
				})
			}
		}
	}
}
