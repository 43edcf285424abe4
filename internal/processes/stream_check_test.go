package processes

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/redwingnotch/redwingnotch/standin/modelserver"
)

// Kinds of breaches of a stream.
const (
	breachJoined     = "joined"     // events of two versions or services
	breachOrder      = "order"      // an event is missing, comes twice or out of order
	breachIncomplete = "incomplete" // the stream ended properly before its last event
	breachForeign    = "foreign"    // an event that its server did not make for this request
)

// breach is a breach of what is promised for a stream.
type breach struct{ kind, text string }

// check returns the breaches over all tries of the stream.
func (s *callerStream) check() []breach {
	var found []breach
	add := func(kind, format string, args ...any) {
		found = append(found, breach{kind, fmt.Sprintf(format, args...)})
	}
	next := 1
	var first modelserver.Event
	for i, t := range s.tries {
		for _, e := range t.events {
			var made modelserver.Event
			if err := json.Unmarshal([]byte(e.data), &made); err != nil {
				add(breachForeign, "try %d: event %q has data %q: %v", i, e.id, e.data, err)
				continue
			}
			if number, err := strconv.Atoi(e.id); err != nil || number != made.Number {
				add(breachForeign, "try %d: event %q holds event %d", i, e.id, made.Number)
			}
			if made.Number != next {
				add(breachOrder, "try %d: event %d where %d is due", i, made.Number, next)
			}
			next = made.Number + 1
			if made.Stream != modelserver.Digest([]byte(s.body)) || made.Run != t.id {
				add(breachForeign, "try %d: event %d is of run %s and stream %s", i, made.Number, made.Run, made.Stream)
			}
			if first.Service == "" {
				first = made
			}
			if made.Software != first.Software || made.Service != first.Service {
				add(breachJoined, "try %d: event %d is of %s of %s (server %s), the first of %s of %s (server %s)", i, made.Number,
					made.Software, made.Service, made.Server, first.Software, first.Service, first.Server)
			}
		}
		if t.complete && t.status/100 == 2 && (next != s.events+1 || t.tail != "") {
			add(breachIncomplete, "try %d: ended properly before event %d of %d, after %q", i, next, s.events, t.tail)
		}
	}
	return found
}

// whole reports whether the caller got the whole stream.
func (s *callerStream) whole() bool {
	if len(s.tries) == 0 {
		return false
	}
	last := s.tries[len(s.tries)-1]
	return last.complete && last.status/100 == 2
}

// String describes the stream with each try.
func (s *callerStream) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "stream %s, route %s, model %s, limit %v:\n", s.body, s.route.name, s.model, s.limit)
	for i, t := range s.tries {
		fmt.Fprintf(&text, "  try %d %s at %s, %s to %s (%d ms): after event %d, resumes %q: status %d, stamp %q, retry after %v, complete %t, left %q, error %v, tail %q\n",
			i, t.id, t.node, t.sent.Format(stampFormat), t.ended.Format(stampFormat), t.ended.Sub(t.sent).Milliseconds(), t.lastEventID, t.resumes,
			t.status, t.stamp, t.retryAfter, t.complete, t.left, t.err, t.tail)
		for _, e := range t.events {
			var made modelserver.Event
			_ = json.Unmarshal([]byte(e.data), &made) // check reports it
			fmt.Fprintf(&text, "    event %q at %s: %d by %s %s of %s, born %d, run %s\n", e.id, e.at.Format(stampFormat), made.Number, made.Server,
				made.Software, made.Service, made.Born, made.Run)
		}
	}
	return text.String()
}

// stampFormat is the format of times of day in what the tests print.
const stampFormat = "15:04:05.000"

// streamCounts are the counts of a run's streams.
type streamCounts struct {
	streams, whole        int
	broken                int // streams with events that are not whole at the end
	takenUp, wentOn       int // tries with Last-Event-Id, and those of them that brought an event or the end
	reachedUp             int // tries with Last-Event-Id that got a response
	newTries, newBegan    int // tries without, that got a response, and those of them that brought an event
	unframed              int
	breaches              map[string]int // streams, by kind
	refusedUp, refusedNew map[string]int // tries, by status and the node's reason
}

func (c streamCounts) String() string {
	return fmt.Sprintf("streams %d, whole %d, broken %d; taken up %d (answered %d), went on %d; new tries answered %d, began %d; unframed %d; breaches %v\n  refused when taken up: %s\n  refused when new: %s",
		c.streams, c.whole, c.broken, c.takenUp, c.reachedUp, c.wentOn, c.newTries, c.newBegan, c.unframed, c.breaches, list(c.refusedUp), list(c.refusedNew))
}

func list(counts map[string]int) string {
	var parts []string
	for _, key := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s: %d", key, counts[key]))
	}
	return strings.Join(parts, ", ")
}

// countStreams counts the streams. reasons are those of the nodes, by request.
func countStreams(streams []*callerStream, reasons map[string]string) streamCounts {
	c := streamCounts{streams: len(streams), breaches: map[string]int{}, refusedUp: map[string]int{}, refusedNew: map[string]int{}}
	for _, s := range streams {
		events := 0
		for _, t := range s.tries {
			events += len(t.events)
			c.add(t, reasons[t.id])
		}
		switch {
		case s.whole():
			c.whole++
		case events > 0:
			c.broken++
		}
		kinds := map[string]bool{}
		for _, b := range s.check() {
			kinds[b.kind] = true
		}
		for kind := range kinds {
			c.breaches[kind]++
		}
	}
	return c
}

func (c *streamCounts) add(t streamTry, reason string) {
	goesOn := t.status/100 == 2 && (len(t.events) > 0 || t.complete)
	refused := c.refusedNew
	if t.lastEventID > 0 {
		c.takenUp++
		refused = c.refusedUp
	}
	if t.unframed {
		c.unframed++
	}
	switch {
	case t.lastEventID > 0 && t.status > 0:
		c.reachedUp++
	case t.status > 0:
		c.newTries++
	}
	switch {
	case goesOn && t.lastEventID > 0:
		c.wentOn++
	case goesOn:
		c.newBegan++
	case t.status > 0:
		refused[fmt.Sprintf("%d %s", t.status, reason)]++
	case t.notConnected():
		refused["not connected"]++
	default:
		refused["no response "+t.left]++
	}
}
