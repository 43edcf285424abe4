package dev

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/internal/node"
)

// ErrGuaranteeViolated is returned by RunScenario if a guarantee was violated.
var ErrGuaranteeViolated = errors.New("guarantees violated")

// Sizes and times of the scenario.
const (
	burstCallers      = 32
	floodCallers      = 120
	floodDuration     = 6 * time.Second
	partsOrderSends   = 8                      // sends of the same parts order
	maxRetryDelay     = 500 * time.Millisecond // longest delay between two requests of a flood caller
	finalTrafficTime  = 2 * time.Second        // steady traffic after the controller crash
	maxReleaseTime    = 5 * time.Second        // time limit until all nodes serve the second release, cold start included
	takeoverCallers   = 8                      // callers right after the controller crash
	drainTimeout      = 10 * time.Second       // longest time from marking a VM as leaving to reclaiming it
	drainPollInterval = 50 * time.Millisecond
)

// trafficFlow is a request that is sent at a fixed interval during the whole
// scenario.
type trafficFlow struct {
	request  Request
	interval time.Duration
}

// steadyTraffic has one flow of each rank.
var steadyTraffic = []trafficFlow{
	{Request{Target: fleet.Target{Model: ModelLathe}, Rank: fleet.RankUrgent, MaxTokens: 24, Deadline: 15 * time.Second}, 250 * time.Millisecond},
	{Request{Target: fleet.Target{Model: ModelDeck}, Rank: fleet.RankStandard, MaxTokens: 16, Deadline: 20 * time.Second}, 250 * time.Millisecond},
	{Request{Target: fleet.Target{Model: ModelRulebook}, Rank: fleet.RankBulk, MaxTokens: 64, Deadline: 30 * time.Second}, 500 * time.Millisecond},
}

// scenarioRun is one run of the scripted scenario.
type scenarioRun struct {
	deployment *Deployment
	out        io.Writer
	stats      *Stats
	requests   sync.WaitGroup // requests of the steady traffic in progress
	startedAt  time.Time

	mu             sync.Mutex
	callers        []*Caller // all callers created, to be closed at the end
	guarantees     []Guarantee
	sequence       int      // number of the last request sent
	partsOrderKeys []string // idempotency keys of the parts orders sent
}

// RunScenario runs the scripted scenario on a deployment with the first release in
// force, and stops its nodes. It writes the statistics and the checked guarantees to
// out, and returns an error that wraps ErrGuaranteeViolated if a guarantee was
// violated.
func RunScenario(ctx context.Context, deployment *Deployment, out io.Writer) error {
	r := &scenarioRun{deployment: deployment, out: out, stats: NewStats(), startedAt: time.Now()}
	if err := deployment.WaitReady(ctx); err != nil {
		return err
	}
	r.logf("%d entry nodes are ready, %s is the active controller", len(deployment.Nodes()), deployment.Controller().ID())
	trafficCtx, endTraffic := context.WithCancel(ctx)
	var flows sync.WaitGroup
	for _, t := range steadyTraffic {
		flows.Go(func() { r.sendSteadily(trafficCtx, t) })
	}
	for _, step := range []func(context.Context) error{
		r.burstOnIdleModel,
		r.applyRelease,
		r.requestIdleAdapters,
		r.sendPartsOrders,
		r.floodBulk,
		r.drainBackendServer,
		r.stopEntryNode,
		r.crashController,
	} {
		if err := step(ctx); err != nil {
			endTraffic()
			return err
		}
	}
	endTraffic()
	flows.Wait()
	r.requests.Wait()
	r.closeCallers()
	r.addErrorCheck("a graceful stop of all entry nodes at once interrupts no request", deployment.StopNodes(), "all entry nodes")
	return r.report()
}

