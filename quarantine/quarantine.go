// Package quarantine limits the damage of poison requests: requests that crash
// each backend server that runs them. The requests in flight at a crash become
// suspects. Suspects run one at a time. A second crash with a suspect in flight
// confirms it as a poison request, and it is refused for a limited time. A
// request that gets a complete response is cleared. Table is not safe for
// concurrent use.
//
// A content hash crashes at most MaxCrashes backend servers. Until a hash is
// cleared, its copies run on one server at a time, so the limit also holds if a
// new controller, or an entry node while there is no controller, starts a
// second copy because it does not know of the first.
package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// MaxCrashes is the number of crashes after which a request is refused, and so
// the maximum number of backend servers that one poison request crashes.
const MaxCrashes = 2

// Key identifies the content of a request to a model.
type Key struct {
	Model fleet.ModelID
	Hash  fleet.ContentHash // empty if unknown; such requests are never quarantined
}

// compareKeys orders keys by model, then by hash.
func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Hash, b.Hash))
}

// Decision is the decision on how a request may run.
type Decision uint8

// Decisions on a request.
const (
	Allow   Decision = iota // not suspected
	Isolate                 // suspect: runs while no other suspect runs
	Refuse                  // confirmed poison request: does not run
)

// String returns the decision's name.
func (d Decision) String() string {
	return [...]string{"free", "isolate", "refuse"}[d]
}

// Settings holds the time limits and the size limit of a Table.
type Settings struct {
	RefuseFor        time.Duration // time since the last crash or resend for which a confirmed poison request is refused
	SuspectRetention time.Duration // time since the last crash after which a suspect is removed, unless in flight
	MaxEntries       int           // maximum number of items and of cleared keys; items in flight count, but are never removed
}

// Defaults of Settings.
const (
	DefaultRefuseFor        = 30 * time.Minute
	DefaultSuspectRetention = 2 * time.Hour
	DefaultMaxEntries       = 4096
)

// DefaultSettings returns Settings with the default limits.
func DefaultSettings() Settings {
	return Settings{RefuseFor: DefaultRefuseFor, SuspectRetention: DefaultSuspectRetention, MaxEntries: DefaultMaxEntries}
}

// Item is one suspect or confirmed poison request, as sent between nodes.
type Item struct {
	Key       Key
	Crashes   []fleet.BootID // runs of backend servers that crashed with the key in flight, sorted, at most MaxCrashes
	CrashedAt time.Time      // time of the latest crash, or of the latest resend of a poison request
}

// CrashReport lists the requests in flight when a backend server crashed.
type CrashReport struct {
	Backend  fleet.BackendID
	Boot     fleet.BootID // run of the backend server that crashed
	InFlight []Key
}

// Table holds the suspects, the confirmed poison requests and the copies in
// flight.
type Table struct {
	settings  Settings
	items     map[Key]*Item // suspects and poison requests
	inFlight  copyCounts    // copies started since the last HoldSuspects
	held      copyCounts    // copies that were in flight at calls of HoldSuspects; they count until holdUntil
	cleared   *keySet       // recent keys that got a complete response
	holdUntil time.Time     // no suspect starts before this time
}

// New returns an empty table.
func New(s Settings) *Table {
	return &Table{
		settings: s,
		items:    make(map[Key]*Item),
		inFlight: make(copyCounts),
		held:     make(copyCounts),
		cleared:  newKeySet(s.MaxEntries),
	}
}

// Decision returns how a request with the key may run.
func (t *Table) Decision(now time.Time, k Key) Decision {
	item := t.items[k]
	switch {
	case k.Hash == "" || item == nil:
		return Allow
	case len(item.Crashes) >= MaxCrashes && now.Before(item.CrashedAt.Add(t.settings.RefuseFor)):
		return Refuse
	default:
		return Isolate
	}
}

// RetryAfter returns the time until a confirmed poison request may run again.
// It is zero for any other key.
func (t *Table) RetryAfter(now time.Time, k Key) time.Duration {
	item := t.items[k]
	if item == nil || len(item.Crashes) < MaxCrashes {
		return 0
	}
	return max(0, item.CrashedAt.Add(t.settings.RefuseFor).Sub(now))
}

