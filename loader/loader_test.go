package loader_test

import (
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

var begin = time.Unix(1000, 0)

// fakeServer is a backend server as the protocol describes it.
type fakeServer struct {
	entry     replicas.Entry
	orders    uint64
	holds     map[string]map[string]bool // model: adapters
	onDisk    map[string]bool
	busyUntil time.Time
	pending   replicas.Order
	busy      bool
	crashed   string
	history   []snapshot // for lagging reports
}

type snapshot struct {
	at     time.Time
	report replicas.Report
}

// cluster drives loaders of one service against fake servers.
type cluster struct {
	now     time.Time
	engine  *routes.Engine
	servers []*fakeServer
	cores   map[string]*loader.Core // by cell
	wants   []waiting.Want
	views   map[string]replicas.View
	loads   int // ordered from the weight store
	lose    func() bool
	orders  []string

	storeAtOnce int // loads from the weight store at full speed; zero is any number
}

// inStore counts the loads from the weight store in progress.
func (c *cluster) inStore() int {
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
		now:    begin,
		engine: &routes.Engine{Slots: 24, WeightsMB: 200, AdapterSlots: 2, LoadsPerSecond: 5},
		cores:  map[string]*loader.Core{},
		views:  map[string]replicas.View{},
		lose:   func() bool { return false },
	}
	for i := range models {
		c.engine.Models = append(c.engine.Models, routes.Model{
			Name: fmt.Sprint("m", i), WeightsMB: 60, LoadTime: 6 * time.Second, DiskLoadTime: time.Second,
			WarmLoadTime: 400 * time.Millisecond, Adapters: 3, AdapterSizeMB: 1,
		})
	}
	for _, zone := range zones {
		c.cores[zone] = loader.New(c.now, loader.Settings{Holder: "h", Cell: zone, Cells: len(zones)})
		for i := range perZone {
			c.servers = append(c.servers, &fakeServer{
				entry: replicas.Entry{ID: fmt.Sprint(zone, "-", i), Start: 1, Service: "llm", Zone: zone, Slots: 24},
				holds: map[string]map[string]bool{}, onDisk: map[string]bool{},
			})
		}
	}
	return c
}

func (s *fakeServer) put(model string) {
	s.holds[model] = map[string]bool{}
	s.onDisk[model] = true
	s.entry.Holds = append(s.entry.Holds, replicas.Holding{Model: model})
	s.entry.OnDisk = append(s.entry.OnDisk, model)
}

func (s *fakeServer) used(e *routes.Engine) (mb float64, adapters int) {
	for model, as := range s.holds {
		mb += e.Model(model).WeightsMB + float64(len(as))*e.Model(model).AdapterSizeMB
		adapters += len(as)
	}
	return mb, adapters
}

// take carries out an order as a server does, and notes a crash.
func (s *fakeServer) take(now time.Time, o replicas.Order, e *routes.Engine) replicas.OrderResult {
	if s.busy || o.After != s.orders {
		return replicas.OrderConflict
	}
	mb, adapters := s.used(e)
	m := e.Model(o.Model)
	switch {
	case o.Adapter != "" && o.Unload:
		delete(s.holds[o.Model], o.Adapter)
		s.orders++
		return replicas.OrderHolds
	case o.Adapter != "":
		if s.holds[o.Model] == nil || adapters+1 > e.AdapterSlots || mb+m.AdapterSizeMB > e.WeightsMB {
			s.crashed = fmt.Sprintf("adapter %s/%s beside %v", o.Model, o.Adapter, s.holds)
			return replicas.OrderUnknown
		}
		s.holds[o.Model][o.Adapter] = true
		s.orders++
		return replicas.OrderAccepted
	case !o.Unload && mb+m.WeightsMB > e.WeightsMB:
		s.crashed = fmt.Sprintf("model %s beside %v", o.Model, s.holds)
		return replicas.OrderUnknown
	}
	s.orders++
	s.busy, s.pending, s.busyUntil = true, o, now.Add(50*time.Millisecond)
	if !o.Unload {
		s.busyUntil = now.Add(m.LoadTime)
		if s.onDisk[o.Model] {
			s.busyUntil = now.Add(e.Model(o.Model).DiskLoadTime)
		}
	}
	return replicas.OrderAccepted
}

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
	r := replicas.Report{Start: s.entry.Start, Orders: s.orders, Busy: s.busy}
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
	s.history = append(s.history, snapshot{now, r})
}

// lagged returns the server's state of 200 ms ago.
func (s *fakeServer) lagged(now time.Time) replicas.Report {
	at := s.history[0]
	for _, h := range s.history {
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

func (c *cluster) step() {
	c.now = c.now.Add(tick)
	var entries []replicas.Entry
	for _, s := range c.servers {
		s.step(c.now)
		entries = append(entries, s.entry)
	}
	var live []string
	for zone := range c.cores {
		live = append(live, zone)
	}
	for zone, core := range c.cores {
		effects := core.Tick(c.now, loader.Input{
			Engine: c.engine, Servers: entries, Wants: append([]waiting.Want(nil), c.wants...), Live: live, Token: 1,
			Views:    func(id string) (replicas.View, bool) { v, ok := c.views[id]; return v, ok },
			Bid:      func(cell, name string) (float64, bool) { b, ok := c.cores[cell].Bids(c.now)[name]; return b, ok },
			MayOrder: func(string) bool { return true },
		})
		for _, e := range effects.Reports {
			core.Reported(c.now, e.ID, e.Start, c.server(e.ID).lagged(c.now), nil)
		}
		for _, o := range effects.Orders {
			c.orders = append(c.orders, fmt.Sprintf("%v %s unload=%v %s/%s", c.now.Sub(begin), o.Order.Replica, o.Order.Unload, o.Order.Model, o.Order.Adapter))
			result := replicas.OrderUnknown
			lost := c.lose()
			if !lost || c.lose() {
				s := c.server(o.Server.ID)
				result = s.take(c.now, o.Order, c.engine)
				if n := c.inStore(); o.Store && result == replicas.OrderAccepted && c.storeAtOnce > 0 && n > c.storeAtOnce {
					s.busyUntil = c.now.Add(6 * time.Second * time.Duration(n) / time.Duration(c.storeAtOnce))
				}
			}
			if lost {
				result = replicas.OrderUnknown
			} else if o.Store && result == replicas.OrderAccepted {
				c.loads++
			}
			core.OrderDone(c.now, o.Order, o.Server.Start, result)
		}
		for _, v := range core.Views(c.now) {
			c.views[v.ID] = v
		}
		_ = zone
	}
}

func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.step()
	}
}

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
		core.Arrived(c.now, model, "", fast, n)
	}
}

