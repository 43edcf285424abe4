package node_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"syscall"
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// Callers of one episode.
const (
	soakChatCallers  = 9
	soakOrderCallers = 4
	maxOrderAttempts = 4 // sends of one key until the call is done
)

// soakCaller sends one request after another to the addresses that /v1/entry returns,
// as long as these are valid.
type soakCaller struct {
	s          *soak
	name       string
	rng        *rand.Rand
	hosts      []string
	validUntil time.Time
}

func (s *soak) startCallers() {
	for i := range soakChatCallers {
		c := s.newCaller(fmt.Sprint("caller-", i), uint64(i))
		s.background.Go(func() { c.chatUntilStopped(fleet.Rank(i % fleet.RankCount)) })
	}
	for i := range soakOrderCallers {
		c := s.newCaller(fmt.Sprint("shop-", i), uint64(100+i))
		s.background.Go(func() { c.orderUntilStopped() })
	}
}

func (s *soak) newCaller(name string, stream uint64) *soakCaller {
	return &soakCaller{s: s, name: name, rng: rand.New(rand.NewPCG(s.seed+stream<<32, uint64(s.episode)))}
}

// callersStopped reports whether callers must stop.
func (s *soak) callersStopped() bool {
	select {
	case <-s.stopCallers:
		return true
	default:
		return false
	}
}

// host returns a node to use now. It gets a new list when the last one has expired.
func (c *soakCaller) host() string {
	for time.Now().After(c.validUntil) {
		for _, host := range append(c.hosts, c.s.shuffledNames(c.rng)...) {
			if c.refreshHosts(host) {
				break
			}
		}
		if time.Now().After(c.validUntil) {
			time.Sleep(500 * time.Millisecond)
		}
	}
	return c.hosts[0]
}

func (c *soakCaller) refreshHosts(host string) bool {
	var list struct {
		Addresses  []struct{ Address string }
		ValidForMS int64 `json:"valid_for_ms"`
	}
	requestedAt := time.Now()
	got := c.s.send(host, "GET", "/v1/entry", "", "Redwingnotch-Caller", c.name)
	if got.err != nil || got.status != 200 || json.Unmarshal([]byte(got.body), &list) != nil || len(list.Addresses) == 0 {
		return false
	}
	c.hosts = nil
	for _, a := range list.Addresses {
		c.hosts = append(c.hosts, strings.TrimSuffix(a.Address, ":80"))
	}
	c.validUntil = requestedAt.Add(time.Duration(list.ValidForMS) * time.Millisecond)
	return true
}

// dropHost stops using the first address of the list.
func (c *soakCaller) dropHost() {
	c.hosts = c.hosts[1:]
	if len(c.hosts) == 0 {
		c.validUntil = time.Time{}
	}
}

func (s *soak) shuffledNames(rng *rand.Rand) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	nodeNames := make([]string, len(s.nodeNames))
	for i, at := range rng.Perm(len(s.nodeNames)) {
		nodeNames[i] = s.nodeNames[at]
	}
	return nodeNames
}

func (c *soakCaller) chatUntilStopped(rank fleet.Rank) {
	for !c.s.callersStopped() {
		c.chatOnce(rank)
		time.Sleep(time.Duration(c.rng.IntN(2000)) * time.Millisecond)
	}
}

// chatOnce sends one request. About a quarter of them go to the most popular model.
func (c *soakCaller) chatOnce(rank fleet.Rank) {
	model := fmt.Sprint("m", min(c.rng.IntN(8), c.rng.IntN(8)))
	body := chat(model, fmt.Sprintf("question %d of %s", c.rng.Uint32(), c.name))
	c.chat(model, body, "Redwingnotch-Rank", rank.String(), "Redwingnotch-Deadline", "30s")
}

// chat sends one request and checks the result.
func (c *soakCaller) chat(model, body string, headers ...string) {
	host := c.host()
	began := time.Now()
	got := c.s.send(host, "POST", "/v1/chat/completions", body, append(headers, "Redwingnotch-Caller", c.name)...)
	switch {
	case errors.Is(got.err, syscall.ECONNREFUSED):
		c.connectionRefused(host)
	case got.err != nil:
		c.connectionFailed(host, began, got.err)
	case got.status == 200:
		c.responseReceived(host, model, body, got)
	default:
		c.refusalReceived(got)
	}
}

