package leadership_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/leadership"
)

// nextWrite ticks the core every 20 ms until it returns a write, which is left
// pending, and returns the write and the time of its tick.
func nextWrite(t *testing.T, c *leadership.Core, now time.Time, s *store) (leadership.Action, time.Time) {
	t.Helper()
	for end := now.Add(time.Minute); now.Before(end); now = now.Add(20 * time.Millisecond) {
		action := c.Tick(now, eligible)
		if action.Kind == leadership.Write {
			return action, now
		}
		perform(c, now, s, action)
	}
	t.Fatal("no write within a minute")
	return leadership.Action{}, now
}

// resignAfterOrder lets the named node lead, order the server and resign at once. It
// returns the resignation and the time of both.
func resignAfterOrder(t *testing.T, name, server string, s *store) (leadership.Resignation, time.Time) {
	t.Helper()
	c := newCore(name)
	now := run(c, start, time.Second, s, eligible)
	token, ok := c.Authority(now)
	assert.Assert(t, ok)
	c.OrderSent(server, token)
	c.OrderEnded(now, server, token)
	c.Resign()
	resignation, resigned := c.Resignation(now)
	assert.Assert(t, resigned)
	return resignation, now
}

// TestLateRenewalResponseDoesNotRestoreExpiredLeadership guards against two leaders: a
// node that was suspended until its leadership had expired reports so to others, and
// the response of a renewal from before must not make it leader again under that token.
func TestLateRenewalResponseDoesNotRestoreExpiredLeadership(t *testing.T) {
	settings := leadership.DefaultSettings(orderLease)
	a, b, s := newCore("a"), newCore("b"), &store{}
	now := run(a, start, time.Second, s, eligible)
	confirmed := now
	renewal, _ := nextWrite(t, a, now, s)
	version, result := s.write(renewal)
	assert.Equal(t, result, leadership.Written)

	now = confirmed.Add(settings.Validity) // suspended with the response pending
	assert.Equal(t, a.Tick(now, eligible).Kind, leadership.NoCall)
	assert.Assert(t, !a.Leading(now)) // seen by others as a resignation
	b.LeaderResigned(now, leadership.Resignation{Token: renewal.Record.Token})
	now = run(b, now, 100*time.Millisecond, s, eligible)
	a.WriteDone(now, renewal.Record, version, result)
	assert.Assert(t, !a.Leading(now), "leader again with token %d", a.Token())

	now = run(b, now, time.Second, s, eligible)
	token, ok := b.Authority(now)
	assert.Assert(t, ok)
	assert.Equal(t, token, renewal.Record.Token+1)
}

// TestLateRenewalResponseDoesNotRestoreResignedLeadership guards against two leaders:
// the response of a renewal that arrives after the leader stepped down must not make
// it leader again under the token that a successor takes as given up.
func TestLateRenewalResponseDoesNotRestoreResignedLeadership(t *testing.T) {
	a, b, s := newCore("a"), newCore("b"), &store{}
	now := run(a, start, time.Second, s, eligible)
	renewal, now := nextWrite(t, a, now, s)
	version, result := s.write(renewal)
	assert.Equal(t, result, leadership.Written)

	a.StepDown(now)
	b.LeaderResigned(now, leadership.Resignation{Token: renewal.Record.Token})
	now = run(b, now, time.Second, s, eligible)
	token, ok := b.Authority(now)
	assert.Assert(t, ok)
	assert.Equal(t, token, renewal.Record.Token+1)

	a.WriteDone(now, renewal.Record, version, result)
	assert.Assert(t, !a.Leading(now), "leader again with token %d", a.Token())
}

// TestNextTokenWaitsForOrdersInFlight guards against a lower token after a higher one
// from the same node: it loses the leadership and acquires it again while an order with
// the old token is still in flight, or has timed out and can arrive until MaxOrderDelay.
func TestNextTokenWaitsForOrdersInFlight(t *testing.T) {
	c, s := newCore("a"), &store{}
	now := run(c, start, time.Second, s, eligible)
	c.OrderSent("s1", 1)
	assert.Assert(t, c.MayOrder(now, "s1"))
	c.StepDown(now)
	now = run(c, now, time.Second, s, eligible)
	token, ok := c.Authority(now)
	assert.Assert(t, ok)
	assert.Equal(t, token, uint64(2))
	assert.Assert(t, !c.MayOrder(now, "s1"))
	assert.Assert(t, c.MayOrder(now, "s2"))
	c.OrderEnded(now, "s1", 1)
	maxOrderDelay := leadership.DefaultSettings(orderLease).MaxOrderDelay
	assert.Assert(t, !c.MayOrder(now.Add(maxOrderDelay-time.Millisecond), "s1"))
	assert.Assert(t, c.MayOrder(now.Add(maxOrderDelay), "s1"))
}

// TestResignationWaitsForOrdersInFlight guards against a successor that orders a server
// at which an order of the former leader has yet to arrive.
func TestResignationWaitsForOrdersInFlight(t *testing.T) {
	c, s := newCore("a"), &store{}
	now := run(c, start, time.Second, s, eligible)
	c.OrderSent("s1", 1)
	c.Resign()
	_, resigned := c.Resignation(now)
	assert.Assert(t, !resigned)
	now = now.Add(200 * time.Millisecond)
	c.OrderEnded(now, "s1", 1)
	resignation, resigned := c.Resignation(now.Add(time.Second))
	assert.Assert(t, resigned)
	assert.DeepEqual(t, resignation, leadership.Resignation{Token: 1, OrderAges: map[string]time.Duration{"s1": time.Second}})
}

