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
	"github.com/redwingnotch/redwingnotch/standin/service"
)

// soakEngine is an engine and where it stands in the VM list.
type soakEngine struct {
	*engine.Engine
	name    string
	fencing bool
	gone    bool
}

// soakService is a replica of the ordering service. All replicas share the
// count of runs by key, as they would share a database.
type soakService struct {
	*service.Service
	name string
}

// leavingGrace is the time after which a leaving backend server gets no new
// request.
const leavingGrace = 3 * time.Second

func (s *soak) addSoakEngine(name string, fencing bool) {
	known := make(map[fleet.ModelID]engine.Model, len(s.models))
	for _, m := range s.models {
		known[m.ID] = engine.Model{LoadTime: m.LoadTime, Slots: m.Slots}
	}
	e := engine.New(engine.Config{
		ID: fleet.BackendID(name), Memory: 3 * soakModelMemory, Fencing: fencing, Ledger: s.ledger,
		TokenTime: tokenTime, Models: known, Weights: s.weights, CrashMarker: poison,
		RestartDelay: restartTime, ReportLag: 200 * time.Millisecond,
	})
	s.serve(name, e.SetListen, e.Restart)
	row := &soakEngine{Engine: e, name: name, fencing: fencing}
	s.mu.Lock()
	s.engines = append(s.engines, row)
	s.stops = append(s.stops, e.Close)
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
	s.services = append(s.services, &soakService{Service: s.addService(name, "ordering"), name: name})
}

// runsOf returns how often a key ran at any replica of the service.
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
	s.names = append(s.names, name)
}

// fault is one kind of fault.
type soakFault struct {
	planned bool // a planned change, which must cut nothing
	bring   func(s *soak)
}

var soakFaults = []soakFault{
	{planned: true, bring: (*soak).stopNode},
	{planned: true, bring: (*soak).stopEngine},
	{planned: true, bring: (*soak).floodBulk},
	{planned: true, bring: (*soak).floodUrgent},
	{planned: true, bring: (*soak).changeRelease},
	{bring: (*soak).killNode},
	{bring: (*soak).killController},
	{bring: (*soak).storeOutage},
	{bring: (*soak).loseStoreAnswers},
	{bring: (*soak).slowStore},
	{bring: (*soak).crashEngine},
	{bring: (*soak).reclaimEngine},
	{bring: (*soak).silenceEngine},
	{bring: (*soak).slowWeights},
	{bring: (*soak).sendPoison},
	{bring: (*soak).crashService},
	{bring: (*soak).loseServiceAnswers},
	{bring: (*soak).silenceServices},
	{bring: (*soak).cutGossip},
}

// bringAboutFaults brings about faults at random times, together and twice.
func (s *soak) bringAboutFaults() {
	end := time.Now().Add(soakFaultTime)
	for time.Now().Before(end) {
		f := soakFaults[s.rng.IntN(len(soakFaults))]
		if f.planned || !s.planned {
			f.bring(s)
		}
		time.Sleep(time.Duration(s.rng.IntN(8000)) * time.Millisecond)
	}
}

// heal ends all faults that last.
func (s *soak) heal() {
	s.note("heal")
	s.api.Faults.SetOutage(false)
	s.api.Faults.SetDelay(0)
	s.api.Faults.LoseAnswers(0)
	s.weights.SetSlowdown(1)
	s.gossip.setCut(nil)
	for _, v := range s.services {
		_ = v.Restart() // refused if it serves
	}
}

// between returns a random time of the fault schedule.
func (s *soak) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rng.Int64N(int64(high-low)))
}

