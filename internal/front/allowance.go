package front

import (
	"context"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/redwingnotch/redwingnotch/allowance"
	"github.com/redwingnotch/redwingnotch/internal/bootclock"
	"github.com/redwingnotch/redwingnotch/internal/telemetry"
	"github.com/redwingnotch/redwingnotch/platform"
	"github.com/redwingnotch/redwingnotch/routes"
)

// reasonOverAllowance is the reason for rejecting a request whose team has used its allowance.
const reasonOverAllowance = "over_allowance"

// allowances carries out what an allowance.Node decides. It has its own lock, as grants are not to
// wait for n.mu.
type allowances struct {
	log     log.Logger
	metrics *telemetry.Metrics
	bounds  platform.Bounds

	mu        sync.Mutex // guards the fields below
	node      *allowance.Node
	table     *routes.Table        // the desired state of which the node has the teams
	viewed    time.Time            // when the view of the fleet was derived
	known     map[string]bool      // IPs of other nodes that are alive
	heard     map[string]time.Time // when the latest datagram about allowances came from one of them
	contacted time.Time            // when holders were last told that this node is alive
	waiting   map[uint64]chan allowance.Decision
	nextKey   uint64 // key of the latest request in waiting
	summaries map[string]*allowanceSummary
}

// heardAfterRevocation is the time in addition to the revocation timeout for which a node that was
// heard of counts when an allowance is divided. A node that is cut off from all others and the
// store rejects requests after the revocation timeout.
const heardAfterRevocation = 2 * time.Second

// newAllowances returns the allowances of a node without teams. firstKey is higher than all keys
// of an earlier process.
func newAllowances(now time.Time, s platform.Settings, firstKey uint64, logger log.Logger, metrics *telemetry.Metrics) *allowances {
	return &allowances{
		log: logger, metrics: metrics, bounds: s.Bounds,
		node: allowance.NewNode(now, allowance.Config{
			Self: s.IP, FirstKey: firstKey, Span: s.Bounds.RevocationTimeout + heardAfterRevocation, OthersExpected: hasOtherSeeds(s),
		}),
		heard:     map[string]time.Time{},
		waiting:   map[uint64]chan allowance.Decision{},
		summaries: map[string]*allowanceSummary{},
	}
}

// termsOf returns the team's limits.
func (a *allowances) termsOf(t *routes.Team) allowance.Terms {
	return allowance.Terms{Rate: t.Rate, Burst: t.Burst, Window: a.bounds.QuotaWindow, Overage: a.bounds.QuotaOverage, Slack: a.bounds.QuotaSlack}
}

// teamCharge is what a request has taken out of the allowance of a team, no tokens if the team has none.
// It names the team, because each check of the request's key sets the request's team anew.
type teamCharge struct {
	team string
	allowance.Charge
}

// takeAllowance takes the request's tokens out of its team's allowance. If there are not enough, it
// responds and returns false.
func (x *exchange) takeAllowance() bool {
	if x.team == nil || x.team.Rate <= 0 {
		x.charge = teamCharge{team: x.teamName()}
		return true
	}
	ctx, cancel := context.WithTimeout(x.r.Context(), x.deadline.Sub(bootclock.Now()))
	defer cancel()
	tokens := allowance.Cost(x.params.PromptTokens, x.params.OutputTokens, x.team.PlainTokens)
	d, err := x.node.takeTokens(ctx, x.team, tokens)
	switch {
	case err != nil:
		x.waitEnded()
		return false
	case !d.Admitted:
		x.refuseOverAllowance(d.RetryAfter)
		return false
	}
	x.charge = teamCharge{x.team.Name, d.Charge}
	return true
}

// refuseOverAllowance responds that the request has not run and will not run, and when the team's
// allowance has room for it.
func (x *exchange) refuseOverAllowance(retryAfter time.Duration) {
	x.outcome, x.reason = "refused", reasonOverAllowance
	x.w.Header().Set("Retry-After", platform.RetryAfter(retryAfter))
	x.writeEmpty(http.StatusTooManyRequests)
}

