package allowance

import (
	"slices"
	"time"
)

// Times of an Account.
const (
	RepeatAfter   = 30 * time.Millisecond   // time after which a query is sent again
	AnswerTimeout = 90 * time.Millisecond   // time after which a query is given up
	stockFor      = time.Second             // time for which tokens are kept that were not used
	usageSlot     = 100 * time.Millisecond  // time whose usage is asked for ahead
	askAgainAfter = 100 * time.Millisecond  // time after which a holder that did not answer is asked again
	contactEvery  = 400 * time.Millisecond  // interval at which a node that uses a team's tokens asks at least, so that both sides notice a cut
	contactFor    = 8 * time.Second         // time after its last request for which it does so
	cutAfter      = 1300 * time.Millisecond // time without an answer after which a node relies on the holder to have noticed; longer than lostAfter
	maxRedirects  = 2                       // nodes that may name another holder before a query is given up
)

// Charge is the tokens that a request has taken.
type Charge struct {
	Tokens int64
	lot    lot // where they came from; without a holder, from the node's own budget
}

// lot is tokens of one grant.
type lot struct {
	tokens int64
	at     time.Time // when they were asked for
	holder string    // node that granted them
	epoch  uint64
}

// Return is tokens that a holder gets back.
type Return struct {
	Holder string
	Epoch  uint64
	Tokens int64
}

// Source says what decided about a request.
type Source string

const (
	FromStock  Source = "stock"  // tokens that the node had
	FromHolder Source = "holder" // the holder's answer
	FromBudget Source = "budget" // the node's own budget, because the holder does not answer
)

// Decision is the result of a request for tokens.
type Decision struct {
	Key        uint64 // of the request
	Admitted   bool
	Charge     Charge        // of an admitted request
	RetryAfter time.Duration // of one that is not admitted: time until there is room
	Source     Source
	Age        time.Duration // age of what decided: time since it was asked for, or since a holder last answered
}

// waiter is a request that waits for a grant.
type waiter struct {
	key    uint64
	tokens int64
}

// asked is the query in progress.
type asked struct {
	query    Query
	holder   string
	keys     []uint64 // requests for which it asks, one for each need
	began    time.Time
	repeated bool
}

// Account is what one node has of a team's allowance.
type Account struct {
	terms   Terms
	part    Part
	lots    []lot // oldest first
	waiters []waiter
	asked   *asked // query in progress; nil if there is none
	hops    int    // nodes that have named another holder since the latest grant
	nextKey uint64
	used    [2]int64  // tokens that were asked for in the current and in the previous usageSlot
	slot    time.Time // begin of the current one
	own     bucket    // the node's own budget
	answer  time.Time // when a holder last answered
	silent  bool      // the latest query was not answered
	unheard string    // the node that did not answer it
	probe   int64     // tokens asked for since then
	again   time.Time // until when no holder is asked again after a query that was not answered
	latest  time.Time // latest request
	contact time.Time // when a holder was last asked
	active  bool      // the holder is asked at least once in contactEvery
	counted bool      // the holder knows that
	returns []Return
}

// NewAccount returns an empty account. firstKey is the key of its first query and must be higher
// than all of an earlier process.
func NewAccount(now time.Time, firstKey uint64, terms Terms, part Part) *Account {
	return &Account{terms: terms, part: part, nextKey: firstKey, slot: now, own: bucket{at: now}, answer: now}
}

// Set replaces the team's limits and the part of the fleet. Stock of a higher limit is not spent.
// Call it at least once in MaxGap.
func (a *Account) Set(now time.Time, terms Terms, part Part) {
	a.fillOwn(now)
	if terms.Rate < a.terms.Rate || terms.burst() < a.terms.burst() {
		a.discard(now.Add(stockFor))
	}
	a.terms, a.part = terms, part
}

// Take takes the tokens of the request, or returns false if the request has to wait for a grant.
func (a *Account) Take(now time.Time, key uint64, tokens int64) (Decision, bool) {
	a.use(now, tokens)
	a.keepContact(now)
	a.discard(now)
	if len(a.waiters) == 0 && a.stock() >= tokens {
		return a.takeStock(now, key, tokens), true
	}
	if a.silent {
		a.probe = min(MaxTokens, a.probe+tokens)
		return a.takeOwn(now, key, tokens), true
	}
	a.waiters = append(a.waiters, waiter{key, tokens})
	return Decision{}, false
}

// keepContact lets the holder be asked regularly, as after a request.
func (a *Account) keepContact(now time.Time) {
	a.latest, a.active = now, a.part.Silence > cutAfter
}

// Cancel ends a request that waits. Tokens that are granted for it become stock.
func (a *Account) Cancel(key uint64) {
	a.waiters = slices.DeleteFunc(a.waiters, func(w waiter) bool { return w.key == key })
}

// GiveBack returns the tokens of a request that no server has run.
func (a *Account) GiveBack(now time.Time, c Charge) {
	switch {
	case c.Tokens <= 0:
	case c.lot.holder == "":
		a.fillOwn(now)
		a.own.level += float64(c.Tokens)
		a.fillOwn(now)
	default:
		l := c.lot
		l.tokens = c.Tokens
		a.addLot(l)
		a.discard(now)
	}
}

