package front_test

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/internal/httpsend"
	"github.com/redwingnotch/redwingnotch/platform"
	"github.com/redwingnotch/redwingnotch/standin/rawhttp"
)

// Seeds of TestStreamOverAllAttemptsIsInOrder.
var (
	takeUpSeed  = flag.Uint64("takeup-seed", 1, "first seed of random streams that are taken up")
	takeUpSeeds = flag.Int("takeup-seeds", 1, "number of seeds of random streams that are taken up")
)

// Sizes of one seed.
const (
	takeUpStreams   = 120
	maxTries        = 6 // times that a caller sends its request
	maxStreamEvents = 9
)

// beginning is where a server begins that is asked to go on after an event.
type beginning int

// Beginnings of a server's stream. Only skips can't be told from a sound stream: IDs need not be
// consecutive.
const (
	goesOn beginning = iota
	startsAnew
	repeatsLast
	goesBack   // begins well and repeats events later
	unnumbered // begins with an event without ID, which repeats the last one
	skips
	fails // no stream
	beginnings
)

// takeUpAttempt is how a server responds to one attempt.
type takeUpAttempt struct {
	beginning beginning
	cutAttempt
	newline string
	comment bool // a comment precedes each event
	back    int  // with goesBack, number of events that are sent before and repeated
}

// takeUpStream is one stream over all tries of its caller.
type takeUpStream struct {
	number   int
	events   int
	attempts []takeUpAttempt

	mu      sync.Mutex
	made    []string // attempts at servers so far, for messages
	skipped bool     // a server skipped an event
}

// event returns one event of the stream.
func (s *takeUpStream) event(id int) string {
	return fmt.Sprintf("id: %d\ndata: piece %d of %d\n\n", id, id, s.number)
}

// respond answers the next attempt of the stream.
func (s *takeUpStream) respond(rw http.ResponseWriter, r *http.Request) {
	last, _ := strconv.Atoi(r.Header.Get(platform.HeaderLastEventID)) // zero if there is none
	s.mu.Lock()
	a := s.attempts[len(s.made)%len(s.attempts)]
	s.made = append(s.made, fmt.Sprintf("after %d: %+v", last, a))
	s.skipped = s.skipped || a.beginning == skips && last+1 <= s.events
	s.mu.Unlock()
	if a.beginning == fails {
		rw.WriteHeader(http.StatusInternalServerError)
		return
	}
	response := eventStream(a.framing, 1, 0, "")
	add := func(event string) {
		if a.comment {
			event = ": comment\n\n" + event
		}
		response.Parts = append(response.Parts, strings.ReplaceAll(event, "\n", a.newline))
	}
	from := last + 1
	switch a.beginning {
	case startsAnew:
		from = 1
	case repeatsLast:
		from = max(1, last)
	case unnumbered:
		if last > 0 {
			add(fmt.Sprintf("data: piece %d of %d\n\n", last, s.number))
		}
	case goesBack:
		for id := from; id <= min(s.events, last+a.back); id++ {
			add(s.event(id))
		}
	case skips:
		from++
	}
	for id := from; id <= s.events; id++ {
		add(s.event(id))
	}
	response.Cut, response.End = int(a.cut*float64(len(response.EncodedBody()))), a.end
	_ = response.WriteTo(rw) // fails if the node has left
}

// What a caller must not get.
var (
	errNotIncreasing = errors.New("an event comes twice or too late")
	errMissing       = errors.New("an event is missing")
	errForeign       = errors.New("an event is not one of the stream's")
	errNotWhole      = errors.New("the stream ends as complete before its last event")
)

// take appends what one answer brought to what the caller has, and returns the last ID.
func (s *takeUpStream) take(got response, last int) (int, error) {
	text := strings.ReplaceAll(strings.ReplaceAll(got.body, "\r\n", "\n"), "\r", "\n")
	events := strings.SplitAfter(text, "\n\n")
	s.mu.Lock()
	skipped := s.skipped
	s.mu.Unlock()
	for _, event := range events[:len(events)-1] { // what follows the last one is not whole
		event = strings.TrimLeft(event, "\n")
		if event == "" || event == ": comment\n\n" {
			continue
		}
		id := 0
		if _, err := fmt.Sscanf(event, "id: %d\n", &id); err != nil || event != s.event(id) {
			return last, fmt.Errorf("%w: %q", errForeign, event)
		}
		switch {
		case id <= last:
			return last, fmt.Errorf("%w: %d after %d", errNotIncreasing, id, last)
		case id > last+1 && !skipped:
			return last, fmt.Errorf("%w: %d after %d", errMissing, id, last)
		}
		last = id
	}
	if complete(got) && got.framing != httpsend.FramingClose && last < s.events && !skipped {
		return last, fmt.Errorf("%w: %d of %d", errNotWhole, last, s.events)
	}
	return last, nil
}

