package allowance

import "time"

// Times of deputies.
const (
	probeEvery = 500 * time.Millisecond  // interval at which a node asks a holder again that a deputy stands in for
	askerFor   = 1200 * time.Millisecond // time after its last query for which a node counts for the deputy; it asks each contactEvery
)

// A deputy grants the parts of the nodes that have lost a team's holder, until they either reach it
// again or no longer count it as reached and derive another one. The holder has noticed that
// it lost these nodes, because they asked it regularly; nodes that did not are not counted here.
type deputy struct {
	*Holder
	askers map[string]time.Time // latest query, by node
}

// cut is what a member knows of a holder that does not answer.
type cut struct {
	since   time.Time // when the first query that was not answered was sent; zero if the holder answers
	counted bool      // the holder knew that this node asks regularly
	probed  time.Time // when it was last asked again
}

// noticed reports whether the holder has noticed the cut, if it is alive.
func (c cut) noticed(now time.Time) bool { return !c.since.IsZero() && now.Sub(c.since) >= cutAfter }

// giveUp ends the member's query in progress.
func (n *Node) giveUp(now time.Time, team string, m *member) {
	if q := m.asked; q != nil && q.holder == n.holderOf[team] && m.cut.since.IsZero() {
		m.cut = cut{since: q.began, counted: m.counted}
	}
	n.out.Decided = append(n.out.Decided, m.GiveUp(now)...)
}

// heard records an answer of a node about the team.
func (n *Node) heard(team, from string, m *member) {
	if from == n.holderOf[team] {
		m.cut = cut{}
	}
}

// target returns the node to ask for the team's tokens, and whether it is asked as the deputy of the
// one that ranks first.
func (n *Node) target(now time.Time, team string, m *member) (string, bool) {
	if m.redirect != "" && now.Sub(m.redirected) < redirectFor {
		return m.redirect, false
	}
	holder, next := n.holderOf[team], n.nextOf[team]
	if next == "" || !m.cut.counted || !m.cut.noticed(now) {
		return holder, false
	}
	if now.Sub(m.cut.probed) >= probeEvery {
		m.cut.probed = now
		q := m.ReturnQuery(Return{})
		q.Unheard = true
		n.send(holder, Message{Team: team, Query: &q})
	}
	return next, true
}

// deputize answers a query to this node as the deputy of the team's holder. It returns false if
// this node does not find itself that the holder is silent; it asks the holder then.
func (n *Node) deputize(now time.Time, team, from string, q Query) (Grant, bool) {
	m := n.accounts[team]
	if m == nil || n.holderOf[team] == n.config.Self {
		return Grant{}, false
	}
	if !m.cut.noticed(now) {
		m.keepContact(now)
		return Grant{}, false
	}
	d := n.deputies[team]
	if d == nil {
		d = &deputy{askers: map[string]time.Time{from: now}}
		n.nextEpoch++
		d.Holder = NewHolder(now, n.nextEpoch, n.teams[team], n.deputyPart(now, d), now)
		n.deputies[team] = d
		n.change(Change{Team: team, Holding: true, Reason: Deputy, Other: n.holderOf[team]})
	}
	d.askers[from] = now
	return d.Grant(now, from, q)
}

// deputyPart returns the part of the fleet whose tokens the deputy grants.
func (n *Node) deputyPart(now time.Time, d *deputy) Part {
	p := Part{Nodes: n.part.Nodes, Silence: n.part.Silence}
	for node, at := range d.askers {
		if now.Sub(at) >= askerFor {
			delete(d.askers, node)
		}
	}
	p.Live = len(d.askers)
	return p
}

// setDeputies ends to stand in for holders that answer again.
func (n *Node) setDeputies(now time.Time) {
	for team, d := range n.deputies {
		m, terms := n.accounts[team], n.teams[team]
		part := n.deputyPart(now, d)
		if m == nil || m.cut.since.IsZero() || part.Live == 0 || terms.Rate <= 0 {
			delete(n.deputies, team)
			n.change(Change{Team: team, Reason: Deputy, Other: n.holderOf[team]})
			continue
		}
		d.Set(now, terms, part, nil)
	}
}