// HoldSuspects prevents suspects from starting before the given time. A new controller
// waits until the copies that its predecessor started have finished or crashed,
// because it does not know of them. Copies that it started in an earlier term of its
// own count as in flight until then, because their ends are not reported any more.
func (t *Table) HoldSuspects(until time.Time) {
	t.holdUntil = until
	for k, copies := range t.inFlight {
		for boot := range copies {
			t.held.add(k, boot)
		}
	}
	clear(t.inFlight)
}

// MayStart reports whether a copy of the key may start now in the given run of
// a backend server. A suspect starts only while no suspect is in flight. Copies
// of a key that is neither suspect nor cleared run on one backend server at a time.
func (t *Table) MayStart(now time.Time, k Key, boot fleet.BootID) bool {
	if k.Hash == "" {
		return true
	}
	inFlight := t.inFlight[k]
	switch t.Decision(now, k) {
	case Refuse:
		return false
	case Isolate:
		return !now.Before(t.holdUntil) && len(inFlight) == 0 && t.suspectsInFlight() == 0
	}
	if !now.Before(t.holdUntil) {
		clear(t.held)
	}
	if len(inFlight) == 0 {
		inFlight = t.held[k]
	}
	return t.cleared.contains(k) || inFlight[boot] > 0 || len(inFlight) == 0
}

// suspectsInFlight counts the suspects and poison requests with a copy in flight.
func (t *Table) suspectsInFlight() int {
	n := 0
	for k := range t.items {
		if len(t.inFlight[k]) > 0 {
			n++
		}
	}
	return n
}

// RecordStart records that a copy of the key was sent to a run of a backend server.
func (t *Table) RecordStart(k Key, boot fleet.BootID) {
	if k.Hash == "" {
		return
	}
	t.inFlight.add(k, boot)
}

// Finish records that a copy ended without a crash. answered means that the
// response was complete, which clears the key.
func (t *Table) Finish(k Key, boot fleet.BootID, answered bool) {
	if k.Hash == "" {
		return
	}
	t.inFlight.remove(k, boot)
	if answered {
		delete(t.items, k)
		t.cleared.add(k)
	}
}

// RecordCrash records the crash of a backend server and returns the items that
// changed, to be broadcast. A further report of the same run counts only the
// keys that earlier reports did not list.
func (t *Table) RecordCrash(now time.Time, r CrashReport) []Item {
	var changed []Item
	for _, k := range r.InFlight {
		if k.Hash == "" {
			continue
		}
		t.inFlight.removeAll(k, r.Boot)
		t.held.removeAll(k, r.Boot)
		if t.merge(Item{Key: k, Crashes: []fleet.BootID{r.Boot}, CrashedAt: now}) {
			changed = append(changed, t.items[k].clone())
		}
	}
	t.evict(now)
	return changed
}

// RecordRefusal records that a confirmed poison request was received and refused
// again. Each refusal extends the quarantine by a full Settings.RefuseFor.
func (t *Table) RecordRefusal(now time.Time, k Key) {
	if item := t.items[k]; item != nil && now.After(item.CrashedAt) {
		item.CrashedAt = now
	}
}

// merge adds an item and reports whether the table changed. Merging is
// commutative and idempotent, so items may arrive in any order and repeatedly.
func (t *Table) merge(received Item) bool {
	item := t.items[received.Key]
	if item == nil {
		copied := received.clone()
		t.items[received.Key] = &copied
		t.cleared.remove(received.Key)
		return true
	}
	crashesBefore := len(item.Crashes)
	for _, boot := range received.Crashes {
		if i, found := slices.BinarySearch(item.Crashes, boot); !found && len(item.Crashes) < MaxCrashes {
			item.Crashes = slices.Insert(item.Crashes, i, boot)
		}
	}
	later := received.CrashedAt.After(item.CrashedAt)
	if later {
		item.CrashedAt = received.CrashedAt
	}
	return later || len(item.Crashes) > crashesBefore
}

