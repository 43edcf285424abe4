package front

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log/level"

	"github.com/redwingnotch/redwingnotch/internal/bootclock"
	"github.com/redwingnotch/redwingnotch/poison"
	"github.com/redwingnotch/redwingnotch/replicas"
)

// Limits of what messages between nodes say of servers that ended under requests.
const (
	endsPublishedFor     = 1500 * time.Millisecond // time for which each message names an end, or a content that is innocent
	endsInFullFor        = 30 * time.Second        // time for which full messages name an end
	maxEndsPerMessage    = 32                      // ends in one message
	maxContentsPerEnd    = 64                      // contents of one end in one message
	maxContentsPublished = 512                     // contents of all ends in one message, and innocent ones
	maxRefusalsPublished = 32                      // refused contents in one full message
)

// reasonPoison is the reason of requests that are refused because servers ended under
// their content.
const reasonPoison = "poison_request"

// endState is the encoded form of a poison.Report.
type endState struct {
	End   uint64   `json:"e"`
	AgeMS int64    `json:"t"` // milliseconds since the end
	Keys  []uint64 `json:"k"` // hashes of the contents
}

// refusalState is the encoded form of a poison.Refusal.
type refusalState struct {
	Key   uint64 `json:"k"`
	AgeMS int64  `json:"t"` // milliseconds since the last end of a server under the content
}

// innocentContent is a content that this node found innocent and still publishes.
type innocentContent struct {
	key poison.Key
	at  time.Time
}

// endOf identifies the end of the server's start, the same at all nodes.
func endOf(server replicas.Entry) poison.End {
	return poison.End(xxhash.Sum64String(server.ID + "\x00" + strconv.FormatInt(server.Start, 10)))
}

// reportEnd records and publishes that a server ended under requests with the contents. A
// draining server ends whatever it runs. The caller holds n.mu.
func (n *Node) reportEnd(now time.Time, server replicas.Entry, contents []uint64) {
	if server.Draining || len(contents) == 0 {
		return
	}
	r := poison.Report{End: endOf(server), At: now}
	for _, content := range contents[:min(len(contents), maxContentsPerEnd)] {
		r.Keys = append(r.Keys, poison.Key(content))
	}
	n.ends = append(n.ends, r)
	n.poison.Record(now, r)
	n.publish(now, sendAllNow)
}

// decidePoison refuses the contents that have become conspicuous. The caller holds n.mu.
func (n *Node) decidePoison(now time.Time) {
	for _, key := range n.poison.Decide(now) {
		level.Warn(n.log).Log("event", "poison", "content", formatHash(uint64(key)), "for_ms", n.poison.Refused(now, key).Milliseconds())
	}
}

// refusedAsPoison ends the request if its content is refused, and reports whether it did.
func (x *exchange) refusedAsPoison() bool {
	n, key := x.node, poison.Key(x.contentHash())
	n.mu.Lock()
	left := n.poison.Refused(bootclock.Now(), key)
	n.mu.Unlock()
	switch {
	case left <= 0:
		return false
	case x.responseStarted || x.runs > 0:
		x.endUnanswered(reasonPoison)
	default:
		x.refuse(reasonPoison, left)
	}
	return true
}

// clearContent records that a server completed the response to the request, so its content
// ends no servers.
func (x *exchange) clearContent() {
	n, key, now := x.node, poison.Key(x.contentHash()), bootclock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.poison.Answered(now, key) {
		level.Info(n.log).Log("event", "content_cleared", "id", x.params.ID, "server", x.server, "content", formatHash(uint64(key)),
			"framing", x.received.framing, "end", x.received.end)
		n.publishInnocent(now, []poison.Key{key})
	}
}

// publishInnocent publishes that the contents are innocent. The caller holds n.mu.
func (n *Node) publishInnocent(now time.Time, keys []poison.Key) {
	for _, key := range keys {
		if len(n.innocent) < maxContentsPublished {
			n.innocent = append(n.innocent, innocentContent{key, now})
		}
	}
	if len(keys) > 0 {
		n.publish(now, sendAllNow)
	}
}

// addSuspects adds to a full message what this node knows of servers that ended under
// requests. The caller holds n.mu.
func (n *Node) addSuspects(now time.Time, m *message) {
	n.ends = slices.DeleteFunc(n.ends, func(r poison.Report) bool { return now.Sub(r.At) > endsInFullFor })
	n.innocent = slices.DeleteFunc(n.innocent, func(i innocentContent) bool { return now.Sub(i.at) > endsPublishedFor })
	contents := 0
	reports := append(n.poison.Reports(maxContentsPerEnd), n.ends...)
	for _, r := range slices.Backward(reports[max(0, len(reports)-maxEndsPerMessage):]) {
		if contents += len(r.Keys); contents > maxContentsPublished {
			break
		}
		m.Ends = append(m.Ends, endState{End: uint64(r.End), AgeMS: now.Sub(r.At).Milliseconds(), Keys: uint64s(r.Keys)})
	}
	for _, i := range n.innocent {
		m.Innocent = append(m.Innocent, uint64(i.key))
	}
	for _, r := range n.poison.Refusals(now, maxRefusalsPublished) {
		m.Refusals = append(m.Refusals, refusalState{Key: uint64(r.Key), AgeMS: now.Sub(r.Last).Milliseconds()})
	}
}

// latestEnds returns the ends that partial messages name as well.
func latestEnds(ends []endState) []endState {
	return slices.DeleteFunc(slices.Clone(ends), func(e endState) bool { return e.AgeMS > endsPublishedFor.Milliseconds() })
}

// uint64s returns the keys as numbers.
func uint64s(keys []poison.Key) []uint64 {
	numbers := make([]uint64, len(keys))
	for i, key := range keys {
		numbers[i] = uint64(key)
	}
	return numbers
}

// applySuspects merges what another node says of servers that ended under requests. The
// caller holds n.mu.
func (n *Node) applySuspects(now time.Time, m message) {
	for _, e := range m.Ends[:min(len(m.Ends), maxEndsPerMessage)] {
		r := poison.Report{End: poison.End(e.End), At: now.Add(-time.Duration(e.AgeMS) * time.Millisecond)}
		for _, key := range e.Keys[:min(len(e.Keys), maxContentsPerEnd)] {
			r.Keys = append(r.Keys, poison.Key(key))
		}
		n.publishInnocent(now, n.poison.Record(now, r))
	}
	for _, key := range m.Innocent[:min(len(m.Innocent), maxContentsPublished)] {
		n.poison.Answered(now, poison.Key(key))
	}
	for _, r := range m.Refusals[:min(len(m.Refusals), maxRefusalsPublished)] {
		n.poison.Refuse(now, poison.Key(r.Key), now.Add(-time.Duration(r.AgeMS)*time.Millisecond))
	}
}