// report writes the statistics and the results of all checks.
func (r *scenarioRun) report() error {
	duplicates := 0
	for _, key := range r.partsOrderKeys {
		duplicates += max(0, r.deployment.serviceRuns(key)-1)
	}
	r.addGuarantee(Guarantee{Name: "no parts order runs twice", Held: duplicates == 0, Detail: fmt.Sprintf("%d keys, %d duplicates", len(r.partsOrderKeys), duplicates)})
	fmt.Fprintln(r.out)
	r.stats.print(r.out, r.deployment, duplicates)
	fmt.Fprintln(r.out)
	guarantees := append(r.guarantees, r.stats.callerGuarantees()...)
	guarantees = append(guarantees, r.deployment.standInGuarantees(FirstRelease(), SecondRelease())...)
	violated := printGuarantees(r.out, guarantees)
	fmt.Fprintf(r.out, "\n%d guarantees checked, %d violated, %s\n", len(guarantees), violated, time.Since(r.startedAt).Round(time.Second))
	if violated > 0 {
		return fmt.Errorf("%w: %d", ErrGuaranteeViolated, violated)
	}
	return nil
}

// logf writes a line with the time since the scenario started.
func (r *scenarioRun) logf(format string, args ...any) {
	fmt.Fprintf(r.out, "%6.1f s  %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// addGuarantee adds the result of a check to the report.
func (r *scenarioRun) addGuarantee(g Guarantee) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.guarantees = append(r.guarantees, g)
}

// addErrorCheck adds a guarantee that holds if err is nil.
func (r *scenarioRun) addErrorCheck(name string, err error, detail string) {
	if err != nil {
		detail += ": " + err.Error()
	}
	r.addGuarantee(Guarantee{Name: name, Held: err == nil, Detail: detail})
}

// newCaller returns a caller that fetches its list of entry nodes from the i-th
// running entry node, or from the next ones if that fails.
func (r *scenarioRun) newCaller(name string, i int) *Caller {
	c := NewCaller(name, func() []string {
		addresses := r.addresses()
		first := i % max(1, len(addresses))
		return append(addresses[first:], addresses[:first]...)
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.callers = append(r.callers, c)
	return c
}

func (r *scenarioRun) closeCallers() {
	for _, c := range r.callers {
		c.Close()
	}
}

// addresses returns the addresses at which the running entry nodes serve
// callers.
func (r *scenarioRun) addresses() []string {
	var addresses []string
	for _, n := range r.deployment.Nodes() {
		addresses = append(addresses, n.CallerAddress())
	}
	return addresses
}

// send sends one request with content that no other request has, and counts the
// reply.
func (r *scenarioRun) send(ctx context.Context, c *Caller, request Request) Reply {
	r.mu.Lock()
	r.sequence++
	request.Content = fmt.Sprintf("request %d about the collar", r.sequence)
	r.mu.Unlock()
	cold := r.deployment.FleetStats.Replicas(request.Target.Model) == 0
	reply := c.Chat(ctx, request)
	r.stats.Add(reply, cold)
	return reply
}

// sendSteadily sends requests at a fixed interval until the context ends. It
// doesn't wait for responses, and requests in progress outlive the context.
func (r *scenarioRun) sendSteadily(ctx context.Context, t trafficFlow) {
	var callers []*Caller
	for i := range len(r.deployment.Nodes()) {
		callers = append(callers, r.newCaller(fmt.Sprintf("%s-%d", t.request.Rank, i), i))
	}
	ticker := time.NewTicker(t.interval)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		c := callers[i%len(callers)]
		r.requests.Go(func() { r.send(context.WithoutCancel(ctx), c, t.request) })
	}
}

// sendConcurrently sends n requests concurrently, each as another caller, and
// returns how many were answered.
func (r *scenarioRun) sendConcurrently(ctx context.Context, name string, n int, request Request) int {
	var wg sync.WaitGroup
	var mu sync.Mutex
	answered := 0
	for i := range n {
		c := r.newCaller(fmt.Sprintf("%s-%d", name, i), i)
		wg.Go(func() {
			reply := r.send(ctx, c, request)
			mu.Lock()
			defer mu.Unlock()
			if reply.Result == Answered {
				answered++
			}
		})
	}
	wg.Wait()
	return answered
}

// burstOnIdleModel sends a burst of requests for an idle model through all entry
// nodes.
func (r *scenarioRun) burstOnIdleModel(ctx context.Context) error {
	request := Request{Target: fleet.Target{Model: ModelSpindle}, Rank: fleet.RankUrgent, MaxTokens: 16, Deadline: 15 * time.Second}
	answered := r.sendConcurrently(ctx, "burst", burstCallers, request)
	loads := r.deployment.FleetStats.Loads(ModelSpindle)
	r.logf("a burst of %d requests for idle model %s: %d answered, %d loads", burstCallers, ModelSpindle, answered, loads)
	r.addGuarantee(Guarantee{
		Name:   "a burst on an idle model causes one load and all requests are answered",
		Held:   loads == 1 && answered == burstCallers,
		Detail: fmt.Sprintf("%d loads, %d of %d answered", loads, answered, burstCallers),
	})
	return nil
}

// applyRelease puts the second release in force. It requests the added model and
// the withdrawn model through each node.
func (r *scenarioRun) applyRelease(ctx context.Context) error {
	start := time.Now()
	if err := r.deployment.Apply(ctx, SecondRelease()); err != nil {
		return err
	}
	added := Request{Target: fleet.Target{Model: ModelCollar}, Rank: fleet.RankStandard, MaxTokens: 8, Deadline: 20 * time.Second}
	withdrawn := Request{Target: fleet.Target{Model: ModelOld}, Rank: fleet.RankStandard, MaxTokens: 8, Deadline: 20 * time.Second}
	n := len(r.deployment.Nodes())
	answered := r.sendConcurrently(ctx, "added", n, added)
	refused := 0
	for i, address := range r.addresses() {
		c := r.newCaller(fmt.Sprintf("withdrawn-%d", i), i)
		reply := Reply{Request: withdrawn}
		if err := c.attempt(ctx, address, time.Now(), &reply); err == nil && reply.Result == Refused && reply.Code == "withdrawn" {
			refused++
		}
	}
	elapsed := time.Since(start).Round(time.Millisecond)
	r.logf("release 2 applied: requests for %s answered through %d of %d nodes, for %s refused by %d, after %s", ModelCollar, answered, n, ModelOld, refused, elapsed)
	r.addGuarantee(Guarantee{
		Name:   "a release is in force at all nodes within seconds of its publication",
		Held:   answered == n && refused == n && elapsed <= maxReleaseTime,
		Detail: fmt.Sprintf("%s including cold start; added model answered by %d, withdrawn model refused by %d of %d nodes", elapsed, answered, refused, n),
	})
	return nil
}

// requestIdleAdapters requests each adapter of the second release once, concurrently
// and through different entry nodes.
func (r *scenarioRun) requestIdleAdapters(ctx context.Context) error {
	adapters := SecondRelease().Adapters
	var wg sync.WaitGroup
	var answered atomic.Int32
	for i, a := range adapters {
		c := r.newCaller(fmt.Sprintf("adapter-%d", i), i)
		request := Request{
			Target:    fleet.Target{Model: a.Model, Adapter: a.ID},
			Rank:      fleet.RankStandard,
			MaxTokens: 8,
			Deadline:  20 * time.Second,
		}
		wg.Go(func() {
			if r.send(ctx, c, request).Result == Answered {
				answered.Add(1)
			}
		})
	}
	wg.Wait()
	loads := r.deployment.Weights.Counts()
	r.logf("concurrent requests for %d idle adapters: %d answered, %d loads, at most %d at once", len(adapters), answered.Load(), loads.Adapters, loads.MaxAdapters)
	r.addGuarantee(Guarantee{
		Name:   "requests for idle adapters are answered",
		Held:   int(answered.Load()) == len(adapters),
		Detail: fmt.Sprintf("%d of %d answered, %d loads", answered.Load(), len(adapters), loads.Adapters),
	})
	return nil
}

// sendPartsOrders sends one parts order several times through two nodes, then
// another one whose response the service drops after it has run.
func (r *scenarioRun) sendPartsOrders(ctx context.Context) error {
	const key = "spindle-order-1"
	outcomes := r.repeatPartsOrder(ctx, key, partsOrderSends)
	runs := r.deployment.serviceRuns(key)
	r.logf("one parts order sent %d times through two nodes: ran %d times, outcomes %v", partsOrderSends, runs, outcomes)
	r.addGuarantee(Guarantee{
		Name:   "a parts order sent through two nodes runs exactly once",
		Held:   runs == 1 && outcomes["ran"] == partsOrderSends,
		Detail: fmt.Sprintf("%d runs, outcomes %v", runs, outcomes),
	})
	for _, s := range r.deployment.Services {
		s.Faults.DropResponses(1)
	}
	const droppedKey = "spindle-order-2"
	outcomes = r.repeatPartsOrder(ctx, droppedKey, 2)
	runs = r.deployment.serviceRuns(droppedKey)
	for _, s := range r.deployment.Services {
		s.Faults.DropResponses(0)
	}
	r.logf("parts order whose response is lost: ran %d times, outcomes %v", runs, outcomes)
	r.addGuarantee(Guarantee{
		Name:   "a parts order whose response is lost is never reported as not run",
		Held:   runs == 1 && outcomes["not_run"] == 0 && outcomes["unknown"] > 0,
		Detail: fmt.Sprintf("%d runs, outcomes %v", runs, outcomes),
	})
	return nil
}

// repeatPartsOrder sends a parts order n times concurrently with the same idempotency
// key, alternately through two nodes, and returns the count of each outcome.
func (r *scenarioRun) repeatPartsOrder(ctx context.Context, key string, n int) map[string]int {
	r.partsOrderKeys = append(r.partsOrderKeys, key)
	addresses := r.addresses()
	c := r.newCaller("workshop", 0)
	outcomes := map[string]int{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			reply, err := c.Order(ctx, addresses[i%2], key, "one spindle")
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				reply.Outcome = "error: " + err.Error()
			}
			outcomes[reply.Outcome]++
		})
	}
	wg.Wait()
	return outcomes
}

