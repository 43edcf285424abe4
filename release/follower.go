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

// ReplicaSettings are the times of a node's view of the release.
type ReplicaSettings struct {
	FetchTimeout   time.Duration // of one fetch from a peer or the store
	RetryInterval  time.Duration // between fetches while the node is behind
	SettleAfter    time.Duration // after the start in which peers are heard before the store alone is believed
	ReadInterval   time.Duration // between direct reads of the store by a node that is not a relay
	ReadPerMember  time.Duration // added to it for each member, so that the store's load does not grow with them
	LonelyInterval time.Duration // between direct reads by a node that hears no relay, or a relay whose watch is silent
	WatchSilence   time.Duration // after which a relay's watch counts as silent
	CutOffAfter    time.Duration // without any contact after which the node counts as cut off
	RefuseAfter    time.Duration // without any contact after which the node no longer serves
}

// DefaultReplicaSettings returns the settings that meet the bounds of 3 s at
// today's size and 16 s at the plan's.
func DefaultReplicaSettings() ReplicaSettings {
	return ReplicaSettings{
		FetchTimeout:   2 * time.Second,
		RetryInterval:  200 * time.Millisecond,
		SettleAfter:    3 * time.Second,
		ReadInterval:   30 * time.Second,
		ReadPerMember:  200 * time.Millisecond,
		LonelyInterval: 2 * time.Second,
		WatchSilence:   8 * time.Second,
		CutOffAfter:    16 * time.Second,
		RefuseAfter:    10 * time.Minute,
	}
}

// RelaysPerZone is the number of nodes of each availability zone that watch the
// store.
const RelaysPerZone = 2

// Peer is another live node as membership shows it.
type Peer struct {
	ID      fleet.NodeID
	Zone    fleet.AvailabilityZone
	Version uint64    // in force there when it was last heard
	HeardAt time.Time // zero if never heard directly
}

// Source says where an update came from.
type Source struct {
	Peer fleet.NodeID // empty for the store
}

// store reports whether the source is the store.
func (s Source) store() bool { return s.Peer == "" }

// Standing says what a node may do by its view of the release.
type Standing uint8

// The standings.
const (
	StandingUnknown Standing = iota // does not know the version in force: refuse all
	StandingCurrent                 // serve
	StandingCutOff                  // serve replicas that are ready; order no loads
	StandingExpired                 // cut off for too long: refuse all
)

// String returns the standing's name as shown to operators.
func (s Standing) String() string {
	return [...]string{"unknown", "current", "cut off", "expired"}[s]
}

// Replica is one node's view of the release: the version that it serves by and
// how it follows. It never goes back to a lower version. It does no I/O and is
// not safe for concurrent use.
type Replica struct {
	settings ReplicaSettings
	self     fleet.NodeID
	zone     fleet.AvailabilityZone
	rng      *rand.Rand

	state        *State
	inForceSince time.Time // when the state came in force here
	differences  differenceLog

	peers       []Peer // ordered by id
	latestKnown uint64 // highest version heard of
	announcer   fleet.NodeID

	startedAt        time.Time
	confirmed        bool
	peerResponded    bool // since startedAt
	storeRead        bool // since startedAt
	lastStoreContact time.Time
	lastPeerContact  time.Time

	fetch         fetchState
	nextStoreRead time.Time
	lastAnnounced uint64
}

// fetchState is the fetch in progress and those that failed before it.
type fetchState struct {
	running   bool
	source    Source
	startedAt time.Time // of the last start
	attempts  int       // since the last progress
}

// ReplicaEffects are what the caller carries out after Tick.
type ReplicaEffects struct {
	Fetch    bool
	From     Source // for Fetch
	After    uint64 // for Fetch: the version that the node has
	Watch    bool   // whether to keep a watch on the store open
	Announce uint64 // version to tell all members of; zero for none
}

// NewReplica returns the view of a node that knows no version yet.
func NewReplica(now time.Time, self fleet.NodeID, zone fleet.AvailabilityZone, s ReplicaSettings, rng *rand.Rand) *Replica {
	r := &Replica{settings: s, self: self, zone: zone, rng: rng, state: NewState(), startedAt: now}
	r.nextStoreRead = now.Add(r.storeReadInterval(false))
	return r
}

// State returns the configuration in force at this node. It changes with the
// next HandleUpdate.
func (r *Replica) State() *State { return r.state }

// Version returns the version in force at this node.
func (r *Replica) Version() uint64 { return r.state.Version }

// Since returns when the version came in force at this node.
func (r *Replica) Since() time.Time { return r.inForceSince }

// Heard returns the highest version that the node heard of.
func (r *Replica) Heard() uint64 { return r.latestKnown }

// Reconfirm makes the node ask again which version is in force before it
// serves. It is called on waking after a pause.
func (r *Replica) Reconfirm(now time.Time) {
	r.confirmed = false
	r.peerResponded = false
	r.storeRead = false
	r.startedAt = now
	r.fetch = fetchState{}
}