// returnAllowance gives the tokens of a request back that no server has run.
func (x *exchange) returnAllowance() {
	if x.charge.Tokens == 0 || x.runs > 0 {
		return
	}
	a := x.node.allowances
	a.mu.Lock()
	defer a.mu.Unlock()
	a.node.GiveBack(bootclock.Now(), x.charge.team, x.charge.Charge)
	a.metrics.AllowanceTokens(x.charge.team, "returned", "", x.charge.Tokens)
	x.charge = teamCharge{}
}

// takeTokens takes the tokens out of the team's allowance and waits for the holder if need be. It
// returns an error if ctx ends first.
func (n *Node) takeTokens(ctx context.Context, team *routes.Team, tokens int64) (allowance.Decision, error) {
	a, now := n.allowances, bootclock.Now()
	a.mu.Lock()
	a.nextKey++
	key := a.nextKey
	decided := make(chan allowance.Decision, 1)
	a.waiting[key] = decided
	d, done, out := a.node.Take(now, team.Name, a.termsOf(team), key, tokens)
	if done {
		delete(a.waiting, key)
		a.record(team.Name, tokens, d, 0)
	}
	a.apply(out)
	a.mu.Unlock()
	n.sendAllowances(out.Send)
	if done {
		return d, nil
	}
	timer := time.NewTicker(allowance.RepeatAfter)
	defer timer.Stop()
	for {
		select {
		case d := <-decided:
			a.mu.Lock()
			a.record(team.Name, tokens, d, bootclock.Now().Sub(now))
			a.mu.Unlock()
			return d, nil
		case <-timer.C:
			a.mu.Lock()
			out := a.node.Step(bootclock.Now(), team.Name)
			a.apply(out)
			a.mu.Unlock()
			n.sendAllowances(out.Send)
		case <-ctx.Done():
			a.cancel(team.Name, key, decided)
			return allowance.Decision{}, context.Cause(ctx)
		}
	}
}

// cancel ends a request that waits, and gives back what it was granted just before.
func (a *allowances) cancel(team string, key uint64, decided <-chan allowance.Decision) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.node.Cancel(team, key)
	delete(a.waiting, key)
	select {
	case d := <-decided:
		a.node.GiveBack(bootclock.Now(), team, d.Charge)
	default:
	}
}

// apply hands requests their decisions and logs changes. The messages are the caller's to send,
// without the lock. The caller holds a.mu.
func (a *allowances) apply(out allowance.Output) {
	for _, d := range out.Decided {
		if decided := a.waiting[d.Key]; decided != nil {
			decided <- d // buffered
			delete(a.waiting, d.Key)
		}
	}
	for _, c := range out.Changes {
		part := a.node.Part()
		level.Info(a.log).Log("event", "allowance_holder", "team", c.Team, "holding", c.Holding, "reason", c.Reason, "other", c.Other,
			"opens_ms", c.Opens.Milliseconds(), "live", part.Live, "nodes", part.Nodes)
	}
}

// tickAllowances carries the allowances on with time. The caller holds n.mu.
func (n *Node) tickAllowances(now time.Time) {
	a, table := n.allowances, n.desired.Load()
	a.mu.Lock()
	if table != a.table {
		a.setTable(table)
	}
	var out allowance.Output
	if a.node.Active() {
		if now.Sub(a.viewed) >= viewInterval {
			a.viewed = now
			view, known := n.fleetView(now)
			a.known = known
			maps.DeleteFunc(a.heard, func(ip string, _ time.Time) bool { return !known[ip] })
			out = a.node.SetView(now, view)
			a.apply(out)
			a.logSummaries(now)
		}
		ticked := a.node.Tick(now)
		a.apply(ticked)
		out.Send = append(append(out.Send, ticked.Send...), n.contactHolders(now)...)
	}
	a.mu.Unlock()
	n.sendAllowances(out.Send)
}

// setTable applies a desired state's limits. The caller holds a.mu.
func (a *allowances) setTable(table *routes.Table) {
	a.table, a.viewed = table, time.Time{}
	teams := map[string]allowance.Terms{}
	if table != nil {
		for i := range table.Teams {
			if t := &table.Teams[i]; t.Rate > 0 {
				teams[t.Name] = a.termsOf(t)
			}
		}
	}
	a.node.SetTeams(teams)
}
