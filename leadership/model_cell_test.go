package leadership_test

import (
	"maps"
	"time"

	"github.com/redwingnotch/redwingnotch/leadership"
)

const (
	modelOrderTimeout   = 350 * time.Millisecond // most time from an order's decision to its arrival
	modelOrderAgesFor   = 10 * time.Second       // time for which a former leader publishes an order's age
	modelContactSlack   = 300 * time.Millisecond // longest time that a message and a store call may take together
	modelAliveTimeout   = 1200 * time.Millisecond
	modelTickInterval   = 20 * time.Millisecond
	modelSendInterval   = 200 * time.Millisecond // interval of periodic messages
	modelMinSendGap     = 15 * time.Millisecond  // least time between two messages
	modelDiscoveryDelay = 500 * time.Millisecond // time after the start without leadership
)

// modelLeaderState is what a node publishes about its leadership of the cell.
type modelLeaderState struct {
	token    uint64
	leading  bool
	orderAge map[string]time.Duration // of a former leader: time since its last order to a server ended
}

// modelCell adapts Core, with the order bookkeeping around it, to the model.
type modelCell struct {
	core           *leadership.Core
	token          uint64               // of the newest order; zero if there was none
	ordersInFlight int                  // orders without a result
	lastOrderDone  map[string]time.Time // by server
}

func newModelCell(now time.Time, name string, restarted bool) *modelCell {
	return &modelCell{
		core:          leadership.New(now, name, restarted, leadership.DefaultSettings(orderLease)),
		lastOrderDone: map[string]time.Time{},
	}
}

// mayOrder returns the token for an order to the server, if the node may order it.
func (c *modelCell) mayOrder(now time.Time, server string) (uint64, bool) {
	token, leading := c.core.Authority(now)
	return token, leading && c.core.MayOrder(now, server)
}

// orderDecided records that an order is to be sent, and returns its deadline.
func (c *modelCell) orderDecided(now time.Time, _ string, token uint64) time.Time {
	c.token = token
	c.ordersInFlight++
	return now.Add(min(modelOrderTimeout, c.core.ValidFor(now)))
}

// orderDone records the end of an order.
func (c *modelCell) orderDone(now time.Time, server string) {
	c.ordersInFlight--
	c.lastOrderDone[server] = now
}

// state returns what the node publishes; nil if that is nothing.
func (c *modelCell) state(now time.Time) *modelLeaderState {
	if c.core.Leading(now) {
		return &modelLeaderState{token: c.core.Token(), leading: true}
	}
	if c.token == 0 || c.ordersInFlight > 0 || !c.core.OrderTimesKnown(now) {
		return nil
	}
	last := maps.Clone(c.core.LastOrders())
	if last == nil {
		last = map[string]time.Time{}
	}
	for server, at := range c.lastOrderDone {
		if at.After(last[server]) {
			last[server] = at
		}
	}
	s := &modelLeaderState{token: c.token, orderAge: map[string]time.Duration{}}
	for server, at := range last {
		if age := now.Sub(at); age < modelOrderAgesFor {
			s.orderAge[server] = age.Truncate(time.Millisecond)
		}
	}
	return s
}

// received processes what another node published.
func (c *modelCell) received(now time.Time, s *modelLeaderState) {
	if s != nil && !s.leading {
		c.core.LeaderResigned(now, s.token, s.orderAge)
	}
}