// complete reports whether the caller takes the answer for a whole one.
func complete(got response) bool {
	return got.err == nil && got.status == http.StatusOK && !got.truncated
}

// follow calls the nodes in turn until the caller has the whole stream or has tried enough. It returns
// whether the caller has it, and how often it took its stream up.
func (s *takeUpStream) follow(c *cluster, nodes []*node) (whole bool, takenUp int, err error) {
	last, began := 0, ""
	for try := range maxTries {
		id := fmt.Sprintf("r%d-%d", s.number, try)
		header := []string{platform.HeaderModel, "m", platform.HeaderDeadline, "3500"}
		if last > 0 {
			header = append(header, platform.HeaderLastEventID, strconv.Itoa(last), "Resumes", began)
			takenUp++
		}
		got := c.call(nodes[(s.number+try)%len(nodes)], http.MethodPost, fmt.Sprintf("/proof/%d", s.number), id, header...)
		if got.status != http.StatusOK {
			continue
		}
		if last, err = s.take(got, last); err != nil {
			return false, takenUp, fmt.Errorf("try %d: %w", try, err)
		}
		if began == "" && last > 0 {
			began = id
		}
		if complete(got) && (got.framing != httpsend.FramingClose || last == s.events) {
			return true, takenUp, nil
		}
	}
	return false, takenUp, nil
}

// newTakeUpStreams returns random streams.
func newTakeUpStreams(seed uint64) []*takeUpStream {
	rng := rand.New(rand.NewPCG(seed, 0))
	var streams []*takeUpStream
	for number := range takeUpStreams {
		s := &takeUpStream{number: number, events: rng.IntN(maxStreamEvents + 1)}
		for range 2 * maxTries {
			a := takeUpAttempt{newline: []string{"\n", "\r\n", "\r"}[rng.IntN(3)], comment: rng.IntN(4) == 0, back: 1 + rng.IntN(4)}
			a.cutAttempt = cutAttempt{framing: rawhttp.Framings()[rng.IntN(3)], end: rawhttp.Ends()[rng.IntN(3)], cut: rng.Float64()}
			if rng.IntN(2) == 0 {
				a.beginning = beginning(rng.IntN(int(beginnings)))
			}
			if rng.IntN(3) == 0 {
				a.cut = 1
			}
			s.attempts = append(s.attempts, a)
		}
		streams = append(streams, s)
	}
	return streams
}

// TestStreamOverAllAttemptsIsInOrder guards against events that come twice, are missing or belong to
// another stream over all tries of a caller that takes its stream up at several nodes, one of which stops, and
// against an early end that looks complete: random framings, cut after any byte, by servers that repeat, go back
// or are silent.
func TestStreamOverAllAttemptsIsInOrder(t *testing.T) {
	for seed := *takeUpSeed; seed < *takeUpSeed+uint64(*takeUpSeeds); seed++ {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) { testTakeUps(t, newTakeUpStreams(seed)) })
	}
}

func testTakeUps(t *testing.T, streams []*takeUpStream) {
	c := newCluster(t)
	c.slots = parallelCallers
	for i := range 4 {
		c.backendServer(fmt.Sprint("llm", i), "llm", func(rw http.ResponseWriter, r *http.Request) {
			number, err := strconv.Atoi(strings.TrimPrefix(r.URL.Path, "/proof/"))
			if err != nil {
				rw.WriteHeader(http.StatusNotFound) // a report request
				return
			}
			streams[number].respond(rw, r)
		})
	}
	port := freePort(t, "127.0.0.2")
	c.gracePeriod = time.Second
	leaving := c.node("127.0.0.4", port)
	nodes := []*node{c.node("127.0.0.2", port), c.node("127.0.0.3", port), leaving}
	c.connected(len(nodes))
	defer time.AfterFunc(time.Second, leaving.stop).Stop()
	var mu sync.Mutex
	wholeStreams, takeUps := 0, 0
	var group errgroup.Group
	group.SetLimit(parallelCallers)
	for _, s := range streams {
		group.Go(func() error {
			whole, takenUp, err := s.follow(c, nodes)
			if err != nil {
				t.Errorf("stream %d of %d events: %v; attempts:\n%s", s.number, s.events, err, strings.Join(s.made, "\n"))
			}
			mu.Lock()
			defer mu.Unlock()
			takeUps += takenUp
			if whole {
				wholeStreams++
			}
			return nil
		})
	}
	assert.NilError(t, group.Wait())
	t.Logf("%d of %d streams whole, taken up %d times", wholeStreams, len(streams), takeUps)
	assert.Assert(t, wholeStreams >= len(streams)/4)
	assert.Assert(t, takeUps >= len(streams)/4)
}
