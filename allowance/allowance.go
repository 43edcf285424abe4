// Package allowance divides the tokens that a team may use among the entry nodes. One node holds
// the team's token bucket (Holder) and grants tokens to the others; each node keeps the tokens
// that it was granted in an Account, and has a small budget of its own for times in which the
// holder does not answer. The package has no I/O, clock or goroutine.
package allowance

import (
	"math"
	"time"
)

// MaxTokens limits the tokens of one request or message, so that sums of them can't overflow.
const MaxTokens = 1 << 40

// Limits of the time that callers are told to wait.
const (
	minRetryAfter = time.Millisecond
	maxRetryAfter = time.Minute
)

// Terms are the limits of a team over all nodes.
type Terms struct {
	Rate    float64       // tokens per second; zero or less for no limit
	Burst   float64       // tokens that may be used at once in addition; zero for one second of Rate
	Window  time.Duration // window over which the operators count the tokens
	Overage float64       // share of the allowance by which it may be exceeded in a window
	Slack   float64       // tokens by which it may be exceeded in addition
}

// burst returns the depth of the team's bucket.
func (t Terms) burst() float64 {
	if t.Burst > 0 {
		return t.Burst
	}
	return t.Rate
}

// Parts of the margin, which together stay below it: what several nodes may use beyond one
// bucket at the rate because they can't know of each other in time.
const (
	newHolderPart    = 1. / 8  // bucket of a new holder
	aheadPart        = 1. / 8  // tokens that nodes hold for requests to come
	overdraftPart    = 1. / 8  // debt that buckets of parts of the fleet may have
	ownBudgetPart    = 3. / 8  // budgets of nodes whose holder does not answer
	ownPerWindowPart = 3. / 16 // what these budgets gain in a window while holders answer
)

// margin returns by how many tokens the rate and the burst may be exceeded in a window.
func (t Terms) margin() float64 {
	return t.Overage*(t.Rate*t.Window.Seconds()+t.burst()) + t.Slack
}

// Part is the part of the fleet that a node reaches.
type Part struct {
	Live    int           // nodes that are alive, as far as this node knows
	Nodes   int           // nodes of the whole fleet, see Fleet; at least Live
	Silence time.Duration // time after which a node that is silent no longer counts as alive
}

// share returns the part of the allowance that the nodes of the part may use together.
func (p Part) share() float64 {
	return min(1, float64(max(0, p.Live))/float64(max(1, p.Nodes)))
}

// bucket is a token bucket. A negative level is a debt.
type bucket struct {
	level float64
	at    time.Time
}

// fill adds the tokens of the time since the last call, up to the depth. A time before that is
// ignored.
func (b *bucket) fill(now time.Time, rate, depth float64) {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.level += rate * elapsed.Seconds()
		b.at = now
	}
	b.level = min(b.level, depth)
}

// wait returns the time until the bucket has the tokens.
func (b *bucket) wait(tokens, rate float64) time.Duration {
	if rate <= 0 {
		return noRoomWait
	}
	return clampWait((tokens - b.level) / rate)
}

// clampWait returns the seconds as a time that callers can be told to wait.
func clampWait(seconds float64) time.Duration {
	if math.IsNaN(seconds) || seconds >= maxRetryAfter.Seconds() {
		return maxRetryAfter
	}
	return max(minRetryAfter, time.Duration(math.Ceil(max(0, seconds)*1e3))*time.Millisecond)
}

// Cost returns the tokens of a request, which is at least one: of its prompt and output, or plain
// if it names none. Numbers that can't be right are limited.
func Cost(prompt, output int, plain float64) int64 {
	if tokens := min(MaxTokens, max(0, int64(prompt))) + min(MaxTokens, max(0, int64(output))); tokens > 0 {
		return min(MaxTokens, tokens)
	}
	if !(plain > 0) {
		plain = defaultPlainTokens
	}
	return int64(math.Ceil(min(MaxTokens, plain)))
}

// defaultPlainTokens are the tokens of a request that names none, of a team that sets no other
// number.
const defaultPlainTokens = 200