func (c *soakCaller) connectionRefused(host string) {
	if c.s.planned {
		c.s.recordViolation("%s: %s refuses connections while its address is valid", c.name, host)
	}
	c.dropHost()
}

func (c *soakCaller) connectionFailed(host string, began time.Time, err error) {
	c.s.updateCounts(func(n *soakCounts) { n.Cut++ })
	if c.s.planned {
		c.s.recordViolation("%s: request sent %v ago interrupted by %s: %v", c.name, time.Since(began), host, err)
	}
	c.dropHost()
}

func (c *soakCaller) responseReceived(host, model, body string, got reply) {
	c.s.updateCounts(func(n *soakCounts) { n.Answered++ })
	if err := checkAnswer(got, model, body); err != nil {
		c.s.recordViolation("%s through %s: %v", c.name, host, err)
	}
}

// refusalReceived checks that a refusal is a typed error with a valid outcome.
func (c *soakCaller) refusalReceived(got reply) string {
	c.s.updateCounts(func(n *soakCounts) { n.Refused++ })
	var errorBody struct {
		Error struct{ Code, Outcome string }
	}
	if err := json.Unmarshal([]byte(got.body), &errorBody); err != nil || errorBody.Error.Code == "" {
		c.s.recordViolation("%s: status %d without a typed error: %q", c.name, got.status, got.body)
	}
	switch errorBody.Error.Outcome {
	case "not_run", "ran", "unknown":
	default:
		c.s.recordViolation("%s: outcome %q in %q", c.name, errorBody.Error.Outcome, got.body)
	}
	return errorBody.Error.Outcome
}

// order is one order of parts under one idempotency key.
type order struct {
	key         string
	lastOutcome string // done, not_run, ran, unknown, or cut if there was no response
}

func (c *soakCaller) orderUntilStopped() {
	for n := 0; !c.s.callersStopped(); n++ {
		o := &order{key: fmt.Sprintf("%s-order-%d", c.name, n)}
		if c.rng.IntN(3) == 0 {
			o.key = c.issuedKey()
		}
		for range maxOrderAttempts {
			if o.key == "" || c.send(o) == "done" {
				break
			}
			time.Sleep(time.Duration(c.rng.IntN(4000)) * time.Millisecond)
		}
		c.s.updateCounts(func(n *soakCounts) { n.countOrder(o.lastOutcome) })
		time.Sleep(time.Duration(c.rng.IntN(3000)) * time.Millisecond)
	}
}

func (c *soakCounts) countOrder(last string) {
	switch last {
	case "done":
		c.Ordered++
	case "not_run":
		c.NotRun++
	default:
		c.Unknown++
	}
}

func (c *soakCaller) issuedKey() string {
	var issued struct{ Key string }
	got := c.s.send(c.host(), "POST", "/v1/keys", "")
	if got.err != nil || json.Unmarshal([]byte(got.body), &issued) != nil {
		return ""
	}
	return issued.Key
}

// send sends the order, half the time through a second node, and checks the reply
// against the number of times that the service ran it.
func (c *soakCaller) send(o *order) string {
	host := c.host()
	if c.rng.IntN(2) == 0 && len(c.hosts) > 1 {
		host = c.hosts[1]
	}
	got := c.s.send(host, "POST", "/v1/services/ordering/orders", "spindle "+o.key,
		"Idempotency-Key", o.key, "Redwingnotch-Deadline", "20s")
	switch {
	case got.err != nil:
		o.lastOutcome = "cut"
		c.dropHost()
	case got.status == 200:
		o.lastOutcome = "done"
		c.checkRuns(o, 1, 1)
	default:
		o.lastOutcome = c.refusalReceived(got)
	}
	if o.lastOutcome == "not_run" {
		c.checkRuns(o, 0, 0)
	}
	return o.lastOutcome
}

func (c *soakCaller) checkRuns(o *order, minRuns, maxRuns int) {
	runs := c.s.runsOf(o.key)
	if runs < minRuns || runs > maxRuns {
		c.s.recordViolation("%s: key %s has outcome %s but ran %d times", c.name, o.key, o.lastOutcome, runs)
	}
}
