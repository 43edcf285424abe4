package node_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/internal/node"
	"github.com/redwingnotch/redwingnotch/platform"
	"github.com/redwingnotch/redwingnotch/release"
	"github.com/redwingnotch/redwingnotch/standin/engine"
	"github.com/redwingnotch/redwingnotch/standin/fault"
	"github.com/redwingnotch/redwingnotch/standin/service"
)

// soakEngine is an engine and its state in the VM list.
type soakEngine struct {
	*engine.Engine
	name    string
	fencing bool
	removed bool // whether the engine was reclaimed, or the VM list shows it as leaving
}

// soakService is a replica of the ordering service. Each counts its own runs by key;
// runsOf adds them up.
type soakService struct {
	*service.Service
	name string
}

// leavingGracePeriod is the time after which a leaving backend server must get no new
// requests.
const leavingGracePeriod = 3 * time.Second

func (s *soak) addSoakEngine(name string, fencing bool) {
	known := make(map[fleet.ModelID]engine.Model, len(s.models))
	for _, m := range s.models {
		known[m.ID] = engine.Model{LoadTime: m.LoadTime, Slots: m.Slots}
	}
	e := engine.New(engine.Config{
		ID: fleet.BackendID(name), Memory: 3 * soakModelMemory, Fencing: fencing, FleetStats: s.stats,
		TokenTime: tokenTime, Models: known, Weights: s.weights, CrashMarker: poisonMarker,
		RestartDelay: restartTime, ReportLag: 200 * time.Millisecond,
	})
	e.Faults.SetUnframed(unframed(name))
	s.serve(name, e.SetListen, e.Restart)
	row := &soakEngine{Engine: e, name: name, fencing: fencing}
	s.mu.Lock()
	s.engines = append(s.engines, row)
	s.closers = append(s.closers, e.Close)
	s.mu.Unlock()
	s.listEngine(row, fleet.VMLive)
}

func (s *soak) listEngine(e *soakEngine, state fleet.VMState) {
	zone := fleet.AvailabilityZone(fmt.Sprint("z", e.name[len(e.name)-1]%3))
	s.api.SetVM(platform.VMRecord{
		VM: fleet.VM{ID: fleet.VMID(e.name), Zone: zone, State: state, Memory: 3 * soakModelMemory},
		Backend: fleet.BackendServer{
			ID: fleet.BackendID(e.name), VM: fleet.VMID(e.name), Cell: "c", Address: e.name + ":90", Fencing: e.fencing,
		},
	})
}

func (s *soak) addSoakService(name string) {
	row := &soakService{Service: s.addService(name, "ordering"), name: name}
	row.Faults.SetUnframed(unframed(name))
	s.services = append(s.services, row)
}

// runsOf returns how often a key ran, summed over all replicas of the service.
func (s *soak) runsOf(key string) int {
	runs := 0
	for _, v := range s.services {
		runs += v.Runs(key)
	}
	return runs
}

func (s *soak) startNode(name string) {
	s.nodesMu.Lock()
	s.start(name)
	s.nodesMu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nodeNames = append(s.nodeNames, name)
}

// soakFault is one kind of fault.
type soakFault struct {
	planned bool // a planned change, which must not interrupt requests
	inject  func(s *soak)
}

var soakFaults = []soakFault{
	{planned: true, inject: (*soak).stopNode},
	{planned: true, inject: (*soak).stopEngine},
	{planned: true, inject: (*soak).floodBulk},
	{planned: true, inject: (*soak).floodUrgent},
	{planned: true, inject: (*soak).changeRelease},
	{inject: (*soak).killNode},
	{inject: (*soak).killController},
	{inject: (*soak).storeOutage},
	{inject: (*soak).dropStoreResponses},
	{inject: (*soak).slowStore},
	{inject: (*soak).crashEngine},
	{inject: (*soak).reclaimEngine},
	{inject: (*soak).stallEngineConnections},
	{inject: (*soak).slowWeightStore},
	{inject: (*soak).sendPoison},
	{inject: (*soak).crashServiceReplica},
	{inject: (*soak).dropServiceResponse},
	{inject: (*soak).stallServiceConnections},
	{inject: (*soak).isolateNodeGossip},
}

// injectFaults injects random faults at random times. Faults may overlap and repeat.
func (s *soak) injectFaults() {
	end := time.Now().Add(soakFaultDuration)
	for time.Now().Before(end) {
		f := soakFaults[s.rng.IntN(len(soakFaults))]
		if f.planned || !s.planned {
			f.inject(s)
		}
		time.Sleep(time.Duration(s.rng.IntN(8000)) * time.Millisecond)
	}
}

// clearFaults ends all faults that are still active.
func (s *soak) clearFaults() {
	s.recordFault("all faults cleared")
	s.api.Faults.SetOutage(false)
	s.api.Faults.SetDelay(0)
	s.api.Faults.DropResponses(0)
	s.weights.SetSlowdown(1)
	s.gossip.setIsolated(nil)
	for _, f := range s.injectors() {
		f.CutResponses(0, fault.Cut{})
	}
	for _, v := range s.services {
		_ = v.Restart() // fails if the service is running
	}
}

