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

// ErrBroken is returned by RunDay if a promise did not hold.
var ErrBroken = errors.New("promises broken")

// Sizes of the day.
const (
	burstCallers   = 32
	floodCallers   = 120
	floodTime      = 6 * time.Second
	orderSends     = 8
	maxRetryPause  = 500 * time.Millisecond // callers of a flood wait no longer than this
	quietTime      = 2 * time.Second
	inForceLimit   = 5 * time.Second
	takeoverAskers = 8
	drainTimeout   = 10 * time.Second
	drainPoll      = 50 * time.Millisecond
)

// traffic is a steady flow of requests of one rank during the whole day.
type traffic struct {
	ask      Ask
	interval time.Duration
}

var steadyTraffic = []traffic{
	{Ask{Target: fleet.Target{Model: ModelLathe}, Rank: fleet.RankUrgent, MaxTokens: 24, Deadline: 15 * time.Second}, 250 * time.Millisecond},
	{Ask{Target: fleet.Target{Model: ModelDeck}, Rank: fleet.RankStandard, MaxTokens: 16, Deadline: 20 * time.Second}, 250 * time.Millisecond},
	{Ask{Target: fleet.Target{Model: ModelRulebook}, Rank: fleet.RankBulk, MaxTokens: 64, Deadline: 30 * time.Second}, 500 * time.Millisecond},
}

// day is one run of the scripted day.
type day struct {
	d        *Deployment
	out      io.Writer
	measures *Measures
	requests sync.WaitGroup
	began    time.Time

	mu       sync.Mutex
	callers  []*Caller
	promises []Promise
	sequence int
	keys     []string
}

// RunDay runs the scripted day on a deployment with the first release in force,
// and stops its nodes. It writes the measures and promises, and returns an
// error that wraps ErrBroken if one did not hold.
func RunDay(ctx context.Context, d *Deployment, out io.Writer) error {
	y := &day{d: d, out: out, measures: NewMeasures(), began: time.Now()}
	if err := d.WaitReady(ctx); err != nil {
		return err
	}
	y.say("%d entry nodes are ready, %s controls the cell", len(d.Nodes()), d.Controller().ID())
	trafficCtx, endTraffic := context.WithCancel(ctx)
	var flows sync.WaitGroup
	for _, t := range steadyTraffic {
		flows.Go(func() { y.flow(trafficCtx, t) })
	}
	for _, step := range []func(context.Context) error{
		y.wakeByBurst,
		y.applyRelease,
		y.wakeAdapters,
		y.orderParts,
		y.flood,
		y.stopBackend,
		y.stopEntryNode,
		y.crashController,
	} {
		if err := step(ctx); err != nil {
			endTraffic()
			return err
		}
	}
	endTraffic()
	flows.Wait()
	y.requests.Wait()
	y.closeCallers()
	y.check("the last planned stop cuts nothing", d.StopNodes(), "all entry nodes")
	return y.report()
}

func (y *day) report() error {
	duplicates := 0
	for _, key := range y.keys {
		duplicates += max(0, y.d.runsOf(key)-1)
	}
	y.add(Promise{Name: "no order made twice", Held: duplicates == 0, Detail: fmt.Sprintf("%d keys, %d duplicates", len(y.keys), duplicates)})
	fmt.Fprintln(y.out)
	y.measures.print(y.out, y.d, duplicates)
	fmt.Fprintln(y.out)
	promises := append(y.promises, y.measures.callerPromises()...)
	promises = append(promises, y.d.countedPromises(FirstRelease(), SecondRelease())...)
	broken := printPromises(y.out, promises)
	fmt.Fprintf(y.out, "\n%d promises, %d broken, %s\n", len(promises), broken, time.Since(y.began).Round(time.Second))
	if broken > 0 {
		return fmt.Errorf("%w: %d", ErrBroken, broken)
	}
	return nil
}

func (y *day) say(format string, args ...any) {
	fmt.Fprintf(y.out, "%6.1f s  %s\n", time.Since(y.began).Seconds(), fmt.Sprintf(format, args...))
}

func (y *day) add(p Promise) {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.promises = append(y.promises, p)
}

