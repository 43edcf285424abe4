package front

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log/level"

	"github.com/redwingnotch/redwingnotch/internal/bootclock"
	"github.com/redwingnotch/redwingnotch/internal/httpsend"
	"github.com/redwingnotch/redwingnotch/poison"
	"github.com/redwingnotch/redwingnotch/replicas"
	"github.com/redwingnotch/redwingnotch/waiting"
)

// Limits of what messages between nodes say of servers that ended under requests.
const (
	endsPublishedFor     = 1500 * time.Millisecond // time for which each message names an end, an innocent trait or a new refusal
	endsInFullFor        = 30 * time.Second        // time for which full messages name an end
	maxEndsPerMessage    = 64                      // ends in one message
	maxRequestsPerEnd    = 64                      // requests of one end in one message
	maxSuspectsPublished = 8                       // suspects whose ends a node passes on, besides those that it saw itself
	maxTraitsPublished   = 512                     // traits of all ends in one message
	maxInnocentPublished = 256                     // innocent traits in one message
	maxRefusalsPublished = 32                      // refusals in one message
)

// reasonPoison is the reason of requests that are refused because servers ended under
// their traits.
const reasonPoison waiting.Reason = "poison_request"

// endState is the encoded form of a poison.Report. Builds that know contents only send no
// flags: each key is then a request of its own.
type endState struct {
	End   uint64   `json:"e"`
	AgeMS int64    `json:"t"`           // milliseconds since the end
	Keys  []uint64 `json:"k"`           // hashes of the traits of all requests, one request after another
	Flags []byte   `json:"s,omitempty"` // one for each key
}

// Flags of an endState's keys.
const (
	flagSameRequest = 1 << iota // the trait belongs to the request of the key before
	flagWeak                    // see poison.Request.Weak
	flagFirst                   // see poison.Request.First
)

// refusalState is the encoded form of a poison.Refusal.
type refusalState struct {
	Key   uint64   `json:"k"`
	With  []uint64 `json:"w,omitempty"` // further traits that a request must hold to be refused
	AgeMS int64    `json:"t"`           // milliseconds since the last end of a server under them
	Ends  []uint64 `json:"e,omitempty"` // some of the ends
}

// innocentTrait is a trait under which a response was completed, which this node still
// publishes.
type innocentTrait struct {
	key   poison.Key
	at    time.Time // when the response was completed
	since time.Time // when the node began to publish it
}

// endOf identifies the end of the server's start, the same at all nodes.
func endOf(server replicas.Entry) poison.End {
	return poison.End(xxhash.Sum64String(server.ID + "\x00" + strconv.FormatInt(server.Start, 10)))
}

// reportEnd records and publishes that a server ended under the requests. A draining server
// ends whatever it runs. The caller holds n.mu.
func (n *Node) reportEnd(now time.Time, server replicas.Entry, requests []poison.Request) {
	if server.Draining || len(requests) == 0 {
		return
	}
	r := poison.Report{End: endOf(server), At: now, Requests: n.bySuspicion(now, requests)}
	n.ends = append(n.ends, r)
	n.poison.Record(now, r)
	n.publish(now, sendAllNow)
}

// bySuspicion returns up to maxRequestsPerEnd of the requests: those that are likely to have
// ended the server first, which are not weak evidence and hold the most traits without a
// recent response.
func (n *Node) bySuspicion(now time.Time, requests []poison.Request) []poison.Request {
	suspicion := func(r poison.Request) int {
		open := 0
		for _, k := range r.Traits {
			if !n.poison.Presumed(now, k) {
				open++
			}
		}
		if r.Weak {
			open -= len(r.Traits)
		}
		return open
	}
	sorted := slices.Clone(requests)
	slices.SortStableFunc(sorted, func(a, b poison.Request) int { return suspicion(b) - suspicion(a) })
	return sorted[:min(len(sorted), maxRequestsPerEnd)]
}

