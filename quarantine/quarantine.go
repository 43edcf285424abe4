// Package quarantine bounds the harm of poison requests: requests that crash
// each backend server that runs them. The requests in flight at a crash become
// suspects. Suspects run one at a time; a second crash with a suspect in flight
// convicts it, and it is refused for a time. A request that ends well is
// cleared. Table is not safe for concurrent use.
//
// No content hash costs more than MaxCrashes backend servers: until a hash has
// ended well, its copies run on one server at a time. That leaves one more for
// a copy that a successor of the controller, or an entry node while there is no
// controller, starts without knowing of the first.
package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// MaxCrashes is the number of backend servers that one poison request may cost.
const MaxCrashes = 2

// Key names the content of a request to a model.
type Key struct {
	Model fleet.ModelID
	Hash  fleet.ContentHash
}

// compareKeys orders keys by model, then by hash.
func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Hash, b.Hash))
}

// Verdict says how a request may run.
type Verdict uint8

// The verdicts.
const (
	Free    Verdict = iota
	Isolate         // suspect: one at a time
	Refuse          // convicted: not run
)

// String returns the verdict's name.
func (v Verdict) String() string {
	return [...]string{"free", "isolate", "refuse"}[v]
}

// Settings bound a table.
type Settings struct {
	ConvictedFor time.Duration // after which a convicted hash may be tried again as a suspect
	SuspectFor   time.Duration // after which an idle suspect is forgotten
	MaxEntries   int           // hashes kept at most, apart from those in flight
}

// Defaults of Settings.
const (
	DefaultConvictedFor = 30 * time.Minute
	DefaultSuspectFor   = 2 * time.Hour
	DefaultMaxEntries   = 4096
)

// DefaultSettings returns the default bounds.
func DefaultSettings() Settings {
	return Settings{ConvictedFor: DefaultConvictedFor, SuspectFor: DefaultSuspectFor, MaxEntries: DefaultMaxEntries}
}

// Item is one suspect or convict, as sent between nodes.
type Item struct {
	Key       Key
	Crashes   []fleet.BootID // boots lost with the hash in flight, sorted, at most MaxCrashes
	CrashedAt time.Time      // latest crash
}

// CrashReport names the requests in flight when a backend server crashed.
type CrashReport struct {
	Backend  fleet.BackendID
	Boot     fleet.BootID
	InFlight []Key
}

// Table holds suspects, convicts and what is in flight.
type Table struct {
	settings Settings
	items    map[Key]*Item
	running  map[Key]map[fleet.BootID]int // copies in flight by boot
	cleared  *keySet                      // hashes that ended well
	holdTo   time.Time                    // suspects do not start before
}

// New returns an empty table.
func New(s Settings) *Table {
	return &Table{
		settings: s,
		items:    make(map[Key]*Item),
		running:  make(map[Key]map[fleet.BootID]int),
		cleared:  newKeySet(s.MaxEntries),
	}
}

// Verdict returns how a request with the key may run.
func (t *Table) Verdict(now time.Time, k Key) Verdict {
	item := t.items[k]
	switch {
	case k.Hash == "" || item == nil:
		return Free
	case len(item.Crashes) >= MaxCrashes && now.Before(item.CrashedAt.Add(t.settings.ConvictedFor)):
		return Refuse
	default:
		return Isolate
	}
}

// RetryAfter returns the time until a convicted key may be tried again.
func (t *Table) RetryAfter(now time.Time, k Key) time.Duration {
	item := t.items[k]
	if item == nil || len(item.Crashes) < MaxCrashes {
		return 0
	}
	return max(0, item.CrashedAt.Add(t.settings.ConvictedFor).Sub(now))
}

// Hold keeps suspects from starting until the time given. A successor holds
// them until copies that its predecessor started have ended or crashed, as it
// does not know of them.
func (t *Table) Hold(until time.Time) { t.holdTo = until }

// MayStart reports whether a copy of the key may start on the boot now.
func (t *Table) MayStart(now time.Time, k Key, boot fleet.BootID) bool {
	if k.Hash == "" {
		return true
	}
	running := t.running[k]
	switch t.Verdict(now, k) {
	case Refuse:
		return false
	case Isolate:
		return !now.Before(t.holdTo) && len(running) == 0 && t.suspectsRunning() == 0
	}
	if t.cleared.has(k) || running[boot] > 0 {
		return true
	}
	return len(running) == 0
}

// suspectsRunning counts the suspects with a copy in flight.
func (t *Table) suspectsRunning() int {
	n := 0
	for k := range t.items {
		if len(t.running[k]) > 0 {
			n++
		}
	}
	return n
}

// Start records that a copy of the key was sent to the boot.
func (t *Table) Start(k Key, boot fleet.BootID) {
	if k.Hash == "" {
		return
	}
	boots := t.running[k]
	if boots == nil {
		boots = make(map[fleet.BootID]int, 1)
		t.running[k] = boots
	}
	boots[boot]++
}

