package release

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/invariant"
)

// FollowerSettings are the intervals and time limits of a Follower.
type FollowerSettings struct {
	FetchTimeout          time.Duration // timeout of one fetch from a peer or the store
	RetryInterval         time.Duration // interval between fetches while the node is behind
	PeerReportWait        time.Duration // wait after the start for the versions of peers, before a read of the store alone confirms the version
	ReadInterval          time.Duration // average interval between reads of the store by a node that is not a relay
	ReadIntervalPerMember time.Duration // added to ReadInterval for each peer, so that the load on the store does not grow with their number
	FallbackReadInterval  time.Duration // average interval between reads of the store by a node without peers, or by a relay whose watch is stalled
	WatchTimeout          time.Duration // time without contact with the store after which a relay's watch counts as stalled
	DisconnectedAfter     time.Duration // time without contact with any peer or the store after which the state is SyncDisconnected
	RefuseAfter           time.Duration // time without contact with any peer or the store after which the state is SyncExpired
}

// DefaultFollowerSettings returns settings with which an accepted release is meant to
// be in force on all of 9 nodes within 3 s and on all of 780 nodes within 16 s.
func DefaultFollowerSettings() FollowerSettings {
	return FollowerSettings{
		FetchTimeout:          2 * time.Second,
		RetryInterval:         200 * time.Millisecond,
		PeerReportWait:        3 * time.Second,
		ReadInterval:          30 * time.Second,
		ReadIntervalPerMember: 200 * time.Millisecond,
		FallbackReadInterval:  2 * time.Second,
		WatchTimeout:          8 * time.Second,
		DisconnectedAfter:     16 * time.Second,
		RefuseAfter:           10 * time.Minute,
	}
}

// RelaysPerZone is the number of relays in each availability zone: nodes that
// watch the store and from which the other nodes of the zone fetch updates.
const RelaysPerZone = 2

// Peer is another live node as membership reports it.
type Peer struct {
	ID          fleet.NodeID
	Zone        fleet.AvailabilityZone
	Version     uint64    // version in force on the peer at the last contact
	LastContact time.Time // last direct contact; zero if there was none
}

// Source is the origin of an update: a peer or the store.
type Source struct {
	Peer fleet.NodeID // empty if the source is the store
}

// store reports whether the source is the store.
func (s Source) store() bool { return s.Peer == "" }

// SyncState is the sync state of a node: how well it follows the release, and what
// it may do.
type SyncState uint8

// Sync states.
const (
	SyncUnknown      SyncState = iota // the version in force is not confirmed: refuse all requests
	SyncCurrent                       // the node is in contact and its version confirmed: serve
	SyncDisconnected                  // no contact for DisconnectedAfter: serve from ready replicas, but order no loads
	SyncExpired                       // no contact for RefuseAfter: refuse all requests
)

// String returns the name that is shown to operators.
func (s SyncState) String() string {
	return [...]string{"unknown", "current", "cut off", "expired"}[s]
}

// Follower is the release as one node has it: the configuration in force on the
// node, and the logic by which the node follows new versions. Its version never
// decreases. It does no I/O and is not safe for concurrent use.
type Follower struct {
	settings FollowerSettings
	self     fleet.NodeID
	zone     fleet.AvailabilityZone
	rng      *rand.Rand

	state        *State
	inForceSince time.Time // when state came into force on this node
	differences  differenceLog

	peers       []Peer       // ordered by ID
	latestKnown uint64       // highest version that the node has learned of
	announcer   fleet.NodeID // node that announced latestKnown; empty if it was the store or is not known

	startedAt        time.Time // creation, or the last Reconfirm
	confirmed        bool      // whether the node knows that its version is the one in force
	peerResponded    bool      // whether a peer with a confirmed version responded since startedAt
	storeRead        bool      // whether a read of the store succeeded since startedAt
	lastStoreContact time.Time // last successful read or watch of the store
	lastPeerContact  time.Time // last direct contact with any peer

	fetch         fetchState
	nextStoreRead time.Time // time of the next read of the store, unless the node learns that it is behind
	lastAnnounced uint64    // version that this node announced last
}

// fetchState is the state of the fetch in progress, or of the last one.
type fetchState struct {
	running   bool
	source    Source
	startedAt time.Time // start of the last fetch
	attempts  int       // fetches without progress since the version last increased or a newer one was announced
}

// FollowerEffects are the actions that the caller of Tick carries out.
type FollowerEffects struct {
	Fetch    bool
	From     Source // source of the fetch
	After    uint64 // version of the node, after which to fetch
	Watch    bool   // whether the watch on the store must be open
	Announce uint64 // version to announce to all members; zero for none
}