// floodBulk sends bulk requests from many callers at once for floodDuration, to
// the model that the steady urgent traffic uses.
func (r *scenarioRun) floodBulk(ctx context.Context) error {
	urgentBefore := r.stats.Rank(fleet.RankUrgent)
	standardBefore := r.stats.Rank(fleet.RankStandard)
	bulkBefore := r.stats.Rank(fleet.RankBulk)
	ctx, cancel := context.WithTimeout(ctx, floodDuration)
	defer cancel()
	request := Request{Target: fleet.Target{Model: ModelLathe}, Rank: fleet.RankBulk, MaxTokens: 96, Deadline: 5 * time.Second}
	var wg sync.WaitGroup
	for i := range floodCallers {
		c := r.newCaller(fmt.Sprintf("flood-%d", i), i)
		wg.Go(func() {
			for ctx.Err() == nil {
				reply := r.send(context.WithoutCancel(ctx), c, request)
				time.Sleep(min(reply.RetryAfter, maxRetryDelay))
			}
		})
	}
	wg.Wait()
	urgentAfter := r.stats.Rank(fleet.RankUrgent)
	standardAfter := r.stats.Rank(fleet.RankStandard)
	bulkAfter := r.stats.Rank(fleet.RankBulk)
	missed := urgentAfter.Late + urgentAfter.Refused + urgentAfter.Expired + urgentAfter.Failed - urgentBefore.Late - urgentBefore.Refused - urgentBefore.Expired - urgentBefore.Failed
	r.logf("flood of bulk requests for the model of the urgent traffic: urgent %d answered within %s, %d not; standard %d within %s; bulk %d answered, %d refused",
		urgentAfter.WithinTarget-urgentBefore.WithinTarget, FirstTokenTargets[fleet.RankUrgent], missed,
		standardAfter.WithinTarget-standardBefore.WithinTarget, FirstTokenTargets[fleet.RankStandard],
		bulkAfter.WithinTarget+bulkAfter.Late-bulkBefore.WithinTarget-bulkBefore.Late, bulkAfter.Refused-bulkBefore.Refused)
	r.addGuarantee(Guarantee{
		Name:   "urgent requests are answered within target during a bulk flood",
		Held:   missed == 0 && urgentAfter.WithinTarget > urgentBefore.WithinTarget,
		Detail: fmt.Sprintf("%d within target, %d not", urgentAfter.WithinTarget-urgentBefore.WithinTarget, missed),
	})
	r.addGuarantee(Guarantee{
		Name:   "some bulk requests are answered within target during a bulk flood",
		Held:   bulkAfter.WithinTarget > bulkBefore.WithinTarget,
		Detail: fmt.Sprintf("%d answered within target", bulkAfter.WithinTarget-bulkBefore.WithinTarget),
	})
	return nil
}

