// Package fairshare orders the requests of teams that compete for the same servers. It is
// start-time fair queueing (Goyal, Vin and Cheng, 1996) by tokens: each request has a virtual
// start time, the team's tokens that were sent before it, and the lowest start is sent first. A
// team that waits therefore gets at least its share of the tokens, and what a team leaves unused
// goes to the others. Clock does no I/O, takes the time as a parameter and is not safe for
// concurrent use.
package fairshare

import (
	"slices"
	"time"
)

// memory is the interval at which the starts of teams that fell behind are raised to where
// the clock was one interval earlier. Requests of one rank can wait for different servers,
// and those of slow servers would otherwise collect credit for as long as they wait, which
// excludes teams that come later. Credit is kept for one to two intervals.
const memory = 250 * time.Millisecond

// maxIdleTeams is the number of teams without waiting requests from which on outdated ones
// are removed.
const maxIdleTeams = 64

// Team is what a clock knows of one team.
type Team struct {
	name    string
	finish  float64 // virtual time at which the tokens of its sent requests end
	waiting int     // number of its waiting requests
}

// Clock is the virtual time of the teams that compete in one rank of one service, in tokens.
type Clock struct {
	teams     map[string]*Team
	waiting   []*Team // teams with waiting requests
	latest    float64 // highest start of a request that was sent
	floor     float64 // least start of any request
	nextFloor float64 // latest at rotatedAt
	rotatedAt time.Time
}

// NewClock returns a clock that knows no team. Virtual times are above zero.
func NewClock() *Clock { return &Clock{teams: map[string]*Team{}, latest: 1, floor: 1, nextFloor: 1} }

// Waiting returns the number of teams with waiting requests.
func (c *Clock) Waiting() int { return len(c.waiting) }

// OtherWaits reports whether a request of another team than that with the name waits.
func (c *Clock) OtherWaits(name string) bool {
	return len(c.waiting) > 1 || len(c.waiting) == 1 && c.waiting[0].name != name
}

// Team returns the team with the name.
func (c *Clock) Team(now time.Time, name string) *Team {
	c.rotate(now)
	t := c.teams[name]
	if t == nil {
		t = &Team{name: name}
		c.teams[name] = t
	}
	return t
}

// Join records that one more request of the team waits.
func (c *Clock) Join(now time.Time, t *Team) {
	c.rotate(now)
	if t.waiting == 0 {
		t.finish = c.Start(t)
		c.waiting = append(c.waiting, t)
		c.teams[t.name] = t // it may have been removed since it was returned
	}
	t.waiting++
}

// Leave records that one request of the team no longer waits.
func (c *Clock) Leave(t *Team) {
	if t.waiting--; t.waiting == 0 {
		c.waiting = slices.DeleteFunc(c.waiting, func(other *Team) bool { return other == t })
	}
}

// Start returns the virtual start of the team's next request. A team that has not waited
// starts with those that wait, without credit for the time before.
func (c *Clock) Start(t *Team) float64 {
	if t.waiting > 0 {
		return max(t.finish, c.floor)
	}
	return max(t.finish, c.now())
}

// now returns the virtual time: the lowest start of a team that waits, or the latest start if
// none does.
func (c *Clock) now() float64 {
	if len(c.waiting) == 0 {
		return max(c.latest, c.floor)
	}
	lowest := c.waiting[0].finish
	for _, t := range c.waiting[1:] {
		lowest = min(lowest, t.finish)
	}
	return max(lowest, c.floor)
}

// Charge records that a request of the team was sent that others had to wait for.
func (c *Clock) Charge(now time.Time, t *Team, tokens float64) {
	c.rotate(now)
	start := c.Start(t)
	c.latest = max(c.latest, start)
	t.finish = start + tokens
}

// rotate raises the floor with time.
func (c *Clock) rotate(now time.Time) {
	age := now.Sub(c.rotatedAt)
	if age < memory {
		return
	}
	c.floor, c.nextFloor = c.nextFloor, c.latest
	if age >= 2*memory {
		c.floor = c.latest
	}
	c.rotatedAt = now
	if len(c.teams)-len(c.waiting) <= maxIdleTeams {
		return
	}
	for name, t := range c.teams {
		if t.waiting == 0 && t.finish <= c.floor {
			delete(c.teams, name)
		}
	}
}
