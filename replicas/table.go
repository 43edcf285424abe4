package replicas

import (
	"slices"
	"strings"
	"time"
)

// Times of the table.
const (
	viewFresh      = 3 * time.Second         // a view that was not told again for this long yields to the entry
	absentFor      = 700 * time.Millisecond  // a model is not asked for again at a server that said it has none
	peerLoadFresh  = 1500 * time.Millisecond // another node's requests in flight are forgotten after this silence
	plannedFresh   = 2 * time.Second         // the same for what waits for the weight store
	toldLoadFresh  = 300 * time.Millisecond  // a load told with an answer is used for this long
	goneKeptFor    = time.Minute             // removed entries are remembered for this long, against older ones that arrive late
	lapsedEntryFor = 2500 * time.Millisecond // an entry that vanished while the store was away may come back within this
)

// Replica is one row of the table.
type Replica struct {
	Entry
	view     *View
	viewAt   time.Time
	absent   map[string]time.Time // by model[/adapter]: until when it is taken as missing
	inFlight int                  // requests of this node
	told     int                  // running and waiting requests, told with an answer
	toldAt   time.Time
	health   health
	lapsedAt time.Time // when its entry vanished in an outage of the store; zero if listed
}

// peerLoad is what another node has in flight.
type peerLoad struct {
	at       time.Time
	inFlight map[string]int // by replica
}

// plannedLoads are models that wait for the weight store.
type plannedLoads struct {
	at    time.Time
	ready map[string]time.Time
}

// goneEntry is an entry that was removed.
type goneEntry struct {
	revision uint64 // entries up to this one are older
	at       time.Time
}

// Table holds all backend servers. It is not safe for concurrent use.
type Table struct {
	rows    map[string]*Replica
	gone    map[string]goneEntry
	peers   map[string]peerLoad     // by node
	planned map[string]plannedLoads // by node that tells them
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{rows: map[string]*Replica{}, gone: map[string]goneEntry{}, peers: map[string]peerLoad{}, planned: map[string]plannedLoads{}}
}

// SetEntry inserts or replaces a server's entry, and reports whether it did: an
// entry older than what is known changes nothing. A server that started anew
// holds nothing of before.
func (t *Table) SetEntry(now time.Time, e Entry) bool {
	if g, gone := t.gone[e.ID]; gone && e.Revision <= g.revision {
		return false
	}
	row := t.rows[e.ID]
	if row != nil && e.Revision < row.Revision {
		return false
	}
	delete(t.gone, e.ID)
	if row == nil || row.Start != e.Start || row.Address != e.Address {
		t.rows[e.ID] = &Replica{Entry: e, absent: map[string]time.Time{}}
		return true
	}
	row.Entry = e
	row.lapsedAt = time.Time{}
	return true
}

// Remove drops a server that the store no longer lists as of a revision.
func (t *Table) Remove(now time.Time, id string, revision uint64) {
	if row := t.rows[id]; row != nil {
		revision = max(revision, row.Revision)
	}
	delete(t.rows, id)
	t.gone[id] = goneEntry{revision: revision, at: now}
	for other, g := range t.gone {
		if now.Sub(g.at) > goneKeptFor {
			delete(t.gone, other)
		}
	}
}

// PeerLeaving notes that another node knows from an entry of the revision that a
// server leaves, or that its entry is gone since. It reports whether that is news.
func (t *Table) PeerLeaving(id string, revision uint64) bool {
	row := t.rows[id]
	if row == nil || row.Draining || revision < row.Revision {
		return false
	}
	row.Draining, row.Revision = true, revision
	return true
}

// Lapse notes that a server's entry vanished while the store was away. It is
// dropped if it does not come back.
func (t *Table) Lapse(now time.Time, id string) {
	if row := t.rows[id]; row != nil && row.lapsedAt.IsZero() {
		row.lapsedAt = now
	}
}

// DropLapsed removes servers whose entries did not come back, and returns them.
func (t *Table) DropLapsed(now time.Time) []string {
	var dropped []string
	for id, row := range t.rows {
		if !row.lapsedAt.IsZero() && now.Sub(row.lapsedAt) > lapsedEntryFor {
			t.Remove(now, id, row.Revision)
			dropped = append(dropped, id)
		}
	}
	return dropped
}

