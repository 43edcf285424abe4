package processes

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/redwingnotch/redwingnotch/platform"
	"github.com/redwingnotch/redwingnotch/standin/fault"
	"github.com/redwingnotch/redwingnotch/standin/modelserver"
)

// resolver resolves the addresses of entry nodes for callers of one zone and keeps them.
type resolver struct {
	region, zone string
	nodes        []*frontNode // that serve the directory
	keepFactor   float64      // by which callers exceed the time that an answer is valid for

	mu      sync.Mutex
	known   []string
	expires time.Time
}

// resolveTimeout is the time that callers allow a directory node.
const resolveTimeout = time.Second

// addresses returns the addresses, older ones if no node answers.
func (c *resolver) addresses(ctx context.Context, rng *rand.Rand) []string {
	c.mu.Lock()
	known, fresh := c.known, time.Now().Before(c.expires)
	c.mu.Unlock()
	if fresh {
		return known
	}
	var near, far []*frontNode
	for _, i := range rng.Perm(len(c.nodes)) {
		if n := c.nodes[i]; n.zone == c.zone {
			near = append(near, n)
		} else {
			far = append(far, n)
		}
	}
	order := append(near, far...)
	for _, n := range order[:min(3, len(order))] {
		found, ttl, err := c.ask(ctx, n)
		if err != nil {
			continue
		}
		c.mu.Lock()
		c.known, c.expires = found, time.Now().Add(time.Duration(c.keepFactor*min(ttl, 5)*float64(time.Second)))
		c.mu.Unlock()
		return found
	}
	return known
}

