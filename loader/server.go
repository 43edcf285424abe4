package loader

import (
	"slices"
	"strings"
	"time"

	"github.com/redwingnotch/redwingnotch/replicas"
	"github.com/redwingnotch/redwingnotch/routes"
)

// place says where a server finds the weights of a model.
type place uint8

const (
	fromStore place = iota
	fromDisk
	fromMemory
)

// server is what the loader knows of one backend server.
type server struct {
	entry    replicas.Entry
	foreign  *replicas.View // as another cell's loader tells; nil at servers of this cell
	mine     bool           // of this cell
	known    bool           // holds is what the server held after its first orders orders
	orders   uint64         // accepted since its start
	holds    map[string]*resident
	inMemory []string
	onDisk   []string
	running  int

	order     *sentOrder // in progress, or possibly so
	unsettled *sentOrder // taken as done, but not reported so yet
	plan      *plan
	reportDue time.Time
	asked     bool // a report is awaited
}

// resident is a model that a server holds.
type resident struct {
	adapters map[string]time.Time // when each was last asked for
	since    time.Time
}

// sentOrder is the newest order to a server.
type sentOrder struct {
	order    replicas.Order
	answered bool      // the server accepted it
	store    bool      // it draws on the weight store
	beside   int       // loads from the weight store that ran side by side with it, itself included
	late     bool      // it was not done when it should have been: its end is told by a report only
	begun    time.Time // when it was sent
	due      time.Time // when it is expected to be complete
}

// plan is a load that a server was chosen for, with what must go first.
type plan struct {
	model    string
	victims  []string
	since    time.Time
	announce time.Time // when the next victim was announced; zero if it was not
	urgent   bool      // requests wait for it
}

func newServer(e replicas.Entry) *server {
	return &server{entry: e, holds: map[string]*resident{}}
}

func (s *server) placeOf(model string) place {
	switch {
	case slices.Contains(s.inMemory, model):
		return fromMemory
	case slices.Contains(s.onDisk, model):
		return fromDisk
	}
	return fromStore
}

func loadTime(m *routes.Model, p place) time.Duration {
	switch p {
	case fromMemory:
		return m.WarmLoadTime
	case fromDisk:
		return m.DiskLoadTime
	}
	return m.LoadTime
}

// usedMB is the memory that weights and adapters take.
func (s *server) usedMB(e *routes.Engine) float64 {
	used := 0.0
	for name, r := range s.holds {
		if m := e.Model(name); m != nil {
			used += m.WeightsMB + float64(len(r.adapters))*m.AdapterSizeMB
		}
	}
	return used
}

func (s *server) adapterCount() int {
	n := 0
	for _, r := range s.holds {
		n += len(r.adapters)
	}
	return n
}

// idle reports whether the server can be given an order now.
func (s *server) idle() bool { return s.mine && s.known && s.order == nil && !s.entry.Draining }

// leaving returns the model that no new request may use, or "".
func (s *server) leaving() string {
	if s.foreign != nil {
		return s.foreign.Unloading
	}
	if s.order != nil && s.order.order.Unload && s.order.order.Adapter == "" {
		return s.order.order.Model
	}
	if s.plan != nil && !s.plan.announce.IsZero() && len(s.plan.victims) > 0 {
		return s.plan.victims[0]
	}
	if s.unsettled != nil && s.unsettled.order.Unload {
		return s.unsettled.order.Model
	}
	return ""
}

// has reports whether the server holds the model and goes on to.
func (s *server) has(model string) bool {
	return s.holds[model] != nil && s.leaving() != model && (s.plan == nil || !slices.Contains(s.plan.victims, model))
}

// ordered returns the model whose load was ordered and is not seen complete, or "".
func (s *server) ordered() string {
	if s.order != nil && !s.order.order.Unload && s.order.order.Adapter == "" {
		return s.order.order.Model
	}
	return ""
}

// gets reports whether a load of the model is ordered or planned at the server.
func (s *server) gets(model string) bool {
	if s.foreign != nil {
		return s.foreign.Loading == model
	}
	return s.ordered() == model || s.plan != nil && s.plan.model == model
}

// loading returns the model that the server loads or is about to, or "".
func (s *server) loading() string {
	if o := s.ordered(); o != "" {
		return o
	}
	if s.plan != nil {
		return s.plan.model
	}
	return ""
}

// view is what other nodes are told.
func (s *server) view(now time.Time, e *routes.Engine) replicas.View {
	v := replicas.View{ID: s.entry.ID, Start: s.entry.Start, Unloading: s.leaving(), Loading: s.loading(), Running: s.running}
	for name, r := range s.holds {
		h := replicas.Holding{Model: name}
		for a := range r.adapters {
			if !s.fetching(name, a) {
				h.Adapters = append(h.Adapters, a)
			}
		}
		slices.Sort(h.Adapters)
		v.Holds = append(v.Holds, h)
	}
	slices.SortFunc(v.Holds, func(a, b replicas.Holding) int { return strings.Compare(a.Model, b.Model) })
	if v.Loading != "" {
		v.LoadEnds = s.loadEnds(now, e)
		v.Planned = s.order == nil
		v.FromStore = s.order != nil && s.order.store || s.order == nil && s.placeOf(v.Loading) == fromStore
	}
	return v
}

// fetching reports whether the adapter is on its way to the server.
func (s *server) fetching(model, adapter string) bool {
	return s.order != nil && s.order.order.Model == model && s.order.order.Adapter == adapter && adapter != ""
}

// loadEnds returns when the load in progress or planned is expected to be seen
// complete.
func (s *server) loadEnds(now time.Time, e *routes.Engine) time.Time {
	if s.order != nil && !s.order.order.Unload && s.order.order.Adapter == "" {
		return later(s.order.due, now).Add(reportLag)
	}
	ends := now.Add(reportLag)
	if m := e.Model(s.plan.model); m != nil {
		ends = ends.Add(loadTime(m, s.placeOf(m.Name)))
	}
	return ends.Add(time.Duration(len(s.plan.victims)) * unloadTime)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// setForeign takes over what another cell's loader tells of the server, or what
// its entry says if none does.
func (s *server) setForeign(now time.Time, v replicas.View, told bool) {
	s.inMemory, s.onDisk = s.entry.InMemory, s.entry.OnDisk
	s.known = told
	if !told {
		s.foreign = &replicas.View{}
		s.setHolds(now, s.entry.Holds)
		return
	}
	s.foreign, s.running = &v, v.Running
	s.setHolds(now, v.Holds)
}

// setHolds replaces what the server holds by a report, keeping the times of use.
func (s *server) setHolds(now time.Time, hs []replicas.Holding) {
	before := s.holds
	s.holds = map[string]*resident{}
	for _, h := range hs {
		r := &resident{adapters: map[string]time.Time{}, since: now}
		old := before[h.Model]
		if old != nil {
			r.since = old.since
		}
		for _, a := range h.Adapters {
			r.adapters[a] = time.Time{}
			if old != nil {
				r.adapters[a] = old.adapters[a]
			}
		}
		s.holds[h.Model] = r
	}
}

// addArriving counts adapters that are on their way, named MODEL/NAME@VERSION:
// they take a place already.
func (s *server) addArriving(now time.Time, names []string) {
	for _, name := range names {
		model, rest, _ := strings.Cut(name, "/")
		adapter, _, _ := strings.Cut(rest, "@")
		if r := s.holds[model]; r != nil && adapter != "" {
			r.adapters[adapter] = now
		}
	}
}
