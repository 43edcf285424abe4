package membership

import (
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// State is the state of a member as seen by this node.
type State uint8

// The states of a member. At the same incarnation the higher state overrides
// the lower one.
const (
	StateAlive   State = iota // responds to probes
	StateSuspect              // did not respond to a probe; may still refute the suspicion
	StateLeaving              // planned stop: accepts no new work, finishes running work
	StateDead                 // did not refute the suspicion in time or stopped responding while leaving
	StateLeft                 // completed its planned stop
)

// String returns the state's name as shown to operators.
func (s State) String() string {
	if s > StateLeft {
		return "invalid"
	}
	return [...]string{"alive", "suspect", "leaving", "dead", "left"}[s]
}

// Stopped reports whether the member is dead or left.
func (s State) Stopped() bool { return s == StateDead || s == StateLeft }

// Member is one row of the member table. Addresses are host:port.
type Member struct {
	ID             fleet.NodeID
	Incarnation    fleet.Incarnation
	Region         fleet.Region
	Zone           fleet.AvailabilityZone
	GossipAddr     string // UDP address of the gossip protocol
	PeerAddr       string // TCP address for calls between nodes
	EntryAddr      string // TCP address for callers
	State          State
	ReleaseVersion uint64    // highest known release version in force at the member
	LastContact    time.Time // time of the last packet received from the member itself; zero if none
}

// refutationBits is the number of low bits of an incarnation that count
// refutations. The remaining high bits identify the run of the process.
const refutationBits = 12

// NewIncarnation returns the first incarnation of a process run that starts at
// now, based on the time in milliseconds. It is higher than all incarnations of
// an earlier run of the node, including those raised by refutations.
func NewIncarnation(now time.Time) fleet.Incarnation {
	return fleet.Incarnation(now.UnixMilli()) << refutationBits
}

// SameRun reports whether two incarnations of a node belong to the same run of
// its process. They may differ within a run, since a node raises its incarnation
// to refute a suspicion or its death.
func SameRun(a, b fleet.Incarnation) bool {
	return a>>refutationBits == b>>refutationBits
}

// EventKind is the kind of a change of the member table, the items or the node
// itself.
type EventKind uint8

// The kinds of events.
const (
	EventJoined      EventKind = iota // a member was added, or one that was dead or left is alive again
	EventSuspect                      // a member is suspected, as it did not respond to a probe
	EventRefuted                      // a suspected or leaving member is alive again
	EventLeaving                      // a member began a planned stop
	EventDead                         // a member was declared dead
	EventLeft                         // a member completed its planned stop
	EventIncarnation                  // a member was restarted: a later run replaced the known one
	EventRemoved                      // a dead or left member was removed from the table
	EventItem                         // an item was added or replaced by a higher version
	EventSelfDead                     // another node reported this node as dead or left; it is refuted with a higher incarnation
	EventIDInUse                      // another running node has this node's ID; this node must stop
	EventPaused                       // this node was paused and may not act until EventAwake
	EventAwake                        // this node may act
)

// String returns the kind's name as used in logs.
func (k EventKind) String() string {
	if k > EventAwake {
		return "invalid"
	}
	return [...]string{"joined", "suspect", "refuted", "leaving", "dead", "left", "incarnation",
		"forgotten", "item", "self_dead", "name_taken", "paused", "awake"}[k]
}

// Event is one change. Member is the member's row after the change and
// PreviousIncarnation its incarnation before it. Item is set only for EventItem.
type Event struct {
	Kind                EventKind
	Member              Member
	PreviousIncarnation fleet.Incarnation
	Item                Item
}

// Datagram is a datagram to be sent to the gossip address Addr (host:port).
type Datagram struct {
	Addr string
	Data []byte
}

// Effects holds the datagrams that the caller must send and the events that it
// must handle after a call to a Core.
type Effects struct {
	Packets []Datagram
	Events  []Event
}
