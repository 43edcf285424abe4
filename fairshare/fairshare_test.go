package fairshare_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/fairshare"
)

var now = time.Unix(1000, 0)

// next returns the team with the lowest start.
func next(c *fairshare.Clock, teams []*fairshare.Team) int {
	first := 0
	for i := range teams {
		if c.Start(teams[i]) < c.Start(teams[first]) {
			first = i
		}
	}
	return first
}

// TestTeamsGetEqualTokens guards against shares by requests, in which a team with large requests
// gets a multiple of the others' tokens.
func TestTeamsGetEqualTokens(t *testing.T) {
	c := fairshare.NewClock()
	sizes, sent := []float64{200, 726, 9270}, make([]float64, 3)
	var teams []*fairshare.Team
	for i := range sizes {
		teams = append(teams, c.Team(now, fmt.Sprint(i)))
		c.Join(now, teams[i])
	}
	for range 10000 {
		i := next(c, teams)
		c.Charge(now, teams[i], sizes[i])
		sent[i] += sizes[i]
		for j := range sent {
			assert.Assert(t, sent[j]-sent[i] <= sizes[j]+sizes[i], "a waiting team is behind by more than one request of each: %v", sent)
		}
	}
}

// TestIdleTeamHasNoCredit guards against a team that saves up its share while it sends nothing and
// then excludes the others.
func TestIdleTeamHasNoCredit(t *testing.T) {
	c := fairshare.NewClock()
	teams := []*fairshare.Team{c.Team(now, "steady"), c.Team(now, "late")}
	c.Join(now, teams[0])
	for range 1000 {
		c.Charge(now, teams[0], 726)
	}
	c.Join(now, teams[1])
	sent := make([]int, 2)
	for range 100 {
		i := next(c, teams)
		c.Charge(now, teams[i], 726)
		sent[i]++
	}
	assert.Assert(t, sent[1] <= 51, "%v", sent)
}

// TestCreditOfSlowServersIsForgotten guards against a team that collects credit while its requests
// wait for a server that takes none, such as one that loads their model for 11 s, and that then
// excludes other teams from all servers for seconds.
func TestCreditOfSlowServersIsForgotten(t *testing.T) {
	c := fairshare.NewClock()
	stuck, fast := c.Team(now, "stuck"), c.Team(now, "fast")
	c.Join(now, stuck)
	c.Join(now, fast)
	at := now
	for ; at.Sub(now) < 11*time.Second; at = at.Add(10 * time.Millisecond) {
		c.Charge(at, fast, 726)
		c.Join(at, fast)
		c.Leave(fast)
	}
	const perSecond = 100 * 726
	credit := c.Start(fast) - c.Start(stuck)
	assert.Assert(t, credit <= perSecond*0.51, "%.2f s of the tokens sent meanwhile", credit/perSecond)
	assert.Assert(t, credit > 0, "the team that waited is next")
}
