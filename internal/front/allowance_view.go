package front

import (
	"maps"
	"net"
	"slices"
	"time"

	"github.com/redwingnotch/redwingnotch/allowance"
	"github.com/redwingnotch/redwingnotch/internal/bootclock"
	"github.com/redwingnotch/redwingnotch/platform"
	"github.com/redwingnotch/redwingnotch/resumption"
	"github.com/redwingnotch/redwingnotch/routes"
)

// Limits of the view of the fleet.
const (
	viewInterval      = 100 * time.Millisecond // interval at which the view is derived again; well below allowance.MaxGap
	minReachedTimeout = time.Second            // least time without a message after which a node does not count as reached
	reachedIntervals  = 1.5                    // time without a message after which a node does not count as reached, in send intervals
	reachedSlack      = 300 * time.Millisecond // in addition: a message may be late
	youngFor          = 2 * time.Second        // time after its start in which a node holds no team if others can: it does not know the fleet yet
	minLargeNodes     = 3                      // nodes on VMs above the smallest class from which on only they hold teams
)

// fleetView is what a node knows of the fleet at one time.
type fleetView struct {
	known      map[string]bool // IPs of other nodes that are alive
	candidates []string        // IPs of the nodes that may hold teams, sorted
	live       int             // nodes that are reached, including this one
	silence    time.Duration   // longest time for which a node that does not answer counts as reached
	older      bool            // another node is older than youngFor
}

// reachedTimeout returns the time without a message after which a node with the send interval does
// not count as reached. It is shorter than aliveTimeout, because what a node is thought to use of
// an allowance, another one may use at the same time. Losing one message in a row is accepted.
func reachedTimeout(interval time.Duration) time.Duration {
	return max(minReachedTimeout, time.Duration(reachedIntervals*float64(interval))+reachedSlack)
}

// fleetView derives the view. The caller holds n.mu.
func (n *Node) fleetView(now time.Time) fleetView {
	p := n.peers
	v := fleetView{known: map[string]bool{}, live: 1, silence: reachedTimeout(max(p.farInterval(), p.sendInterval()))}
	type candidate struct {
		ip           string
		young, small bool
	}
	var all []candidate
	if n.ready() {
		all = append(all, candidate{n.settings.IP, now.Sub(p.startedAt) < youngFor, vmClass(n.settings) == 0})
	}
	for ip, other := range p.byIP {
		if !other.alive(now) {
			continue
		}
		v.known[ip] = true
		silent := now.Sub(other.received)
		if silent >= reachedTimeout(other.interval()) {
			continue
		}
		v.live++
		young := time.Duration(other.SentMS)*time.Millisecond+silent < youngFor
		v.older = v.older || !young
		if other.Ready && !other.Stopping {
			all = append(all, candidate{ip, young, other.VMClass == 0})
		}
	}
	keep := func(drop func(candidate) bool, least int) {
		if rest := slices.DeleteFunc(slices.Clone(all), drop); len(rest) >= least {
			all = rest
		}
	}
	keep(func(c candidate) bool { return c.young }, 1)
	keep(func(c candidate) bool { return c.small }, minLargeNodes)
	for _, c := range all {
		v.candidates = append(v.candidates, c.ip)
	}
	slices.Sort(v.candidates)
	return v
}

// hasOtherSeeds reports whether the settings name other nodes.
func hasOtherSeeds(s platform.Settings) bool {
	return slices.ContainsFunc(s.Seeds, func(seed string) bool {
		host, _, err := net.SplitHostPort(seed)
		return err == nil && host != s.IP
	})
}

// tickAllowances carries the allowances on with time. The caller holds n.mu.
func (n *Node) tickAllowances(now time.Time) {
	a, table := n.allowances, n.desired.Load()
	a.mu.Lock()
	if table != a.table {
		a.setTable(table)
	}
	var out []outgoing
	if len(a.terms) == 0 && len(a.accounts) == 0 {
		a.viewed = time.Time{}
	} else if due := now.Sub(a.viewed) >= viewInterval; due {
		out = a.setView(now, n.fleetView(now))
		a.logSummaries(now)
	}
	for team, acc := range a.accounts {
		if acc.Idle() {
			continue
		}
		for _, r := range acc.Returns(now) {
			out = append(out, a.giveBack(now, team, acc, r)...)
		}
		out = append(out, a.step(now, team, acc)...)
	}
	a.mu.Unlock()
	n.sendAllowances(out)
}