// Ask returns the query that is to be sent to the holder now, and false if none is. instead says that
// it is the deputy of the node that holds the team. Call it after
// Take, after each answer, and RepeatAfter and AnswerTimeout after that.
func (a *Account) Ask(now time.Time, holder string, instead bool) (Query, string, bool) {
	if q := a.asked; q != nil {
		if q.repeated || now.Sub(q.began) < RepeatAfter || a.Overdue(now) {
			return Query{}, "", false
		}
		q.repeated = true
		return q.query, q.holder, true
	}
	contactDue := a.active && now.Sub(a.contact) >= contactEvery
	if holder == "" || len(a.waiters) == 0 && (a.probe == 0 && !contactDue || now.Before(a.again)) {
		return Query{}, "", false
	}
	a.nextKey++
	a.active = a.active && now.Sub(a.latest) < contactFor
	a.contact = now
	q := &asked{holder: holder, began: now, query: Query{Key: a.nextKey, Stock: a.stock(), Unheard: a.silent && a.unheard == holder, Last: !a.active, Instead: instead}}
	for _, w := range a.waiters[:min(MaxNeeds, len(a.waiters))] {
		q.query.Needs, q.keys = append(q.query.Needs, w.tokens), append(q.keys, w.key)
	}
	q.query.Ahead = max(0, a.recentUse(now)-q.query.Stock)
	a.asked, a.probe = q, 0
	return q.query, holder, true
}

// Overdue reports whether the query in progress is to be given up.
func (a *Account) Overdue(now time.Time) bool {
	return a.hops > maxRedirects || a.asked != nil && now.Sub(a.asked.began) >= AnswerTimeout
}

// GiveUp ends the query in progress, whose holder does not answer, and decides about all requests
// that wait by the node's own budget. A grant that arrives later is not used.
func (a *Account) GiveUp(now time.Time) []Decision {
	if a.asked != nil {
		a.unheard = a.asked.holder
	}
	a.asked, a.hops, a.silent, a.again = nil, 0, true, now.Add(askAgainAfter)
	var decisions []Decision
	for _, w := range a.waiters {
		a.probe = min(MaxTokens, a.probe+w.tokens)
		decisions = append(decisions, a.takeOwn(now, w.key, w.tokens))
	}
	a.waiters = nil
	return decisions
}

// Redirect ends the query in progress because its node does not hold the team. It returns false if
// the answer is not to that query. The next Ask asks another node.
func (a *Account) Redirect(holder string, key uint64) bool {
	if a.asked == nil || a.asked.query.Key != key || a.asked.holder != holder {
		return false
	}
	a.asked = nil
	a.hops++
	a.probe = max(a.probe, 1)
	return true
}

// Receive handles a grant of the node and returns the decisions about requests that follow from
// it. A grant that is late or answers no query in progress is not used.
func (a *Account) Receive(now time.Time, holder string, g Grant) []Decision {
	q := a.asked
	if q == nil || q.query.Key != g.Key || q.holder != holder || a.Overdue(now) {
		return nil
	}
	a.asked, a.hops, a.silent, a.answer, a.counted = nil, 0, false, now, a.active
	from := lot{at: q.began, holder: holder, epoch: g.Epoch}
	var decisions []Decision
	for i, key := range q.keys {
		need, admitted := q.query.Needs[i], g.Admitted&(1<<i) != 0
		waits := slices.ContainsFunc(a.waiters, func(w waiter) bool { return w.key == key })
		from.tokens = need
		switch {
		case admitted && !waits:
			a.addLot(from)
		case admitted:
			decisions = append(decisions, Decision{Key: key, Admitted: true, Charge: Charge{need, from}, Source: FromHolder, Age: now.Sub(q.began)})
		case waits:
			decisions = append(decisions, Decision{Key: key, RetryAfter: max(minRetryAfter, min(g.Wait, maxRetryAfter)), Source: FromHolder, Age: now.Sub(q.began)})
		}
	}
	a.waiters = slices.DeleteFunc(a.waiters, func(w waiter) bool { return slices.Contains(q.keys, w.key) })
	if from.tokens = max(0, min(g.Ahead, q.query.Ahead)); from.tokens > 0 {
		a.addLot(from)
	}
	a.discard(now)
	return decisions
}

// Returns returns the tokens that are to be sent back now. A holder ignores a query with a lower
// key than another one's, so there are none while a query is in progress.
func (a *Account) Returns(now time.Time) []Return {
	a.discard(now)
	if a.asked != nil {
		return nil
	}
	returns := a.returns
	a.returns = nil
	return returns
}

// ReturnQuery returns the query that sends tokens back.
func (a *Account) ReturnQuery(r Return) Query {
	a.nextKey++
	return Query{Key: a.nextKey, Return: r.Tokens, Epoch: r.Epoch, Stock: a.stock()}
}

