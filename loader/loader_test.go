package loader_test

import (
	"cmp"
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/redwingnotch/redwingnotch/loader"
	"github.com/redwingnotch/redwingnotch/replicas"
	"github.com/redwingnotch/redwingnotch/routes"
	"github.com/redwingnotch/redwingnotch/waiting"
)

const tick = 20 * time.Millisecond

var startTime = time.Unix(1000, 0)

// fakeServer is a backend server that follows the order protocol.
type fakeServer struct {
	entry          replicas.Entry
	acceptedOrders uint64
	holds          map[string]map[string]bool // adapters by model
	onDisk         map[string]bool
	busyUntil      time.Time
	pending        replicas.Order // order in progress, if busy
	busy           bool
	crashed        string        // reason of a crash, or ""
	pastReports    []timedReport // reports of all steps so far, for delayed reports
}

// timedReport is a report and the time whose state it shows.
type timedReport struct {
	at     time.Time
	report replicas.Report
}

// cluster runs the loaders of one service against fake servers.
type cluster struct {
	now         time.Time
	engine      *routes.Engine
	desired     *routes.Engine // what the loaders are told of the engine; nil if that is all of it
	servers     []*fakeServer
	cores       map[string]*loader.Core          // by cell
	demand      []waiting.ModelDemand            // models and adapters that requests wait for
	statuses    map[string]replicas.ServerStatus // published server statuses, by server id
	storeLoads  int                              // number of accepted orders that load from the weight store
	loseMessage func() bool                      // reports whether the next message is lost
	orderLog    []string                         // sent orders, for failure messages

	late        func() (time.Duration, bool) // returns after how long an order is carried out whose response is lost, and whether the next is one; nil for none
	lateOrders  []lateOrder
	reportFails func() bool // reports whether the next report does not arrive; nil for none
	liveOrders  bool        // a report's number of orders is current, its other values are old

	copyRate         float64 // learned rate of a copy; zero for none
	storeConcurrency int     // loads that the weight store runs concurrently at full speed; zero for any number
}

// lateOrder is an order that a server carries out long after it was sent.
type lateOrder struct {
	at    time.Time
	order replicas.Order
	start int64
}

// runLateOrders carries out the late orders that are due, at servers that have not restarted.
func (c *cluster) runLateOrders() {
	var left []lateOrder
	for _, l := range c.lateOrders {
		s := c.server(l.order.ServerID)
		switch {
		case c.now.Before(l.at):
			left = append(left, l)
		case s.entry.Start == l.start:
			c.orderLog = append(c.orderLog, fmt.Sprintf("%v %s late: unload=%v %s/%s after %d: %v", c.now.Sub(startTime), l.order.ServerID,
				l.order.Unload, l.order.Model, l.order.Adapter, l.order.After, s.execute(c.now, l.order, c.engine)))
		}
	}
	c.lateOrders = left
}

// report returns the report of a server that arrives now, or an error.
func (c *cluster) report(id string) (replicas.Report, error) {
	if c.reportFails != nil && c.reportFails() {
		return replicas.Report{}, errors.New("no report")
	}
	s := c.server(id)
	r := s.laggedReport(c.now)
	if c.liveOrders {
		r.Orders = s.acceptedOrders
	}
	return r, nil
}

// storeLoadsInProgress counts the loads from the weight store in progress.
func (c *cluster) storeLoadsInProgress() int {
	n := 0
	for _, s := range c.servers {
		if s.busy && !s.pending.Unload && !s.onDisk[s.pending.Model] {
			n++
		}
	}
	return n
}

func newCluster(zones []string, perZone, models int) *cluster {
	c := &cluster{
		now:         startTime,
		engine:      &routes.Engine{Slots: 24, WeightsMB: 200, AdapterSlots: 2, LoadsPerSecond: 5},
		cores:       map[string]*loader.Core{},
		statuses:    map[string]replicas.ServerStatus{},
		loseMessage: func() bool { return false },
	}
	for i := range models {
		c.engine.Models = append(c.engine.Models, routes.Model{
			Name: fmt.Sprint("m", i), WeightsMB: 60, LoadTime: 6 * time.Second, DiskLoadTime: time.Second,
			WarmLoadTime: 400 * time.Millisecond, Adapters: 3, AdapterSizeMB: 1,
		})
	}
	for _, zone := range zones {
		c.cores[zone] = loader.New(c.now, loader.Settings{Leader: "h", Cell: zone, Cells: len(zones)})
		for i := range perZone {
			c.servers = append(c.servers, &fakeServer{
				entry: replicas.Entry{ID: fmt.Sprint(zone, "-", i), Start: 1, Service: "llm", Zone: zone, Slots: 24},
				holds: map[string]map[string]bool{}, onDisk: map[string]bool{},
			})
		}
	}
	return c
}

