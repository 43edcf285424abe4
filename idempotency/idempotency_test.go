package idempotency_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/idempotency"
	"github.com/redwingnotch/redwingnotch/invariant"
)

// fakeService is a Runner that counts the runs of each key and can be made to
// fail.
type fakeService struct {
	mu            sync.Mutex
	runs          map[idempotency.Key]int
	runTime       time.Duration
	refusals      int  // number of calls to refuse before running them
	crashAfterRun bool // crash after the run, before the response
}

func (f *fakeService) Run(ctx context.Context, call idempotency.Call) idempotency.Result {
	f.mu.Lock()
	if f.refusals > 0 {
		f.refusals--
		f.mu.Unlock()
		return idempotency.Result{Outcome: fleet.OutcomeNotRun, Code: idempotency.CodeServiceUnreachable}
	}
	f.runs[call.Key]++
	crashAfterRun := f.crashAfterRun
	f.mu.Unlock()
	time.Sleep(f.runTime)
	if crashAfterRun {
		return idempotency.Result{Outcome: fleet.OutcomeUnknown, Code: idempotency.CodeServiceFailed}
	}
	return idempotency.Result{Outcome: fleet.OutcomeAnswered, Response: idempotency.Response{Status: 201, Body: []byte("ordered")}}
}

func (f *fakeService) runCount(key idempotency.Key) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[key]
}

// cluster is a set of nodes that share one store and one service. It implements
// idempotency.Peers.
type cluster struct {
	store       *memoryStore
	fakeService *fakeService
	mu          sync.Mutex
	nodes       map[idempotency.Owner]*idempotency.Executor
}

func newCluster(nodes int) *cluster {
	c := &cluster{store: newMemoryStore(), fakeService: &fakeService{runs: make(map[idempotency.Key]int)}, nodes: make(map[idempotency.Owner]*idempotency.Executor)}
	for i := range nodes {
		c.start(fmt.Sprintf("n%d", i+1), 1)
	}
	return c
}

func owner(node string, incarnation int) idempotency.Owner {
	return idempotency.Owner{Node: fleet.NodeID(node), Incarnation: fleet.Incarnation(incarnation)}
}

// start adds a node incarnation to the cluster.
func (c *cluster) start(node string, incarnation int) *idempotency.Executor {
	self := owner(node, incarnation)
	core := idempotency.NewCore(idempotency.DefaultSettings(), self, []byte(fmt.Sprint("secret of ", self)))
	s := idempotency.NewExecutor(core, idempotency.NewClaimStore(c.store), c.fakeService, c, nil)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes[self] = s
	return s
}

// get returns the service of a live node incarnation, or nil.
func (c *cluster) get(o idempotency.Owner) *idempotency.Executor {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[o]
}

// node returns the service of the i-th node's first incarnation, or nil.
func (c *cluster) node(i int) *idempotency.Executor { return c.get(owner(fmt.Sprintf("n%d", i), 1)) }

// crash removes the i-th node's first incarnation.
func (c *cluster) crash(i int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.nodes, owner(fmt.Sprintf("n%d", i), 1))
}

func (c *cluster) Alive(o idempotency.Owner) bool { return c.get(o) != nil }

func (c *cluster) Forward(ctx context.Context, o idempotency.Owner, call idempotency.Call) (idempotency.Result, error) {
	if s := c.get(o); s != nil {
		return s.CallForwarded(ctx, call), nil
	}
	return idempotency.Result{}, errors.New("connection refused")
}

// waitAll waits until all calls and writes of the live nodes have ended.
func (c *cluster) waitAll() {
	for _, s := range c.nodes {
		s.Wait()
	}
}

func newCall(key idempotency.Key, body string) idempotency.Call {
	return idempotency.Call{Key: key, Service: "ordering", Method: "POST", Path: "/orders", Body: []byte(body), Deadline: time.Now().Add(time.Minute)}
}