// decidePoison refuses the traits that have become conspicuous. The caller holds n.mu.
func (n *Node) decidePoison(now time.Time) {
	refused, released := n.poison.Decide(now)
	for _, r := range refused {
		level.Warn(n.log).Log("event", "poison", "traits", formatKeys(r.Traits), "ends", len(r.Ends), "for_ms", r.Last.Add(poison.RefuseFor).Sub(now).Milliseconds())
	}
	for _, r := range released {
		level.Warn(n.log).Log("event", "poison_released", "traits", formatKeys(r.Traits), "ends", len(r.Ends))
	}
	if len(refused) > 0 {
		n.refusedAt = now
		n.refuseWaitingPoison(now)
		n.publish(now, sendAllNow)
	}
}

// refusedFor returns for how long a request with the traits is refused; zero if it may run,
// also as a trial. The caller holds n.mu.
func (n *Node) refusedFor(now time.Time, traits []poison.Key) time.Duration {
	left := n.poison.Refused(now, traits)
	if left > 0 && n.confirms(now) && n.poison.Trial(now, traits) {
		level.Info(n.log).Log("event", "poison_trial", "traits", formatKeys(traits))
		return 0
	}
	return left
}

// refuseWaitingPoison refuses the requests in the queue whose traits have become known to
// end servers. The caller holds n.mu.
func (n *Node) refuseWaitingPoison(now time.Time) {
	for key, w := range n.waiters {
		if left := n.poison.Refused(now, w.traits); left > 0 {
			n.queue.Cancel(now, key)
			n.decideWaiter(waiting.Decision{Key: key, Refused: reasonPoison, RetryAfter: left})
		}
	}
}

// responseComplete handles a response that was received to its end. A response that ended
// with its connection is no proof that the server lived on, and an error none that it ran
// the request.
func (x *exchange) responseComplete(server replicas.Entry, resp *http.Response) {
	switch {
	case x.received.framing == httpsend.FramingClose:
		x.responseClosed(server)
	case resp.StatusCode < http.StatusMultipleChoices:
		x.clearTraits()
	}
}

// clearTraits records that a server completed the response to the request, so its traits
// end no servers.
func (x *exchange) clearTraits() {
	n, traits, now := x.node, x.traits(), bootclock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.poison.Answered(now, now, traits...) {
		level.Info(n.log).Log("event", "content_cleared", "id", x.params.ID, "server", x.server.ID, "content", formatKeys(traits),
			"framing", x.received.framing, "end", x.received.end)
		n.publishInnocent(now, traits)
	}
}

