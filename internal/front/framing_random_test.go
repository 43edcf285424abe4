package front_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/internal/httpsend"
	"github.com/redwingnotch/redwingnotch/platform"
	"github.com/redwingnotch/redwingnotch/standin/rawhttp"
)

// Seeds of TestCallerIsToldTruthfullyHowResponseEnded.
var (
	framingSeed  = flag.Uint64("framing-seed", 1, "first seed of random framings and cuts")
	framingSeeds = flag.Int("framing-seeds", 1, "number of seeds of random framings and cuts")
)

// Cases of one seed.
const (
	randomCases     = 500
	parallelCallers = 48
)

// cutAttempt is how a server responds to one attempt.
type cutAttempt struct {
	framing httpsend.Framing
	end     rawhttp.End
	cut     float64 // part of the encoded body that is sent; 1 sends all of it
}

// framingCase is one request and the responses to its attempts.
type framingCase struct {
	kind     string // route: chat, proof or unsafe
	events   int    // events of a stream
	attempts []cutAttempt

	mu   sync.Mutex
	ends []serverEnd // by attempt that was made
}

// serverEnd is what can be known from a server's response about its end.
type serverEnd struct {
	attempt   cutAttempt
	delivered string // bytes of the body that were sent
	complete  bool   // the framing was completed
	closed    bool   // only the end of the connection ended the response, where it may be complete
}

// bodyBytes are the bytes of plain responses.
const bodyBytes = "some bytes"

// respond answers the next attempt of the case.
func (f *framingCase) respond(rw http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	a := f.attempts[min(len(f.ends), len(f.attempts)-1)]
	response := rawhttp.Response{Framing: a.framing, Parts: []string{bodyBytes[:4], bodyBytes[4:]}}
	if f.kind != "unsafe" {
		last, _ := strconv.Atoi(r.Header.Get(platform.HeaderLastEventID)) // zero if there is none
		response = eventStream(a.framing, last+1, f.events, "")
	}
	response.Cut, response.End = int(a.cut*float64(len(response.EncodedBody()))), a.end
	f.ends = append(f.ends, f.expectedEnd(response, a))
	f.mu.Unlock()
	_ = response.WriteTo(rw) // fails if the node has left
}

// expectedEnd returns what a client can know of the response.
func (f *framingCase) expectedEnd(r rawhttp.Response, a cutAttempt) serverEnd {
	e := serverEnd{attempt: a, delivered: delivered(r)}
	if r.Framing != httpsend.FramingClose {
		e.complete = r.Cut == len(r.EncodedBody())
		return e
	}
	e.closed = r.End == rawhttp.Close
	if f.kind != "unsafe" {
		e.closed = e.closed && strings.HasSuffix(e.delivered, "\n\n")
	}
	return e
}

// delivered returns the bytes of the body in the part of the response that is sent.
func delivered(r rawhttp.Response) string {
	if r.Framing != httpsend.FramingChunks {
		return r.EncodedBody()[:r.Cut]
	}
	var s strings.Builder
	left := r.Cut
	for _, part := range r.Parts {
		if part == "" {
			continue
		}
		left -= len(fmt.Sprintf("%x\r\n", len(part)))
		s.WriteString(part[:max(0, min(len(part), left))])
		left -= len(part) + len("\r\n")
	}
	return s.String()
}

// whole returns the body of a complete response.
func (f *framingCase) whole() string {
	if f.kind == "unsafe" {
		return bodyBytes
	}
	return eventText(1, f.events)
}

// check returns an error if the caller was told something that is not known.
func (f *framingCase) check(got response) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	whole := f.whole()
	switch {
	case len(f.ends) == 0:
		return nil // refused or no server at the moment
	case whole == "":
		if got.status == http.StatusOK && got.err == nil && !got.truncated {
			return fmt.Errorf("a stream without an event ended as complete")
		}
		return nil
	case got.status != http.StatusOK || got.err != nil:
		if f.ends[0].complete || f.ends[0].closed {
			return fmt.Errorf("status %d, %v instead of the server's response", got.status, got.err)
		}
		return nil
	}
	first, last := f.ends[0], f.ends[len(f.ends)-1]
	switch {
	case !strings.HasPrefix(whole, got.body):
		return fmt.Errorf("body %q is no part of the server's", got.body)
	case f.kind != "unsafe" && got.body != "" && !strings.HasSuffix(got.body, "\n\n"):
		return fmt.Errorf("body %q ends inside an event", got.body)
	case got.truncated && (first.complete || first.closed):
		return fmt.Errorf("broken off, though the server's response was not")
	case got.truncated:
		return nil
	case got.framing == httpsend.FramingClose && !last.complete && !last.closed:
		return fmt.Errorf("ended in order, though the server's response did not")
	case got.framing != httpsend.FramingClose && (got.body != whole || !last.complete):
		return fmt.Errorf("framed as complete by %s, body %q", got.framing, got.body)
	}
	return nil
}

