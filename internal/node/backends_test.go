package node_test

import (
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/platform"
	"github.com/redwingnotch/redwingnotch/standin/engine"
	"github.com/redwingnotch/redwingnotch/standin/service"
)

// Parameters of the stand-in engines.
const (
	engineMemory = 8 << 30 // bytes
	loadTime     = 2 * time.Second
	tokenTime    = 50 * time.Millisecond // time to generate one token
	restartTime  = time.Second           // time from a crash to the restart
	poisonMarker = "poison"              // text that makes a request crash the engine
)

// addEngine starts an engine and adds its VM to the VM list.
func (d *deployment) addEngine(name string) *engine.Engine {
	d.t.Helper()
	e := engine.New(engine.Config{
		ID: fleet.BackendID(name), Memory: engineMemory, Fencing: true, FleetStats: d.stats, TokenTime: d.tokenTime,
		Models: map[fleet.ModelID]engine.Model{
			"lathe": {LoadTime: loadTime, Slots: d.slots}, "deck": {LoadTime: loadTime, Slots: d.slots}, "collar": {LoadTime: loadTime, Slots: d.slots},
		},
		CrashMarker: poisonMarker, RestartDelay: restartTime,
	})
	d.serve(name, e.SetListen, e.Restart)
	d.closers = append(d.closers, e.Close)
	d.listVM(name, fleet.BackendServer{ID: fleet.BackendID(name), Fencing: true})
	return e
}

// addService starts a plain service and adds its VM to the VM list.
func (d *deployment) addService(name, id string) *service.Service {
	d.t.Helper()
	s := service.New()
	s.SetRunTime(time.Second)
	d.serve(name, s.SetListen, s.Restart)
	d.closers = append(d.closers, s.Close)
	d.listVM(name, fleet.BackendServer{ID: fleet.BackendID(name), Service: fleet.ServiceID(id)})
	return s
}

func (d *deployment) serve(name string, setListen func(func() (net.Listener, error)), start func() error) {
	setListen(func() (net.Listener, error) { return d.network.Listen(name + ":90") })
	assert.NilError(d.t, start())
}

func (d *deployment) listVM(name string, backend fleet.BackendServer) {
	backend.VM, backend.Cell, backend.Address = fleet.VMID(name), "c", name+":90"
	d.api.SetVM(platform.VMRecord{
		VM:      fleet.VM{ID: fleet.VMID(name), Zone: "z1", Memory: engineMemory},
		Backend: backend,
	})
}

// chat returns the body of a chat request with a streamed response.
func chat(model, prompt string) string {
	return fmt.Sprintf(`{"model":%q,"stream":true,"messages":[{"role":"user","content":%q}]}`, model, prompt)
}

// checkAnswer returns an error unless the reply is the complete and correct response
// to the request.
func checkAnswer(got reply, model, body string) error {
	want, err := engine.ExpectedText(fleet.Target{Model: fleet.ModelID(model)}, []byte(body))
	if err != nil || got.err != nil {
		return fmt.Errorf("response error %v, expected answer error %v", got.err, err)
	}
	text, complete := "", false
	for _, event := range strings.Split(got.body, "\n\n") {
		data := strings.TrimPrefix(event, "data: ")
		if data == "[DONE]" {
			complete = true
			continue
		}
		var chunk struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		if json.Unmarshal([]byte(data), &chunk) == nil && len(chunk.Choices) > 0 {
			text += chunk.Choices[0].Delta.Content
		}
	}
	if !complete || text != want {
		return fmt.Errorf("response complete %t: got %q, want %q: %s", complete, text, want, got.body)
	}
	return nil
}
