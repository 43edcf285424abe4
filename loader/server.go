package loader

import (
	"slices"
	"strings"
	"time"

	"github.com/redwingnotch/redwingnotch/replicas"
	"github.com/redwingnotch/redwingnotch/routes"
)

// weightSource is where a server loads the weights of a model from.
type weightSource uint8

const (
	fromStore weightSource = iota
	fromDisk
	fromMemory
)

// server is the state of one backend server as known to the loader.
type server struct {
	entry          replicas.Entry
	remoteStatus   *replicas.ServerStatus // status published by the server's cell, empty if there is none; nil for servers of this cell
	local          bool                   // the server is in this loader's cell
	known          bool                   // holds is known to be the state after acceptedOrders orders
	acceptedOrders uint64                 // orders accepted since the server started
	holds          map[string]*heldModel  // held models by name
	inMemory       []string               // models with weights in host memory
	onDisk         []string               // models with weights on disk
	running        int                    // running requests, as last reported
	reported       bool                   // a report has arrived
	doubtful       bool                   // orders of unknown result name acceptedOrders: the server may have accepted one of them, or may yet
	settledAt      time.Time              // when reports show the result of the last accepted order; zero if they do
	reportSentAt   time.Time              // when the latest report was requested

	order         *sentOrder // order in progress, or one whose result has not arrived
	unconfirmed   *sentOrder // order assumed to be complete but not yet reported so
	plan          *plan
	nextReport    time.Time // when the next report is to be requested
	reportPending bool      // a report was requested and has not arrived
}

// heldModel is a model that a server holds.
type heldModel struct {
	adapterUsed map[string]time.Time // time of the last request for each held adapter
	heldSince   time.Time            // when a report, status or entry first listed the model, or its load was assumed to be complete
}

// sentOrder is the latest order to a server.
type sentOrder struct {
	order           replicas.Order
	accepted        bool // the server accepted the order
	usesStore       bool // the order loads weights from the weight store
	concurrentLoads int  // loads from the weight store, running or planned by other cells, when the order was sent; includes its own
	overdue         bool // the order was not complete at its expected end; only a report ends it
	sentAt          time.Time
	expectedEnd     time.Time // when the order is expected to be complete
}

// plan is a load that a server was chosen for, with the models to unload first.
type plan struct {
	model       string   // empty if the victims are unloaded for their own sake
	victims     []string // models to unload, in this order
	plannedAt   time.Time
	publishedAt time.Time // when the next victim's unload was published; zero if not yet
	hasWaiters  bool      // requests wait for the model
	urgent      bool      // the load may start although the weight store is busy
}

func newServer(e replicas.Entry) *server {
	return &server{entry: e, holds: map[string]*heldModel{}}
}

// sourceOf returns the fastest source of weights that the server has for a model.
func (s *server) sourceOf(model string) weightSource {
	switch {
	case slices.Contains(s.inMemory, model):
		return fromMemory
	case slices.Contains(s.onDisk, model):
		return fromDisk
	}
	return fromStore
}

// loadTime returns the usual time of a load from a source.
func loadTime(m *routes.Model, source weightSource) time.Duration {
	switch source {
	case fromMemory:
		return m.WarmLoadTime
	case fromDisk:
		return m.DiskLoadTime
	}
	return m.LoadTime
}

// runs reports whether the server runs the version of the software; an empty one stands for any.
func (s *server) runs(software string) bool { return software == "" || s.entry.Software == software }

// adapterCount returns the number of held adapters over all models.
func (s *server) adapterCount() int {
	n := 0
	for _, held := range s.holds {
		n += len(held.adapterUsed)
	}
	return n
}

// ready reports whether an order can be sent to the server now.
func (s *server) ready() bool { return s.local && s.known && s.order == nil && !s.entry.Draining }

// unloadingModel returns the model that no new request may use because its unload is
// published, ordered or unconfirmed, or "".
func (s *server) unloadingModel() string {
	if s.remoteStatus != nil {
		return s.remoteStatus.Unloading
	}
	if s.order != nil && s.order.order.Unload && s.order.order.Adapter == "" {
		return s.order.order.Model
	}
	if s.plan != nil && !s.plan.publishedAt.IsZero() && len(s.plan.victims) > 0 {
		return s.plan.victims[0]
	}
	if s.unconfirmed != nil && s.unconfirmed.order.Unload {
		return s.unconfirmed.order.Model
	}
	return ""
}

// keeps reports whether the server holds the model and does not plan or carry out its unload.
func (s *server) keeps(model string) bool {
	return s.holds[model] != nil && s.unloadingModel() != model && (s.plan == nil || !slices.Contains(s.plan.victims, model))
}

// orderedLoad returns the model whose load was ordered and has not ended, or "".
func (s *server) orderedLoad() string {
	if s.order != nil && !s.order.order.Unload && s.order.order.Adapter == "" {
		return s.order.order.Model
	}
	return ""
}

