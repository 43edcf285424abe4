package front

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/redwingnotch/redwingnotch/internal/bootclock"
	"github.com/redwingnotch/redwingnotch/replicas"
	"github.com/redwingnotch/redwingnotch/waiting"
)

// Tokens of requests.
const (
	maxTokens = 1 << 40 // limit of a count that a caller sends, so that sums do not overflow
	plainCost = 200     // tokens that a request counts in its team's share if neither it nor the team names any
)

// tokens returns the prompt and maximum output tokens that the caller names, zero if none.
func (x *exchange) tokens() int {
	return min(maxTokens, max(0, x.params.PromptTokens)) + min(maxTokens, max(0, x.params.OutputTokens))
}

// cost returns the tokens that the request counts in its team's share.
func (x *exchange) cost() float64 {
	if tokens := x.tokens(); tokens > 0 {
		return float64(tokens)
	}
	if x.team != nil && x.team.PlainTokens > 0 {
		return x.team.PlainTokens
	}
	return plainCost
}

// setShare sets the team and the tokens of a waiting request. Without teams, all requests are in
// one share.
func (x *exchange) setShare(r *waiting.Request) {
	r.Requirement.Tokens, r.Cost = x.tokens(), x.cost()
	if x.team != nil {
		r.Team, r.TeamPriority = x.team.Name, x.team.Priority
	}
}

// attemptEnded records the end of an attempt that began at the time, when so many attempts had run.
func (x *exchange) attemptEnded(server replicas.Entry, began time.Time, runsBefore int) {
	held := time.Duration(0)
	if x.runs > runsBefore {
		held = bootclock.Now().Sub(began)
	}
	x.node.attemptEnded(server, x.size(), held)
}

// size returns what the request occupies of a server's KV cache at most.
func (x *exchange) size() replicas.Size {
	r := replicas.Requirement{Tokens: x.tokens(), SharedTokens: x.sharedTokens, PrefixKey: x.prefixKey}
	return r.Size()
}

// recordWait logs and counts a request that waited, or that the queue refused. outcome is empty
// for one that was sent or refused.
func (x *exchange) recordWait(d waiting.Decision, took time.Duration, outcome string) {
	if d.Wait.Cause == "" {
		return
	}
	x.waitedFor = string(d.Wait.Cause)
	switch {
	case outcome != "":
	case d.Refused != "":
		outcome = string(d.Refused)
	default:
		outcome = "sent"
	}
	x.node.metrics.QueueWait(x.waitedFor, outcome, took)
	team := ""
	if x.team != nil {
		team = x.team.Name
	}
	level.Info(x.node.log).Log("event", "wait", "id", x.params.ID, "team", team, "route", x.route.Name, "service", x.service, "model", x.params.Model,
		"tokens", x.tokens(), "cause", d.Wait.Cause, "outcome", outcome, "ahead", d.Wait.Ahead, "expected_ms", d.Wait.Expected.Milliseconds(),
		"server", d.Server.ID, "waited_ms", took.Milliseconds(), "loads_age_ms", x.node.loadsAge().Milliseconds())
}

// loadsAge returns the age of the oldest message of another node whose requests in flight count.
func (n *Node) loadsAge() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.PeerLoadAge(bootclock.Now())
}

// tellCacheUse tells the other nodes at once of a large request that was sent to a server with much
// of its KV cache in use.
func (x *exchange) tellCacheUse(server replicas.Entry) {
	n := x.node
	t := n.desired.Load()
	if t == nil || t.Services[x.service] == nil || t.Services[x.service].Engine == nil {
		return
	}
	cache := t.Services[x.service].Engine.KVCacheTokens
	if x.tokens()*server.Slots <= cache {
		return // not large, see replicas.Table.TellAtOnce
	}
	now := bootclock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.table.TellAtOnce(now, server.ID, replicas.Requirement{Tokens: x.tokens(), CacheTokens: cache}) {
		n.publish(now, sendAllNow)
	}
}

// tokensInFlight is the part of a message about the tokens of the requests in flight, in units of
// replicas.TokenUnit.
type tokensInFlight struct {
	Tokens  map[string]int            `json:"lt,omitempty"` // without shared parts of prompts, by backend server
	Shared  map[string]map[string]int `json:"ls,omitempty"` // shared parts of prompts, by backend server and prefix key
	Waiting map[string]int            `json:"lw,omitempty"` // number of requests that wait for room in a KV cache, by service
}