// check adds a promise that holds if err is nil.
func (y *day) check(name string, err error, detail string) {
	if err != nil {
		detail += ": " + err.Error()
	}
	y.add(Promise{Name: name, Held: err == nil, Detail: detail})
}

// newCaller returns a caller that first asks the i-th entry node.
func (y *day) newCaller(name string, i int) *Caller {
	c := NewCaller(name, func() []string {
		addresses := y.addresses()
		by := i % max(1, len(addresses))
		return append(addresses[by:], addresses[:by]...)
	})
	y.mu.Lock()
	defer y.mu.Unlock()
	y.callers = append(y.callers, c)
	return c
}

func (y *day) closeCallers() {
	for _, c := range y.callers {
		c.Close()
	}
}

func (y *day) addresses() []string {
	var addresses []string
	for _, n := range y.d.Nodes() {
		addresses = append(addresses, n.CallerAddress())
	}
	return addresses
}

// send sends one request with content of its own and counts the reply.
func (y *day) send(ctx context.Context, c *Caller, ask Ask) Reply {
	y.mu.Lock()
	y.sequence++
	ask.Content = fmt.Sprintf("request %d about the collar", y.sequence)
	y.mu.Unlock()
	cold := y.d.Ledger.Replicas(ask.Target.Model) == 0
	reply := c.Chat(ctx, ask)
	y.measures.Add(reply, cold)
	return reply
}

// flow sends requests at a steady interval, whether or not the earlier ones
// have been answered, until the context ends. Requests in progress go on.
func (y *day) flow(ctx context.Context, t traffic) {
	var callers []*Caller
	for i := range len(y.d.Nodes()) {
		callers = append(callers, y.newCaller(fmt.Sprintf("%s-%d", t.ask.Rank, i), i))
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
		y.requests.Go(func() { y.send(context.WithoutCancel(ctx), c, t.ask) })
	}
}