// Finish records that a copy ended without a crash. An answer that came whole
// clears the key.
func (t *Table) Finish(k Key, boot fleet.BootID, answered bool) {
	if k.Hash == "" {
		return
	}
	t.stop(k, boot)
	if answered {
		delete(t.items, k)
		t.cleared.add(k)
	}
}

// stop takes one copy out of what is in flight.
func (t *Table) stop(k Key, boot fleet.BootID) {
	boots := t.running[k]
	if boots[boot] > 1 {
		boots[boot]--
		return
	}
	delete(boots, boot)
	if len(boots) == 0 {
		delete(t.running, k)
	}
}

// Crash records the loss of a boot and returns the items that changed, for
// broadcast. Reporting a boot again adds only keys not yet counted for it.
func (t *Table) Crash(now time.Time, r CrashReport) []Item {
	var changed []Item
	for _, k := range r.InFlight {
		if k.Hash == "" {
			continue
		}
		delete(t.running[k], r.Boot)
		if len(t.running[k]) == 0 {
			delete(t.running, k)
		}
		if t.merge(Item{Key: k, Crashes: []fleet.BootID{r.Boot}, CrashedAt: now}) {
			changed = append(changed, t.items[k].clone())
		}
	}
	t.trim(now)
	return changed
}

// Refused records that a convicted request came again. It stays convicted for
// as long as it keeps coming.
func (t *Table) Refused(now time.Time, k Key) {
	if item := t.items[k]; item != nil && now.After(item.CrashedAt) {
		item.CrashedAt = now
	}
}

// merge adds an item and reports whether it changed the table. Merging is
// commutative and idempotent, so items may come in any order and repeatedly.
func (t *Table) merge(in Item) bool {
	old := t.items[in.Key]
	if old == nil {
		copied := in.clone()
		t.items[in.Key] = &copied
		t.cleared.remove(in.Key)
		return true
	}
	before := len(old.Crashes)
	for _, boot := range in.Crashes {
		if at, found := slices.BinarySearch(old.Crashes, boot); !found && len(old.Crashes) < MaxCrashes {
			old.Crashes = slices.Insert(old.Crashes, at, boot)
		}
	}
	later := in.CrashedAt.After(old.CrashedAt)
	if later {
		old.CrashedAt = in.CrashedAt
	}
	return later || len(old.Crashes) > before
}

// clone returns a copy that shares no memory.
func (i Item) clone() Item {
	i.Crashes = slices.Clone(i.Crashes)
	slices.Sort(i.Crashes)
	return i
}

// Import merges items of another node and reports whether any was news.
func (t *Table) Import(now time.Time, items []Item) bool {
	news := false
	for _, item := range items {
		if item.Key.Hash == "" || t.expired(now, &item) {
			continue
		}
		if t.merge(item) {
			news = true
		}
	}
	t.trim(now)
	return news
}

// Export returns all items, ordered by key, for a peer that knows none.
func (t *Table) Export(now time.Time) []Item {
	t.trim(now)
	out := make([]Item, 0, len(t.items))
	for _, item := range t.items {
		out = append(out, item.clone())
	}
	slices.SortFunc(out, func(a, b Item) int { return compareKeys(a.Key, b.Key) })
	return out
}

// expired reports whether the item no longer counts.
func (t *Table) expired(now time.Time, item *Item) bool {
	keep := t.settings.SuspectFor
	if len(item.Crashes) >= MaxCrashes {
		keep = t.settings.ConvictedFor
	}
	return !now.Before(item.CrashedAt.Add(keep))
}

// trim forgets expired items and, above the limit, the oldest suspects first
// and then the oldest convicts. Keys in flight stay.
func (t *Table) trim(now time.Time) {
	var idle []*Item
	for k, item := range t.items {
		if len(t.running[k]) > 0 {
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

// Size returns the number of suspects and convicts.
func (t *Table) Size() int { return len(t.items) }

// keySet holds the most recently added keys, up to a limit.
type keySet struct {
	limit int
	at    map[Key]struct{}
	order []Key // ring, oldest at next once full
	next  int
}

func newKeySet(limit int) *keySet {
	return &keySet{limit: max(1, limit), at: make(map[Key]struct{})}
}

func (s *keySet) has(k Key) bool {
	_, ok := s.at[k]
	return ok
}

func (s *keySet) remove(k Key) { delete(s.at, k) }

func (s *keySet) add(k Key) {
	if s.has(k) {
		return
	}
	s.at[k] = struct{}{}
	if len(s.order) < s.limit {
		s.order = append(s.order, k)
		return
	}
	delete(s.at, s.order[s.next])
	s.order[s.next] = k
	s.next = (s.next + 1) % s.limit
}
