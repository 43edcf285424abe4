package membership

import (
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// State is what a node believes of a member.
type State uint8

// The states of a member, in the order in which they win at one incarnation.
const (
	StateAlive   State = iota
	StateSuspect       // did not answer; may still refute
	StateLeaving       // planned stop; takes no new work, still finishes what runs
	StateDead          // did not refute the suspicion in time
	StateLeft          // finished its planned stop
)

// String returns the state's name as shown to operators.
func (s State) String() string {
	if s > StateLeft {
		return "invalid"
	}
	return [...]string{"alive", "suspect", "leaving", "dead", "left"}[s]
}

// Gone reports whether the member no longer runs, as far as is known.
func (s State) Gone() bool { return s == StateDead || s == StateLeft }

// Member is one row of the member table. Addresses are host:port.
type Member struct {
	ID             fleet.NodeID
	Incarnation    fleet.Incarnation
	Region         fleet.Region
	Zone           fleet.AvailabilityZone
	GossipAddr     string // UDP, this package
	PeerAddr       string // TCP, calls between nodes
	EntryAddr      string // TCP, callers
	State          State
	ReleaseVersion uint64    // in force at the member when it was last heard from directly
	HeardAt        time.Time // of the last packet from the member itself; zero if none
}

// refutationBits are the low bits of an incarnation that count refutations.
const refutationBits = 12

// NewIncarnation returns the first incarnation of a run that starts at now. A
// later run of the same node gets a higher one, refutations included.
func NewIncarnation(now time.Time) fleet.Incarnation {
	return fleet.Incarnation(now.UnixMilli()) << refutationBits
}

// SameRun reports whether two incarnations of one node belong to the same run
// of its process: a node raises its incarnation also to refute its own death.
func SameRun(a, b fleet.Incarnation) bool {
	return a>>refutationBits == b>>refutationBits
}

// EventKind says what changed in the member table or the items.
type EventKind uint8

// The kinds of events.
const (
	EventJoined      EventKind = iota // a member that was unknown or gone is alive
	EventSuspect                      // a member stopped answering
	EventRefuted                      // a suspected member proved to be alive
	EventLeaving                      // a member began a planned stop
	EventDead                         // a member is taken for dead
	EventLeft                         // a member finished its planned stop
	EventIncarnation                  // a member replaced its earlier incarnation
	EventForgotten                    // a gone member was dropped from the table
	EventItem                         // an item is new or has a higher version
	EventSelfDead                     // this node was taken for dead and raised its incarnation
	EventNameTaken                    // another running node bears this node's name; this node must stop
	EventPaused                       // this node was paused and may not act
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

// Event is one change. Member is the member after the change, Was its
// incarnation before; Item is set for EventItem.
type Event struct {
	Kind   EventKind
	Member Member
	Was    fleet.Incarnation
	Item   Item
}

// Outgoing is one datagram to send.
type Outgoing struct {
	Addr string
	Data []byte
}

// Effects are what the caller carries out after a call to the core.
type Effects struct {
	Packets []Outgoing
	Events  []Event
}