// Idle reports whether nothing is in progress, so that the account need not be looked at until the
// next request.
func (a *Account) Idle() bool {
	return len(a.lots) == 0 && a.asked == nil && len(a.returns) == 0 && a.probe == 0 && !a.active
}

// Silent reports whether the holder does not answer, and for how long.
func (a *Account) Silent(now time.Time) (time.Duration, bool) { return now.Sub(a.answer), a.silent }

// takeStock takes tokens of the stock, which has enough.
func (a *Account) takeStock(now time.Time, key uint64, tokens int64) Decision {
	var last lot
	for left := tokens; left > 0; {
		last = a.lots[0]
		if last.tokens > left {
			a.lots[0].tokens -= left
			break
		}
		left -= last.tokens
		a.lots = a.lots[1:]
	}
	return Decision{Key: key, Admitted: true, Charge: Charge{tokens, last}, Source: FromStock, Age: now.Sub(last.at)}
}

// takeOwn decides about a request by the node's own budget, which goes into no debt: every other
// node could have the same one.
func (a *Account) takeOwn(now time.Time, key uint64, tokens int64) Decision {
	rate, depth := a.fillOwn(now)
	d := Decision{Key: key, Source: FromBudget, Age: now.Sub(a.answer)}
	switch {
	case a.own.level >= float64(tokens):
		a.own.level -= float64(tokens)
		d.Admitted, d.Charge = true, Charge{Tokens: tokens}
	case float64(tokens) > depth:
		d.RetryAfter = noRoomWait
	default:
		d.RetryAfter = min(noRoomWait, a.own.wait(float64(tokens), rate)) // by then a holder may answer
	}
	return d
}

// fillOwn fills the node's own budget and returns its rate and depth. For as long as a holder may
// still grant this node's part to others, the budgets of all nodes are within the margin. Later
// this node has its part of the rate and the burst: a holder that it has asked regularly notices
// that earlier than others. After a longer gap than MaxGap the process
// was frozen, and others may have used the tokens of that time.
func (a *Account) fillOwn(now time.Time) (rate, depth float64) {
	if now.Sub(a.own.at) > MaxGap {
		a.own.at, a.answer, a.counted = now, now, false
	}
	noticed := a.part.Silence
	if a.counted {
		noticed = min(noticed, cutAfter)
	}
	nodes, margin := float64(max(1, a.part.Nodes)), a.terms.margin()
	rate, depth = a.terms.Rate/nodes, ownBudgetPart*margin/nodes
	if now.Sub(a.answer) < noticed {
		rate = min(rate, ownPerWindowPart*margin/nodes/max(1, a.terms.Window.Seconds()))
	} else {
		depth += a.terms.burst() / nodes
	}
	a.own.fill(now, rate, depth)
	return rate, depth
}

// use records that tokens were asked for.
func (a *Account) use(now time.Time, tokens int64) {
	a.advanceSlot(now)
	a.used[0] = min(MaxTokens, a.used[0]+tokens)
}

// recentUse returns the tokens that were asked for within about usageSlot.
func (a *Account) recentUse(now time.Time) int64 {
	a.advanceSlot(now)
	left := 1 - now.Sub(a.slot).Seconds()/usageSlot.Seconds()
	return min(MaxTokens, a.used[0]+int64(left*float64(a.used[1])))
}

// advanceSlot begins a new slot if the current one is over.
func (a *Account) advanceSlot(now time.Time) {
	switch slots := now.Sub(a.slot) / usageSlot; {
	case slots >= 2:
		a.used, a.slot = [2]int64{}, now
	case slots == 1:
		a.used, a.slot = [2]int64{0, a.used[0]}, a.slot.Add(usageSlot)
	}
}

// stock returns the tokens that the node has.
func (a *Account) stock() int64 {
	tokens := int64(0)
	for _, l := range a.lots {
		tokens += l.tokens
	}
	return min(tokens, MaxTokens)
}

// addLot adds tokens to the stock.
func (a *Account) addLot(l lot) {
	for i, other := range a.lots {
		if other.at.Equal(l.at) && other.holder == l.holder && other.epoch == l.epoch {
			a.lots[i].tokens += l.tokens
			return
		}
	}
	at, _ := slices.BinarySearchFunc(a.lots, l, func(x, y lot) int { return x.at.Compare(y.at) })
	a.lots = slices.Insert(a.lots, at, l)
}

// discard takes the tokens that were kept for too long out of the stock, to be returned.
func (a *Account) discard(now time.Time) {
	for len(a.lots) > 0 && now.Sub(a.lots[0].at) >= stockFor {
		l := a.lots[0]
		a.lots = a.lots[1:]
		same := func(r Return) bool { return r.Holder == l.holder && r.Epoch == l.epoch }
		if i := slices.IndexFunc(a.returns, same); i >= 0 {
			a.returns[i].Tokens = min(MaxTokens, a.returns[i].Tokens+l.tokens)
		} else {
			a.returns = append(a.returns, Return{l.holder, l.epoch, l.tokens})
		}
	}
}