// randomDuration returns a random duration from the generator of the fault schedule.
func (s *soak) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rng.Int64N(int64(high-low)))
}

// runAfter runs f after the given time. The episode ends only after f has run.
func (s *soak) runAfter(after time.Duration, f func()) {
	s.background.Go(func() {
		time.Sleep(after)
		f()
	})
}

func (s *soak) randomNode() string {
	s.nodesMu.Lock()
	defer s.nodesMu.Unlock()
	names := slices.Sorted(maps.Keys(s.nodes))
	return names[s.rng.IntN(len(names))]
}

// removeNode removes a node from the deployment's table and returns it. It returns
// nil if at most two nodes are left.
func (s *soak) removeNode(name string) *runningNode {
	s.nodesMu.Lock()
	defer s.nodesMu.Unlock()
	n := s.nodes[name]
	if n == nil || len(s.nodes) <= 2 {
		return nil
	}
	delete(s.nodes, name)
	return n
}

// replaceNode starts a node, alternately with a new name and with that of the removed
// node.
func (s *soak) replaceNode(removed string) {
	if s.callersStopped() {
		return
	}
	s.mu.Lock()
	s.nameSequence++
	name := removed
	if s.nameSequence%2 == 0 {
		name = fmt.Sprintf("r%d%s", s.nameSequence, removed)
	}
	s.mu.Unlock()
	s.startNode(name)
}

func (s *soak) stopNode() {
	name := s.randomNode()
	n := s.removeNode(name)
	if n == nil {
		return
	}
	s.recordFault("stop node %s", name)
	s.updateCounts(func(c *soakCounts) { c.Stops++ })
	n.stop()
	s.background.Go(func() {
		if err := <-n.err; err != nil {
			s.recordViolation("planned stop of %s: %v", name, err)
		}
		s.replaceNode(name)
	})
}

func (s *soak) killNode() { s.kill(s.randomNode()) }

func (s *soak) killController() {
	s.nodesMu.Lock()
	name, count := s.controllerNode()
	s.nodesMu.Unlock()
	if count == 1 {
		s.kill(name)
	}
}

func (s *soak) kill(name string) {
	n := s.removeNode(name)
	if n == nil {
		return
	}
	s.recordFault("kill node %s", name)
	s.updateCounts(func(c *soakCounts) { c.Kills++ })
	n.Kill()
	after := s.randomDuration(2*time.Second, 15*time.Second)
	s.background.Go(func() {
		<-n.err
		time.Sleep(after)
		s.replaceNode(name)
	})
}

func (s *soak) storeOutage() {
	d := s.randomDuration(5*time.Second, 40*time.Second)
	s.recordFault("object API out for %v", d)
	s.api.Faults.SetOutage(true)
	s.runAfter(d, func() { s.api.Faults.SetOutage(false) })
}

func (s *soak) dropStoreResponses() {
	n := 1 + s.rng.IntN(4)
	s.recordFault("object API drops %d responses", n)
	s.api.Faults.DropResponses(n)
}

func (s *soak) slowStore() {
	s.recordFault("object API slow")
	s.api.Faults.SetDelay(s.randomDuration(50*time.Millisecond, 900*time.Millisecond))
	s.runAfter(10*time.Second, func() { s.api.Faults.SetDelay(0) })
}

// liveEngine returns a random engine that is not removed, or nil if at most three are
// left.
func (s *soak) liveEngine() *soakEngine {
	s.mu.Lock()
	defer s.mu.Unlock()
	var live []*soakEngine
	for _, e := range s.engines {
		if !e.removed {
			live = append(live, e)
		}
	}
	if len(live) <= 3 {
		return nil
	}
	return live[s.rng.IntN(len(live))]
}

func (s *soak) crashEngine() {
	if e := s.liveEngine(); e != nil {
		s.recordFault("crash %s", e.name)
		s.updateCounts(func(c *soakCounts) { c.Crashes++ })
		e.Crash()
	}
}

func (s *soak) reclaimEngine() {
	e := s.liveEngine()
	if e == nil {
		return
	}
	s.recordFault("reclaim %s", e.name)
	s.updateCounts(func(c *soakCounts) { c.Reclaimed++ })
	e.removed = true
	e.Reclaim()
	s.runAfter(s.randomDuration(time.Second, 8*time.Second), func() {
		s.api.RemoveVM(fleet.VMID(e.name))
		s.replaceEngine(e)
	})
}

// stopEngine lists an engine as leaving and removes it once it runs no requests.
func (s *soak) stopEngine() {
	e := s.liveEngine()
	if e == nil {
		return
	}
	s.recordFault("stop %s", e.name)
	e.removed = true
	s.listEngine(e, fleet.VMLeaving)
	s.background.Go(func() {
		s.waitUntilListedLeaving(e)
		e.MarkLeaving()
		time.Sleep(leavingGracePeriod)
		for e.Running() > 0 {
			time.Sleep(100 * time.Millisecond)
		}
		s.updateCounts(func(c *soakCounts) { c.Retired++ })
		e.Reclaim()
		s.api.RemoveVM(fleet.VMID(e.name))
		s.replaceEngine(e)
	})
}

