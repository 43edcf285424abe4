package allowance

import (
	"maps"
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
		clear(n.deputies)
		for _, m := range n.accounts {
			m.cut = cut{}
		}
		first = true
	}
	same := slices.Equal(v.Candidates, n.view.Candidates)
	n.view, n.part = v, Part{Live: n.live(now, v), Nodes: n.fleet.Size(now), Silence: v.Silence}
	for team := range n.holderOf {
		if _, listed := n.teams[team]; !listed {
			delete(n.held, team)
			delete(n.holderOf, team)
			delete(n.nextOf, team)
		}
	}
	for _, team := range n.names {
		terms := n.teams[team]
		if _, known := n.holderOf[team]; !same || !known {
			n.setHolder(now, team, first)
		}
		if n.accounts[team] == nil {
			n.addAccount(now, team, terms)
		}
		n.askPending(now, team)
		if h := n.held[team]; h != nil {
			h.Set(now, terms, n.part, v.Reached)
		}
	}
	n.setDeputies(now)
	for team, m := range n.accounts {
		if terms, listed := n.teams[team]; listed {
			m.Set(now, terms, n.part)
		} else if m.Idle() {
			delete(n.accounts, team)
			n.order = slices.Sorted(maps.Keys(n.accounts))
		}
	}
	return n.output()
}

// live returns the number of nodes whose part of the allowances this part of the fleet has. A node
// that comes from another part counts there for as long as its silence is not noticed, so here it
// counts only after that time. One that has just started was in no other part.
func (n *Node) live(now time.Time, v View) int {
	live := 1
	for node, contact := range v.Reached {
		since, known := n.since[node]
		switch {
		case !known && contact.Young:
			n.since[node] = contact.Heard.Add(-v.Silence)
			live++
		case !known:
			n.since[node] = contact.Heard
		case contact.Heard.Sub(since) >= v.Silence:
			live++
		}
	}
	for node := range n.since {
		if _, reached := v.Reached[node]; !reached {
			delete(n.since, node)
		}
	}
	if n.config.OthersExpected && !n.fleet.Known(now) {
		// In a fleet that starts, each node knows of itself first. Were it to count itself, the
		// nodes of a large fleet would have several times the rate.
		live--
	}
	return live
}

// older reports whether a node is reached that did not just start.
func (v View) older() bool {
	for _, contact := range v.Reached {
		if !contact.Young {
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
	n.holderOf[team], n.nextOf[team] = holder, ranked[1]
	h := n.held[team]
	if m := n.accounts[team]; m != nil && holder != before {
		m.cut = cut{}
	}
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
		if d := n.deputies[team]; d != nil {
			delete(n.deputies, team)
			n.held[team] = d.Holder
			n.change(c)
			return
		}
		n.nextEpoch++
		n.pending[team] = pending{node: c.Other}
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

// askPending asks the node that may hold the team whether it still does. Its bucket comes in a message
// of its own, which may be lost.
func (n *Node) askPending(now time.Time, team string) {
	h, p := n.held[team], n.pending[team]
	if h == nil || h.Open(now) || p.node == "" {
		delete(n.pending, team)
		return
	}
	if now.Sub(p.asked) >= contactEvery {
		n.pending[team] = pending{p.node, now}
		q := n.accounts[team].ReturnQuery(Return{})
		n.send(p.node, Message{Team: team, Query: &q})
	}
}

// stoppedHolding records that the node does not hold the team, but the other one, as far as it knows.
// If that is this node, or it knows none, this node grants tokens from now on.
func (n *Node) stoppedHolding(now time.Time, team, from, other string) {
	h, p := n.held[team], n.pending[team]
	switch {
	case h == nil || h.Open(now) || p.node != from:
	case other == "" || other == n.config.Self:
		h.open(now)
		delete(n.pending, team)
		n.change(Change{Team: team, Holding: true, Reason: HandedOver, Other: from})
	default:
		n.pending[team] = pending{node: other}
	}
}
