package replicas

import (
	"slices"
	"strings"
	"time"
)

// Time limits of the table.
const (
	statusMaxAge       = 3 * time.Second         // an older server status is ignored in favour of the entry
	absentTTL          = 700 * time.Millisecond  // time for which a model is assumed missing after the server reported that it does not hold it
	peerLoadMaxAge     = 1500 * time.Millisecond // older counts of another node's requests in flight are ignored
	plannedLoadsMaxAge = 2 * time.Second         // older lists of planned loads are ignored
	reportedLoadMaxAge = 300 * time.Millisecond  // an older load reported with a response is ignored
	tombstoneRetention = time.Minute             // time for which removed entries are remembered, to reject older entries that arrive late
	expiredEntryGrace  = 2500 * time.Millisecond // time for which an entry that expired during a store outage is retained in the table
)

// Server is the table's row of one backend server.
type Server struct {
	Entry
	status         *ServerStatus        // last status from the cell's leader; nil if none
	statusAt       time.Time            // when status was received
	absentUntil    map[string]time.Time // by MODEL or MODEL/ADAPTER: end of the time for which it is assumed missing
	inFlight       int                  // requests sent by this node
	reportedLoad   int                  // running and waiting requests, as reported with a response
	reportedLoadAt time.Time            // when reportedLoad was received
	health         health
	expiredAt      time.Time // when the entry expired during a store outage; zero if it exists
}

// peerLoad is the number of requests that another node has in flight.
type peerLoad struct {
	at       time.Time
	inFlight map[string]int // by server ID
}

// plannedLoads lists the models whose loads wait for the weight store.
type plannedLoads struct {
	at    time.Time
	ready map[string]time.Time // expected end of the load, by model
}

// tombstone marks an entry that was removed.
type tombstone struct {
	revision uint64 // entries of this or a lower revision are outdated
	at       time.Time
}

// Table holds all backend servers. It is not safe for concurrent use.
type Table struct {
	rows      map[string]*Server      // by server ID
	removed   map[string]tombstone    // by server ID
	peerLoads map[string]peerLoad     // by node
	planned   map[string]plannedLoads // by source, as passed to SetPlanned
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{rows: map[string]*Server{}, removed: map[string]tombstone{}, peerLoads: map[string]peerLoad{}, planned: map[string]plannedLoads{}}
}

// SetEntry inserts or replaces a server's entry and reports whether it did; an
// outdated entry is ignored. All other state of a server is discarded if it has
// restarted or changed its address.
func (t *Table) SetEntry(now time.Time, e Entry) bool {
	if old, removed := t.removed[e.ID]; removed && e.Revision <= old.revision {
		return false
	}
	row := t.rows[e.ID]
	if row != nil && e.Revision < row.Revision {
		return false
	}
	delete(t.removed, e.ID)
	if !t.SameStart(e) {
		t.rows[e.ID] = &Server{Entry: e, absentUntil: map[string]time.Time{}}
		return true
	}
	row.Entry = e
	row.expiredAt = time.Time{}
	return true
}

// Remove removes a server whose entry no longer exists in the store as of the
// revision.
func (t *Table) Remove(now time.Time, id string, revision uint64) {
	if row := t.rows[id]; row != nil {
		revision = max(revision, row.Revision)
	}
	delete(t.rows, id)
	t.removed[id] = tombstone{revision: revision, at: now}
	for other, old := range t.removed {
		if now.Sub(old.at) > tombstoneRetention {
			delete(t.removed, other)
		}
	}
}

// MarkDraining marks a server as draining because another node reported that it is
// draining, or that its entry was removed, as of the revision. It reports whether
// the server was changed; an outdated report is ignored.
func (t *Table) MarkDraining(id string, revision uint64) bool {
	row := t.rows[id]
	if row == nil || row.Draining || revision < row.Revision {
		return false
	}
	row.Draining, row.Revision = true, revision
	return true
}

// MarkExpired records that a server's entry expired during a store outage.
// RemoveExpired removes the server unless SetEntry is called for it in time.
func (t *Table) MarkExpired(now time.Time, id string) {
	if row := t.rows[id]; row != nil && row.expiredAt.IsZero() {
		row.expiredAt = now
	}
}

