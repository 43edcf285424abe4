package processes

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/platform"
	"github.com/redwingnotch/redwingnotch/standin/modelserver"
	"github.com/redwingnotch/redwingnotch/standin/objectapi"
)

// restartRun is a small run without disturbances, in which servers start again in place with
// another version of their software.
type restartRun struct {
	*streamRun
	rng *rand.Rand
}

// restartStreams is the number of streams that are begun at once.
const restartStreams = 12

// startRestartRun starts a store and three nodes.
func startRestartRun(t *testing.T) *restartRun {
	rng := rand.New(rand.NewPCG(1, 44))
	r := &restartRun{&streamRun{t: t, plan: deploymentPlans[2], dir: t.TempDir(), api: objectapi.New(), framings: rng}, rng}
	r.startStore()
	r.startNodes()
	t.Cleanup(func() { r.keepLogs(0) })
	return r
}

// startServer starts a server that holds a model and waits until its entry is there.
func (r *restartRun) startServer(software string) *serverProcess {
	c := r.servers.newConfig(r.rng, mainEngine, r.plan.zones[0], software, []string{"m1"})
	c.EntryDelay, c.Gap, c.Slots = 0, 200*time.Millisecond, 2*restartStreams
	p, err := r.servers.start(c)
	assert.NilError(r.t, err)
	r.waitEntry(c.ID, software, "m1")
	return p
}

// startInPlace kills a server and starts it again under its ID, at its address.
func (r *restartRun) startInPlace(p *serverProcess, software string, held []string) *serverProcess {
	p.signal(syscall.SIGKILL)
	r.servers.forget(p, false)
	c := p.config
	c.Software, c.Held, c.OnDisk = software, held, p.config.Held
	again, err := r.servers.start(c)
	assert.NilError(r.t, err)
	waitFor(r.t, c.ID+" is back", func() bool {
		conn, err := net.Dial("tcp", c.Address)
		if err == nil {
			conn.Close()
		}
		return err == nil
	})
	return again
}

// waitEntry waits until a server's entry has the version and lists the model.
func (r *restartRun) waitEntry(id, software, model string) {
	waitFor(r.t, id+" has its entry", func() bool {
		var entry struct {
			Version string `json:"version"`
			Models  []struct {
				Name string `json:"name"`
			} `json:"models"`
		}
		o, err := r.api.Get(context.Background(), platform.KindServers, id)
		return err == nil && json.Unmarshal(o.Value, &entry) == nil && entry.Version == software && len(entry.Models) == 1 && entry.Models[0].Name == model
	})
}

// send sends the next try of each stream to the node and waits until all have ended. A stream's
// first try leaves it after four events.
func (r *restartRun) send(streams []*callerStream, node *frontNode) {
	var callers sync.WaitGroup
	for _, s := range streams {
		callers.Go(func() {
			last, resumes := 0, ""
			for _, t := range s.tries {
				if last += len(t.events); resumes == "" && last > 0 {
					resumes = t.id
				}
			}
			c := &streamCaller{nextID: r.nextID}
			s.tries = append(s.tries, c.try(r.t.Context(), s.streamPlan, node.host+":"+frontPort, last, resumes, time.Now().Add(s.limit)))
		})
	}
	callers.Wait()
}

// newStreams returns streams that have not begun.
func (r *restartRun) newStreams() []*callerStream {
	var streams []*callerStream
	for i := range restartStreams {
		streams = append(streams, &callerStream{streamPlan: streamPlan{route: r.plan.streamRoutes()[0], model: "m1", body: fmt.Sprint("stream-", i),
			events: r.plan.events, limit: 17 * time.Second, leaveAt: 4}})
	}
	return streams
}

// begun reports whether the stream's last try brought an event.
func begun(s *callerStream) bool { return len(s.tries) > 0 && len(s.tries[len(s.tries)-1].events) > 0 }

// begin begins streams at the node, and sends those again that do not begin.
func (r *restartRun) begin(node *frontNode) []*callerStream {
	streams := r.newStreams()
	waitFor(r.t, "all streams have begun", func() bool {
		rest := slices.DeleteFunc(slices.Clone(streams), begun)
		r.send(rest, node)
		return len(rest) == 0
	})
	return streams
}

// checkStreams fails the test for each breach.
func (r *restartRun) checkStreams(streams []*callerStream) {
	for _, s := range streams {
		if found := s.check(); len(found) > 0 {
			r.t.Errorf("%d breaches, the first %v\n%v", len(found), found[0], s)
		}
	}
}

// TestStreamStaysOffServerThatReturnedUnderItsID guards against streams that are taken up at a
// server that came back under its ID with another version, while the store is silent.
func TestStreamStaysOffServerThatReturnedUnderItsID(t *testing.T) {
	r := startRestartRun(t)
	server := r.startServer("v1")
	streams := r.begin(r.nodes[0])
	r.silence(true)
	r.startInPlace(server, "v2", []string{"m1"})
	r.send(streams, r.nodes[1])
	r.checkStreams(streams)
}

// TestStreamKeepsVersionOfServerThatBeganIt guards against records of the version that a server
// had before it came back under its ID: the stream would go on at that version.
func TestStreamKeepsVersionOfServerThatBeganIt(t *testing.T) {
	r := startRestartRun(t)
	server := r.startServer("v1")
	r.begin(r.nodes[0]) // the node knows the server
	r.silence(true)
	again := r.startInPlace(server, "v2", []string{"m1"})
	streams := r.newStreams()
	r.send(streams, r.nodes[0]) // nothing obliges the node to begin them
	streams = slices.DeleteFunc(streams, func(s *callerStream) bool { return !begun(s) })
	t.Logf("%d of %d streams begun", len(streams), restartStreams)
	r.silence(false)
	again.signal(modelserver.SignalWithdraw)
	r.startServer("v1")
	r.servers.forget(again, true)
	r.send(streams, r.nodes[1])
	r.checkStreams(streams)
}

// silence takes the store away from the nodes, or gives it back.
func (r *restartRun) silence(on bool) {
	mode := gateOpen
	if on {
		mode = gateSilent
	}
	for _, g := range r.gates[1:] {
		g.set(mode)
	}
}
