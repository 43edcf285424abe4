package allowance

import (
	"math"
	"time"
)

// Limits of queries and grants.
const (
	MaxNeeds     = 32                      // requests in one query
	aheadFor     = 1200 * time.Millisecond // time after which a node has used or returned tokens for requests to come
	forgetAfter  = 30 * time.Second        // time without a query after which a node's record is removed
	lostAfter    = 1100 * time.Millisecond // time without a query of a node that asks regularly after which it is taken to be cut off: two queries and their repetitions
	aheadOfLevel = 4                       // part of the bucket that is granted for requests to come: one in so many tokens
)

// Query asks a holder for tokens.
type Query struct {
	Key    uint64  // rises with each query of a node
	Needs  []int64 // tokens of each waiting request, at most MaxNeeds
	Ahead  int64   // tokens for requests to come
	Stock  int64   // tokens that the node still has
	Return int64   // tokens of earlier grants of Epoch that were not used
	Epoch  uint64  // of the holder that granted the returned tokens

	Unheard bool // the node had no answer to its query before
	Last    bool // the node does not go on to ask regularly
	Instead bool // the node that holds the team does not answer, so its deputy is asked
}

// valid reports whether the query is one that an Account makes.
func (q Query) valid() bool {
	if len(q.Needs) > MaxNeeds || !validTokens(q.Ahead) || !validTokens(q.Stock) || !validTokens(q.Return) {
		return false
	}
	for _, n := range q.Needs {
		if n <= 0 || n > MaxTokens {
			return false
		}
	}
	return true
}

// validTokens reports whether the number is one of tokens.
func validTokens(n int64) bool { return n >= 0 && n <= MaxTokens }

// Grant answers a Query.
type Grant struct {
	Key      uint64        // of the query
	Epoch    uint64        // identifies the holder's bucket
	Admitted uint64        // bit i is set if the query's need i is granted
	Ahead    int64         // tokens granted for requests to come
	Wait     time.Duration // time until there is room for the first need that is not granted; zero if all are
}

// Holder keeps the token bucket of one team for the nodes that this one reaches.
type Holder struct {
	epoch     uint64
	terms     Terms
	part      Part
	bucket    bucket
	opens     time.Time // before it, the holder grants nothing
	borrowers map[string]*borrower
	ahead     int64 // sum of the borrowers' tokens for requests to come
}

// borrower is a node that was granted tokens.
type borrower struct {
	last    Grant // to the latest query, which is answered the same way if it is repeated
	at      time.Time
	ahead   int64 // tokens that it may have for requests to come
	granted int64 // tokens granted and not returned
	regular bool  // it asks at least once in contactEvery
	unheard bool  // it does not receive the answers
}

// lost reports whether the node is taken to be cut off, so that it uses its part of the allowance
// on its own. If it is reached for longer than its silence can go unnoticed, it was the message
// that ends its regular queries that got lost.
func (b *borrower) lost(now time.Time, part Part) bool {
	silent := now.Sub(b.at)
	return (b.unheard || b.regular && silent >= lostAfter) && silent < part.Silence+lostAfter
}

// NewHolder returns the bucket of a team that nobody is known to hold. What was spent before is not
// known, so the bucket begins with a tenth of the burst, and with less where the margin is
// small. Until opens, the node that held it before may still grant.
func NewHolder(now time.Time, epoch uint64, terms Terms, part Part, opens time.Time) *Holder {
	h := &Holder{epoch: epoch, terms: terms, part: part, opens: opens, borrowers: map[string]*borrower{}}
	h.bucket = bucket{level: h.initial(), at: now}
	return h
}

// initialBurst is the part of the burst with which a bucket begins.
const initialBurst = 0.1

func (h *Holder) rate() float64  { return h.terms.Rate * h.part.share() }
func (h *Holder) burst() float64 { return h.terms.burst() * h.part.share() }

// initial returns the tokens with which a bucket begins if what was spent before is not known.
func (h *Holder) initial() float64 {
	return min(initialBurst*h.burst(), newHolderPart*h.terms.margin()*h.part.share())
}

// Open reports whether the holder grants tokens.
func (h *Holder) Open(now time.Time) bool { return !now.Before(h.opens) }

// Level returns the tokens in the bucket, which another holder may go on with.
func (h *Holder) Level(now time.Time) int64 {
	h.fill(now)
	return int64(math.Floor(max(-MaxTokens, min(MaxTokens, h.bucket.level))))
}

// open opens a holder: the node that held the team before no longer does.
func (h *Holder) open(now time.Time) {
	if !h.Open(now) {
		h.opens = now
	}
}

