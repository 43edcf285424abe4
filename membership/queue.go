package membership

import "github.com/redwingnotch/redwingnotch/fleet"

// updateKey identifies an update to gossip: a member record or an item.
type updateKey struct {
	member fleet.NodeID // empty for an item
	item   itemKey      // zero for a member
}

// queueEntry is an update in the queue. It is obsolete if the generation queued
// for its key is another one.
type queueEntry struct {
	key        updateKey
	generation uint64
}

// updateQueue holds the updates that are still to be gossiped, grouped by the
// number of times that they were sent. It holds at most one valid update per
// member and item.
type updateQueue struct {
	generation uint64
	queued     map[updateKey]uint64 // generation of each queued key
	levels     [][]queueEntry       // level n holds the entries that were sent n times
}

func (q *updateQueue) addMember(id fleet.NodeID) { q.add(updateKey{member: id}) }

func (q *updateQueue) addItem(key itemKey) { q.add(updateKey{item: key}) }

func (q *updateQueue) removeMember(id fleet.NodeID) { delete(q.queued, updateKey{member: id}) }

func (q *updateQueue) removeItem(key itemKey) { delete(q.queued, updateKey{item: key}) }

// add queues the update as not sent yet and replaces an earlier one of the key.
func (q *updateQueue) add(key updateKey) {
	if q.queued == nil {
		q.queued = map[updateKey]uint64{}
	}
	q.generation++
	q.queued[key] = q.generation
	q.push(0, queueEntry{key: key, generation: q.generation})
}

func (q *updateQueue) push(level int, u queueEntry) {
	for len(q.levels) <= level {
		q.levels = append(q.levels, nil)
	}
	q.levels[level] = append(q.levels[level], u)
}

// offer passes the updates to add, least often sent first, until add returns
// false. An update that add accepted limit times is removed.
func (q *updateQueue) offer(limit int, add func(updateKey) bool) {
	var sent []queueEntry
	var levels []int
	for level := range q.levels {
		pending := q.levels[level]
		full := false
		for len(pending) > 0 && !full {
			u := pending[0]
			if q.queued[u.key] == u.generation {
				if full = !add(u.key); full {
					break
				}
				sent = append(sent, u)
				levels = append(levels, level+1)
			}
			pending = pending[1:]
		}
		q.levels[level] = pending
		if full {
			break
		}
	}
	for i, u := range sent {
		q.requeue(levels[i], limit, u)
	}
}

// requeue queues an update that was sent the given number of times again, or
// removes it if that number has reached the limit.
func (q *updateQueue) requeue(sendCount, limit int, u queueEntry) {
	if sendCount >= limit {
		delete(q.queued, u.key)
		return
	}
	q.push(sendCount, u)
}

func (q *updateQueue) empty() bool { return len(q.queued) == 0 }
