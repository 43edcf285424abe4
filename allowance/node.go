package allowance

import (
	"maps"
	"slices"
	"time"
)

// redirectFor is the time for which a team's holder is taken from another node's answer. By then
// this node knows the nodes as the other one did.
const redirectFor = time.Second

// Message is what one node sends another about a team.
type Message struct {
	Team     string
	Query    *Query
	Grant    *Grant
	Redirect *Redirect
	Handover *int64 // tokens in the bucket of the node that held the team before; a debt is negative
}

// Redirect answers a query for a team that the node does not hold.
type Redirect struct {
	Key    uint64 // of the query
	Holder string // node that holds it; empty if unknown
}

// Outgoing is a message to a node.
type Outgoing struct {
	To string
	Message
}

// Reason says why a node begins or ends to hold a team.
type Reason string

const (
	NoOther    Reason = "no_other"    // no other node is known to have held it
	Started    Reason = "started"     // another node may have held it before this one started or thawed
	NotReached Reason = "not_reached" // the node that held it is silent
	RanksFirst Reason = "ranks_first" // the other node is there, and the one that holds it from now on ranks higher
	HandedOver Reason = "handed_over" // the node that held it has passed its bucket on
	Frozen     Reason = "frozen"      // this process was frozen
	Deputy     Reason = "deputy"      // the other node holds it and does not answer some nodes
)

// Change is that this node begins or ends to hold a team.
type Change struct {
	Team    string
	Holding bool
	Reason  Reason
	Other   string        // node that holds it after this one, or held it before
	Opens   time.Duration // time until this node grants tokens
}

// Output is what follows from a call of a Node.
type Output struct {
	Send    []Outgoing
	Decided []Decision // about requests that waited
	Changes []Change
}

// View is what a node knows of the fleet.
type View struct {
	Candidates []string           // nodes that may hold teams, sorted
	Reached    map[string]Contact // the other nodes that are reached
	Silence    time.Duration      // longest time for which a node that does not answer counts as reached
}

// Contact is what a node knows of another one.
type Contact struct {
	Heard time.Time // when its latest message was received
	Young bool      // it has just started
}

// Config identifies a Node.
type Config struct {
	Self           string
	FirstKey       uint64        // higher than all keys of an earlier process
	Span           time.Duration // time for which a node that was heard of counts, see Fleet
	OthersExpected bool          // the node was told of others to join
}

// Node is the allowances at one node: the buckets of the teams that it holds, and its accounts with
// the holders of the teams that it asks for.
type Node struct {
	config    Config
	fleet     *Fleet
	view      View
	since     map[string]time.Time // by node that is reached: its first message since it was not
	part      Part
	teams     map[string]Terms
	names     []string          // of teams, sorted
	holderOf  map[string]string // node that holds the team
	nextOf    map[string]string // node that ranks second for the team
	held      map[string]*Holder
	deputies  map[string]*deputy // of teams that another node holds
	pending   map[string]pending // of teams that this node holds and another one may hold as well
	accounts  map[string]*member
	order     []string // teams with accounts, sorted, so that calls have the same output each time
	nextEpoch uint64
	out       Output
}

// pending is the node that may hold a team that this node is to hold.
type pending struct {
	node  string
	asked time.Time
}

// member is an account and the node that another one named as its team's holder.
type member struct {
	*Account
	redirect   string // empty if none has
	redirected time.Time
	cut        cut // from the node that holds the team
}

// NewNode returns a node without teams.
func NewNode(now time.Time, c Config) *Node {
	return &Node{
		config: c, nextEpoch: c.FirstKey,
		fleet:    NewFleet(now, c.Span, c.OthersExpected),
		since:    map[string]time.Time{},
		part:     Part{Live: 1, Nodes: UnknownSize, Silence: MaxGap},
		teams:    map[string]Terms{},
		holderOf: map[string]string{},
		nextOf:   map[string]string{},
		held:     map[string]*Holder{},
		deputies: map[string]*deputy{},
		pending:  map[string]pending{},
		accounts: map[string]*member{},
	}
}

// SetTeams replaces the teams and their limits. The next SetView puts them in force.
func (n *Node) SetTeams(teams map[string]Terms) {
	n.teams, n.names = teams, slices.Sorted(maps.Keys(teams))
}

// Active reports whether a team has an allowance, or had one that is still in use.
func (n *Node) Active() bool { return len(n.teams) > 0 || len(n.accounts) > 0 || len(n.held) > 0 }

// Part returns the part of the fleet that this node reaches.
func (n *Node) Part() Part { return n.part }

// HolderOf returns the node that holds the team; empty if unknown.
func (n *Node) HolderOf(team string) string { return n.holderOf[team] }

// Holders returns the other nodes that hold teams, as far as this node knows, sorted.
func (n *Node) Holders() []string {
	var holders []string
	for _, holder := range n.holderOf {
		if holder != "" && holder != n.config.Self {
			holders = append(holders, holder)
		}
	}
	slices.Sort(holders)
	return slices.Compact(holders)
}

// Silent reports whether the team's holder does not answer, and the time since one last did.
func (n *Node) Silent(now time.Time, team string) (time.Duration, bool) {
	if m := n.accounts[team]; m != nil {
		return m.Silent(now)
	}
	return 0, false
}