// together runs n requests side by side and returns how many were answered.
func (y *day) together(ctx context.Context, name string, n int, ask Ask) int {
	var wg sync.WaitGroup
	var mu sync.Mutex
	answered := 0
	for i := range n {
		c := y.newCaller(fmt.Sprintf("%s-%d", name, i), i)
		wg.Go(func() {
			reply := y.send(ctx, c, ask)
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

// wakeByBurst asks for an idle model through all entry nodes at once.
func (y *day) wakeByBurst(ctx context.Context) error {
	ask := Ask{Target: fleet.Target{Model: ModelSpindle}, Rank: fleet.RankUrgent, MaxTokens: 16, Deadline: 15 * time.Second}
	answered := y.together(ctx, "burst", burstCallers, ask)
	loads := y.d.Ledger.Loads(ModelSpindle)
	y.say("a burst of %d requests woke %s: %d answered, %d load", burstCallers, ModelSpindle, answered, loads)
	y.add(Promise{
		Name:   "a burst on an idle model is one load and all are answered",
		Held:   loads == 1 && answered == burstCallers,
		Detail: fmt.Sprintf("%d loads, %d of %d answered", loads, answered, burstCallers),
	})
	return nil
}

// applyRelease puts the second release in force and asks each node by it.
func (y *day) applyRelease(ctx context.Context) error {
	before := time.Now()
	if err := y.d.Apply(ctx, SecondRelease()); err != nil {
		return err
	}
	added := Ask{Target: fleet.Target{Model: ModelCollar}, Rank: fleet.RankStandard, MaxTokens: 8, Deadline: 20 * time.Second}
	withdrawn := Ask{Target: fleet.Target{Model: ModelOld}, Rank: fleet.RankStandard, MaxTokens: 8, Deadline: 20 * time.Second}
	n := len(y.d.Nodes())
	answered := y.together(ctx, "added", n, added)
	gone := 0
	for i, address := range y.addresses() {
		c := y.newCaller(fmt.Sprintf("withdrawn-%d", i), i)
		reply := Reply{Ask: withdrawn}
		if err := c.try(ctx, address, time.Now(), &reply); err == nil && reply.Result == Refused && reply.Code == "withdrawn" {
			gone++
		}
	}
	took := time.Since(before).Round(time.Millisecond)
	y.say("release 2 applied: %s answered through %d of %d nodes, %s refused by %d, after %s", ModelCollar, answered, n, ModelOld, gone, took)
	y.add(Promise{
		Name:   "a release is in force at all nodes within seconds",
		Held:   answered == n && gone == n && took <= inForceLimit,
		Detail: fmt.Sprintf("%s at %d and %d of %d nodes, cold start included", took, answered, gone, n),
	})
	return nil
}

// wakeAdapters asks for all adapters at once, each through another entry node.
func (y *day) wakeAdapters(ctx context.Context) error {
	adapters := SecondRelease().Adapters
	var wg sync.WaitGroup
	var answered atomic.Int32
	for i, a := range adapters {
		c := y.newCaller(fmt.Sprintf("adapter-%d", i), i)
		ask := Ask{
			Target:    fleet.Target{Model: a.Model, Adapter: a.ID},
			Rank:      fleet.RankStandard,
			MaxTokens: 8,
			Deadline:  20 * time.Second,
		}
		wg.Go(func() {
			if y.send(ctx, c, ask).Result == Answered {
				answered.Add(1)
			}
		})
	}
	wg.Wait()
	loads := y.d.Weights.Counts()
	y.say("%d adapters asked for at once: %d answered, %d loads, at most %d at once", len(adapters), answered.Load(), loads.Adapters, loads.MaxAdapters)
	y.add(Promise{
		Name:   "requests for idle adapters are answered",
		Held:   int(answered.Load()) == len(adapters),
		Detail: fmt.Sprintf("%d of %d answered, %d loads", answered.Load(), len(adapters), loads.Adapters),
	})
	return nil
}

// orderParts sends one order several times through two nodes, then one whose
// answer is lost after it has run.
func (y *day) orderParts(ctx context.Context) error {
	const key = "spindle-order-1"
	outcomes := y.sendOrder(ctx, key, orderSends)
	runs := y.d.runsOf(key)
	y.say("one parts order sent %d times through two nodes: ran %d time, outcomes %v", orderSends, runs, outcomes)
	y.add(Promise{
		Name:   "a parts order sent through two nodes runs exactly once",
		Held:   runs == 1 && outcomes["ran"] == orderSends,
		Detail: fmt.Sprintf("%d runs, outcomes %v", runs, outcomes),
	})
	for _, s := range y.d.Services {
		s.Faults.LoseAnswers(1)
	}
	const lostKey = "spindle-order-2"
	outcomes = y.sendOrder(ctx, lostKey, 2)
	runs = y.d.runsOf(lostKey)
	for _, s := range y.d.Services {
		s.Faults.LoseAnswers(0)
	}
	y.say("an order whose answer is lost: ran %d time, outcomes %v", runs, outcomes)
	y.add(Promise{
		Name:   "an order whose answer is lost is never told as not run",
		Held:   runs == 1 && outcomes["not_run"] == 0 && outcomes["unknown"] > 0,
		Detail: fmt.Sprintf("%d runs, outcomes %v", runs, outcomes),
	})
	return nil
}

// sendOrder sends the order n times side by side through two nodes in turn.
func (y *day) sendOrder(ctx context.Context, key string, n int) map[string]int {
	y.keys = append(y.keys, key)
	addresses := y.addresses()
	c := y.newCaller("workshop", 0)
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

// flood sends bulk requests from many callers at once, for a while. The steady
// traffic goes on beside it.
func (y *day) flood(ctx context.Context) error {
	before := y.measures.Rank(fleet.RankUrgent)
	standard := y.measures.Rank(fleet.RankStandard)
	bulk := y.measures.Rank(fleet.RankBulk)
	ctx, cancel := context.WithTimeout(ctx, floodTime)
	defer cancel()
	ask := Ask{Target: fleet.Target{Model: ModelLathe}, Rank: fleet.RankBulk, MaxTokens: 96, Deadline: 5 * time.Second}
	var wg sync.WaitGroup
	for i := range floodCallers {
		c := y.newCaller(fmt.Sprintf("flood-%d", i), i)
		wg.Go(func() {
			for ctx.Err() == nil {
				reply := y.send(context.WithoutCancel(ctx), c, ask)
				time.Sleep(min(reply.RetryAfter, maxRetryPause))
			}
		})
	}
	wg.Wait()
	after := y.measures.Rank(fleet.RankUrgent)
	standardAfter := y.measures.Rank(fleet.RankStandard)
	bulkAfter := y.measures.Rank(fleet.RankBulk)
	late := after.Late + after.Refused + after.Expired + after.Failed - before.Late - before.Refused - before.Expired - before.Failed
	y.say("a flood of bulk requests on the urgent model: urgent %d answered within %s, %d not; standard %d within %s; bulk %d answered, %d refused",
		after.Within-before.Within, Targets[fleet.RankUrgent], late,
		standardAfter.Within-standard.Within, Targets[fleet.RankStandard],
		bulkAfter.Within+bulkAfter.Late-bulk.Within-bulk.Late, bulkAfter.Refused-bulk.Refused)
	y.add(Promise{
		Name:   "urgent requests are answered within target during a bulk flood",
		Held:   late == 0 && after.Within > before.Within,
		Detail: fmt.Sprintf("%d within target, %d not", after.Within-before.Within, late),
	})
	y.add(Promise{
		Name:   "bulk requests keep a share during their own flood",
		Held:   bulkAfter.Within > bulk.Within,
		Detail: fmt.Sprintf("%d answered within target", bulkAfter.Within-bulk.Within),
	})
	return nil
}

// stopBackend has the platform announce that a VM leaves, waits until its
// engine is empty, and takes the VM away.
func (y *day) stopBackend(ctx context.Context) error {
	e := y.d.Engines[0]
	for _, other := range y.d.Engines {
		if other.Running() > e.Running() {
			e = other
		}
	}
	e.MarkLeaving()
	y.d.SetVMState(e.ID(), fleet.VMLeaving)
	before := time.Now()
	time.Sleep(leavingGrace)
	for e.Running() > 0 && time.Since(before) < drainTimeout {
		time.Sleep(drainPoll)
	}
	running := e.Running()
	e.Reclaim()
	y.d.SetVMState(e.ID(), fleet.VMGone)
	y.say("planned stop of %s: empty after %s, %d requests cut", e.ID(), time.Since(before).Round(time.Millisecond), running)
	return ctx.Err()
}

// stopEntryNode stops an entry node that does not control the cell.
func (y *day) stopEntryNode(context.Context) error {
	controller := y.d.Controller()
	for _, n := range y.d.Nodes() {
		if n == controller {
			continue
		}
		before := time.Now()
		y.d.Forget(n)
		err := n.Stop()
		y.say("planned stop of %s took %s", n.ID(), time.Since(before).Round(time.Millisecond))
		y.check("a planned stop of an entry node cuts nothing", err, string(n.ID()))
		return nil
	}
	return fmt.Errorf("%w: no entry node to stop", node.ErrCut)
}

// crashController kills the node that controls the cell, and then wakes an idle
// model through the others.
func (y *day) crashController(ctx context.Context) error {
	controller := y.d.Controller()
	if controller == nil {
		return ErrNotReady
	}
	y.d.Forget(controller)
	before := time.Now()
	controller.Kill()
	controller.cancel()
	ask := Ask{Target: fleet.Target{Model: ModelNight}, Rank: fleet.RankUrgent, MaxTokens: 8, Deadline: 20 * time.Second}
	answered := y.together(ctx, "takeover", takeoverAskers, ask)
	if err := y.d.WaitReady(ctx); err != nil {
		return err
	}
	y.say("%s crashed: %d of %d urgent requests answered, successor after at most %s",
		controller.ID(), answered, takeoverAskers, time.Since(before).Round(time.Millisecond))
	y.add(Promise{
		Name:   "a model is woken by one load after a controller crash, no request is lost",
		Held:   answered == takeoverAskers && y.d.Ledger.Loads(ModelNight) == 1,
		Detail: fmt.Sprintf("%d of %d answered, %d loads", answered, takeoverAskers, y.d.Ledger.Loads(ModelNight)),
	})
	time.Sleep(quietTime)
	return nil
}