// setTable applies a desired state's limits. The caller holds a.mu.
func (a *allowances) setTable(table *routes.Table) {
	a.table, a.viewed = table, time.Time{}
	clear(a.terms)
	if table == nil {
		return
	}
	for i := range table.Teams {
		if t := &table.Teams[i]; t.Rate > 0 {
			a.terms[t.Name] = a.termsOf(t)
		}
	}
}

// setView applies the view of the fleet: it begins and ends to hold teams. It returns what is to be
// sent to the nodes that hold them from now on. The caller holds a.mu.
func (a *allowances) setView(now time.Time, v fleetView) []outgoing {
	first := a.viewed.IsZero() && len(a.holderOf) == 0
	if frozen := !a.fleet.Observe(now, v.live); frozen {
		for team := range a.held {
			a.logHolder(team, false, "frozen", "", 0)
		}
		clear(a.held)
		clear(a.holderOf)
		first = true
	}
	same := slices.Equal(v.candidates, a.view.candidates)
	a.viewed, a.view = now, v
	a.part = allowance.Part{Live: v.live, Nodes: a.fleet.Size(now), Silence: v.silence}
	var out []outgoing
	for team := range a.held {
		if _, listed := a.terms[team]; !listed {
			delete(a.held, team)
			delete(a.holderOf, team)
		}
	}
	for team, terms := range a.terms {
		if before, known := a.holderOf[team]; !same || !known {
			out = append(out, a.setHolder(now, team, before, first)...)
		}
		if h := a.held[team]; h != nil {
			h.Set(now, terms, a.part)
		}
	}
	for team, acc := range a.accounts {
		if terms, listed := a.terms[team]; listed {
			acc.Set(now, terms, a.part)
		} else if acc.Idle() {
			delete(a.accounts, team)
		}
	}
	return out
}

// setHolder derives which node holds the team; before held it so far. A node that no longer holds a
// team passes its bucket on. The caller holds a.mu.
func (a *allowances) setHolder(now time.Time, team, before string, first bool) []outgoing {
	ranked := resumption.HoldersOf(team, a.view.candidates, 2)
	holder, next := "", ""
	if len(ranked) > 0 {
		holder = ranked[0]
	}
	if len(ranked) > 1 {
		next = ranked[1]
	}
	a.holderOf[team] = holder
	h := a.held[team]
	switch {
	case holder == a.self && h == nil:
		opens, reason, other := now, "no_other", ""
		if first && next != "" && a.view.older {
			// Another node may have held the team until now.
			opens, reason, other = now.Add(a.view.silence), "started", next
		} else if before != "" && before != a.self {
			reason, other = "not_reached", before
			if a.view.known[before] && slices.Contains(a.view.candidates, before) {
				opens, reason = now.Add(a.view.silence), "ranks_first"
			}
		}
		a.nextEpoch++
		a.held[team] = allowance.NewHolder(now, a.nextEpoch, a.terms[team], a.part, opens)
		a.logHolder(team, true, reason, other, opens.Sub(now))
	case holder != a.self && h != nil:
		delete(a.held, team)
		a.logHolder(team, false, "ranks_first", holder, 0)
		if holder != "" && h.Open(now) {
			return []outgoing{{holder, allowanceMessage{Handover: &handoverState{Team: team, Level: h.Level(now)}}}}
		}
	}
	return nil
}

// giveBack returns tokens to the node that granted them. The caller holds a.mu.
func (a *allowances) giveBack(now time.Time, team string, acc *account, r allowance.Return) []outgoing {
	q := acc.ReturnQuery(r)
	if r.Holder != a.self {
		return []outgoing{{r.Holder, allowanceMessage{Query: encodeQuery(team, q)}}}
	}
	if h := a.held[team]; h != nil {
		h.Grant(now, a.self, q)
	}
	return nil
}

// record counts a decision for the metrics and the log.
func (a *allowances) record(began time.Time, team string, tokens int64, d allowance.Decision) {
	result := "granted"
	if !d.Admitted {
		result = "rejected"
	}
	a.metrics.AllowanceTokens(team, result, string(d.Source), tokens)
	if d.Source == allowance.FromBudget {
		a.metrics.AllowanceFallback(team, result)
	}
	if d.Admitted && d.Source != allowance.FromBudget {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if acc := a.accounts[team]; acc != nil {
		acc.summary.add(tokens, d, bootclock.Now().Sub(began))
	}
}

// teamNames returns the teams with accounts, sorted. The caller holds a.mu.
func (a *allowances) teamNames() []string { return slices.Sorted(maps.Keys(a.accounts)) }
