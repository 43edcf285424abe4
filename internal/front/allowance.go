package front

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/redwingnotch/redwingnotch/allowance"
	"github.com/redwingnotch/redwingnotch/internal/bootclock"
	"github.com/redwingnotch/redwingnotch/internal/telemetry"
	"github.com/redwingnotch/redwingnotch/platform"
	"github.com/redwingnotch/redwingnotch/resumption"
	"github.com/redwingnotch/redwingnotch/routes"
)

// reasonOverAllowance is the reason for rejecting a request whose team has used its allowance.
const reasonOverAllowance = "over_allowance"

// redirectFor is the time for which a team's holder is taken from another node's answer. By then
// this node knows the nodes as the other one did.
const redirectFor = time.Second

// allowances are the teams' allowances at this node: the buckets of the teams that it holds, and its
// accounts with the holders. It has its own lock, as grants are not to wait for n.mu.
type allowances struct {
	self     string // IP of this node
	log      log.Logger
	metrics  *telemetry.Metrics
	bounds   platform.Bounds
	firstKey uint64

	mu        sync.Mutex // guards the fields below
	fleet     *allowance.Fleet
	table     *routes.Table // the desired state of which terms are
	viewed    time.Time     // when view was derived
	view      fleetView
	part      allowance.Part
	terms     map[string]allowance.Terms // by team; only of teams with an allowance
	holderOf  map[string]string          // IP of the node that holds the team, by team
	held      map[string]*allowance.Holder
	accounts  map[string]*account
	waiting   map[uint64]chan allowance.Decision // requests that wait for a grant, by key
	nextKey   uint64                             // key of the latest such request
	nextEpoch uint64
}

// account is an allowance.Account with what the log and the choice of the holder need.
type account struct {
	*allowance.Account
	redirect   string // node that another one named as the holder; empty if none has
	redirected time.Time
	summary    allowanceSummary
}

// newAllowances returns the allowances of a node without teams. firstKey and epochs are higher than
// those of an earlier process.
func newAllowances(now time.Time, s platform.Settings, firstKey uint64, logger log.Logger, metrics *telemetry.Metrics) *allowances {
	return &allowances{
		self: s.IP, log: logger, metrics: metrics, bounds: s.Bounds, firstKey: firstKey, nextEpoch: firstKey,
		fleet:    allowance.NewFleet(now, s.Bounds.RevocationTimeout+heardAfterRevocation, hasOtherSeeds(s)),
		part:     allowance.Part{Live: 1, Nodes: allowance.UnknownSize, Silence: minReachedTimeout},
		terms:    map[string]allowance.Terms{},
		holderOf: map[string]string{},
		held:     map[string]*allowance.Holder{},
		accounts: map[string]*account{},
		waiting:  map[uint64]chan allowance.Decision{},
	}
}

// heardAfterRevocation is the time in addition to the revocation timeout for which a node that was
// heard of counts when an allowance is divided. A node that is cut off from all others rejects
// requests after the revocation timeout.
const heardAfterRevocation = 2 * time.Second

// termsOf returns the team's limits.
func (a *allowances) termsOf(t *routes.Team) allowance.Terms {
	return allowance.Terms{Rate: t.Rate, Burst: t.Burst, Window: a.bounds.QuotaWindow, Overage: a.bounds.QuotaOverage, Slack: a.bounds.QuotaSlack}
}