// drainBackendServer has the platform mark the VM of the busiest engine as leaving,
// waits until the engine has no requests running, and reclaims the VM.
func (r *scenarioRun) drainBackendServer(ctx context.Context) error {
	e := r.deployment.Engines[0]
	for _, other := range r.deployment.Engines {
		if other.Running() > e.Running() {
			e = other
		}
	}
	e.MarkLeaving()
	r.deployment.SetVMState(e.ID(), fleet.VMLeaving)
	start := time.Now()
	time.Sleep(leavingGrace)
	for e.Running() > 0 && time.Since(start) < drainTimeout {
		time.Sleep(drainPollInterval)
	}
	running := e.Running()
	e.Reclaim()
	r.deployment.SetVMState(e.ID(), fleet.VMRemoved)
	r.logf("planned stop of backend server %s: idle after %s, %d requests interrupted", e.ID(), time.Since(start).Round(time.Millisecond), running)
	return ctx.Err()
}

// stopEntryNode gracefully stops an entry node other than the active controller.
func (r *scenarioRun) stopEntryNode(context.Context) error {
	controller := r.deployment.Controller()
	for _, n := range r.deployment.Nodes() {
		if n == controller {
			continue
		}
		start := time.Now()
		r.deployment.RemoveNode(n)
		err := n.Stop()
		r.logf("planned stop of entry node %s took %s", n.ID(), time.Since(start).Round(time.Millisecond))
		r.addErrorCheck("a planned stop of an entry node interrupts no request", err, string(n.ID()))
		return nil
	}
	return fmt.Errorf("%w: no entry node to stop", node.ErrRequestsInterrupted)
}