func (c *resolver) ask(ctx context.Context, n *frontNode) ([]string, float64, error) {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	query := url.Values{"name": {streamHost}, "region": {c.region}, "zone": {c.zone}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.directory()+platform.PathResolve+"?"+query.Encode(), nil)
	if err != nil {
		return nil, 0, err
	}
	resp, err := httpClient.Do(req)
	if err != nil {
		return nil, 0, err
	}
	defer resp.Body.Close()
	var answer struct {
		Addresses []string `json:"addresses"`
		TTL       float64  `json:"ttl_s"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil || resp.StatusCode != http.StatusOK || len(answer.Addresses) == 0 {
		return nil, 0, fmt.Errorf("resolve: status %d, %d addresses: %v", resp.StatusCode, len(answer.Addresses), err)
	}
	return answer.Addresses, answer.TTL, nil
}

// streamEvent is a whole event as its caller got it.
type streamEvent struct {
	id   string
	data string
	at   time.Time
}

// streamTry is one attempt of a stream's caller.
type streamTry struct {
	id, node    string
	resumes     string
	lastEventID int // of the last event that the caller had
	sent, ended time.Time

	status     int // zero if no response came
	stamp      string
	retryAfter time.Duration
	unframed   bool // the response has neither a length nor chunks
	events     []streamEvent
	tail       string // what came after the last whole event
	complete   bool   // the response ended properly
	left       string // why the caller left it; empty if it did not
	err        error
}

// streamPlan is what a caller of a stream does.
type streamPlan struct {
	route     streamRoute
	model     string
	body      string
	events    int
	limit     time.Duration // for which the caller waits, over all tries
	tries     int           // at nodes that it reaches
	leaveAt   int           // number of the event after which it leaves a healthy stream; zero: never
	impatient bool          // it leaves a node that does not begin to answer within a second
	hasty     bool          // it ignores Retry-After
}

// callerStream is a stream over all tries of its caller.
type callerStream struct {
	streamPlan
	tries []streamTry
}

// streamCaller sends the tries of streams.
type streamCaller struct {
	resolver *resolver
	rng      *rand.Rand
	nextID   func() string
}

// run sends the stream's requests until it is whole, its time is over or it can't be sent again.
func (c *streamCaller) run(ctx context.Context, p streamPlan) *callerStream {
	s := &callerStream{streamPlan: p}
	deadline := time.Now().Add(p.limit)
	failed := map[string]bool{}
	last, resumes := 0, ""
	for sent := 0; sent < p.tries && time.Now().Before(deadline); {
		address := c.pick(ctx, failed)
		if address == "" {
			if fault.Sleep(ctx, 200*time.Millisecond) != nil {
				return s
			}
			continue
		}
		t := c.try(ctx, p, address, last, resumes, deadline)
		s.tries = append(s.tries, t)
		if len(t.events) > 0 {
			last += len(t.events)
			if resumes == "" {
				resumes = t.id
			}
		}
		if t.complete && t.status/100 == 2 || !p.mayRetry(t) || ctx.Err() != nil {
			return s
		}
		if !t.notConnected() {
			sent++
		}
		failed[address] = true
		_ = fault.Sleep(ctx, c.pause(p, t, deadline)) // the loop's condition has the end
	}
	return s
}

// pick returns the address of a node that has not failed the stream, of any if all have.
func (c *streamCaller) pick(ctx context.Context, failed map[string]bool) string {
	known := c.resolver.addresses(ctx, c.rng)
	var sound []string
	for _, a := range known {
		if !failed[a] {
			sound = append(sound, a)
		}
	}
	if len(sound) == 0 {
		sound = known
	}
	if len(sound) == 0 {
		return ""
	}
	return sound[c.rng.IntN(len(sound))]
}

// mayRetry reports whether the caller may send its request again after the try.
func (p streamPlan) mayRetry(t streamTry) bool {
	switch t.status {
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusNotFound, http.StatusRequestEntityTooLarge, http.StatusRequestHeaderFieldsTooLarge:
		return false
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return p.route.resumable || t.notConnected()
}

// notConnected reports whether the node could not be reached.
func (t streamTry) notConnected() bool {
	var dial *net.OpError
	return errors.As(t.err, &dial) && dial.Op == "dial"
}

// pause returns how long the caller waits after the try.
func (c *streamCaller) pause(p streamPlan, t streamTry, deadline time.Time) time.Duration {
	if t.retryAfter > 0 && !p.hasty {
		return min(t.retryAfter, time.Until(deadline)/3)
	}
	return time.Duration(c.rng.IntN(200)) * time.Millisecond
}

// try sends one request on a new connection and reads its response.
func (c *streamCaller) try(ctx context.Context, p streamPlan, address string, last int, resumes string, deadline time.Time) streamTry {
	t := streamTry{id: c.nextID(), node: address, resumes: resumes, lastEventID: last, sent: time.Now()}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	w := newWatchdog(&t, cancel, p)
	defer w.stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+p.route.path+"generate", strings.NewReader(p.body))
	if err != nil {
		t.err = err
		return t
	}
	req.Host = streamHost
	req.Header.Set(platform.HeaderRequestID, t.id)
	req.Header.Set(platform.HeaderDeadline, strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
	req.Header.Set(platform.HeaderModel, p.model)
	req.Header.Set(platform.HeaderTokenCounts, "646,80")
	req.Header.Set(modelserver.HeaderEvents, strconv.Itoa(p.events))
	if last > 0 {
		req.Header.Set(platform.HeaderLastEventID, strconv.Itoa(last))
		req.Header.Set(platform.HeaderResumes, resumes)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	resp, err := client.Do(req)
	if err == nil {
		w.answered()
		t.status, t.stamp = resp.StatusCode, resp.Header.Get(platform.HeaderStamp)
		t.unframed = resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
		seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64) // zero if there is none
		t.retryAfter = time.Duration(seconds * float64(time.Second))
		err = t.read(resp.Body, w, p.leaveAt-last)
		resp.Body.Close()
	}
	t.complete = err == nil
	t.ended, t.err, t.left = time.Now(), err, w.reason()
	return t
}

// errLeft means that the caller left a healthy stream.
var errLeft = errors.New("left")

// read reads the response's events. It returns nil if the response ended properly, and leaves
// after leaveAfter events if that is above zero.
func (t *streamTry) read(body io.Reader, w *watchdog, leaveAfter int) error {
	lines := bufio.NewReader(body)
	var e streamEvent
	for {
		line, err := lines.ReadString('\n')
		t.tail += line
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		line = strings.TrimRight(line, "\r\n")
		if name, value, found := strings.Cut(line, ":"); found {
			switch value = strings.TrimPrefix(value, " "); name {
			case "id":
				e.id = value
			case "data":
				e.data += value
			}
		}
		if line != "" {
			continue
		}
		e.at = time.Now()
		t.events = append(t.events, e)
		t.tail, e = "", streamEvent{}
		w.event()
		if len(t.events) == leaveAfter {
			return errLeft
		}
	}
}

// watchdog makes a caller leave a stream that pauses for too long.
type watchdog struct {
	pause time.Duration
	timer *time.Timer // of the pause
	first *time.Timer // until the response begins; nil if the caller is patient

	mu  sync.Mutex
	why string
}

func newWatchdog(t *streamTry, cancel func(), p streamPlan) *watchdog {
	w := &watchdog{pause: p.route.longestPause()}
	leave := func(why string) func() {
		return func() {
			w.mu.Lock()
			w.why = why
			w.mu.Unlock()
			cancel()
		}
	}
	w.timer = time.AfterFunc(w.pause, leave("pause"))
	if p.impatient {
		w.first = time.AfterFunc(time.Second, leave("no response"))
	}
	return w
}

func (w *watchdog) answered() {
	if w.first != nil {
		w.first.Stop()
	}
}

func (w *watchdog) event() { w.timer.Reset(w.pause) }

func (w *watchdog) stop() {
	w.answered()
	w.timer.Stop()
}

func (w *watchdog) reason() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.why
}
