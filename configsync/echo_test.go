package configsync_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/configsync"
)

// TestConfirmationGrowsOldAmongNodes guards against nodes that take a desired state for confirmed
// although no store has confirmed it for long, as they tell each other of the confirmation and
// each message is on its way for a moment (CONFIG).
func TestConfirmationGrowsOldAmongNodes(t *testing.T) {
	const nodes, transit, every, silence = 20, 10 * time.Millisecond, 200 * time.Millisecond, 4 * time.Second
	start := time.Unix(1000, 0)
	var cores []*configsync.Core
	for range nodes {
		c := configsync.New(start, configsync.Settings{ApplyTimeout: 3 * time.Second})
		c.PutInForce(start, 4)
		cores = append(cores, c)
	}
	cores[0].ReadDone(start, start, 1, nil, true) // the last response of the store to any node
	type message struct {
		at  time.Time
		age time.Duration
	}
	var sent []message
	for at := time.Duration(0); at < silence; at += transit {
		now := start.Add(at)
		for i, c := range cores {
			if (at/transit+time.Duration(i))%(every/transit) != 0 {
				continue
			}
			if age, confirmed := c.OwnConfirmedAge(now); confirmed {
				sent = append(sent, message{now.Add(transit), age})
			}
		}
		for len(sent) > 0 && !sent[0].at.After(now) {
			for _, c := range cores {
				c.PeerReported(now, 4, sent[0].age)
			}
			sent = sent[1:]
		}
	}
	for _, c := range cores {
		age := c.Status(start.Add(silence)).ConfirmedAge
		assert.Assert(t, age >= silence-2*transit, age)
	}
}