// clone returns a copy with its own slice of crashes, sorted.
func (i Item) clone() Item {
	i.Crashes = slices.Clone(i.Crashes)
	slices.Sort(i.Crashes)
	return i
}

// Import merges the items of another node and reports whether the table changed.
// Expired items are ignored.
func (t *Table) Import(now time.Time, items []Item) bool {
	changed := false
	for _, item := range items {
		if item.Key.Hash == "" || t.expired(now, &item) {
			continue
		}
		if t.merge(item) {
			changed = true
		}
	}
	t.evict(now)
	return changed
}

// Export returns copies of all items, ordered by key, to be sent to other nodes.
func (t *Table) Export(now time.Time) []Item {
	t.evict(now)
	out := make([]Item, 0, len(t.items))
	for _, item := range t.items {
		out = append(out, item.clone())
	}
	slices.SortFunc(out, func(a, b Item) int { return compareKeys(a.Key, b.Key) })
	return out
}

// expired reports whether the item's retention time has passed.
func (t *Table) expired(now time.Time, item *Item) bool {
	retention := t.settings.SuspectRetention
	if len(item.Crashes) >= MaxCrashes {
		retention = t.settings.RefuseFor
	}
	return !now.Before(item.CrashedAt.Add(retention))
}

// evict removes expired items. Above Settings.MaxEntries it also removes the
// oldest suspects and then the oldest poison requests. Items in flight stay.
func (t *Table) evict(now time.Time) {
	var idle []*Item
	for k, item := range t.items {
		if len(t.inFlight[k]) > 0 {
			continue
		}
		if t.expired(now, item) {
			delete(t.items, k)
			continue
		}
		idle = append(idle, item)
	}
	excess := len(t.items) - t.settings.MaxEntries
	if excess <= 0 {
		return
	}
	slices.SortFunc(idle, func(a, b *Item) int {
		return cmp.Or(cmp.Compare(len(a.Crashes), len(b.Crashes)), a.CrashedAt.Compare(b.CrashedAt), compareKeys(a.Key, b.Key))
	})
	for _, item := range idle[:min(excess, len(idle))] {
		delete(t.items, item.Key)
	}
}

// Size returns the number of suspects and confirmed poison requests.
func (t *Table) Size() int { return len(t.items) }

// copyCounts is the number of copies in flight, by key and run of a backend server.
type copyCounts map[Key]map[fleet.BootID]int

// add adds one copy.
func (c copyCounts) add(k Key, boot fleet.BootID) {
	if c[k] == nil {
		c[k] = make(map[fleet.BootID]int, 1)
	}
	c[k][boot]++
}

// remove removes one copy.
func (c copyCounts) remove(k Key, boot fleet.BootID) {
	if c[k][boot] > 1 {
		c[k][boot]--
		return
	}
	c.removeAll(k, boot)
}

// removeAll removes all copies of the key at a run of a backend server.
func (c copyCounts) removeAll(k Key, boot fleet.BootID) {
	delete(c[k], boot)
	if len(c[k]) == 0 {
		delete(c, k)
	}
}

// keySet holds recently added keys, up to a limit. A key that was removed and
// added again may be dropped earlier than others.
type keySet struct {
	limit int
	keys  map[Key]struct{}
	order []Key // ring buffer of added keys; once full, the oldest is at index next
	next  int   // index in order that the next key overwrites
}

func newKeySet(limit int) *keySet {
	return &keySet{limit: max(1, limit), keys: make(map[Key]struct{})}
}

func (s *keySet) contains(k Key) bool {
	_, ok := s.keys[k]
	return ok
}

func (s *keySet) remove(k Key) { delete(s.keys, k) }

func (s *keySet) add(k Key) {
	if s.contains(k) {
		return
	}
	s.keys[k] = struct{}{}
	if len(s.order) < s.limit {
		s.order = append(s.order, k)
		return
	}
	delete(s.keys, s.order[s.next])
	s.order[s.next] = k
	s.next = (s.next + 1) % s.limit
}