// TakeOver opens a holder with the level of the one before it.
func (h *Holder) TakeOver(now time.Time, level int64) {
	if h.Open(now) {
		return
	}
	h.opens = now
	// A debt beyond what a window allows has no effect on the window.
	debt := h.terms.Rate*h.terms.Window.Seconds() + h.terms.burst()
	h.bucket = bucket{level: max(-debt, min(float64(level), h.burst())), at: now}
}

// Set replaces the team's limits and the part of the fleet, in which the nodes are reached. If the
// limits change, the bucket keeps the part to which it is filled. Call it at least once in MaxGap.
func (h *Holder) Set(now time.Time, terms Terms, part Part, reached map[string]Contact) {
	h.fill(now)
	if before := h.terms.burst(); h.bucket.level > 0 && before > 0 && terms != h.terms {
		h.bucket.level *= terms.burst() / before
	}
	h.terms, h.part = terms, part
	for node, b := range h.borrowers {
		if _, is := reached[node]; is && b.lost(now, part) {
			h.part.Live = max(0, h.part.Live-1)
		}
		if now.Sub(b.at) > aheadFor {
			h.ahead -= b.ahead
			b.ahead = 0
		}
		if now.Sub(b.at) > forgetAfter {
			delete(h.borrowers, node)
		}
	}
	h.bucket.level = min(h.bucket.level, h.burst())
}

// fill adds the tokens of the time since the last call. After a longer gap than MaxGap the
// process was frozen, and another node may have granted the tokens of that time.
func (h *Holder) fill(now time.Time) {
	gap := now.Sub(h.bucket.at)
	if gap > MaxGap {
		h.bucket.level = min(h.bucket.level, h.initial())
		h.bucket.at = now.Add(-MaxGap)
	}
	h.bucket.fill(now, h.rate(), h.burst())
}

// Grant answers a node's query. It returns false if the query is not valid, is older than one that
// was answered, or the holder is not open.
func (h *Holder) Grant(now time.Time, node string, q Query) (Grant, bool) {
	if !q.valid() || !h.Open(now) {
		return Grant{}, false
	}
	b := h.borrowers[node]
	if b == nil {
		b = &borrower{}
		h.borrowers[node] = b
	}
	if q.Key <= b.last.Key {
		return b.last, q.Key == b.last.Key
	}
	h.fill(now)
	if q.Return > 0 && q.Epoch == h.epoch {
		back := min(q.Return, b.granted)
		b.granted -= back
		h.bucket.level = min(h.bucket.level+float64(back), h.burst())
	}
	g := Grant{Key: q.Key, Epoch: h.epoch}
	for i, need := range q.Needs {
		if h.take(float64(need)) {
			g.Admitted |= 1 << i
			b.granted += need
		} else if g.Wait == 0 {
			g.Wait = h.wait(float64(need))
		}
	}
	h.ahead -= b.ahead
	b.ahead = q.Stock
	if g.Wait == 0 {
		limit := aheadPart*h.terms.margin()*h.part.share() - float64(h.ahead+b.ahead)
		g.Ahead = min(q.Ahead, int64(max(0, limit)), int64(max(0, h.bucket.level/aheadOfLevel)))
		h.bucket.level -= float64(g.Ahead)
		b.ahead, b.granted = b.ahead+g.Ahead, b.granted+g.Ahead
	}
	h.ahead += b.ahead
	b.last, b.at, b.regular, b.unheard = g, now, !q.Last, q.Unheard
	return g, true
}

// take takes the tokens out of the bucket. A request that is larger than the bucket is admitted if
// the bucket is full, and puts the bucket into debt.
func (h *Holder) take(tokens float64) bool {
	if h.bucket.level+h.overdraft() < min(tokens, h.burst()+h.overdraft()) || !h.hasRoom(tokens) {
		return false
	}
	h.bucket.level -= tokens
	return true
}

// overdraft returns by how many tokens a bucket may be in debt before it is full. Without one, the
// large requests that a whole fleet admits would hardly fit into the burst of a part.
func (h *Holder) overdraft() float64 {
	if share := h.part.share(); share < 1 {
		return overdraftPart * h.terms.margin() * share
	}
	return 0
}

// hasRoom reports whether a full bucket admits a request with the tokens. In half of the fleet or
// less the debt is limited: the holders of the other parts may have such debts, too.
func (h *Holder) hasRoom(tokens float64) bool {
	return h.part.share() > 0.5 || tokens <= h.burst()+h.overdraft()
}

// noRoomWait is what a caller is told whose request is too large for the part of the fleet that the
// node reaches: another part may be reached by then.
const noRoomWait = time.Second

// wait returns the time until the bucket admits a request with the tokens.
func (h *Holder) wait(tokens float64) time.Duration {
	if !h.hasRoom(tokens) {
		return noRoomWait
	}
	return h.bucket.wait(min(tokens-h.overdraft(), h.burst()), h.rate())
}