func TestConcurrentSendsThroughTwoNodesRunOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(2)
		c.fakeService.runTime = time.Second
		issued := c.node(1).Issue().Text
		for _, key := range []idempotency.Key{"chosen", issued} {
			results := make([]idempotency.Result, 6)
			var wg sync.WaitGroup
			for i := range results {
				wg.Go(func() { results[i] = c.node(1+i%2).Call(t.Context(), newCall(key, "spindle")) })
			}
			wg.Wait()
			for _, r := range results {
				assert.Equal(t, r.Outcome, fleet.OutcomeAnswered, "%s: %+v", key, r)
				assert.Equal(t, string(r.Response.Body), "ordered")
			}
			assert.Equal(t, c.fakeService.runCount(key), 1)
		}
		c.waitAll()
		assert.Equal(t, c.store.writes, 2, "a chosen key needs two writes, its claim and its result; an issued key needs none")
	})
}

func TestResendAfterOwnerCrashIsNotRunAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(2)
		c.fakeService.runTime = time.Second
		issued := c.node(1).Issue().Text
		for _, key := range []idempotency.Key{"chosen", issued} {
			go c.node(1).Call(t.Context(), newCall(key, "spindle"))
		}
		time.Sleep(500 * time.Millisecond)
		n1 := c.node(1)
		c.crash(1)
		c.start("n1", 2)
		for _, key := range []idempotency.Key{"chosen", issued} {
			r := c.node(2).Call(t.Context(), newCall(key, "spindle"))
			assert.Equal(t, r.Outcome, fleet.OutcomeUnknown, "%s: %+v", key, r)
			assert.Equal(t, r.Code, idempotency.CodeOwnerGone)
			assert.Equal(t, c.fakeService.runCount(key), 1)
		}
		n1.Wait()
	})
}

func TestRecordedResultIsReplayedAfterOwnerCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(2)
		assert.Equal(t, c.node(1).Call(t.Context(), newCall("k", "spindle")).Outcome, fleet.OutcomeAnswered)
		c.waitAll()
		c.crash(1)
		r := c.node(2).Call(t.Context(), newCall("k", "spindle"))
		assert.Equal(t, r.Outcome, fleet.OutcomeAnswered)
		assert.Assert(t, r.Replayed)
		assert.Equal(t, c.fakeService.runCount("k"), 1)
		assert.Equal(t, c.node(2).Call(t.Context(), newCall("k", "two spindles")).Code, idempotency.CodeKeyMismatch)
	})
}

func TestOnlyIssuedKeysRunDuringStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(1)
		c.store.update(func(s *memoryStore) { s.unavailable = true })
		call := newCall("k", "spindle")
		assert.Equal(t, c.node(1).Call(t.Context(), call).Outcome, fleet.OutcomeUnknown, "an earlier send of the key may have run")
		call.FirstSend = true
		assert.Equal(t, c.node(1).Call(t.Context(), call).Outcome, fleet.OutcomeNotRun)
		issued := c.node(1).Issue().Text
		assert.Equal(t, c.node(1).Call(t.Context(), newCall(issued, "spindle")).Outcome, fleet.OutcomeAnswered)
		assert.Equal(t, c.fakeService.runCount("k"), 0)
		c.store.update(func(s *memoryStore) { s.unavailable = false })
		assert.Equal(t, c.node(1).Call(t.Context(), call).Outcome, fleet.OutcomeAnswered)
		c.waitAll()
	})
}

func TestClaimWithLostResponseIsResolved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(2)
		c.store.update(func(s *memoryStore) { s.lostResponses = 1 })
		assert.Equal(t, c.node(1).Call(t.Context(), newCall("k", "spindle")).Outcome, fleet.OutcomeAnswered)
		assert.Equal(t, c.fakeService.runCount("k"), 1)
		c.waitAll()
	})
}