// later runs f after a time, and before the episode ends.
func (s *soak) later(after time.Duration, f func()) {
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

// takeNode takes a node out of the deployment's table, unless it is the last
// but one.
func (s *soak) takeNode(name string) *runningNode {
	s.nodesMu.Lock()
	defer s.nodesMu.Unlock()
	n := s.nodes[name]
	if n == nil || len(s.nodes) <= 2 {
		return nil
	}
	delete(s.nodes, name)
	return n
}

// replaceNode starts a node with a new name, or with that of the one that went.
func (s *soak) replaceNode(gone string) {
	if s.isOver() {
		return
	}
	s.mu.Lock()
	s.sequence++
	name := gone
	if s.sequence%2 == 0 {
		name = fmt.Sprintf("r%d%s", s.sequence, gone)
	}
	s.mu.Unlock()
	s.startNode(name)
}

func (s *soak) stopNode() {
	name := s.randomNode()
	n := s.takeNode(name)
	if n == nil {
		return
	}
	s.note("stop node %s", name)
	s.count(func(c *soakCounts) { c.Stops++ })
	n.stop()
	s.background.Go(func() {
		if err := <-n.err; err != nil {
			s.violate("planned stop of %s: %v", name, err)
		}
		s.replaceNode(name)
	})
}

func (s *soak) killNode() { s.kill(s.randomNode()) }

func (s *soak) killController() {
	s.nodesMu.Lock()
	name, count := s.holder()
	s.nodesMu.Unlock()
	if count == 1 {
		s.kill(name)
	}
}

func (s *soak) kill(name string) {
	n := s.takeNode(name)
	if n == nil {
		return
	}
	s.note("kill node %s", name)
	s.count(func(c *soakCounts) { c.Kills++ })
	n.Kill()
	after := s.between(2*time.Second, 15*time.Second)
	s.background.Go(func() {
		<-n.err
		time.Sleep(after)
		s.replaceNode(name)
	})
}

func (s *soak) storeOutage() {
	d := s.between(5*time.Second, 40*time.Second)
	s.note("object API out for %v", d)
	s.api.Faults.SetOutage(true)
	s.later(d, func() { s.api.Faults.SetOutage(false) })
}

func (s *soak) loseStoreAnswers() {
	n := 1 + s.rng.IntN(4)
	s.note("object API loses %d answers", n)
	s.api.Faults.LoseAnswers(n)
}

func (s *soak) slowStore() {
	s.note("object API slow")
	s.api.Faults.SetDelay(s.between(50*time.Millisecond, 900*time.Millisecond))
	s.later(10*time.Second, func() { s.api.Faults.SetDelay(0) })
}

// liveEngine returns an engine that is listed as live, or nil.
func (s *soak) liveEngine() *soakEngine {
	s.mu.Lock()
	defer s.mu.Unlock()
	var live []*soakEngine
	for _, e := range s.engines {
		if !e.gone {
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
		s.note("crash %s", e.name)
		s.count(func(c *soakCounts) { c.Crashes++ })
		e.Crash()
	}
}

func (s *soak) reclaimEngine() {
	e := s.liveEngine()
	if e == nil {
		return
	}
	s.note("reclaim %s", e.name)
	s.count(func(c *soakCounts) { c.Reclaimed++ })
	e.gone = true
	e.Reclaim()
	s.later(s.between(time.Second, 8*time.Second), func() {
		s.api.RemoveVM(fleet.VMID(e.name))
		s.replaceEngine(e)
	})
}

// stopEngine announces in the VM list that an engine leaves, and takes it away
// once it runs nothing.
func (s *soak) stopEngine() {
	e := s.liveEngine()
	if e == nil {
		return
	}
	s.note("stop %s", e.name)
	e.gone = true
	s.listEngine(e, fleet.VMLeaving)
	s.background.Go(func() {
		s.awaitListed(e)
		e.MarkLeaving()
		time.Sleep(leavingGrace)
		for e.Running() > 0 {
			time.Sleep(100 * time.Millisecond)
		}
		s.count(func(c *soakCounts) { c.Retired++ })
		e.Reclaim()
		s.api.RemoveVM(fleet.VMID(e.name))
		s.replaceEngine(e)
	})
}

// awaitListed returns once every node has had the time to read in the VM list
// that the engine leaves. While the object API is out nobody can know.
func (s *soak) awaitListed(e *soakEngine) {
	since := time.Now()
	for time.Since(since) < node.DefaultVMListInterval {
		if !s.listedLeaving(e) {
			since = time.Now()
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (s *soak) listedLeaving(e *soakEngine) bool {
	records, _, err := s.api.VMs(context.Background())
	return err == nil && slices.ContainsFunc(records, func(r platform.VMRecord) bool {
		return r.VM.ID == fleet.VMID(e.name) && r.VM.State == fleet.VMLeaving
	})
}

func (s *soak) replaceEngine(gone *soakEngine) {
	s.mu.Lock()
	s.sequence++
	name := fmt.Sprintf("x%d%s", s.sequence, gone.name)
	s.mu.Unlock()
	s.addSoakEngine(name, gone.fencing)
}

func (s *soak) silenceEngine() {
	if e := s.liveEngine(); e != nil {
		s.note("open connections of %s go silent", e.name)
		e.Faults.SilenceOpen()
	}
}

// changeRelease has two operators publish new versions of a model at once.
func (s *soak) changeRelease() {
	at := s.rng.IntN(len(s.models))
	for operator := range 2 {
		s.versions[at]++
		text := s.releaseNote()
		s.note("operator %d releases %s v%d", operator, s.models[at].ID, s.versions[at])
		s.background.Go(func() { s.release(fmt.Sprint("operator-", operator), text) })
	}
}

// release publishes a note and records its version if it was accepted.
func (s *soak) release(operator, text string) {
	note, findings := release.ParseNote([]byte(text))
	if len(findings) > 0 {
		s.violate("note refused: %v", findings)
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
	s.released = max(s.released, accepted.Version)
}

func (s *soak) slowWeights() {
	s.note("weight store ten times slower")
	s.weights.SetSlowdown(10)
	s.later(20*time.Second, func() { s.weights.SetSlowdown(1) })
}

func (s *soak) floodBulk()   { s.flood(fleet.RankBulk) }
func (s *soak) floodUrgent() { s.flood(fleet.RankUrgent) }

// floodPause is a flooding caller's pause after each answer or refusal.
const floodPause = 100 * time.Millisecond

// flood sends many requests of one rank for a while.
func (s *soak) flood(rank fleet.Rank) {
	s.note("flood of %v", rank)
	until := time.Now().Add(15 * time.Second)
	for i := range 20 {
		c := s.newCaller(fmt.Sprint("flood-", i), s.rng.Uint64())
		s.background.Go(func() {
			for time.Now().Before(until) {
				c.chatOnce(rank)
				time.Sleep(floodPause)
			}
		})
	}
}

// sendPoison sends one content that crashes engines through several nodes,
// again and again.
func (s *soak) sendPoison() {
	s.poisons++
	s.note("poison %d", s.poisons)
	model := fmt.Sprint("m", 4+s.rng.IntN(4))
	body := chat(model, fmt.Sprintf("%s %d", poison, s.poisons))
	for i := range 3 {
		c := s.newCaller(fmt.Sprint("poisoner-", i), s.rng.Uint64())
		s.background.Go(func() {
			for range 8 {
				host := c.host()
				if got := s.send(host, "POST", "/v1/chat/completions", body, "Redwingnotch-Deadline", "20s"); got.err != nil {
					c.next()
				}
				time.Sleep(time.Second)
			}
		})
	}
}

func (s *soak) crashService() {
	v := s.services[s.rng.IntN(len(s.services))]
	s.note("%s crashes after its next run", v.name)
	v.CrashAfterRun(1)
	s.later(s.between(3*time.Second, 10*time.Second), func() { _ = v.Restart() })
}

func (s *soak) loseServiceAnswers() {
	v := s.services[s.rng.IntN(len(s.services))]
	s.note("%s loses an answer", v.name)
	v.Faults.LoseAnswers(1)
}

func (s *soak) silenceServices() {
	s.note("open connections of the service go silent")
	for _, v := range s.services {
		v.Faults.SilenceOpen()
	}
}

// cutGossip keeps one node's datagrams from the others and theirs from it.
func (s *soak) cutGossip() {
	name := s.randomNode()
	s.note("datagrams of %s are lost", name)
	s.gossip.setCut(map[string]bool{name + ":81": true})
	s.later(s.between(3*time.Second, 20*time.Second), func() { s.gossip.setCut(nil) })
}