// RemoveExpired removes the servers whose entries expired and were not written
// again within expiredEntryGrace. It returns their IDs.
func (t *Table) RemoveExpired(now time.Time) []string {
	var dropped []string
	for id, row := range t.rows {
		if !row.expiredAt.IsZero() && now.Sub(row.expiredAt) > expiredEntryGrace {
			t.Remove(now, id, row.Revision)
			dropped = append(dropped, id)
		}
	}
	return dropped
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
}

// ServerStatus returns the last status of a server, or false if there is none or it is
// older than statusMaxAge.
func (t *Table) ServerStatus(now time.Time, id string) (ServerStatus, bool) {
	row := t.rows[id]
	if row == nil || row.status == nil || now.Sub(row.statusAt) >= statusMaxAge {
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

// SetPeerLoad stores the requests that another node has in flight, by server ID.
func (t *Table) SetPeerLoad(now time.Time, node string, inFlight map[string]int) {
	t.peerLoads[node] = peerLoad{at: now, inFlight: inFlight}
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

// targetKey returns MODEL, or MODEL/ADAPTER if the adapter is not empty.
func targetKey(model, adapter string) string {
	if adapter == "" {
		return model
	}
	return model + "/" + adapter
}

// holds reports whether the server has the model, and the adapter unless empty,
// ready.
func (s *Server) holds(now time.Time, model, adapter string) bool {
	if model == "" {
		return true
	}
	if now.Before(s.absentUntil[targetKey(model, adapter)]) {
		return false
	}
	if s.status != nil && now.Sub(s.statusAt) < statusMaxAge {
		return s.status.Has(model, adapter)
	}
	return Holds(s.Entry.Holds, model, adapter)
}

// load returns the number of requests that the server is known to have: those in
// flight from all nodes, or the number it reported itself if that is higher.
func (t *Table) load(now time.Time, s *Server) int {
	n := s.inFlight
	for _, p := range t.peerLoads {
		if now.Sub(p.at) < peerLoadMaxAge {
			n += p.inFlight[s.ID]
		}
	}
	if now.Sub(s.reportedLoadAt) < reportedLoadMaxAge {
		n = max(n, s.reportedLoad)
	}
	return n
}

// Begin counts a request that this node sends to a server.
func (t *Table) Begin(id string) {
	if row := t.rows[id]; row != nil {
		row.inFlight++
	}
}

// End counts the end of a request that Begin counted.
func (t *Table) End(id string) {
	if row := t.rows[id]; row != nil && row.inFlight > 0 {
		row.inFlight--
	}
}

// SetReportedLoad stores the number of running and waiting requests that a server
// reported with a response.
func (t *Table) SetReportedLoad(now time.Time, id string, requests int) {
	if row := t.rows[id]; row != nil {
		row.reportedLoad, row.reportedLoadAt = requests, now
	}
}

// ReadyAt returns when the leaders expect the model to be ready on some server of
// the service: the earliest end of a load in progress or planned on a server, else
// of a load that waits for the weight store. It returns false if there is none.
func (t *Table) ReadyAt(now time.Time, service, model string) (time.Time, bool) {
	var best time.Time
	for _, s := range t.rows {
		if s.Service != service || s.status == nil || now.Sub(s.statusAt) >= statusMaxAge || s.status.Loading != model {
			continue
		}
		if best.IsZero() || s.status.LoadEnds.Before(best) {
			best = s.status.LoadEnds
		}
	}
	if !best.IsZero() {
		return best, true
	}
	for _, p := range t.planned {
		if ready, known := p.ready[model]; known && now.Sub(p.at) < plannedLoadsMaxAge && (best.IsZero() || ready.Before(best)) {
			best = ready
		}
	}
	return best, !best.IsZero()
}

// ShortestLoadTime returns the shortest load time of the model on any server of
// the service, given the load times from host memory, disk and the weight store.
func (t *Table) ShortestLoadTime(service, model string, memory, disk, store time.Duration) time.Duration {
	shortest := store
	for _, s := range t.rows {
		if s.Service != service || s.Draining {
			continue
		}
		if slices.Contains(s.InMemory, model) {
			shortest = min(shortest, memory)
		} else if slices.Contains(s.OnDisk, model) {
			shortest = min(shortest, disk)
		}
	}
	return shortest
}
