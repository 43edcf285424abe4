package leadership_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/leadership"
)

// leaderInEra returns a core that leads with its first token in era 1, as of now.
func leaderInEra(t *testing.T, now time.Time) (*leadership.Core, leadership.Record) {
	c := leadership.New(now, "a", false, leadership.DefaultSettings(orderLease))
	c.SawEra(now, 1)
	assert.Equal(t, c.Tick(now.Add(time.Second), leadership.Peers{Eligible: true}).Kind, leadership.Read)
	c.ReadDone(now.Add(time.Second), leadership.Record{}, 0, nil)
	write := c.Tick(now.Add(2*time.Second), leadership.Peers{Eligible: true})
	assert.Equal(t, write.Kind, leadership.Write)
	c.WriteDone(now.Add(2*time.Second), write.Record, 7, leadership.Written)
	assert.Assert(t, c.Leading(now.Add(2*time.Second)))
	return c, write.Record
}

// TestLeaderWritesItsRecordAgain guards against a cell without a leader after the store has come back from
// a copy without the leader's record: the leader writes it again, with a higher token, and leads on.
func TestLeaderWritesItsRecordAgain(t *testing.T) {
	c, before := leaderInEra(t, start)
	now := start.Add(3 * time.Second)
	c.SawEra(now, 2)
	assert.Equal(t, c.Tick(now, leadership.Peers{Eligible: true}).Kind, leadership.Read)
	c.ReadDone(now, leadership.Record{}, 0, nil)
	assert.Assert(t, c.Leading(now))
	now = now.Add(3 * time.Second)
	write := c.Tick(now, leadership.Peers{Eligible: true})
	assert.Equal(t, write.Kind, leadership.Write)
	assert.Assert(t, write.Record.Token > before.Token && write.Record.Token < 1<<53)
	c.WriteDone(now, write.Record, 3, leadership.Written)
	assert.Assert(t, c.Leading(now))
	assert.Equal(t, c.Token(), write.Record.Token)
}

// TestCandidateWaitsInNewEra guards against a candidate that leads at once because the leader's record is
// gone, while the leader of before may still order servers.
func TestCandidateWaitsInNewEra(t *testing.T) {
	s := leadership.DefaultSettings(orderLease)
	c := leadership.New(start, "b", true, s)
	c.SawEra(start, 1)
	rose := start.Add(time.Minute)
	c.SawEra(rose, 2)
	until := rose.Add(s.Validity + s.OrderLease + s.MaxOrderDelay)
	for now := rose; ; now = now.Add(100 * time.Millisecond) {
		action := c.Tick(now, leadership.Peers{Eligible: true})
		switch action.Kind {
		case leadership.Read:
			c.ReadDone(now, leadership.Record{}, 0, nil)
		case leadership.Write:
			assert.Assert(t, !now.Before(until), "after %v", now.Sub(rose))
			return
		}
		assert.Assert(t, now.Before(until.Add(time.Second)), "no candidate")
	}
}