// publishInnocent publishes when responses under the traits were completed, as far as that
// is known. The caller holds n.mu.
func (n *Node) publishInnocent(now time.Time, keys []poison.Key) {
	for _, key := range keys {
		known := slices.IndexFunc(n.innocent, func(i innocentTrait) bool { return i.key == key })
		i := innocentTrait{key: key, at: n.poison.AnsweredAt(key), since: now}
		switch {
		case i.at.IsZero():
		case known >= 0:
			n.innocent[known] = i
		case len(n.innocent) < maxInnocentPublished:
			n.innocent = append(n.innocent, i)
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
	n.innocent = slices.DeleteFunc(n.innocent, func(i innocentTrait) bool { return now.Sub(i.since) > endsPublishedFor })
	traits := 0
	reports := append(n.poison.Reports(maxSuspectsPublished), n.ends...)
	for _, r := range slices.Backward(reports[max(0, len(reports)-maxEndsPerMessage):]) {
		e := encodeReport(now, r)
		if traits += len(e.Keys); traits > maxTraitsPublished {
			break
		}
		m.Ends = append(m.Ends, e)
	}
	for _, i := range n.innocent {
		m.Innocent = append(m.Innocent, uint64(i.key))
		m.InnocentAgeMS = append(m.InnocentAgeMS, now.Sub(i.at).Milliseconds())
	}
	for _, r := range n.poison.Refusals(now, maxRefusalsPublished) {
		m.Refusals = append(m.Refusals, refusalState{Key: uint64(r.Traits[0]), With: uint64s(r.Traits[1:]), AgeMS: now.Sub(r.Last).Milliseconds(), Ends: uint64s(r.Ends)})
	}
}

// encodeReport returns the encoded form of a report.
func encodeReport(now time.Time, r poison.Report) endState {
	e := endState{End: uint64(r.End), AgeMS: now.Sub(r.At).Milliseconds()}
	for _, request := range r.Requests {
		var flags byte
		if request.Weak {
			flags |= flagWeak
		}
		if request.First {
			flags |= flagFirst
		}
		for i, key := range request.Traits {
			if i > 0 {
				flags |= flagSameRequest
			}
			e.Keys, e.Flags = append(e.Keys, uint64(key)), append(e.Flags, flags)
		}
	}
	return e
}

// decode returns the report. Keys without flags are requests of their own.
func (e endState) decode(now time.Time) poison.Report {
	r := poison.Report{End: poison.End(e.End), At: now.Add(-time.Duration(e.AgeMS) * time.Millisecond)}
	for i, key := range e.Keys[:min(len(e.Keys), maxTraitsPublished)] {
		var flags byte
		if i < len(e.Flags) {
			flags = e.Flags[i]
		}
		if flags&flagSameRequest == 0 || len(r.Requests) == 0 {
			r.Requests = append(r.Requests, poison.Request{Weak: flags&flagWeak != 0, First: flags&flagFirst != 0})
		}
		last := &r.Requests[len(r.Requests)-1]
		last.Traits = append(last.Traits, poison.Key(key))
	}
	return r
}

// latestEnds returns the ends that partial messages name as well.
func latestEnds(ends []endState) []endState {
	return slices.DeleteFunc(slices.Clone(ends), func(e endState) bool { return e.AgeMS > endsPublishedFor.Milliseconds() })
}

// latestRefusals returns the refusals that partial messages name as well: those decided at
// most endsPublishedFor ago.
func (n *Node) latestRefusals(now time.Time, refusals []refusalState) []refusalState {
	if now.Sub(n.refusedAt) > endsPublishedFor {
		return nil
	}
	return refusals
}

// uint64s returns the hashes as numbers.
func uint64s[T ~uint64](keys []T) []uint64 {
	numbers := make([]uint64, len(keys))
	for i, key := range keys {
		numbers[i] = uint64(key)
	}
	return numbers
}

// hashes returns the numbers as hashes.
func hashes[T ~uint64](numbers []uint64) []T {
	keys := make([]T, len(numbers))
	for i, number := range numbers {
		keys[i] = T(number)
	}
	return keys
}

// applySuspects merges what another node says of servers that ended under requests. The
// caller holds n.mu.
func (n *Node) applySuspects(now time.Time, m message) {
	for _, e := range m.Ends[:min(len(m.Ends), maxEndsPerMessage)] {
		n.endReportedBy(poison.End(e.End))
		n.publishInnocent(now, n.poison.Record(now, e.decode(now)))
	}
	for i, key := range m.Innocent[:min(len(m.Innocent), maxTraitsPublished)] {
		at := now
		if i < len(m.InnocentAgeMS) {
			at = now.Add(-time.Duration(m.InnocentAgeMS[i]) * time.Millisecond)
		}
		n.poison.Answered(now, at, poison.Key(key))
	}
	added := false
	for _, r := range m.Refusals[:min(len(m.Refusals), maxRefusalsPublished)] {
		added = n.poison.Refuse(now, poison.Refusal{Traits: append(hashes[poison.Key](r.With), poison.Key(r.Key)), Last: now.Add(-time.Duration(r.AgeMS) * time.Millisecond), Ends: hashes[poison.End](r.Ends)}) || added
	}
	if added {
		n.refuseWaitingPoison(now)
	}
}
