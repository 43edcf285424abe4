package replicas

import (
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Time limits of the table.
const (
	statusMaxAge       = 3 * time.Second         // an older server status is ignored in favour of the entry, see SetLeaderStateAge
	absentTTL          = 700 * time.Millisecond  // time for which a model is assumed missing after the server reported that it does not hold it
	minPeerLoadMaxAge  = 1500 * time.Millisecond // least time for which counts of another node's requests in flight are used
	peerLoadSweep      = 50 * time.Millisecond   // interval at which outdated counts are looked for
	plannedLoadsMaxAge = 2 * time.Second         // older lists of planned loads are ignored, see SetLeaderStateAge
	reportedLoadMaxAge = 300 * time.Millisecond  // an older load reported with a response is ignored
)

// Server is the table's row of one backend server.
type Server struct {
	Entry
	status         *ServerStatus        // last status from the cell's leader; nil if none
	statusAt       time.Time            // when status was received
	absentUntil    map[string]time.Time // by MODEL or MODEL/ADAPTER: end of the time for which it is assumed missing
	inFlight       int                  // requests sent by this node
	peerInFlight   int                  // requests in flight from the other nodes: the sum of peerLoads
	reported       ReportedLoad         // load reported with a response
	reportedLoadAt time.Time            // when reported was received
	health         health
	ejected        bool          // see service.refreshEjections
	expiredUntil   time.Time     // until when the server is retained although its entry expired in a store outage; zero if it exists
	listedDraining bool          // its entry, or another node, says that it is draining
	restarted      bool          // a later start runs under its ID and address, with software that is not known yet
	notice         *notice       // what this start has said of itself to this node; nil if nothing
	hash           uint64        // hash of the ID
	preferenceCost float64       // see Table.SpreadBy
	cache          cacheUse      // known use of its KV cache
	connections    *atomic.Int64 // open connections of this node; nil if they are not counted
	models         []string      // models under which the service lists it
	learnedSlots   float64       // see SetLearnedSlots; zero if none are
	pace           serverPace    // its concurrency limit
}

// ReportedLoad is the load that a server reports with a response.
type ReportedLoad struct {
	Requests int     // running and waiting requests
	Pace     float64 // how long work takes on the server's machine now, relative to the usual time; 1 if not reported
}

// peerLoad is the number of requests that another node has in flight.
type peerLoad struct {
	at       time.Time      // when they were received
	until    time.Time      // end of the time for which the counts are used
	inFlight map[string]int // by server ID
	tokens   PeerTokens     // their tokens; unknown unless SetPeerTokens was called
}

// plannedLoads lists the models whose loads wait for the weight store.
type plannedLoads struct {
	at    time.Time
	ready map[string]time.Time // expected end of the load, by model
}

// Table holds all backend servers. It is not safe for concurrent use.
type Table struct {
	rows        map[string]*Server        // by server ID
	services    map[string]*service       // the same servers, by service
	removed     map[string]tombstone      // by server ID
	notices     map[startID]*notice       // what servers have said of themselves
	peerLoads   map[string]peerLoad       // by node
	sweptAt     time.Time                 // when outdated peerLoads were last looked for
	planned     map[string]plannedLoads   // by source, as passed to SetPlanned
	stateAge    time.Duration             // see SetLeaderStateAge
	node        string                    // see SpreadBy
	connections func(Entry) *atomic.Int64 // see CountConnections; may be nil

	cacheWaiters map[string]int // number of other nodes with requests that wait for room in a KV cache, by service

	departed map[departedSoftware]time.Time // when the last server with that software left
	limits   limits                         // see limits.go
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{rows: map[string]*Server{}, services: map[string]*service{}, removed: map[string]tombstone{}, notices: map[startID]*notice{},
		peerLoads: map[string]peerLoad{}, planned: map[string]plannedLoads{}, departed: map[departedSoftware]time.Time{}, cacheWaiters: map[string]int{}}
}

// SetEntry inserts or replaces a server's entry and reports whether it did; an
// outdated entry is ignored. A server that has said that it is leaving is draining,
// whatever the entry says. All other state of a server is discarded if it has
// restarted or changed its address.
func (t *Table) SetEntry(now time.Time, e Entry) bool {
	if old, removed := t.removed[e.ID]; removed && e.Revision <= old.revision {
		return false
	}
	row := t.rows[e.ID]
	if row != nil && e.Revision < row.Revision || t.hasLeft(e) {
		return false
	}
	delete(t.removed, e.ID)
	if !t.SameStart(e) {
		t.unlist(now, row)
		known := row != nil
		row = t.newServer(e)
		t.rows[e.ID] = row
		t.list(row)
		t.limitStart(now, row, known)
		return true
	}
	if row.Service != e.Service {
		t.unlist(now, row)
		defer t.list(row)
	} else if row.Software != e.Software {
		t.softwareLeft(now, row.Service, row.Software)
	}
	row.Entry, row.listedDraining = e, e.Draining
	row.Draining = e.Draining || row.notice.saidLeaving()
	row.expiredUntil = time.Time{}
	if svc := t.services[row.Service]; svc != nil {
		svc.listModels(row)
		svc.outdated = true
	}
	return true
}

// newServer returns a row for a start of a server that has none.
func (t *Table) newServer(e Entry) *Server {
	row := &Server{Entry: e, listedDraining: e.Draining, absentUntil: map[string]time.Time{}, notice: t.notices[startOf(e)], hash: xxhash.Sum64String(e.ID)}
	for _, p := range t.peerLoads {
		row.peerInFlight += p.inFlight[e.ID]
	}
	t.addPeersCacheUse(row)
	row.Draining = e.Draining || row.notice.saidLeaving()
	row.preferenceCost = t.preferenceCostOf(row)
	if t.connections != nil {
		row.connections = t.connections(e)
	}
	return row
}

// CountConnections lets the choice prefer servers to which a connection of this node is idle.
// For each start of a server, count returns the number of its open connections, which is
// kept current. Call it before the first SetEntry.
func (t *Table) CountConnections(count func(Entry) *atomic.Int64) { t.connections = count }

// connected reports whether a connection of this node to the server is idle.
func (s *Server) connected() bool {
	return s.connections == nil || s.connections.Load() > int64(s.inFlight)
}

// MarkDraining marks a server as draining because another node reported that it is
// draining, or that its entry was removed, as of the revision. It reports whether
// the server was changed; an outdated report is ignored.
func (t *Table) MarkDraining(id string, revision uint64) bool {
	row := t.rows[id]
	if row == nil || row.listedDraining || revision < row.Revision {
		return false
	}
	known := row.Draining
	row.Draining, row.listedDraining, row.Revision = true, true, revision
	t.healthChanged(row)
	return !known
}

// Digest returns a hash of the servers, their starts and which of them drain. Nodes whose
// digests are equal have read the same list, whatever they know of it beyond that.
func (t *Table) Digest() uint64 {
	var digest uint64
	for _, row := range t.rows {
		if row.expiredUntil.IsZero() {
			digest ^= mix(row.hash ^ mix(uint64(row.Start)<<1|boolBit(row.listedDraining)))
		}
	}
	return digest
}

// boolBit returns 1 for true.
func boolBit(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}

// MarkExpired records that a server's entry expired during a store outage.
// RemoveExpired removes the server at the time until unless SetEntry is called for it before.
func (t *Table) MarkExpired(id string, until time.Time) {
	if row := t.rows[id]; row != nil && row.expiredUntil.IsZero() {
		row.expiredUntil = until
	}
}

// AnyExpired reports whether MarkExpired was called for a server that is still in the table.
func (t *Table) AnyExpired() bool {
	for _, row := range t.rows {
		if !row.expiredUntil.IsZero() {
			return true
		}
	}
	return false
}

// RemoveExpired removes the servers whose entries expired and were not written again in time. It
// returns their entries.
func (t *Table) RemoveExpired(now time.Time) []Entry {
	var removed []Entry
	for id, row := range t.rows {
		if !row.expiredUntil.IsZero() && !now.Before(row.expiredUntil) {
			t.remove(now, id, row.Revision, false)
			removed = append(removed, row.Entry)
		}
	}
	return removed
}

// Entries returns all entries ordered by server ID.
func (t *Table) Entries() []Entry {
	entries := make([]Entry, 0, len(t.rows))
	for _, row := range t.rows {
		entries = append(entries, row.Entry)
	}
	slices.SortFunc(entries, func(a, b Entry) int { return strings.Compare(a.ID, b.ID) })
	return entries
}

// Entry returns the entry of a server, or false if the server is unknown.
func (t *Table) Entry(id string) (Entry, bool) {
	row := t.rows[id]
	if row == nil {
		return Entry{}, false
	}
	return row.Entry, true
}

// SameStart reports whether the server is known and has neither restarted nor moved
// since it had the entry. The outcome of a request that was sent before says nothing
// about a later start.
func (t *Table) SameStart(e Entry) bool {
	row := t.rows[e.ID]
	return row != nil && row.Start == e.Start && row.Address == e.Address
}

// SetServerStatus stores a server status that the cell's leader published. It is ignored
// if the server is unknown or the status is of another start of the server.
func (t *Table) SetServerStatus(now time.Time, s ServerStatus) {
	row := t.rows[s.ID]
	if row == nil || row.Start != s.Start {
		return
	}
	row.status, row.statusAt = &s, now
	t.services[row.Service].listModels(row)
}

// SetLeaderStateAge sets how old what leaders publish may become where messages between nodes
// are so rare that the usual ages are shorter.
func (t *Table) SetLeaderStateAge(age time.Duration) { t.stateAge = age }

// leaderStateAge returns the usual age, or that of SetLeaderStateAge if it is longer.
func (t *Table) leaderStateAge(usual time.Duration) time.Duration { return max(usual, t.stateAge) }

// ServerStatus returns the last status of a server, or false if there is none or it is
// older than statusMaxAge.
func (t *Table) ServerStatus(now time.Time, id string) (ServerStatus, bool) {
	row := t.rows[id]
	if row == nil || row.status == nil || now.Sub(row.statusAt) >= t.leaderStateAge(statusMaxAge) {
		return ServerStatus{}, false
	}
	return *row.status, true
}

// SetPlanned stores when the models whose loads wait for the weight store are
// expected to be ready, according to the source. It replaces the previous list of
// that source.
func (t *Table) SetPlanned(now time.Time, source string, ready map[string]time.Time) {
	t.planned[source] = plannedLoads{at: now, ready: ready}
}

// SetPeerLoad stores the requests that another node has in flight, by server ID. The
// counts are used for maxAge, or for minPeerLoadMaxAge if that is longer.
func (t *Table) SetPeerLoad(now time.Time, node string, inFlight map[string]int, maxAge time.Duration) {
	t.dropPeerLoad(node)
	p := peerLoad{at: now, until: now.Add(max(maxAge, minPeerLoadMaxAge)), inFlight: inFlight}
	t.peerLoads[node] = p
	t.addPeerLoad(inFlight, 1)
	t.addPeerTokens(p, 1)
}

// dropPeerLoad removes what another node has in flight.
func (t *Table) dropPeerLoad(node string) {
	t.addPeerLoad(t.peerLoads[node].inFlight, -1)
	t.addPeerTokens(t.peerLoads[node], -1)
	delete(t.peerLoads, node)
}

// addPeerLoad adds the counts, times sign, to the servers' sums.
func (t *Table) addPeerLoad(inFlight map[string]int, sign int) {
	for id, count := range inFlight {
		if row := t.rows[id]; row != nil {
			row.peerInFlight += sign * count
		}
	}
}

// dropOutdatedPeerLoads removes the counts of nodes that send no more messages.
func (t *Table) dropOutdatedPeerLoads(now time.Time) {
	if age := now.Sub(t.sweptAt); age >= 0 && age < peerLoadSweep {
		return
	}
	t.sweptAt = now
	for node, p := range t.peerLoads {
		if !now.Before(p.until) {
			t.dropPeerLoad(node)
		}
	}
}

// InFlight returns this node's requests in flight, by server ID.
func (t *Table) InFlight() map[string]int {
	counts := map[string]int{}
	for id, row := range t.rows {
		if row.inFlight > 0 {
			counts[id] = row.inFlight
		}
	}
	return counts
}

// MarkAbsent records that a server reported that it does not hold the model or
// adapter. It receives no requests for it during absentTTL.
func (t *Table) MarkAbsent(now time.Time, id, model, adapter string) {
	if row := t.rows[id]; row != nil {
		row.absentUntil[targetKey(model, adapter)] = now.Add(absentTTL)
	}
}

// AbsenceEnd returns when the first of the servers that are said to hold what is required, but
// did not run a request for it, is asked again; false if there is none.
func (t *Table) AbsenceEnd(now time.Time, req Requirement) (time.Time, bool) {
	var first time.Time
	svc := t.services[req.Service]
	if svc == nil {
		return first, false
	}
	for _, s := range svc.holders(req.Model) {
		end := s.absentUntil[targetKey(req.Model, req.Adapter)]
		if s.Draining || !now.Before(end) || !req.continuableBy(s) || !t.listsHolding(now, s, req.Model, req.Adapter) {
			continue
		}
		if first.IsZero() || end.Before(first) {
			first = end
		}
	}
	return first, !first.IsZero()
}

// targetKey returns MODEL, or MODEL/ADAPTER if the adapter is not empty.
func targetKey(model, adapter string) string {
	if adapter == "" {
		return model
	}
	return model + "/" + adapter
}

// holds reports whether a server has the model, and the adapter unless empty,
// ready.
func (t *Table) holds(now time.Time, s *Server, model, adapter string) bool {
	if model == "" {
		return true
	}
	if len(s.absentUntil) > 0 && now.Before(s.absentUntil[targetKey(model, adapter)]) {
		return false
	}
	return t.listsHolding(now, s, model, adapter)
}

// listsHolding reports whether the server's status, or else its entry, lists the model, and
// the adapter unless empty.
func (t *Table) listsHolding(now time.Time, s *Server, model, adapter string) bool {
	if s.status != nil && now.Sub(s.statusAt) < t.leaderStateAge(statusMaxAge) {
		return s.status.Has(model, adapter)
	}
	return Holds(s.Entry.Holds, model, adapter)
}

// load returns the number of requests that the server is known to have: those in
// flight from all nodes, or the number it reported itself if that is higher.
func (s *Server) load(now time.Time) int {
	n := s.inFlight + s.peerInFlight
	if now.Sub(s.reportedLoadAt) < reportedLoadMaxAge {
		n = max(n, s.reported.Requests)
	}
	return n
}

// Begin counts a request that this node sends to a server.
func (t *Table) Begin(now time.Time, id string) {
	if row := t.rows[id]; row != nil {
		row.inFlight++
		row.pace.sentAt = now
		row.beginTrial(now)
	}
}

// End counts the end of a request that Begin counted.
func (t *Table) End(id string) {
	if row := t.rows[id]; row != nil && row.inFlight > 0 {
		row.inFlight--
	}
}

// SetReportedLoad stores the load that a server reported with a response.
func (t *Table) SetReportedLoad(now time.Time, id string, l ReportedLoad) {
	if row := t.rows[id]; row != nil {
		row.reported, row.reportedLoadAt = l, now
	}
}

// ReadyAt returns when the leaders expect the required model to be ready on some server: the
// earliest end of a load in progress or planned on a server, else of a load that waits for the
// weight store, if servers of any software will do. It returns false if there is none.
func (t *Table) ReadyAt(now time.Time, req Requirement) (time.Time, bool) {
	var best time.Time
	for _, s := range t.rows {
		if s.Service != req.Service || !req.continuableBy(s) || s.status == nil || now.Sub(s.statusAt) >= t.leaderStateAge(statusMaxAge) || s.status.Loading != req.Model {
			continue
		}
		if best.IsZero() || s.status.LoadEnds.Before(best) {
			best = s.status.LoadEnds
		}
	}
	if !best.IsZero() || req.Software != nil {
		return best, !best.IsZero()
	}
	for _, p := range t.planned {
		if ready, known := p.ready[req.Model]; known && now.Sub(p.at) < t.leaderStateAge(plannedLoadsMaxAge) && (best.IsZero() || ready.Before(best)) {
			best = ready
		}
	}
	return best, !best.IsZero()
}

// ShortestLoadTime returns the shortest load time of the required model on any server, given
// the load times from host memory, disk and the weight store.
func (t *Table) ShortestLoadTime(req Requirement, memory, disk, store time.Duration) time.Duration {
	shortest := store
	for _, s := range t.rows {
		if s.Service != req.Service || s.Draining || !req.continuableBy(s) {
			continue
		}
		if slices.Contains(s.InMemory, req.Model) {
			shortest = min(shortest, memory)
		} else if slices.Contains(s.OnDisk, req.Model) {
			shortest = min(shortest, disk)
		}
	}
	return shortest
}