// TestOrdersWaitAfterTakeoverByEarlierRun guards against orders right after those of a
// former leader: an earlier run of this node acquired the leadership, knowing the former
// leader's order times, by a write that the store applied only after the restart and
// after the record was read once.
func TestOrdersWaitAfterTakeoverByEarlierRun(t *testing.T) {
	settings := leadership.DefaultSettings(orderLease)
	s := &store{}
	resignation, now := resignAfterOrder(t, "b", "s1", s)
	lastOrder := now
	earlier := newCore("a")
	earlier.LeaderResigned(now, resignation)
	takeover, now := nextWrite(t, earlier, now, s)

	a := leadership.New(now, "a", true, settings)
	perform(a, now, s, a.Tick(now, eligible))
	assert.Equal(t, s.record.Holder, "b")
	_, result := s.write(takeover)
	assert.Equal(t, result, leadership.Written)
	now = now.Add(settings.CallPause)
	a.Tick(now, leadership.Peers{Eligible: true, LeaderAlive: true})
	now = run(a, now, time.Second, s, eligible)
	_, ok := a.Authority(now)
	assert.Assert(t, ok)
	for ; !a.MayOrder(now, "s1"); now = now.Add(100 * time.Millisecond) {
	}
	assert.Assert(t, now.Sub(lastOrder) >= settings.OrderLease+settings.MaxOrderDelay, "may order after %v", now.Sub(lastOrder))
}

// TestAcquisitionsInARowDoNotCountAsTime guards against orders right after those of a
// former leader: each acquisition raises the record's renewal number, so a few in a row
// must not look like renewals, RenewEvery apart, to the next run of this node.
func TestAcquisitionsInARowDoNotCountAsTime(t *testing.T) {
	settings := leadership.DefaultSettings(orderLease)
	s := &store{}
	resignation, now := resignAfterOrder(t, "b", "s1", s)
	lastOrder := now
	a := newCore("a")
	a.LeaderResigned(now, resignation)
	for range 5 {
		for ; !a.Leading(now); now = now.Add(20 * time.Millisecond) {
			perform(a, now, s, a.Tick(now, eligible))
		}
		a.StepDown(now)
	}
	a = leadership.New(now, "a", true, settings)
	now = run(a, now, settings.CallPause+100*time.Millisecond, s, eligible)
	_, ok := a.Authority(now)
	assert.Assert(t, ok)
	for ; !a.MayOrder(now, "s1"); now = now.Add(100 * time.Millisecond) {
	}
	assert.Assert(t, now.Sub(lastOrder) >= settings.OrderLease+settings.MaxOrderDelay, "may order after %v", now.Sub(lastOrder))
}

// TestConflictOfRenewalEndsLeadership guards against a leader that goes on ordering after
// the store has shown that another node replaced it: its renewal conflicts, and no
// earlier write of its own can have been applied late.
func TestConflictOfRenewalEndsLeadership(t *testing.T) {
	c, s := newCore("a"), &store{}
	now := run(c, start, time.Second, s, eligible)
	renewal, now := nextWrite(t, c, now, s)
	c.WriteDone(now, renewal.Record, 0, leadership.Conflict)
	assert.Assert(t, !c.Leading(now))
}

// TestLateWriteDoesNotEndLeadership: a conflict after a write with an unknown outcome may
// be with that write, so the leader reads the record and goes on with the same token.
func TestLateWriteDoesNotEndLeadership(t *testing.T) {
	c, s := newCore("a"), &store{}
	now := run(c, start, time.Second, s, eligible)
	lost, now := nextWrite(t, c, now, s)
	c.WriteDone(now, lost.Record, 0, leadership.Unknown)
	renewal, now := nextWrite(t, c, now, s)
	s.write(lost)
	_, result := s.write(renewal)
	assert.Equal(t, result, leadership.Conflict)
	c.WriteDone(now, renewal.Record, 0, result)
	now = run(c, now, 3*time.Second, s, eligible)
	token, ok := c.Authority(now)
	assert.Assert(t, ok)
	assert.Equal(t, token, renewal.Record.Token)
}

// TestOrderTimesOfFormerLeadersArePassedOn guards against orders of two nodes to one
// server within OrderLease: a leader that resigns soon after it took over, before it
// ordered the server itself, reports the order of the leader before it.
func TestOrderTimesOfFormerLeadersArePassedOn(t *testing.T) {
	settings := leadership.DefaultSettings(orderLease)
	a, b, c, s := newCore("a"), newCore("b"), newCore("c"), &store{}
	now := run(a, start, time.Second, s, eligible)
	a.OrderSent("s1", 1)
	a.OrderEnded(now, "s1", 1)
	lastOrder := now
	for _, handover := range []struct{ from, to *leadership.Core }{{a, b}, {b, c}} {
		handover.from.Resign()
		resignation, resigned := handover.from.Resignation(now)
		assert.Assert(t, resigned)
		handover.to.LeaderResigned(now, resignation)
		for end := now.Add(time.Second); !handover.to.Leading(now) && now.Before(end); now = now.Add(20 * time.Millisecond) {
			perform(handover.to, now, s, handover.to.Tick(now, eligible))
		}
		assert.Assert(t, handover.to.Leading(now))
	}
	assert.Assert(t, !c.MayOrder(lastOrder.Add(settings.OrderLease+settings.MaxOrderDelay-time.Millisecond), "s1"))
	assert.Assert(t, c.MayOrder(now, "s2"))
}
