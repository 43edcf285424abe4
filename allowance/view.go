package allowance

import (
	"slices"
	"time"

	"github.com/redwingnotch/redwingnotch/resumption"
)

// SetView applies what the node knows of the fleet now: it begins and ends to hold teams. Call it
// at least once in MaxGap.
func (n *Node) SetView(now time.Time, v View) Output {
	first := len(n.holderOf) == 0
	if frozen := !n.fleet.Observe(now, 1+len(v.Reached)); frozen {
		for team := range n.held {
			n.change(Change{Team: team, Reason: Frozen})
		}
		clear(n.held)
		clear(n.holderOf)
		clear(n.since)
		first = true
	}
	same := slices.Equal(v.Candidates, n.view.Candidates)
	n.view, n.part = v, Part{Live: n.live(now, v), Nodes: n.fleet.Size(now), Silence: v.Silence}
	for team := range n.holderOf {
		if _, listed := n.teams[team]; !listed {
			delete(n.held, team)
			delete(n.holderOf, team)
		}
	}
	for team, terms := range n.teams {
		if _, known := n.holderOf[team]; !same || !known {
			n.setHolder(now, team, first)
		}
		if n.accounts[team] == nil {
			n.addAccount(now, team, terms)
		}
		if h := n.held[team]; h != nil {
			h.Set(now, terms, n.part, v.Reached)
		}
	}
	for team, m := range n.accounts {
		if terms, listed := n.teams[team]; listed {
			m.Set(now, terms, n.part)
		} else if m.Idle() {
			delete(n.accounts, team)
		}
	}
	return n.output()
}

// live returns the number of nodes whose part of the allowances this part of the fleet has. A node
// that comes from another part counts there for as long as its silence is not noticed, so here it
// counts only after that time. One that has just started was in no other part.
func (n *Node) live(now time.Time, v View) int {
	live := 1
	for node, young := range v.Reached {
		since, known := n.since[node]
		switch {
		case !known && young:
			n.since[node] = now.Add(-v.Silence)
			live++
		case !known:
			n.since[node] = now
		case now.Sub(since) >= v.Silence:
			live++
		}
	}
	for node := range n.since {
		if _, reached := v.Reached[node]; !reached {
			delete(n.since, node)
		}
	}
	return live
}

// older reports whether a node is reached that did not just start.
func (v View) older() bool {
	for _, young := range v.Reached {
		if !young {
			return true
		}
	}
	return false
}

// change adds a change to the output.
func (n *Node) change(c Change) { n.out.Changes = append(n.out.Changes, c) }

// setHolder derives which node holds the team. A node that no longer holds it passes its bucket on.
// first says that it is not known which node held it so far.
func (n *Node) setHolder(now time.Time, team string, first bool) {
	before := n.holderOf[team]
	ranked := append(resumption.HoldersOf(team, n.view.Candidates, 2), "", "")
	holder := ranked[0]
	n.holderOf[team] = holder
	h := n.held[team]
	switch {
	case holder == n.config.Self && h == nil:
		c := Change{Team: team, Holding: true, Reason: NoOther}
		switch {
		case first && ranked[1] != "" && n.view.older():
			c.Reason, c.Other, c.Opens = Started, ranked[1], n.view.Silence
		case before != "" && slices.Contains(n.view.Candidates, before):
			// It may go on to grant until it knows the same nodes, and passes its bucket on then.
			c.Reason, c.Other, c.Opens = RanksFirst, before, n.view.Silence
		case before != "":
			c.Reason, c.Other = NotReached, before
		}
		n.nextEpoch++
		n.held[team] = NewHolder(now, n.nextEpoch, n.teams[team], n.part, now.Add(c.Opens))
		n.change(c)
	case holder != n.config.Self && h != nil:
		delete(n.held, team)
		n.change(Change{Team: team, Reason: RanksFirst, Other: holder})
		if holder != "" && h.Open(now) {
			level := h.Level(now)
			n.send(holder, Message{Team: team, Handover: &level})
		}
	}
}