// newFramingCases returns all cuts of short responses with all framings and ends, and
// random ones.
func newFramingCases(seed uint64) []*framingCase {
	rng := rand.New(rand.NewPCG(seed, 0))
	attempt := func() cutAttempt {
		a := cutAttempt{framing: rawhttp.Framings()[rng.IntN(3)], end: rawhttp.Ends()[rng.IntN(3)], cut: rng.Float64()}
		if rng.IntN(2) == 0 {
			a.cut = 1
		}
		return a
	}
	var cases []*framingCase
	for _, kind := range []string{"chat", "unsafe"} {
		for _, framing := range rawhttp.Framings() {
			for _, end := range []rawhttp.End{rawhttp.Close, rawhttp.Reset} {
				encoded := rawhttp.Response{Framing: framing, Parts: []string{bodyBytes[:4], bodyBytes[4:]}}.EncodedBody()
				if kind == "chat" {
					encoded = eventStream(framing, 1, 2, "").EncodedBody()
				}
				for cut := range len(encoded) + 1 {
					// The half avoids that rounding changes the number of bytes.
					part := min(1, (float64(cut)+0.5)/float64(len(encoded)))
					cases = append(cases, &framingCase{kind: kind, events: 2, attempts: []cutAttempt{{framing, end, part}}})
				}
			}
		}
	}
	for range randomCases {
		f := &framingCase{kind: []string{"chat", "proof", "proof", "unsafe"}[rng.IntN(4)], events: rng.IntN(5)}
		for range 3 {
			f.attempts = append(f.attempts, attempt())
		}
		cases = append(cases, f)
	}
	return cases
}

// TestCallerIsToldTruthfullyHowResponseEnded guards against responses that are framed as
// complete though nobody knows that they are, and against complete ones that look broken:
// random framings, cut after each byte, by close, reset and silence, resumed or not.
func TestCallerIsToldTruthfullyHowResponseEnded(t *testing.T) {
	for seed := *framingSeed; seed < *framingSeed+uint64(*framingSeeds); seed++ {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) { testRandomFramings(t, newFramingCases(seed)) })
	}
}

func testRandomFramings(t *testing.T, cases []*framingCase) {
	c := newCluster(t)
	c.slots = parallelCallers
	handler := func(rw http.ResponseWriter, r *http.Request) {
		number, err := strconv.Atoi(r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:])
		if err != nil {
			rw.WriteHeader(http.StatusNotFound) // a report request
			return
		}
		cases[number].respond(rw, r)
	}
	for i := range 4 {
		c.backendServer(fmt.Sprint("llm", i), "llm", handler)
		c.backendServer(fmt.Sprint("plain", i), "plain", handler)
	}
	n := c.node("127.0.0.1", 0)
	var group errgroup.Group
	group.SetLimit(parallelCallers)
	for i, f := range cases {
		group.Go(func() error {
			model := ""
			if f.kind != "unsafe" {
				model = "m"
			}
			got := c.call(n, http.MethodPost, fmt.Sprintf("/%s/%d", f.kind, i), fmt.Sprint("r", i), platform.HeaderModel, model, platform.HeaderDeadline, "3500")
			if err := f.check(got); err != nil {
				t.Errorf("case %d (%s, %d events): %v; attempts %+v", i, f.kind, f.events, err, f.ends)
			}
			return nil
		})
	}
	assert.NilError(t, group.Wait())
	reached := 0
	for _, f := range cases {
		if len(f.ends) > 0 {
			reached++
		}
	}
	t.Logf("%d of %d requests reached a server", reached, len(cases))
	assert.Assert(t, reached >= len(cases)/2)
}