// NewFollower returns a Follower without a version for the node self.
func NewFollower(now time.Time, self fleet.NodeID, zone fleet.AvailabilityZone, s FollowerSettings, rng *rand.Rand) *Follower {
	r := &Follower{settings: s, self: self, zone: zone, rng: rng, state: NewState(), startedAt: now}
	r.nextStoreRead = now.Add(r.storeReadInterval(false))
	return r
}

// State returns the configuration in force on this node. The next HandleUpdate
// may change it.
func (f *Follower) State() *State { return f.state }

// Version returns the version in force on this node.
func (f *Follower) Version() uint64 { return f.state.Version }

// Since returns when the version came into force on this node.
func (f *Follower) Since() time.Time { return f.inForceSince }

// LatestKnown returns the highest version that the node has learned of.
func (f *Follower) LatestKnown() uint64 { return f.latestKnown }

// Reconfirm returns the node to SyncUnknown until it has confirmed again which
// version is in force. The caller calls it when the process resumes after a pause.
func (f *Follower) Reconfirm(now time.Time) {
	f.confirmed = false
	f.peerResponded = false
	f.storeRead = false
	f.startedAt = now
	f.fetch = fetchState{}
}

// SetPeers sets the live members other than the node itself.
func (f *Follower) SetPeers(now time.Time, peers []Peer) {
	f.peers = slices.Clone(peers)
	slices.SortFunc(f.peers, func(a, b Peer) int { return cmp.Compare(a.ID, b.ID) })
	for _, p := range f.peers {
		f.latestKnown = max(f.latestKnown, p.Version)
		if p.LastContact.After(f.lastPeerContact) {
			f.lastPeerContact = p.LastContact
		}
	}
	f.tryConfirm(now)
}

// HandleAnnouncement handles the announcement of a version by the node from, which is
// empty if the announcer is not known.
func (f *Follower) HandleAnnouncement(version uint64, from fleet.NodeID) {
	if version > f.latestKnown {
		f.latestKnown = version
		f.announcer = from
		f.fetch.attempts = 0
	}
}

// HandleWatch handles a successful response to a watch. The version is that of the
// head object in the response; zero if the head object did not change.
func (f *Follower) HandleWatch(now time.Time, version uint64) {
	f.lastStoreContact = now
	if version > f.latestKnown {
		f.latestKnown = version
		f.announcer = ""
		f.fetch.attempts = 0
	}
}

// HandleUpdate applies the result of a fetch or watch; err is its error. An update
// to a version that the node already has changes nothing. The response to a call made
// before the last Reconfirm does not show which version is in force. It reports
// whether the version in force increased.
func (f *Follower) HandleUpdate(now, requestedAt time.Time, from Source, u Update, err error) bool {
	if f.fetch.running && f.fetch.source == from {
		f.fetch.running = false
	}
	if err != nil {
		f.fetch.attempts++
		return false
	}
	if from.store() {
		f.lastStoreContact = now
	}
	before := f.state.Version
	raised, applyErr := u.applyTo(&f.state)
	invariant.Check(f.state.Version >= before, invariant.VersionMonotonic, "version %d after %d", f.state.Version, before)
	f.recordResponse(requestedAt, from, u, applyErr)
	if raised {
		f.inForceSince = now
		f.fetch.attempts = 0
		f.differences.add(u, f.state.Version)
	}
	if f.state.Version < f.latestKnown {
		f.fetch.attempts++
	}
	f.tryConfirm(now)
	return raised
}

// recordResponse records what a response shows about the version in force.
func (f *Follower) recordResponse(requestedAt time.Time, from Source, u Update, applyErr error) {
	if applyErr != nil {
		f.fetch.attempts++
		return
	}
	f.latestKnown = max(f.latestKnown, u.Version)
	switch {
	case requestedAt.Before(f.startedAt):
	case from.store():
		f.storeRead = true
	default:
		f.peerResponded = true
	}
}

// tryConfirm confirms the version if it is at least the highest version that the
// node has learned of, and either a peer with a confirmed version responded, or the
// store was read and the peers have had time to report their versions.
func (f *Follower) tryConfirm(now time.Time) {
	if f.confirmed || f.state.Version < f.latestKnown {
		return
	}
	f.confirmed = f.peerResponded || (f.storeRead && f.peerVersionsReceived(now))
}

// peerVersionsReceived reports whether a peer reported its version, or none is to
// be expected: there are no peers, or PeerReportWait has passed since startedAt.
func (f *Follower) peerVersionsReceived(now time.Time) bool {
	if len(f.peers) == 0 || now.Sub(f.startedAt) >= f.settings.PeerReportWait {
		return true
	}
	return slices.ContainsFunc(f.peers, func(p Peer) bool { return p.Version > 0 })
}

// Age returns the time since the last contact with a peer or the store, or since
// the start if there was none.
func (f *Follower) Age(now time.Time) time.Duration {
	last := f.startedAt
	if f.lastStoreContact.After(last) {
		last = f.lastStoreContact
	}
	if f.lastPeerContact.After(last) {
		last = f.lastPeerContact
	}
	return now.Sub(last)
}

