package leadership_test

import (
	"time"

	"github.com/redwingnotch/redwingnotch/leadership"
)

const (
	modelOrderTimeout   = 350 * time.Millisecond  // most time from an order's decision to its arrival
	modelOrderAgesFor   = 10 * time.Second        // time for which a former leader publishes an order's age
	modelContactSlack   = 300 * time.Millisecond  // longest time that a message and a store call may take together
	modelAliveTimeout   = 1200 * time.Millisecond // time without a message after which a node does not count as alive
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

// modelCell uses Core as internal/front does.
type modelCell struct {
	core *leadership.Core
}

func newModelCell(now time.Time, name string, restarted bool) *modelCell {
	return &modelCell{core: leadership.New(now, name, restarted, leadership.DefaultSettings(orderLease))}
}

// mayOrder returns the token for an order to the server, if the node may order it.
func (c *modelCell) mayOrder(now time.Time, server string) (uint64, bool) {
	token, leading := c.core.Authority(now)
	return token, leading && c.core.MayOrder(now, server)
}

// orderDecided records that an order is to be sent, and returns its deadline.
func (c *modelCell) orderDecided(now time.Time, server string, token uint64) time.Time {
	c.core.OrderSent(server, token)
	return now.Add(min(modelOrderTimeout, c.core.ValidFor(now)))
}

// orderDone records the end of an order.
func (c *modelCell) orderDone(now time.Time, server string, token uint64) {
	c.core.OrderEnded(now, server, token)
}

// state returns what the node publishes; nil if that is nothing.
func (c *modelCell) state(now time.Time) *modelLeaderState {
	if c.core.Leading(now) {
		return &modelLeaderState{token: c.core.Token(), leading: true}
	}
	resignation, resigned := c.core.Resignation(now)
	if !resigned {
		return nil
	}
	s := &modelLeaderState{token: resignation.Token, orderAge: map[string]time.Duration{}}
	for server, age := range resignation.OrderAges {
		if age < modelOrderAgesFor {
			s.orderAge[server] = age.Truncate(time.Millisecond)
		}
	}
	return s
}

// received processes what another node published.
func (c *modelCell) received(now time.Time, s *modelLeaderState) {
	if s != nil && !s.leading {
		c.core.LeaderResigned(now, leadership.Resignation{Token: s.token, OrderAges: s.orderAge})
	}
}