// addModel makes the server hold the model, in its entry too.
func (s *fakeServer) addModel(model string) {
	s.holds[model] = map[string]bool{}
	s.onDisk[model] = true
	s.entry.Holds = append(s.entry.Holds, replicas.Holding{Model: model})
	s.entry.OnDisk = append(s.entry.OnDisk, model)
}

// used returns the occupied memory in MB and the number of adapters.
func (s *fakeServer) used(e *routes.Engine) (mb float64, adapters int) {
	for model, as := range s.holds {
		mb += e.Model(model).WeightsMB + float64(len(as))*e.Model(model).AdapterSizeMB
		adapters += len(as)
	}
	return mb, adapters
}

// execute carries out an order as a backend server does. An order beyond the
// server's capacity makes it crash.
func (s *fakeServer) execute(now time.Time, o replicas.Order, e *routes.Engine) replicas.OrderResult {
	if s.busy || o.After != s.acceptedOrders {
		return replicas.OrderConflict
	}
	mb, adapters := s.used(e)
	m := e.Model(o.Model)
	switch {
	case o.Adapter != "" && o.Unload:
		delete(s.holds[o.Model], o.Adapter)
		s.acceptedOrders++
		return replicas.OrderHolds
	case o.Adapter != "" && s.holds[o.Model][o.Adapter]:
		return replicas.OrderHolds
	case o.Adapter != "":
		if s.holds[o.Model] == nil || adapters+1 > e.AdapterSlots || mb+m.AdapterSizeMB > e.WeightsMB {
			s.crashed = fmt.Sprintf("adapter %s/%s beside %v", o.Model, o.Adapter, s.holds)
			return replicas.OrderUnknown
		}
		s.holds[o.Model][o.Adapter] = true
		s.acceptedOrders++
		return replicas.OrderAccepted
	case !o.Unload && mb+m.WeightsMB > e.WeightsMB:
		s.crashed = fmt.Sprintf("model %s beside %v", o.Model, s.holds)
		return replicas.OrderUnknown
	}
	s.acceptedOrders++
	s.busy, s.pending, s.busyUntil = true, o, now.Add(50*time.Millisecond)
	if !o.Unload {
		s.busyUntil = now.Add(m.LoadTime)
		if s.onDisk[o.Model] {
			s.busyUntil = now.Add(e.Model(o.Model).DiskLoadTime)
		}
	}
	return replicas.OrderAccepted
}

// step completes the order in progress if its time has come, and records a report.
func (s *fakeServer) step(now time.Time) {
	if s.busy && !now.Before(s.busyUntil) {
		s.busy = false
		if s.pending.Unload {
			delete(s.holds, s.pending.Model)
		} else {
			s.holds[s.pending.Model] = map[string]bool{}
			s.onDisk[s.pending.Model] = true
		}
	}
	r := replicas.Report{Start: s.entry.Start, Orders: s.acceptedOrders, Busy: s.busy}
	for model, as := range s.holds {
		h := replicas.Holding{Model: model}
		for a := range as {
			h.Adapters = append(h.Adapters, a)
		}
		r.Holds = append(r.Holds, h)
	}
	for model := range s.onDisk {
		r.OnDisk = append(r.OnDisk, model)
	}
	s.pastReports = append(s.pastReports, timedReport{now, r})
}

// laggedReport returns the report of the server's state 200 ms ago.
func (s *fakeServer) laggedReport(now time.Time) replicas.Report {
	at := s.pastReports[0]
	for _, h := range s.pastReports {
		if now.Sub(h.at) < 200*time.Millisecond {
			break
		}
		at = h
	}
	return at.report
}

func (c *cluster) server(id string) *fakeServer {
	for _, s := range c.servers {
		if s.entry.ID == id {
			return s
		}
	}
	return nil
}