func TestClaimWithUnknownOutcomeIsRewritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(2)
		c.store.update(func(s *memoryStore) { s.lostResponses = 1 })
		time.AfterFunc(time.Millisecond, func() { c.store.update(func(s *memoryStore) { s.unavailable = true }) })
		call := newCall("k", "spindle")
		call.FirstSend = true
		r := c.node(1).Call(t.Context(), call)
		assert.Equal(t, r.Code, idempotency.CodeClaimUnknown)
		assert.Equal(t, r.Outcome, fleet.OutcomeUnknown)
		c.store.update(func(s *memoryStore) { s.unavailable = false })
		// The other node forwards the call to the owner, which overwrites its
		// own claim.
		assert.Equal(t, c.node(2).Call(t.Context(), call).Outcome, fleet.OutcomeAnswered)
		assert.Equal(t, c.fakeService.runCount("k"), 1)
		c.waitAll()
	})
}

// The caller asserts a first send, but the store holds a claim that can't be
// read: the earlier send may have run.
func TestContestedClaimReportsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(2)
		c.node(1).Call(t.Context(), newCall("k", "spindle"))
		c.waitAll()
		c.store.update(func(s *memoryStore) { s.failReads = true })
		call := newCall("k", "spindle")
		call.FirstSend = true
		assert.Equal(t, c.node(2).Call(t.Context(), call).Outcome, fleet.OutcomeUnknown)
		assert.Equal(t, c.fakeService.runCount("k"), 1)
	})
}

func TestUnexpectedClaimErrorReportsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(1)
		c.store.update(func(s *memoryStore) { s.putErr = context.Canceled })
		call := newCall("k", "spindle")
		call.FirstSend = true
		assert.Equal(t, c.node(1).Call(t.Context(), call).Outcome, fleet.OutcomeUnknown)
		assert.Equal(t, c.node(1).Call(t.Context(), call).Outcome, fleet.OutcomeAnswered)
		assert.Equal(t, c.fakeService.runCount("k"), 1)
		c.waitAll()
	})
}

func TestServiceCrashAfterRunIsNotRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(2)
		c.fakeService.crashAfterRun = true
		assert.Equal(t, c.node(1).Call(t.Context(), newCall("k", "spindle")).Outcome, fleet.OutcomeUnknown)
		c.waitAll()
		for _, i := range []int{1, 2} {
			assert.Equal(t, c.node(i).Call(t.Context(), newCall("k", "spindle")).Outcome, fleet.OutcomeUnknown)
		}
		assert.Equal(t, c.fakeService.runCount("k"), 1)
	})
}

func TestUnreachableServiceReleasesKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(2)
		issued := c.node(1).Issue().Text
		for _, key := range []idempotency.Key{"chosen", issued} {
			c.fakeService.refusals = 1
			assert.Equal(t, c.node(1).Call(t.Context(), newCall(key, "spindle")).Outcome, fleet.OutcomeNotRun)
			assert.Equal(t, c.fakeService.runCount(key), 0)
			assert.Equal(t, c.node(2).Call(t.Context(), newCall(key, "spindle")).Outcome, fleet.OutcomeAnswered)
			assert.Equal(t, c.fakeService.runCount(key), 1)
		}
		c.waitAll()
	})
}

func TestForgedAndExpiredKeysAreRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(1)
		key := c.node(1).Issue().Text
		assert.Equal(t, c.node(1).Call(t.Context(), newCall(key+"x", "a")).Code, idempotency.CodeKeyMalformed)
		time.Sleep(idempotency.DefaultRetention)
		r := c.node(1).Call(t.Context(), newCall(key, "a"))
		assert.Equal(t, r.Code, idempotency.CodeKeyExpired)
		assert.Equal(t, r.Outcome, fleet.OutcomeUnknown)
	})
}

func TestSweepDeletesExpiredClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(1)
		c.node(1).Call(t.Context(), newCall("old", "a"))
		c.waitAll()
		time.Sleep(idempotency.DefaultRetention / 2)
		c.node(1).Call(t.Context(), newCall("new", "a"))
		c.waitAll()
		n, err := idempotency.NewClaimStore(c.store).Sweep(t.Context(), time.Now().Add(idempotency.DefaultRetention/2), "")
		assert.NilError(t, err)
		assert.Equal(t, n, 1)
	})
}

