package membership

import "github.com/redwingnotch/redwingnotch/fleet"

// updateKey names an update to send on: a member's record or an item.
type updateKey struct {
	member fleet.NodeID // empty for an item
	item   itemKey
}

// queued is one place in the queue. It is void once the queue holds another
// generation of its key.
type queued struct {
	key        updateKey
	generation uint64
}

// updateQueue holds the updates that are still to be sent on, by the number of
// times that they were sent. It holds one update a member and item.
type updateQueue struct {
	generation uint64
	live       map[updateKey]uint64 // generation of each key that is queued
	levels     [][]queued           // by the number of times sent
}

func (q *updateQueue) addMember(id fleet.NodeID) { q.add(updateKey{member: id}) }

func (q *updateQueue) addItem(key itemKey) { q.add(updateKey{item: key}) }

func (q *updateQueue) removeMember(id fleet.NodeID) { delete(q.live, updateKey{member: id}) }

func (q *updateQueue) removeItem(key itemKey) { delete(q.live, updateKey{item: key}) }

// add queues the update as not sent yet.
func (q *updateQueue) add(key updateKey) {
	if q.live == nil {
		q.live = map[updateKey]uint64{}
	}
	q.generation++
	q.live[key] = q.generation
	q.push(0, queued{key: key, generation: q.generation})
}

func (q *updateQueue) push(level int, u queued) {
	for len(q.levels) <= level {
		q.levels = append(q.levels, nil)
	}
	q.levels[level] = append(q.levels[level], u)
}

// take offers the updates to fit, least sent first, until it refuses one. An
// update that was taken limit times is dropped.
func (q *updateQueue) take(limit int, fit func(updateKey) bool) {
	var taken []queued
	var levels []int
	for level := range q.levels {
		rest := q.levels[level]
		full := false
		for len(rest) > 0 && !full {
			u := rest[0]
			if q.live[u.key] == u.generation {
				if full = !fit(u.key); full {
					break
				}
				taken = append(taken, u)
				levels = append(levels, level+1)
			}
			rest = rest[1:]
		}
		q.levels[level] = rest
		if full {
			break
		}
	}
	for i, u := range taken {
		q.retain(levels[i], limit, u)
	}
}

// retain keeps an update that was sent the number of times, unless that is
// often enough.
func (q *updateQueue) retain(sent, limit int, u queued) {
	if sent >= limit {
		delete(q.live, u.key)
		return
	}
	q.push(sent, u)
}

func (q *updateQueue) empty() bool { return len(q.live) == 0 }