// accept records that the server has accepted a number of orders. Those that named fewer
// are rejected from now on.
func (s *server) accept(orders uint64) { s.acceptedOrders, s.doubtful = orders, false }

// acceptModelOrder records the same of an order for a model. Reports that are requested
// within confirmReportDelay may still show the models before it.
func (s *server) acceptModelOrder(now time.Time, orders uint64) {
	s.accept(orders)
	s.settledAt = now.Add(confirmReportDelay)
}

// loadPending reports whether a load of the model is ordered or planned at the server.
func (s *server) loadPending(model string) bool {
	if s.remoteStatus != nil {
		return s.remoteStatus.Loading == model
	}
	return s.orderedLoad() == model || s.plan != nil && s.plan.model == model
}

// loadingModel returns the model whose load is ordered or planned, or "".
func (s *server) loadingModel() string {
	if o := s.orderedLoad(); o != "" {
		return o
	}
	if s.plan != nil {
		return s.plan.model
	}
	return ""
}

// status returns the server status to publish to other nodes.
func (s *server) status(now time.Time, e *routes.Engine) replicas.ServerStatus {
	st := replicas.ServerStatus{ID: s.entry.ID, Start: s.entry.Start, Unloading: s.unloadingModel(), Loading: s.loadingModel(), Running: s.running}
	for name, held := range s.holds {
		h := replicas.Holding{Model: name}
		for a := range held.adapterUsed {
			if !s.adapterInFlight(name, a) {
				h.Adapters = append(h.Adapters, a)
			}
		}
		slices.Sort(h.Adapters)
		st.Holds = append(st.Holds, h)
	}
	slices.SortFunc(st.Holds, func(a, b replicas.Holding) int { return strings.Compare(a.Model, b.Model) })
	if st.Loading != "" {
		st.LoadEnds = s.expectedLoadEnd(now, e)
		st.Planned = s.order == nil
		st.FromStore = s.order != nil && s.order.usesStore || s.order == nil && s.sourceOf(st.Loading) == fromStore
	}
	return st
}

// adapterInFlight reports whether the order in progress is for the adapter.
func (s *server) adapterInFlight(model, adapter string) bool {
	return s.order != nil && s.order.order.Model == model && s.order.order.Adapter == adapter && adapter != ""
}

// expectedLoadEnd returns when a report is expected to show the ordered or planned
// load as complete.
func (s *server) expectedLoadEnd(now time.Time, e *routes.Engine) time.Time {
	if s.order != nil && !s.order.order.Unload && s.order.order.Adapter == "" {
		return later(s.order.expectedEnd, now).Add(reportLag)
	}
	ends := now.Add(reportLag)
	if m := e.Model(s.plan.model); m != nil {
		ends = ends.Add(loadTime(m, s.sourceOf(m.Name)))
	}
	return ends.Add(time.Duration(len(s.plan.victims)) * unloadTime)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// setRemoteStatus sets the state of a server of another cell from the status that its
// cell published, or from its entry if there is none.
func (s *server) setRemoteStatus(now time.Time, status replicas.ServerStatus, published bool) {
	s.inMemory, s.onDisk = s.entry.InMemory, s.entry.OnDisk
	s.known = published
	if !published {
		s.remoteStatus = &replicas.ServerStatus{}
		s.setHolds(now, s.entry.Holds)
		return
	}
	s.remoteStatus, s.running = &status, status.Running
	s.setHolds(now, status.Holds)
}

// setHolds replaces the held models and adapters, retaining the times of load and
// last use of those held before.
func (s *server) setHolds(now time.Time, hs []replicas.Holding) {
	before := s.holds
	s.holds = map[string]*heldModel{}
	for _, h := range hs {
		held := &heldModel{adapterUsed: map[string]time.Time{}, heldSince: now}
		old := before[h.Model]
		if old != nil {
			held.heldSince = old.heldSince
		}
		for _, a := range h.Adapters {
			held.adapterUsed[a] = time.Time{}
			if old != nil {
				held.adapterUsed[a] = old.adapterUsed[a]
			}
		}
		if old != nil {
			// A report may be older than a load that the server accepted meanwhile.
			for a, used := range old.adapterUsed {
				if _, listed := held.adapterUsed[a]; !listed && now.Sub(used) < confirmReportDelay {
					held.adapterUsed[a] = used
				}
			}
		}
		s.holds[h.Model] = held
	}
}

// addArrivingAdapters counts adapters that are being loaded on the server, named
// MODEL/NAME@VERSION, as held: they occupy slots and memory already.
func (s *server) addArrivingAdapters(now time.Time, names []string) {
	for _, name := range names {
		model, rest, _ := strings.Cut(name, "/")
		adapter, _, _ := strings.Cut(rest, "@")
		if held := s.holds[model]; held != nil && adapter != "" {
			held.adapterUsed[adapter] = now
		}
	}
}