// output returns what has followed from the call.
func (n *Node) output() Output {
	out := n.out
	n.out = Output{}
	return out
}

// Take takes the tokens of the request out of the team's allowance, or returns false if the request
// has to wait. Call Step RepeatAfter and more after that, until it is decided.
func (n *Node) Take(now time.Time, team string, terms Terms, key uint64, tokens int64) (Decision, bool, Output) {
	m := n.accounts[team]
	if m == nil {
		m = n.addAccount(now, team, terms)
	}
	d, done := m.Take(now, key, tokens)
	n.step(now, team, m)
	return d, done, n.output()
}

// addAccount returns a new account with the team.
func (n *Node) addAccount(now time.Time, team string, terms Terms) *member {
	m := &member{Account: NewAccount(now, n.config.FirstKey, terms, n.part)}
	n.accounts[team] = m
	n.order = slices.Sorted(maps.Keys(n.accounts))
	return m
}

// Cancel ends a request that waits.
func (n *Node) Cancel(team string, key uint64) {
	if m := n.accounts[team]; m != nil {
		m.Cancel(key)
	}
}

// GiveBack returns the tokens of a request that no server has run.
func (n *Node) GiveBack(now time.Time, team string, c Charge) {
	if m := n.accounts[team]; m != nil {
		m.GiveBack(now, c)
	}
}

// Step carries the team's queries on with time.
func (n *Node) Step(now time.Time, team string) Output {
	if m := n.accounts[team]; m != nil {
		n.step(now, team, m)
	}
	return n.output()
}

// Tick carries all teams' queries on and returns unused tokens. Call it often.
func (n *Node) Tick(now time.Time) Output {
	for _, team := range n.order {
		m := n.accounts[team]
		if m.Idle() {
			continue
		}
		for _, r := range m.Returns(now) {
			q := m.ReturnQuery(r)
			if h := n.held[team]; r.Holder != n.config.Self {
				n.send(r.Holder, Message{Team: team, Query: &q})
			} else if h != nil {
				h.Grant(now, n.config.Self, q)
			}
		}
		n.step(now, team, m)
	}
	return n.output()
}

// Receive handles another node's message.
func (n *Node) Receive(now time.Time, from string, m Message) Output {
	acc := n.accounts[m.Team]
	switch {
	case m.Query != nil:
		g, redirect := n.answer(now, m.Team, from, *m.Query)
		switch {
		case redirect != nil && m.Query.Return == 0:
			n.send(from, Message{Team: m.Team, Redirect: redirect})
		case redirect == nil && m.Query.Return == 0:
			n.send(from, Message{Team: m.Team, Grant: &g})
		}
	case m.Grant != nil && acc != nil:
		n.heard(m.Team, from, acc)
		n.out.Decided = append(n.out.Decided, acc.Receive(now, from, *m.Grant)...)
		n.step(now, m.Team, acc)
	case m.Redirect != nil && acc != nil:
		n.stoppedHolding(now, m.Team, from, m.Redirect.Holder)
		n.heard(m.Team, from, acc)
		acc.follow(now, from, *m.Redirect)
		n.step(now, m.Team, acc)
	case m.Handover != nil:
		if h := n.held[m.Team]; h != nil && !h.Open(now) {
			h.TakeOver(now, *m.Handover)
			n.out.Changes = append(n.out.Changes, Change{Team: m.Team, Holding: true, Reason: HandedOver, Other: from})
		}
	}
	return n.output()
}

// send adds a message to the output.
func (n *Node) send(to string, m Message) { n.out.Send = append(n.out.Send, Outgoing{to, m}) }

// step gives up queries that are not answered, answers those to this node itself, and sends those
// that are due.
func (n *Node) step(now time.Time, team string, m *member) {
	for {
		if m.Overdue(now) {
			n.giveUp(now, team, m)
		}
		target, instead := n.target(now, team, m)
		if target == "" && !m.Idle() {
			n.giveUp(now, team, m)
		}
		q, to, due := m.Ask(now, target, instead)
		if !due {
			return
		}
		if to != n.config.Self {
			n.send(to, Message{Team: team, Query: &q})
			return
		}
		if g, redirect := n.answer(now, team, to, q); redirect == nil {
			n.out.Decided = append(n.out.Decided, m.Receive(now, to, g)...)
		} else {
			m.follow(now, to, *redirect)
		}
	}
}

// follow records that the node named another holder.
func (m *member) follow(now time.Time, from string, r Redirect) {
	if m.Redirect(from, r.Key) && r.Holder != "" {
		m.redirect, m.redirected = r.Holder, now
	}
}

// answer answers a query for the team's tokens: with a grant, or with the node that holds the team
// if this one does not.
func (n *Node) answer(now time.Time, team, from string, q Query) (Grant, *Redirect) {
	h := n.held[team]
	if h != nil {
		if g, valid := h.Grant(now, from, q); valid {
			return g, nil
		}
	}
	if q.Instead {
		if g, granted := n.deputize(now, team, from, q); granted {
			return g, nil
		}
	}
	holder := n.holderOf[team]
	if holder == n.config.Self {
		// It takes over from the node that ranks next.
		holder = ""
		if h != nil && !h.Open(now) {
			holder = n.nextOf[team]
		}
	}
	if holder == from {
		holder = ""
	}
	return Grant{}, &Redirect{Key: q.Key, Holder: holder}
}