// Entries returns all entries ordered by id.
func (t *Table) Entries() []Entry {
	entries := make([]Entry, 0, len(t.rows))
	for _, row := range t.rows {
		entries = append(entries, row.Entry)
	}
	slices.SortFunc(entries, func(a, b Entry) int { return strings.Compare(a.ID, b.ID) })
	return entries
}

// Entry returns one entry.
func (t *Table) Entry(id string) (Entry, bool) {
	row := t.rows[id]
	if row == nil {
		return Entry{}, false
	}
	return row.Entry, true
}

// SetView records what the node in charge of loads tells of a server.
func (t *Table) SetView(now time.Time, v View) {
	row := t.rows[v.ID]
	if row == nil || row.Start != v.Start {
		return
	}
	row.view, row.viewAt = &v, now
}

// View returns what was last told of a server, unless that is too old.
func (t *Table) View(now time.Time, id string) (View, bool) {
	row := t.rows[id]
	if row == nil || row.view == nil || now.Sub(row.viewAt) >= viewFresh {
		return View{}, false
	}
	return *row.view, true
}

// SetPlanned records when a node in charge of loads expects models to be ready
// that wait for the weight store.
func (t *Table) SetPlanned(now time.Time, node string, ready map[string]time.Time) {
	t.planned[node] = plannedLoads{at: now, ready: ready}
}

// SetPeerLoad records what another node has in flight.
func (t *Table) SetPeerLoad(now time.Time, node string, inFlight map[string]int) {
	t.peers[node] = peerLoad{at: now, inFlight: inFlight}
}

// InFlight returns this node's requests in flight by server.
func (t *Table) InFlight() map[string]int {
	counts := map[string]int{}
	for id, row := range t.rows {
		if row.inFlight > 0 {
			counts[id] = row.inFlight
		}
	}
	return counts
}

// MarkAbsent notes that a server said that it does not hold the model or adapter.
func (t *Table) MarkAbsent(now time.Time, id, model, adapter string) {
	if row := t.rows[id]; row != nil {
		row.absent[target(model, adapter)] = now.Add(absentFor)
	}
}

func target(model, adapter string) string {
	if adapter == "" {
		return model
	}
	return model + "/" + adapter
}

// holds reports whether the server has the model and adapter ready.
func (r *Replica) holds(now time.Time, model, adapter string) bool {
	if model == "" {
		return true
	}
	if now.Before(r.absent[target(model, adapter)]) {
		return false
	}
	if r.view != nil && now.Sub(r.viewAt) < viewFresh {
		return r.view.Has(model, adapter)
	}
	return Holds(r.Entry.Holds, model, adapter)
}

// load returns the requests that the server is known to have.
func (t *Table) load(now time.Time, r *Replica) int {
	n := r.inFlight
	for _, p := range t.peers {
		if now.Sub(p.at) < peerLoadFresh {
			n += p.inFlight[r.ID]
		}
	}
	if now.Sub(r.toldAt) < toldLoadFresh {
		n = max(n, r.told)
	}
	return n
}

// Begin counts a request sent to a server.
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

// Told records the load that a server told with an answer.
func (t *Table) Told(now time.Time, id string, requests int) {
	if row := t.rows[id]; row != nil {
		row.told, row.toldAt = requests, now
	}
}

// ReadyAt returns when the model is expected at some server, as the node in
// charge of loads tells; false if it told nothing.
func (t *Table) ReadyAt(now time.Time, service, model string) (time.Time, bool) {
	var best time.Time
	for _, r := range t.rows {
		if r.Service != service || r.view == nil || now.Sub(r.viewAt) >= viewFresh || r.view.Loading != model {
			continue
		}
		if best.IsZero() || r.view.LoadEnds.Before(best) {
			best = r.view.LoadEnds
		}
	}
	if !best.IsZero() {
		return best, true
	}
	for _, p := range t.planned {
		if ready, told := p.ready[model]; told && now.Sub(p.at) < plannedFresh && (best.IsZero() || ready.Before(best)) {
			best = ready
		}
	}
	return best, !best.IsZero()
}

// Nearest returns the shortest time in which a server of the service could have
// the model ready, given how long a load takes from each place.
func (t *Table) Nearest(service, model string, memory, disk, store time.Duration) time.Duration {
	nearest := store
	for _, r := range t.rows {
		if r.Service != service || r.Draining {
			continue
		}
		if slices.Contains(r.InMemory, model) {
			nearest = min(nearest, memory)
		} else if slices.Contains(r.OnDisk, model) {
			nearest = min(nearest, disk)
		}
	}
	return nearest
}