// crashController kills the node that is the active controller, and at once
// requests an idle model through the other nodes.
func (r *scenarioRun) crashController(ctx context.Context) error {
	controller := r.deployment.Controller()
	if controller == nil {
		return ErrNotReady
	}
	r.deployment.RemoveNode(controller)
	start := time.Now()
	controller.Kill()
	controller.cancel()
	request := Request{Target: fleet.Target{Model: ModelNight}, Rank: fleet.RankUrgent, MaxTokens: 8, Deadline: 20 * time.Second}
	answered := r.sendConcurrently(ctx, "takeover", takeoverCallers, request)
	if err := r.deployment.WaitReady(ctx); err != nil {
		return err
	}
	r.logf("controller %s crashed: %d of %d urgent requests answered, successor active after at most %s",
		controller.ID(), answered, takeoverCallers, time.Since(start).Round(time.Millisecond))
	r.addGuarantee(Guarantee{
		Name:   "after a controller crash an idle model is loaded once and all requests for it are answered",
		Held:   answered == takeoverCallers && r.deployment.FleetStats.Loads(ModelNight) == 1,
		Detail: fmt.Sprintf("%d of %d answered, %d loads", answered, takeoverCallers, r.deployment.FleetStats.Loads(ModelNight)),
	})
	time.Sleep(finalTrafficTime)
	return nil
}