func want(c *cluster, model, adapter string) waiting.Want {
	return waiting.Want{Service: "llm", Model: model, Adapter: adapter, Count: 1, GiveUp: c.now.Add(time.Minute)}
}

func TestAWantedModelIsLoadedOnce(t *testing.T) {
	c := newCluster([]string{"a", "b", "c"}, 2, 4)
	c.engine.Models = c.engine.Models[:1]
	c.run(time.Second)
	c.wants = []waiting.Want{want(c, "m0", "")}
	c.run(8 * time.Second)
	assert.Equal(t, c.copies("m0"), 1, "%v", c.orders)
	assert.Equal(t, c.loads, 1)
}

func TestACopyOnDiskIsChosen(t *testing.T) {
	c := newCluster([]string{"a", "b"}, 2, 1)
	c.servers[3].onDisk["m0"] = true
	c.servers[3].entry.OnDisk = []string{"m0"}
	c.run(time.Second)
	c.wants = []waiting.Want{want(c, "m0", "")}
	c.run(2 * time.Second)
	assert.Assert(t, c.servers[3].holds["m0"] != nil, "%v", c.orders)
	assert.Equal(t, c.loads, 0)
}

// TestAColdModelDoesNotTakeTheHottestOnesPlace answers rare models asked for
// beside a busy one: what makes way is what nobody asks for.
func TestAColdModelDoesNotTakeTheHottestOnesPlace(t *testing.T) {
	c := newCluster([]string{"a"}, 1, 4)
	for _, m := range []string{"m0", "m1", "m2"} {
		c.servers[0].put(m)
	}
	for range 100 {
		c.arrive("m0", true, 1)
		c.arrive("m1", true, 1)
		c.step()
	}
	c.wants = []waiting.Want{want(c, "m3", "")}
	c.run(8 * time.Second)
	assert.Assert(t, c.servers[0].holds["m3"] != nil, "%v", c.orders)
	assert.Assert(t, c.servers[0].holds["m2"] == nil)
}

// TestAWaitingRareModelWaitsForABetterPlace: all that the server holds is busy.
func TestAWaitingRareModelWaitsForABetterPlace(t *testing.T) {
	c := newCluster([]string{"a"}, 1, 4)
	for _, m := range []string{"m0", "m1", "m2"} {
		c.servers[0].put(m)
	}
	c.wants = []waiting.Want{want(c, "m3", "")}
	for range 200 {
		for _, m := range []string{"m0", "m1", "m2"} {
			c.arrive(m, true, 1)
		}
		c.step()
	}
	assert.Equal(t, len(c.orders), 0)
}

// TestARisingModelGetsASecondCopy answers demand that moves to another model.
func TestARisingModelGetsASecondCopy(t *testing.T) {
	c := newCluster([]string{"a", "b"}, 1, 1)
	c.servers[0].put("m0")
	for range 200 {
		c.arrive("m0", true, 1)
		c.step()
	}
	c.run(8 * time.Second)
	assert.Equal(t, c.copies("m0"), 2, "%v", c.orders)
}

// TestOrdersWithoutAnAnswerAreRepeated: half of the answers are lost, some with
// the order.
func TestOrdersWithoutAnAnswerAreRepeated(t *testing.T) {
	c := newCluster([]string{"a"}, 1, 1)
	n := 0
	c.lose = func() bool { n++; return n%3 != 0 }
	c.run(time.Second)
	c.wants = []waiting.Want{want(c, "m0", "")}
	c.run(15 * time.Second)
	assert.Equal(t, c.copies("m0"), 1, "%v", c.orders)
	assert.Equal(t, c.servers[0].crashed, "")
}

// TestNoServerIsEverOrderedBeyondItsRoom drives random demand, lost answers and
// restarts. A server crashes if it is ordered to hold more than it can.
func TestNoServerIsEverOrderedBeyondItsRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster([]string{"a", "b"}, 2, 8)
		for _, s := range c.servers {
			s.put(fmt.Sprint("m", rapid.IntRange(0, 7).Draw(t, "held")))
		}
		c.lose = func() bool { return rapid.IntRange(0, 9).Draw(t, "lose") == 0 }
		for range 12 {
			c.wants = nil
			for range rapid.IntRange(0, 4).Draw(t, "wants") {
				adapter := ""
				if rapid.Bool().Draw(t, "adapter") {
					adapter = fmt.Sprint("a", rapid.IntRange(1, 3).Draw(t, "name"))
				}
				model := fmt.Sprint("m", rapid.IntRange(0, 7).Draw(t, "model"))
				c.wants = append(c.wants, want(c, model, adapter))
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
					t.Fatalf("%s: %s\n%v", s.entry.ID, s.crashed, c.orders)
				}
			}
		}
	})
}