func TestSecondRunViolatesInvariant(t *testing.T) {
	now := time.Now()
	core := idempotency.NewCore(idempotency.DefaultSettings(), owner("n1", 1), []byte("secret"))
	call := newCall(core.Issue(now).Text, "spindle")
	assert.Equal(t, core.HandleCall(now, &call, false).Action, idempotency.ActionRun)
	core.ForgetRun(call.Key)
	defer func() {
		v, ok := recover().(invariant.Violation)
		assert.Assert(t, ok)
		assert.Equal(t, v.Name, invariant.AtMostOnce)
	}()
	core.HandleCall(now, &call, false)
}

// TestKeyRunsAtMostOnceUnderRandomFailures sends two keys many times while nodes
// crash, the store fails and loses responses, and the service refuses calls.
// Each key must run at most once.
func TestKeyRunsAtMostOnceUnderRandomFailures(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, 99), 5, 40).Draw(rt, "steps")
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(3)
			c.fakeService.runTime = 100 * time.Millisecond
			var executors []*idempotency.Executor // including nodes that crash later
			for _, s := range c.nodes {
				executors = append(executors, s)
			}
			for i, step := range steps {
				c.applyStep(t, i, step)
				time.Sleep(time.Duration(step) * time.Millisecond)
			}
			c.store.update(func(s *memoryStore) { s.unavailable, s.lostResponses = false, 0 })
			for _, s := range executors {
				s.Wait()
			}
			synctest.Wait()
			c.fakeService.mu.Lock()
			defer c.fakeService.mu.Unlock()
			for key, runs := range c.fakeService.runs {
				assert.Assert(t, runs <= 1, "key %s ran %d times", key, runs)
			}
		})
	})
}

// applyStep injects a fault or sends a call, as chosen by step.
func (c *cluster) applyStep(t *testing.T, i, step int) {
	switch {
	case step < 5 && len(c.nodes) > 1:
		c.crash(1 + step%3)
	case step < 12:
		c.store.update(func(s *memoryStore) { s.lostResponses++ })
	case step < 18:
		c.store.update(func(s *memoryStore) { s.unavailable = !s.unavailable })
	case step < 24:
		c.fakeService.mu.Lock()
		c.fakeService.refusals++
		c.fakeService.mu.Unlock()
	default:
		node := c.node(1 + i%3)
		if node == nil {
			return
		}
		key := idempotency.Key(fmt.Sprint("key", step%2))
		go node.Call(t.Context(), newCall(key, "spindle"))
	}
}

func FuzzParseIssued(f *testing.F) {
	core := idempotency.NewCore(idempotency.DefaultSettings(), owner("n1", 7), []byte("secret"))
	f.Add(string(core.Issue(time.UnixMilli(1)).Text))
	f.Add("rwn1.n1.7.1.1.")
	f.Add("rwn1.....")
	f.Fuzz(func(t *testing.T, text string) {
		key, err := idempotency.ParseIssued(idempotency.Key(text))
		if err != nil {
			return
		}
		assert.Assert(t, key.Owner.Node != "")
		assert.Assert(t, key.Text.Issued())
	})
}

// falseNotRunRunner reports "not run" together with a response.
type falseNotRunRunner struct{}

func (falseNotRunRunner) Run(context.Context, idempotency.Call) idempotency.Result {
	return idempotency.Result{Outcome: fleet.OutcomeNotRun, Response: idempotency.Response{Status: 201}}
}

func TestNotRunWithResponseViolatesInvariant(t *testing.T) {
	var violated []invariant.Name
	invariant.SetMode(invariant.ModeReport)
	invariant.SetReporter(func(v invariant.Violation) { violated = append(violated, v.Name) })
	defer invariant.SetMode(invariant.ModePanic)
	c := newCluster(1)
	core := idempotency.NewCore(idempotency.DefaultSettings(), owner("n1", 1), []byte("secret"))
	s := idempotency.NewExecutor(core, idempotency.NewClaimStore(c.store), falseNotRunRunner{}, c, nil)
	s.Call(t.Context(), newCall("k", "spindle"))
	s.Wait()
	assert.DeepEqual(t, violated, []invariant.Name{invariant.NotRunIsTrue})
}
