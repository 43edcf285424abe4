package membership

import (
	"cmp"
	"slices"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// updateKey names an update to send on: a member's record or an item.
type updateKey struct {
	member fleet.NodeID // empty for an item
	item   itemKey
}

// compareUpdateKeys orders members before items.
func compareUpdateKeys(a, b updateKey) int {
	if (a.member == "") != (b.member == "") {
		if a.member != "" {
			return -1
		}
		return 1
	}
	if a.member != b.member {
		return cmp.Compare(a.member, b.member)
	}
	return compareItemKeys(a.item, b.item)
}

// pending is an update that was sent some times.
type pending struct {
	key  updateKey
	sent int
}

// updateQueue holds the updates that are still to be sent on, least sent
// first. It holds at most one entry a member and item.
type updateQueue struct {
	entries []pending
}

func (q *updateQueue) addMember(id fleet.NodeID) { q.add(updateKey{member: id}) }

func (q *updateQueue) addItem(key itemKey) { q.add(updateKey{item: key}) }

func (q *updateQueue) removeMember(id fleet.NodeID) { q.remove(updateKey{member: id}) }

func (q *updateQueue) removeItem(key itemKey) { q.remove(updateKey{item: key}) }

// add queues the update as not sent yet.
func (q *updateQueue) add(key updateKey) {
	q.remove(key)
	q.entries = append(q.entries, pending{key: key})
}

func (q *updateQueue) remove(key updateKey) {
	q.entries = slices.DeleteFunc(q.entries, func(p pending) bool { return p.key == key })
}

// order sorts the least sent updates to the front.
func (q *updateQueue) order() {
	slices.SortFunc(q.entries, func(a, b pending) int {
		if a.sent != b.sent {
			return cmp.Compare(a.sent, b.sent)
		}
		return compareUpdateKeys(a.key, b.key)
	})
}

// dropSent removes the updates that were sent limit times.
func (q *updateQueue) dropSent(limit int) {
	q.entries = slices.DeleteFunc(q.entries, func(p pending) bool { return p.sent >= limit })
}

func (q *updateQueue) empty() bool { return len(q.entries) == 0 }