// step advances the time by one tick, runs each loader and carries out its effects.
func (c *cluster) step() {
	c.now = c.now.Add(tick)
	c.runLateOrders()
	var entries []replicas.Entry
	for _, s := range c.servers {
		s.step(c.now)
		entries = append(entries, s.entry)
	}
	var live []string
	for zone := range c.cores {
		live = append(live, zone)
	}
	engine := cmp.Or(c.desired, c.engine)
	for zone, core := range c.cores {
		effects := core.Tick(c.now, loader.Input{
			Engine: engine, Servers: entries, Demand: append([]waiting.ModelDemand(nil), c.demand...), LiveCells: live, Token: 1, CopyRate: c.copyRate,
			ServerStatuses: func(id string) (replicas.ServerStatus, bool) { status, ok := c.statuses[id]; return status, ok },
			LoadCost:       func(cell, name string) (float64, bool) { x, ok := c.cores[cell].LoadCosts(c.now)[name]; return x, ok },
			MayOrder:       func(string) bool { return true },
		})
		for _, e := range effects.ReportRequests {
			r, err := c.report(e.ID)
			core.HandleReport(c.now, e.ID, e.Start, r, err)
		}
		for _, o := range effects.Orders {
			c.orderLog = append(c.orderLog, fmt.Sprintf("%v %s unload=%v %s/%s", c.now.Sub(startTime), o.Order.ServerID, o.Order.Unload, o.Order.Model, o.Order.Adapter))
			result := replicas.OrderUnknown
			lost := c.loseMessage()
			if c.late != nil {
				if delay, late := c.late(); late {
					c.lateOrders = append(c.lateOrders, lateOrder{c.now.Add(delay), o.Order, o.Server.Start})
					core.HandleOrderResult(c.now, o.Order, o.Server.Start, replicas.OrderUnknown)
					continue
				}
			}
			if !lost || c.loseMessage() {
				s := c.server(o.Server.ID)
				result = s.execute(c.now, o.Order, c.engine)
				if n := c.storeLoadsInProgress(); o.UsesStore && result == replicas.OrderAccepted && c.storeConcurrency > 0 && n > c.storeConcurrency {
					s.busyUntil = c.now.Add(6 * time.Second * time.Duration(n) / time.Duration(c.storeConcurrency))
				}
			}
			if lost {
				result = replicas.OrderUnknown
			} else if o.UsesStore && result == replicas.OrderAccepted {
				c.storeLoads++
			}
			core.HandleOrderResult(c.now, o.Order, o.Server.Start, result)
		}
		for _, status := range core.ServerStatuses(c.now) {
			c.statuses[status.ID] = status
		}
		_ = zone
	}
}

func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.step()
	}
}

// copies counts the servers that hold the model.
func (c *cluster) copies(model string) int {
	n := 0
	for _, s := range c.servers {
		if s.holds[model] != nil {
			n++
		}
	}
	return n
}

func (c *cluster) arrive(model string, fast bool, n int) {
	for _, core := range c.cores {
		core.CountRequests(c.now, model, "", fast, n)
	}
}

func demandFor(c *cluster, model, adapter string) waiting.ModelDemand {
	return waiting.ModelDemand{Service: "llm", Model: model, Adapter: adapter, Count: 1, Deadline: c.now.Add(time.Minute)}
}

func TestRequestedModelIsLoadedOnce(t *testing.T) {
	c := newCluster([]string{"a", "b", "c"}, 2, 4)
	c.engine.Models = c.engine.Models[:1]
	c.run(time.Second)
	c.demand = []waiting.ModelDemand{demandFor(c, "m0", "")}
	c.run(8 * time.Second)
	assert.Equal(t, c.copies("m0"), 1, "%v", c.orderLog)
	assert.Equal(t, c.storeLoads, 1)
}

func TestLoadsOnServerWithWeightsOnDisk(t *testing.T) {
	c := newCluster([]string{"a", "b"}, 2, 1)
	c.servers[3].onDisk["m0"] = true
	c.servers[3].entry.OnDisk = []string{"m0"}
	c.run(time.Second)
	c.demand = []waiting.ModelDemand{demandFor(c, "m0", "")}
	c.run(2 * time.Second)
	assert.Assert(t, c.servers[3].holds["m0"] != nil, "%v", c.orderLog)
	assert.Equal(t, c.storeLoads, 0)
}

