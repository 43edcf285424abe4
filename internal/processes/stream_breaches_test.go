package processes

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/standin/modelserver"
)

// madeTry returns a try that brought the events of a server, and what follows the last one.
func madeTry(id, software string, complete bool, tail string, numbers ...int) streamTry {
	t := streamTry{id: id, status: http.StatusOK, complete: complete, tail: tail}
	for _, n := range numbers {
		data, err := json.Marshal(modelserver.Event{Service: mainEngine, Software: software, Server: "i-1", Born: 1, Run: id,
			Stream: modelserver.Digest([]byte("stream-1")), Number: n})
		if err != nil {
			panic(err) // texts and numbers can't fail
		}
		t.events = append(t.events, streamEvent{id: fmt.Sprint(n), data: string(data)})
	}
	return t
}

// TestStreamCheckFindsBreaches guards against a check of streams that passes over a breach.
func TestStreamCheckFindsBreaches(t *testing.T) {
	renamed := madeTry("b", "v1", true, "", 3, 4)
	renamed.events[0].id = "4"
	garbled := madeTry("b", "v1", true, "", 3, 4)
	garbled.events[1].data = "{"
	first := madeTry("a", "v1", false, "id: 3", 1, 2)
	for name, c := range map[string]struct {
		tries []streamTry
		want  []string
	}{
		"whole":                {[]streamTry{first, madeTry("b", "v1", true, "", 3, 4)}, nil},
		"whole after refusal":  {[]streamTry{first, {id: "r", status: http.StatusServiceUnavailable, complete: true}, madeTry("b", "v1", true, "", 3, 4)}, nil},
		"end follows the last": {[]streamTry{madeTry("a", "v1", false, "", 1, 2, 3, 4), madeTry("b", "v1", true, "")}, nil},
		"broken off":           {[]streamTry{first}, nil},
		"event is missing":     {[]streamTry{first, madeTry("b", "v1", true, "", 4)}, []string{breachOrder}},
		"event comes twice":    {[]streamTry{first, madeTry("b", "v1", true, "", 2, 3, 4)}, []string{breachOrder}},
		"goes back":            {[]streamTry{madeTry("a", "v1", true, "", 1, 3, 2, 4)}, []string{breachOrder, breachOrder, breachOrder}},
		"two versions":         {[]streamTry{first, madeTry("b", "v2", true, "", 3, 4)}, []string{breachJoined, breachJoined}},
		"ends early":           {[]streamTry{first, madeTry("b", "v1", true, "", 3)}, []string{breachIncomplete}},
		"ends inside an event": {[]streamTry{first, madeTry("b", "v1", true, "id: 5", 3, 4)}, []string{breachIncomplete}},
		"another run's event":  {[]streamTry{first, {id: "c", status: http.StatusOK, complete: true, events: madeTry("b", "v1", true, "", 3, 4).events}}, []string{breachForeign, breachForeign}},
		"renamed event":        {[]streamTry{first, renamed}, []string{breachForeign}},
		"garbled event":        {[]streamTry{first, garbled}, []string{breachForeign, breachIncomplete}},
	} {
		s := &callerStream{streamPlan: streamPlan{body: "stream-1", events: 4}, tries: c.tries}
		var kinds []string
		for _, b := range s.check() {
			kinds = append(kinds, b.kind)
		}
		assert.Check(t, slices.Equal(kinds, c.want), "%s: got %v, want %v", name, kinds, c.want)
	}
}