// SetPeers takes over the live members other than the node itself.
func (r *Replica) SetPeers(now time.Time, peers []Peer) {
	r.peers = slices.Clone(peers)
	slices.SortFunc(r.peers, func(a, b Peer) int { return cmp.Compare(a.ID, b.ID) })
	for _, p := range r.peers {
		r.latestKnown = max(r.latestKnown, p.Version)
		if p.HeardAt.After(r.lastPeerContact) {
			r.lastPeerContact = p.HeardAt
		}
	}
	r.tryConfirm(now)
}

// HandleHeard takes note of a version that a node announced.
func (r *Replica) HandleHeard(version uint64, from fleet.NodeID) {
	if version > r.latestKnown {
		r.latestKnown = version
		r.announcer = from
		r.fetch.attempts = 0
	}
}

// HandleWatch takes note that a watch answered, with or without a change. The
// version is that of the head object in it; zero if it did not change.
func (r *Replica) HandleWatch(now time.Time, version uint64) {
	r.lastStoreContact = now
	if version > r.latestKnown {
		r.latestKnown = version
		r.announcer = ""
		r.fetch.attempts = 0
	}
}

// HandleUpdate applies what a fetch or watch brought; err is its failure. It
// reports whether the version in force rose. A lower version than the node has
// changes nothing.
func (r *Replica) HandleUpdate(now time.Time, from Source, u Update, err error) bool {
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

// recordResponse remembers what an answer proves.
func (r *Replica) recordResponse(from Source, u Update, applyErr error) {
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

// tryConfirm decides whether the node may take its version for the one in force: it
// is not older than what a peer that serves answered, or than what the store
// shows if the peers show nothing newer.
func (r *Replica) tryConfirm(now time.Time) {
	if r.confirmed || r.state.Version < r.latestKnown {
		return
	}
	r.confirmed = r.peerResponded || (r.storeRead && r.peerVersionsReceived(now))
}

// peerVersionsReceived reports whether the peers had the chance to show their version.
func (r *Replica) peerVersionsReceived(now time.Time) bool {
	if len(r.peers) == 0 || now.Sub(r.startedAt) >= r.settings.SettleAfter {
		return true
	}
	return slices.ContainsFunc(r.peers, func(p Peer) bool { return p.Version > 0 })
}

// Age returns for how long the node has heard neither a peer nor the store.
func (r *Replica) Age(now time.Time) time.Duration {
	last := r.startedAt
	if r.lastStoreContact.After(last) {
		last = r.lastStoreContact
	}
	if r.lastPeerContact.After(last) {
		last = r.lastPeerContact
	}
	return now.Sub(last)
}

// Standing returns what the node may do.
func (r *Replica) Standing(now time.Time) Standing {
	age := r.Age(now)
	switch {
	case !r.confirmed:
		return StandingUnknown
	case age >= r.settings.RefuseAfter:
		return StandingExpired
	case age >= r.settings.CutOffAfter:
		return StandingCutOff
	}
	return StandingCurrent
}

// Relay reports whether the node is one of its zone's relays: those that rank
// highest by a hash of zone and name.
func (r *Replica) Relay() bool { return slices.Contains(r.zoneRelays(), r.self) }

// zoneRelays returns the relays of the node's zone.
func (r *Replica) zoneRelays() []fleet.NodeID {
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

func (r *Replica) relayHash(id fleet.NodeID) uint64 {
	return xxhash.Sum64String(string(r.zone) + "/" + string(id))
}

// Tick returns what is due.
func (r *Replica) Tick(now time.Time) ReplicaEffects {
	r.tryConfirm(now)
	e := ReplicaEffects{Watch: r.Relay(), After: r.state.Version}
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

// nextFetch returns whom to ask, if anyone now.
func (r *Replica) nextFetch(now time.Time, relay bool) (Source, bool) {
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

// storeReadNeeded reports whether the node should read the store although it is
// not known to be behind. A relay whose watch answers need not.
func (r *Replica) storeReadNeeded(now time.Time, relay bool) bool {
	return !relay || now.Sub(r.lastStoreContact) >= r.settings.WatchSilence
}

// storeReadInterval returns the time until the next direct read, with jitter.
func (r *Replica) storeReadInterval(relay bool) time.Duration {
	interval := r.settings.ReadInterval + time.Duration(len(r.peers))*r.settings.ReadPerMember
	if relay || len(r.peers) == 0 {
		interval = r.settings.LonelyInterval
	}
	return interval/2 + time.Duration(r.rng.Int64N(int64(interval)))
}

// catchUpSource returns whom to ask next: the relays of the zone, the node that
// announced the version, one other, then the store, and so on in turn.
func (r *Replica) catchUpSource(now time.Time) Source {
	var order []fleet.NodeID
	for _, id := range append(r.zoneRelays(), r.announcer) {
		if id != r.self && r.isPeer(id) && !slices.Contains(order, id) {
			order = append(order, id)
		}
	}
	if len(r.peers) > 0 {
		order = append(order, r.peers[r.rng.IntN(len(r.peers))].ID)
	}
	turn := r.fetch.attempts % (len(order) + 1)
	if turn == len(order) {
		r.nextStoreRead = now.Add(r.storeReadInterval(false))
		return Source{}
	}
	return Source{Peer: order[turn]}
}

func (r *Replica) isPeer(id fleet.NodeID) bool {
	return slices.ContainsFunc(r.peers, func(p Peer) bool { return p.ID == id })
}
