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

// FollowerSettings are the intervals and time limits of a Replica.
type FollowerSettings struct {
	FetchTimeout          time.Duration // timeout of one fetch from a peer or the store
	RetryInterval         time.Duration // interval between fetches while the node is behind
	PeerReportWait        time.Duration // wait after the start for the versions of peers, before a read of the store alone confirms the version
	ReadInterval          time.Duration // average interval between reads of the store by a node that is not a relay
	ReadIntervalPerMember time.Duration // added to ReadInterval for each peer, so that the load on the store does not grow with their number
	FallbackReadInterval  time.Duration // average interval between reads of the store by a node without peers, or by a relay whose watch is stalled
	WatchTimeout          time.Duration // time without contact with the store after which a relay's watch counts as stalled
	DisconnectedAfter     time.Duration // time without contact with any peer or the store after which the state is StandingCutOff
	RefuseAfter           time.Duration // time without contact with any peer or the store after which the state is StandingExpired
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
	SyncDisconnected                  // no contact for CutOffAfter: serve from ready replicas, but order no loads
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

// NewFollower returns a Replica without a version for the node self.
func NewFollower(now time.Time, self fleet.NodeID, zone fleet.AvailabilityZone, s FollowerSettings, rng *rand.Rand) *Follower {
	r := &Follower{settings: s, self: self, zone: zone, rng: rng, state: NewState(), startedAt: now}
	r.nextStoreRead = now.Add(r.storeReadInterval(false))
	return r
}

// State returns the configuration in force on this node. The next HandleUpdate
// may change it.
func (r *Follower) State() *State { return r.state }

// Version returns the version in force on this node.
func (r *Follower) Version() uint64 { return r.state.Version }

// Since returns when the version came into force on this node.
func (r *Follower) Since() time.Time { return r.inForceSince }

// LatestKnown returns the highest version that the node has learned of.
func (r *Follower) LatestKnown() uint64 { return r.latestKnown }

// Reconfirm returns the node to StandingUnknown until it has confirmed again which
// version is in force. The caller calls it when the process resumes after a pause.
func (r *Follower) Reconfirm(now time.Time) {
	r.confirmed = false
	r.peerResponded = false
	r.storeRead = false
	r.startedAt = now
	r.fetch = fetchState{}
}

// SetPeers sets the live members other than the node itself.
func (r *Follower) SetPeers(now time.Time, peers []Peer) {
	r.peers = slices.Clone(peers)
	slices.SortFunc(r.peers, func(a, b Peer) int { return cmp.Compare(a.ID, b.ID) })
	for _, p := range r.peers {
		r.latestKnown = max(r.latestKnown, p.Version)
		if p.LastContact.After(r.lastPeerContact) {
			r.lastPeerContact = p.LastContact
		}
	}
	r.tryConfirm(now)
}

// HandleAnnouncement handles the announcement of a version by the node from, which is
// empty if the announcer is not known.
func (r *Follower) HandleAnnouncement(version uint64, from fleet.NodeID) {
	if version > r.latestKnown {
		r.latestKnown = version
		r.announcer = from
		r.fetch.attempts = 0
	}
}

// HandleWatch handles a successful response to a watch. The version is that of the
// head object in the response; zero if the head object did not change.
func (r *Follower) HandleWatch(now time.Time, version uint64) {
	r.lastStoreContact = now
	if version > r.latestKnown {
		r.latestKnown = version
		r.announcer = ""
		r.fetch.attempts = 0
	}
}

// HandleUpdate applies the result of a fetch or watch; err is its error. An update
// to a version that the node already has changes nothing. It reports whether the
// version in force increased.
func (r *Follower) HandleUpdate(now time.Time, from Source, u Update, err error) bool {
	if r.fetch.running && r.fetch.source == from {
		r.fetch.running = false
	}
	if err != nil {
		r.fetch.attempts++
		return false
	}
	if from.store() {
		r.lastStoreContact = now
	}
	before := r.state.Version
	raised, applyErr := u.applyTo(&r.state)
	invariant.Check(r.state.Version >= before, invariant.VersionMonotonic, "version %d after %d", r.state.Version, before)
	r.recordResponse(from, u, applyErr)
	if raised {
		r.inForceSince = now
		r.fetch.attempts = 0
		r.differences.add(u, r.state.Version)
	}
	if r.state.Version < r.latestKnown {
		r.fetch.attempts++
	}
	r.tryConfirm(now)
	return raised
}

// recordResponse records what a response shows about the version in force.
func (r *Follower) recordResponse(from Source, u Update, applyErr error) {
	if applyErr != nil {
		r.fetch.attempts++
		return
	}
	r.latestKnown = max(r.latestKnown, u.Version)
	if from.store() {
		r.storeRead = true
		return
	}
	r.peerResponded = true
}

// tryConfirm confirms the version if it is at least the highest version that the
// node has learned of, and either a peer with a confirmed version responded, or the
// store was read and the peers have had time to report their versions.
func (r *Follower) tryConfirm(now time.Time) {
	if r.confirmed || r.state.Version < r.latestKnown {
		return
	}
	r.confirmed = r.peerResponded || (r.storeRead && r.peerVersionsReceived(now))
}

// peerVersionsReceived reports whether a peer reported its version, or none is to
// be expected: there are no peers, or SettleAfter has passed since startedAt.
func (r *Follower) peerVersionsReceived(now time.Time) bool {
	if len(r.peers) == 0 || now.Sub(r.startedAt) >= r.settings.PeerReportWait {
		return true
	}
	return slices.ContainsFunc(r.peers, func(p Peer) bool { return p.Version > 0 })
}

// Age returns the time since the last contact with a peer or the store, or since
// the start if there was none.
func (r *Follower) Age(now time.Time) time.Duration {
	last := r.startedAt
	if r.lastStoreContact.After(last) {
		last = r.lastStoreContact
	}
	if r.lastPeerContact.After(last) {
		last = r.lastPeerContact
	}
	return now.Sub(last)
}

// SyncState returns the sync state of the node.
func (r *Follower) SyncState(now time.Time) SyncState {
	age := r.Age(now)
	switch {
	case !r.confirmed:
		return SyncUnknown
	case age >= r.settings.RefuseAfter:
		return SyncExpired
	case age >= r.settings.DisconnectedAfter:
		return SyncDisconnected
	}
	return SyncCurrent
}

// IsRelay reports whether the node is a relay of its zone. The relays are the nodes
// with the highest hashes of zone and node ID, so that nodes with the same member
// list choose the same relays.
func (r *Follower) IsRelay() bool { return slices.Contains(r.zoneRelays(), r.self) }

// zoneRelays returns the relays of the node's zone.
func (r *Follower) zoneRelays() []fleet.NodeID {
	ids := []fleet.NodeID{r.self}
	for _, p := range r.peers {
		if p.Zone == r.zone {
			ids = append(ids, p.ID)
		}
	}
	slices.SortFunc(ids, func(a, b fleet.NodeID) int {
		return cmp.Or(cmp.Compare(r.relayHash(b), r.relayHash(a)), cmp.Compare(a, b))
	})
	return ids[:min(RelaysPerZone, len(ids))]
}

// relayHash returns the hash by which the relays of the zone are chosen.
func (r *Follower) relayHash(id fleet.NodeID) uint64 {
	return xxhash.Sum64String(string(r.zone) + "/" + string(id))
}

// Tick advances the Replica to the given time and returns the actions to carry out.
func (r *Follower) Tick(now time.Time) FollowerEffects {
	r.tryConfirm(now)
	e := FollowerEffects{Watch: r.IsRelay(), After: r.state.Version}
	if r.fetch.running && now.Sub(r.fetch.startedAt) >= r.settings.FetchTimeout {
		r.fetch.running = false
		r.fetch.attempts++
	}
	if from, ok := r.nextFetch(now, e.Watch); ok {
		r.fetch = fetchState{running: true, source: from, startedAt: now, attempts: r.fetch.attempts}
		e.Fetch = true
		e.From = from
	}
	if r.confirmed && r.state.Version > r.lastAnnounced {
		r.lastAnnounced = r.state.Version
		e.Announce = r.lastAnnounced
	}
	return e
}

// nextFetch returns the source to fetch from. It returns false if no fetch is due.
func (r *Follower) nextFetch(now time.Time, relay bool) (Source, bool) {
	if r.fetch.running {
		return Source{}, false
	}
	behind := r.state.Version < r.latestKnown || !r.confirmed
	if behind && now.Sub(r.fetch.startedAt) >= r.settings.RetryInterval {
		return r.catchUpSource(now), true
	}
	if !now.Before(r.nextStoreRead) && r.storeReadNeeded(now, relay) {
		r.nextStoreRead = now.Add(r.storeReadInterval(relay))
		return Source{}, true
	}
	return Source{}, false
}

// storeReadNeeded reports whether a node that is not known to be behind must read
// the store from time to time. A relay need not unless its watch is stalled.
func (r *Follower) storeReadNeeded(now time.Time, relay bool) bool {
	return !relay || now.Sub(r.lastStoreContact) >= r.settings.WatchTimeout
}

// storeReadInterval returns the time until the next read of the store: the
// configured interval with a jitter of ±50%.
func (r *Follower) storeReadInterval(relay bool) time.Duration {
	interval := r.settings.ReadInterval + time.Duration(len(r.peers))*r.settings.ReadIntervalPerMember
	if relay || len(r.peers) == 0 {
		interval = r.settings.FallbackReadInterval
	}
	return interval/2 + time.Duration(r.rng.Int64N(int64(interval)))
}

// catchUpSource returns the next source while the node is behind. It cycles through
// the relays of the zone, the node that announced the version, one random peer,
// and the store.
func (r *Follower) catchUpSource(now time.Time) Source {
	var sources []fleet.NodeID
	for _, id := range append(r.zoneRelays(), r.announcer) {
		if id != r.self && r.isPeer(id) && !slices.Contains(sources, id) {
			sources = append(sources, id)
		}
	}
	if len(r.peers) > 0 {
		sources = append(sources, r.peers[r.rng.IntN(len(r.peers))].ID)
	}
	next := r.fetch.attempts % (len(sources) + 1)
	if next == len(sources) {
		r.nextStoreRead = now.Add(r.storeReadInterval(false))
		return Source{}
	}
	return Source{Peer: sources[next]}
}

func (r *Follower) isPeer(id fleet.NodeID) bool {
	return slices.ContainsFunc(r.peers, func(p Peer) bool { return p.ID == id })
}