// SyncState returns the sync state of the node.
func (f *Follower) SyncState(now time.Time) SyncState {
	age := f.Age(now)
	switch {
	case !f.confirmed:
		return SyncUnknown
	case age >= f.settings.RefuseAfter:
		return SyncExpired
	case age >= f.settings.DisconnectedAfter:
		return SyncDisconnected
	}
	return SyncCurrent
}

// IsRelay reports whether the node is a relay of its zone. The relays are the nodes
// with the highest hashes of zone and node ID, so that nodes with the same member
// list choose the same relays.
func (f *Follower) IsRelay() bool { return slices.Contains(f.zoneRelays(), f.self) }

// zoneRelays returns the relays of the node's zone.
func (f *Follower) zoneRelays() []fleet.NodeID {
	ids := []fleet.NodeID{f.self}
	for _, p := range f.peers {
		if p.Zone == f.zone {
			ids = append(ids, p.ID)
		}
	}
	slices.SortFunc(ids, func(a, b fleet.NodeID) int {
		return cmp.Or(cmp.Compare(f.relayHash(b), f.relayHash(a)), cmp.Compare(a, b))
	})
	return ids[:min(RelaysPerZone, len(ids))]
}

// relayHash returns the hash by which the relays of the zone are chosen.
func (f *Follower) relayHash(id fleet.NodeID) uint64 {
	return xxhash.Sum64String(string(f.zone) + "/" + string(id))
}

// Tick advances the Follower to the given time and returns the actions to carry out.
func (f *Follower) Tick(now time.Time) FollowerEffects {
	f.tryConfirm(now)
	e := FollowerEffects{Watch: f.IsRelay(), After: f.state.Version}
	if f.fetch.running && now.Sub(f.fetch.startedAt) >= f.settings.FetchTimeout {
		f.fetch.running = false
		f.fetch.attempts++
	}
	if from, ok := f.nextFetch(now, e.Watch); ok {
		f.fetch = fetchState{running: true, source: from, startedAt: now, attempts: f.fetch.attempts}
		e.Fetch = true
		e.From = from
	}
	if f.confirmed && f.state.Version > f.lastAnnounced {
		f.lastAnnounced = f.state.Version
		e.Announce = f.lastAnnounced
	}
	return e
}

// nextFetch returns the source to fetch from. It returns false if no fetch is due.
func (f *Follower) nextFetch(now time.Time, relay bool) (Source, bool) {
	if f.fetch.running {
		return Source{}, false
	}
	behind := f.state.Version < f.latestKnown || !f.confirmed
	if behind && now.Sub(f.fetch.startedAt) >= f.settings.RetryInterval {
		return f.catchUpSource(now), true
	}
	if !now.Before(f.nextStoreRead) && f.storeReadNeeded(now, relay) {
		f.nextStoreRead = now.Add(f.storeReadInterval(relay))
		return Source{}, true
	}
	return Source{}, false
}

// storeReadNeeded reports whether a node that is not known to be behind must read
// the store from time to time. A relay need not unless its watch is stalled.
func (f *Follower) storeReadNeeded(now time.Time, relay bool) bool {
	return !relay || now.Sub(f.lastStoreContact) >= f.settings.WatchTimeout
}

// storeReadInterval returns the time until the next read of the store: the
// configured interval with a jitter of ±50%.
func (f *Follower) storeReadInterval(relay bool) time.Duration {
	interval := f.settings.ReadInterval + time.Duration(len(f.peers))*f.settings.ReadIntervalPerMember
	if relay || len(f.peers) == 0 {
		interval = f.settings.FallbackReadInterval
	}
	return interval/2 + time.Duration(f.rng.Int64N(int64(interval)))
}

// catchUpSource returns the next source while the node is behind. It cycles through
// the relays of the zone, the node that announced the version, one random peer,
// and the store.
func (f *Follower) catchUpSource(now time.Time) Source {
	var sources []fleet.NodeID
	for _, id := range append(f.zoneRelays(), f.announcer) {
		if id != f.self && f.isPeer(id) && !slices.Contains(sources, id) {
			sources = append(sources, id)
		}
	}
	if len(f.peers) > 0 {
		sources = append(sources, f.peers[f.rng.IntN(len(f.peers))].ID)
	}
	next := f.fetch.attempts % (len(sources) + 1)
	if next == len(sources) {
		f.nextStoreRead = now.Add(f.storeReadInterval(false))
		return Source{}
	}
	return Source{Peer: sources[next]}
}

func (f *Follower) isPeer(id fleet.NodeID) bool {
	return slices.ContainsFunc(f.peers, func(p Peer) bool { return p.ID == id })
}