// waitUntilListedLeaving returns once every node has had time to read in the VM list
// that the engine leaves. Time during an outage of the object API does not count.
func (s *soak) waitUntilListedLeaving(e *soakEngine) {
	since := time.Now()
	for time.Since(since) < node.DefaultVMListInterval {
		if !s.isListedLeaving(e) {
			since = time.Now()
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (s *soak) isListedLeaving(e *soakEngine) bool {
	records, _, err := s.api.VMs(context.Background())
	return err == nil && slices.ContainsFunc(records, func(r platform.VMRecord) bool {
		return r.VM.ID == fleet.VMID(e.name) && r.VM.State == fleet.VMLeaving
	})
}

func (s *soak) replaceEngine(removed *soakEngine) {
	s.mu.Lock()
	s.nameSequence++
	name := fmt.Sprintf("x%d%s", s.nameSequence, removed.name)
	s.mu.Unlock()
	s.addSoakEngine(name, removed.fencing)
}

func (s *soak) stallEngineConnections() {
	if e := s.liveEngine(); e != nil {
		s.recordFault("open connections of %s stall", e.name)
		e.Faults.StallConns()
	}
}

// changeRelease lets two operators publish a new version of the same model
// concurrently.
func (s *soak) changeRelease() {
	at := s.rng.IntN(len(s.models))
	for operator := range 2 {
		s.versions[at]++
		text := s.releaseNote()
		s.recordFault("operator %d releases %s v%d", operator, s.models[at].ID, s.versions[at])
		s.background.Go(func() { s.publishNote(fmt.Sprint("operator-", operator), text) })
	}
}

// publishNote publishes a note and records its version if it was accepted.
func (s *soak) publishNote(operator, text string) {
	note, findings := release.ParseNote([]byte(text))
	if len(findings) > 0 {
		s.recordViolation("release note has findings: %v", findings)
		return
	}
	publisher := release.Publisher{Store: s.api, Operator: operator}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	accepted, err := publisher.Publish(ctx, note)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.newestRelease = max(s.newestRelease, accepted.Version)
}

func (s *soak) slowWeightStore() {
	s.recordFault("weight store ten times slower")
	s.weights.SetSlowdown(10)
	s.runAfter(20*time.Second, func() { s.weights.SetSlowdown(1) })
}

func (s *soak) floodBulk()   { s.flood(fleet.RankBulk) }
func (s *soak) floodUrgent() { s.flood(fleet.RankUrgent) }

// floodInterval is the pause of a flooding caller after each response.
const floodInterval = 100 * time.Millisecond

// flood sends many requests of one rank for a while.
func (s *soak) flood(rank fleet.Rank) {
	s.recordFault("flood of %v", rank)
	until := time.Now().Add(15 * time.Second)
	for i := range 20 {
		c := s.newCaller(fmt.Sprint("flood-", i), s.rng.Uint64())
		s.background.Go(func() {
			for time.Now().Before(until) {
				c.chatOnce(rank)
				time.Sleep(floodInterval)
			}
		})
	}
}

// sendPoison repeatedly sends the same poison request through several nodes.
func (s *soak) sendPoison() {
	s.poisonCount++
	s.recordFault("poison %d", s.poisonCount)
	model := fmt.Sprint("m", 4+s.rng.IntN(4))
	body := chat(model, fmt.Sprintf("%s %d", poisonMarker, s.poisonCount))
	for i := range 3 {
		c := s.newCaller(fmt.Sprint("poisoner-", i), s.rng.Uint64())
		s.background.Go(func() {
			for range 8 {
				host := c.host()
				if got := s.send(host, "POST", "/v1/chat/completions", body, "Redwingnotch-Deadline", "20s"); got.err != nil {
					c.dropHost()
				}
				time.Sleep(time.Second)
			}
		})
	}
}

func (s *soak) crashServiceReplica() {
	v := s.services[s.rng.IntN(len(s.services))]
	s.recordFault("%s crashes after its next run", v.name)
	v.CrashAfterRun(1)
	s.runAfter(s.randomDuration(3*time.Second, 10*time.Second), func() { _ = v.Restart() })
}

func (s *soak) dropServiceResponse() {
	v := s.services[s.rng.IntN(len(s.services))]
	s.recordFault("%s drops a response", v.name)
	v.Faults.DropResponses(1)
}

func (s *soak) stallServiceConnections() {
	s.recordFault("open connections of the service stall")
	for _, v := range s.services {
		v.Faults.StallConns()
	}
}

// isolateNodeGossip drops all datagrams from and to one node for a while.
func (s *soak) isolateNodeGossip() {
	name := s.randomNode()
	s.recordFault("datagrams from and to %s are dropped", name)
	s.gossip.setIsolated(map[string]bool{name + ":81": true})
	s.runAfter(s.randomDuration(3*time.Second, 20*time.Second), func() { s.gossip.setIsolated(nil) })
}
