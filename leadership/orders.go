package leadership

import (
	"maps"
	"time"
)

// Resignation is a former leader's report that it has given up its token: it sends no
// order with this token or a lower one any more, and all that it sent have ended.
type Resignation struct {
	Token     uint64                   // highest token that the former leader has given up
	OrderAges map[string]time.Duration // by server: time since the last order of this or an earlier leader ended, as far as it is known
}

// orderTimes is what a node knows of the times of orders: of its own, and of those
// that former leaders reported.
type orderTimes struct {
	inFlight      map[orderKey]int      // number of this node's orders that have not ended
	lastEnded     map[string]endedOrder // by server: this node's order that ended last
	knownFrom     time.Time             // from this time on, all orders that this node sent before a restart are older than OrderLease; before it, their times are unknown
	notBefore     map[string]time.Time  // by server: no order to it before this time
	noneBefore    time.Time             // no order to any server before this time
	resignedToken uint64                // highest token that a former leader reported as given up
	lastReported  map[string]time.Time  // by server: latest time at which an order of a former leader can have ended
}

// endedOrder is an order that has a result or is not sent any more.
type endedOrder struct {
	at    time.Time // when it ended; it may still arrive within Settings.MaxOrderDelay
	token uint64
}

// orderKey selects the orders to a server with a token.
type orderKey struct {
	server string
	token  uint64
}

func newOrderTimes() orderTimes {
	return orderTimes{inFlight: map[orderKey]int{}, lastEnded: map[string]endedOrder{}, lastReported: map[string]time.Time{}}
}

// MayOrder reports whether this node, if it is the leader, may order the server now:
// enough time has passed since other nodes' orders to it, and since this node's orders
// with an earlier token.
func (c *Core) MayOrder(now time.Time, server string) bool {
	for key := range c.orders.inFlight {
		if key.server == server && key.token != c.token {
			return false
		}
	}
	last := c.orders.lastEnded[server]
	if last.token != c.token && now.Before(last.at.Add(c.settings.MaxOrderDelay)) {
		return false
	}
	return !now.Before(c.orders.noneBefore) && !now.Before(c.orders.notBefore[server])
}

// OrderSent records that an order to the server with the token is in flight.
func (c *Core) OrderSent(server string, token uint64) {
	c.orders.inFlight[orderKey{server, token}]++
}

// OrderEnded records that an order to the server with the token has a result, or will
// not be sent any more.
func (c *Core) OrderEnded(now time.Time, server string, token uint64) {
	key := orderKey{server, token}
	c.orders.inFlight[key]--
	if c.orders.inFlight[key] <= 0 {
		delete(c.orders.inFlight, key)
	}
	if last := c.orders.lastEnded[server]; !now.Before(last.at) {
		c.orders.lastEnded[server] = endedOrder{at: now, token: token}
	}
}

// Resignation returns what this node reports about the leadership that it has given
// up. It returns false if the node has not led yet, leads now, has orders in flight
// or does not know yet when it last ordered each server before a restart. An expired
// leadership is given up by the call, because the report is final.
func (c *Core) Resignation(now time.Time) (Resignation, bool) {
	c.giveUpExpired(now)
	if c.token == 0 || c.leading || len(c.orders.inFlight) > 0 || now.Before(c.orders.knownFrom) {
		return Resignation{}, false
	}
	last := maps.Clone(c.orders.lastReported)
	for server, ended := range c.orders.lastEnded {
		if ended.at.After(last[server]) {
			last[server] = ended.at
		}
	}
	r := Resignation{Token: c.token, OrderAges: map[string]time.Duration{}}
	for server, at := range last {
		r.OrderAges[server] = now.Sub(at)
	}
	return r, true
}

// LeaderResigned records another node's resignation. It returns whether no
// resignation of its token or a higher one was known before.
func (c *Core) LeaderResigned(now time.Time, r Resignation) bool {
	if r.Token < c.orders.resignedToken || r.Token == 0 {
		return false
	}
	isNew := r.Token > c.orders.resignedToken
	c.orders.resignedToken = r.Token
	for server, age := range r.OrderAges {
		// The delay of the message makes this time later, never earlier, than the
		// actual one.
		if at := now.Add(-age); at.After(c.orders.lastReported[server]) {
			c.orders.lastReported[server] = at
		}
	}
	return isNew
}

// hasResigned reports whether the leader in the record has reported that it gave up
// the leadership.
func (c *Core) hasResigned() bool {
	return c.orders.resignedToken >= c.record.Token && c.record.Token > 0
}

// delayOrders delays orders to the servers that former leaders reported to have
// ordered recently. This holds even if the last record was this node's own: a write
// whose response was lost may have made it the leader before.
func (c *Core) delayOrders() {
	c.orders.notBefore = map[string]time.Time{}
	for server, last := range c.orders.lastReported {
		c.orders.notBefore[server] = last.Add(c.settings.OrderLease + c.settings.MaxOrderDelay)
	}
}