// takeAllowance takes the request's tokens out of its team's allowance. If there are not enough, it
// responds and returns false.
func (x *exchange) takeAllowance() bool {
	if x.team == nil || x.team.Rate <= 0 {
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
	x.charge = d.Charge
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
	if acc := a.accounts[x.team.Name]; acc != nil {
		acc.GiveBack(bootclock.Now(), x.charge)
	}
	a.metrics.AllowanceTokens(x.team.Name, "returned", "", x.charge.Tokens)
}

// takeTokens takes the tokens out of the team's allowance and waits for the holder if need be. It
// returns an error if ctx ends first.
func (n *Node) takeTokens(ctx context.Context, team *routes.Team, tokens int64) (allowance.Decision, error) {
	a, now := n.allowances, bootclock.Now()
	a.mu.Lock()
	acc := a.account(now, team)
	a.nextKey++
	key := a.nextKey
	d, done := acc.Take(now, key, tokens)
	decided := make(chan allowance.Decision, 1)
	if !done {
		a.waiting[key] = decided
	}
	out := a.step(now, team.Name, acc)
	a.mu.Unlock()
	n.sendAllowances(out)
	if done {
		a.record(now, team.Name, tokens, d)
		return d, nil
	}
	timer := time.NewTicker(allowance.RepeatAfter)
	defer timer.Stop()
	for {
		select {
		case d := <-decided:
			a.record(now, team.Name, tokens, d)
			return d, nil
		case <-timer.C:
			a.mu.Lock()
			out := a.step(bootclock.Now(), team.Name, acc)
			a.mu.Unlock()
			n.sendAllowances(out)
		case <-ctx.Done():
			a.cancel(acc, key, decided)
			return allowance.Decision{}, context.Cause(ctx)
		}
	}
}

// cancel ends a request that waits, and gives back what it was granted just before.
func (a *allowances) cancel(acc *account, key uint64, decided <-chan allowance.Decision) {
	a.mu.Lock()
	defer a.mu.Unlock()
	acc.Cancel(key)
	delete(a.waiting, key)
	select {
	case d := <-decided:
		acc.GiveBack(bootclock.Now(), d.Charge)
	default:
	}
}

// account returns the node's account of the team. The caller holds a.mu.
func (a *allowances) account(now time.Time, team *routes.Team) *account {
	acc := a.accounts[team.Name]
	if acc == nil {
		terms, listed := a.terms[team.Name]
		if !listed {
			terms = a.termsOf(team)
		}
		acc = &account{Account: allowance.NewAccount(now, a.firstKey, terms, a.part)}
		a.accounts[team.Name] = acc
	}
	return acc
}

// step carries the team's queries on: it gives up those that are not answered, answers those to
// this node itself, and returns those to send. The caller holds a.mu.
func (a *allowances) step(now time.Time, team string, acc *account) []outgoing {
	for {
		holder := a.holder(now, team, acc)
		if holder == "" && !acc.Idle() || acc.Overdue(now) {
			a.decide(acc.GiveUp(now))
		}
		q, to, due := acc.Ask(now, holder)
		if !due {
			return nil
		}
		if to != a.self {
			return []outgoing{{to, allowanceMessage{Query: encodeQuery(team, q)}}}
		}
		g, redirect := a.answer(now, team, a.self, q)
		if redirect == nil {
			a.decide(acc.Receive(now, a.self, g))
			continue
		}
		a.redirect(now, acc, a.self, redirect.Key, redirect.Holder)
	}
}

// holder returns the IP of the node to ask for the team's tokens. The caller holds a.mu.
func (a *allowances) holder(now time.Time, team string, acc *account) string {
	if acc.redirect != "" && now.Sub(acc.redirected) < redirectFor {
		return acc.redirect
	}
	return a.holderOf[team]
}

// redirect records that the node named another holder. The caller holds a.mu.
func (a *allowances) redirect(now time.Time, acc *account, from string, key uint64, holder string) {
	if acc.Redirect(from, key) && holder != "" {
		acc.redirect, acc.redirected = holder, now
	}
}

// decide hands requests that wait their decisions. The caller holds a.mu.
func (a *allowances) decide(decisions []allowance.Decision) {
	for _, d := range decisions {
		if decided := a.waiting[d.Key]; decided != nil {
			decided <- d // buffered
			delete(a.waiting, d.Key)
		}
	}
}

// answer answers a query for the team's tokens: with a grant, or with the node that holds the team
// if this one does not. The caller holds a.mu.
func (a *allowances) answer(now time.Time, team, from string, q allowance.Query) (allowance.Grant, *redirectState) {
	if h := a.held[team]; h != nil && h.Open(now) {
		if g, valid := h.Grant(now, from, q); valid {
			return g, nil
		}
		return allowance.Grant{}, &redirectState{Key: q.Key, Team: team}
	}
	holder := a.holderOf[team]
	if holder == a.self {
		// This node takes over from the one that ranks next.
		holder = ""
		if next := resumption.HoldersOf(team, a.view.candidates, 2); len(next) > 1 {
			holder = next[1]
		}
	}
	if holder == from {
		holder = ""
	}
	return allowance.Grant{}, &redirectState{Key: q.Key, Team: team, Holder: holder}
}

// logHolder logs that this node begins or ends to hold a team.
func (a *allowances) logHolder(team string, holding bool, reason, other string, wait time.Duration) {
	level.Info(a.log).Log("event", "allowance_holder", "team", team, "holding", holding, "reason", reason, "other", other,
		"opens_ms", wait.Milliseconds(), "live", a.part.Live, "nodes", a.part.Nodes)
}