// A load for a rarely requested model must not evict a busy model while the server
// holds one that nobody requests.
func TestLoadEvictsModelWithoutRequests(t *testing.T) {
	c := newCluster([]string{"a"}, 1, 4)
	for _, m := range []string{"m0", "m1", "m2"} {
		c.servers[0].addModel(m)
	}
	for range 100 {
		c.arrive("m0", true, 1)
		c.arrive("m1", true, 1)
		c.step()
	}
	c.demand = []waiting.ModelDemand{demandFor(c, "m3", "")}
	c.run(8 * time.Second)
	assert.Assert(t, c.servers[0].holds["m3"] != nil, "%v", c.orderLog)
	assert.Assert(t, c.servers[0].holds["m2"] == nil)
}

// If all models on the only server are busy, a rarely requested model is not loaded,
// although a request waits for it.
func TestRareModelDoesNotEvictBusyModels(t *testing.T) {
	c := newCluster([]string{"a"}, 1, 4)
	for _, m := range []string{"m0", "m1", "m2"} {
		c.servers[0].addModel(m)
	}
	c.demand = []waiting.ModelDemand{demandFor(c, "m3", "")}
	for range 200 {
		for _, m := range []string{"m0", "m1", "m2"} {
			c.arrive(m, true, 1)
		}
		c.step()
	}
	assert.Equal(t, len(c.orderLog), 0)
}

// A model whose demand rises above the capacity of one copy gets a second one.
func TestRisingDemandAddsSecondCopy(t *testing.T) {
	c := newCluster([]string{"a", "b"}, 1, 1)
	c.servers[0].addModel("m0")
	for range 200 {
		c.arrive("m0", true, 1)
		c.step()
	}
	c.run(8 * time.Second)
	assert.Equal(t, c.copies("m0"), 2, "%v", c.orderLog)
}

// Orders without a response are sent again and carried out once at most, whether the
// order or only its response was lost.
func TestResendsOrdersWithUnknownResult(t *testing.T) {
	c := newCluster([]string{"a"}, 1, 1)
	n := 0
	c.loseMessage = func() bool { n++; return n%3 != 0 }
	c.run(time.Second)
	c.demand = []waiting.ModelDemand{demandFor(c, "m0", "")}
	c.run(15 * time.Second)
	assert.Equal(t, c.copies("m0"), 1, "%v", c.orderLog)
	assert.Equal(t, c.servers[0].crashed, "")
}

// No order may make a server hold more than fits, as it would crash, under random
// demand, lost messages and server restarts.
func TestOrdersNeverExceedServerCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster([]string{"a", "b"}, 2, 8)
		for _, s := range c.servers {
			s.addModel(fmt.Sprint("m", rapid.IntRange(0, 7).Draw(t, "held")))
		}
		c.loseMessage = func() bool { return rapid.IntRange(0, 9).Draw(t, "lose") == 0 }
		for range 12 {
			c.demand = nil
			for range rapid.IntRange(0, 4).Draw(t, "demand") {
				adapter := ""
				if rapid.Bool().Draw(t, "adapter") {
					adapter = fmt.Sprint("a", rapid.IntRange(1, 3).Draw(t, "name"))
				}
				model := fmt.Sprint("m", rapid.IntRange(0, 7).Draw(t, "model"))
				c.demand = append(c.demand, demandFor(c, model, adapter))
				c.arrive(model, rapid.Bool().Draw(t, "fast"), rapid.IntRange(1, 20).Draw(t, "count"))
			}
			if rapid.IntRange(0, 5).Draw(t, "restart") == 0 {
				s := c.servers[rapid.IntRange(0, 3).Draw(t, "server")]
				disk := s.onDisk
				s.entry.Start++
				s.entry.Holds = nil
				*s = fakeServer{entry: s.entry, holds: map[string]map[string]bool{}, onDisk: disk}
				s.step(c.now)
			}
			c.run(time.Duration(rapid.IntRange(100, 3000).Draw(t, "time")) * time.Millisecond)
			for _, s := range c.servers {
				if s.crashed != "" {
					t.Fatalf("%s: %s\n%v", s.entry.ID, s.crashed, c.orderLog)
				}
			}
		}
	})
}
