package credentials

import "time"

// Shares of Bounds.Revocation at which a node refreshes its state. The watching node's confirmation
// is as old as the wait of its watch; with one interval and the replies it reaches about 0.4 at the
// others, and the reads of those that get no replies begin there.
const (
	queryShare     = 0.15 // interval of queries to the watching node
	replyShare     = 0.03 // time for a reply before others are asked; nodes on small VMs may be delayed for 0.1 s
	ownReadShare   = 0.3  // age of its own confirmation at which a node that is asked reads the store
	freshShare     = 0.38 // age of a confirmation that ends a round of queries
	firstReadShare = 0.42 // age at which the first node that gets no replies reads the store
	lastReadShare  = 0.54 // the same for the last node; its read must end before staleShare
	readRetryShare = 0.08 // least time between two reads
)

// Times that do not depend on Bounds.
const (
	minHurryGap = 100 * time.Millisecond // least time between two early refreshes, whatever the number of unknown keys
	pendingFor  = 3 * time.Second        // time after which a reply no longer counts; its confirmation would be as old
)

// Asked says whom a node asks for a confirmation.
type Asked uint8

// Whom a node asks.
const (
	AskNone    Asked = iota
	AskWatcher       // the node that watches the desired state
	AskOthers        // the two nodes that follow it in the order of succession
)

// Refresh is what a node does next to keep its state current.
type Refresh struct {
	Ask   Asked
	Nonce uint64 // of the query; set if Ask is not AskNone
	Read  bool   // read the store
}

// Refresher decides when a node asks others for a confirmation, and when it reads the store. Use
// NewRefresher.
type Refresher struct {
	bounds     Bounds
	spread     float64
	pending    map[uint64]time.Time // sending times of queries, by nonce
	asked      Asked                // whom the current round has asked last; AskNone between rounds
	roundBegan time.Time
	askedAt    time.Time
	unanswered bool // the latest round that ended brought no fresh confirmation
	hurry      bool
	demanded   bool      // another node's query demands a read
	lastRead   time.Time // when a read was last demanded
}

// NewRefresher returns the refresher of a node. spread is from 0 to 1 and differs from node to node,
// so that those that get no replies do not read the store at one moment.
func NewRefresher(b Bounds, spread float64) *Refresher {
	return &Refresher{bounds: b, spread: spread, pending: map[uint64]time.Time{}}
}

// Hurry lets the node refresh its state early, for an unknown key.
func (r *Refresher) Hurry() { r.hurry = true }

// Queried handles a query of another node. It reports whether this node is to reply once more when
// it has read the store, because its own confirmation is missing or old.
func (r *Refresher) Queried(now time.Time, c *Checker) bool {
	own := c.OwnAge(now)
	old := own < 0 || own >= share(r.bounds.Revocation, ownReadShare)
	r.demanded = r.demanded || old
	return old
}

// Replied handles a reply to a query of this node: the version in force at the node that replies, and
// the age of its own confirmation when it replied, negative if it has none.
func (r *Refresher) Replied(now time.Time, c *Checker, nonce, version uint64, age time.Duration) {
	sent, known := r.pending[nonce]
	if !known {
		return // answered too late, or no query of this run of the node
	}
	if c.ConfirmReply(sent, version, age) && now.Sub(sent)+age < share(r.bounds.Revocation, freshShare) {
		r.asked, r.unanswered = AskNone, false
	}
}

// Tick returns what the node does next. watches says that it is the node that watches the desired
// state; nonce is a random number, used if the node sends a query.
func (r *Refresher) Tick(now time.Time, c *Checker, watches bool, nonce uint64) Refresh {
	r.forget(now)
	if r.roundBegan.IsZero() {
		// Nodes that start together ask, and read if they get no replies, at different times.
		r.roundBegan = now.Add(-time.Duration(r.spread * float64(share(r.bounds.Revocation, queryShare))))
	}
	if watches {
		return Refresh{Read: r.readsWatching(now, c)}
	}
	age := c.Age(now)
	ask := r.nextAsked(now)
	if ask != AskNone {
		r.pending[nonce] = now
		r.askedAt = now
	}
	readAge := share(r.bounds.Revocation, firstReadShare+(lastReadShare-firstReadShare)*r.spread)
	due := r.demanded || r.unanswered && (age < 0 || age >= readAge)
	return Refresh{Ask: ask, Nonce: nonce, Read: due && r.takeRead(now)}
}

// nextAsked moves the round of queries on and returns whom to ask now.
func (r *Refresher) nextAsked(now time.Time) Asked {
	late := now.Sub(r.askedAt) >= share(r.bounds.Revocation, replyShare)
	gap := now.Sub(r.roundBegan)
	switch {
	case gap >= share(r.bounds.Revocation, queryShare), r.hurry && r.asked == AskNone && gap >= minHurryGap:
		r.hurry, r.roundBegan, r.asked = false, now, AskWatcher
		return AskWatcher
	case late && r.asked == AskWatcher:
		r.asked = AskOthers
		return AskOthers
	case late && r.asked == AskOthers:
		r.asked, r.unanswered = AskNone, true
	}
	return AskNone
}

// readsWatching reports whether the node that watches the desired state reads the store now. Its
// watch confirms the state; it reads if that fails or has not begun.
func (r *Refresher) readsWatching(now time.Time, c *Checker) bool {
	r.asked, r.unanswered = AskNone, false
	r.hurry = false // its watch ends with each change, so reading for unknown keys gains nothing
	own := c.OwnAge(now)
	return (own < 0 || own >= share(r.bounds.Revocation, ownReadShare)) && r.takeRead(now)
}

// takeRead reports whether a read may be sent, and records it.
func (r *Refresher) takeRead(now time.Time) bool {
	if !r.lastRead.IsZero() && now.Sub(r.lastRead) < share(r.bounds.Revocation, readRetryShare) {
		return false
	}
	r.lastRead, r.demanded = now, false
	return true
}

// forget drops queries to which a reply would come too late to be of use.
func (r *Refresher) forget(now time.Time) {
	for nonce, at := range r.pending {
		if now.Sub(at) >= pendingFor {
			delete(r.pending, nonce)
		}
	}
}
