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

// ordering is a service that counts runs and may misbehave.
type ordering struct {
	mu      sync.Mutex
	runs    map[idempotency.Key]int
	takes   time.Duration
	refuses int  // calls to refuse before running them
	crashes bool // after the run, before the answer
}

func (o *ordering) Run(ctx context.Context, call idempotency.Call) idempotency.Result {
	o.mu.Lock()
	if o.refuses > 0 {
		o.refuses--
		o.mu.Unlock()
		return idempotency.Result{Outcome: fleet.OutcomeNotRun, Code: idempotency.CodeUnreachable}
	}
	o.runs[call.Key]++
	crashes := o.crashes
	o.mu.Unlock()
	time.Sleep(o.takes)
	if crashes {
		return idempotency.Result{Outcome: fleet.OutcomeUnknown, Code: idempotency.CodeServiceFailed}
	}
	return idempotency.Result{Outcome: fleet.OutcomeAnswered, Answer: idempotency.Answer{Status: 201, Body: []byte("ordered")}}
}

func (o *ordering) count(key idempotency.Key) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.runs[key]
}

// cluster is several nodes on one store and one service.
type cluster struct {
	store    *memoryStore
	ordering *ordering
	mu       sync.Mutex
	nodes    map[idempotency.Owner]*idempotency.Service
}

func newCluster(nodes int) *cluster {
	c := &cluster{store: newStore(), ordering: &ordering{runs: make(map[idempotency.Key]int)}, nodes: make(map[idempotency.Owner]*idempotency.Service)}
	for i := range nodes {
		c.start(fmt.Sprintf("n%d", i+1), 1)
	}
	return c
}

func owner(node string, incarnation int) idempotency.Owner {
	return idempotency.Owner{Node: fleet.NodeID(node), Incarnation: fleet.Incarnation(incarnation)}
}

func (c *cluster) start(node string, incarnation int) *idempotency.Service {
	self := owner(node, incarnation)
	core := idempotency.NewCore(idempotency.DefaultSettings(), self, []byte(fmt.Sprint("secret of ", self)))
	s := idempotency.NewService(core, idempotency.NewClaims(c.store), c.ordering, c, nil)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes[self] = s
	return s
}

func (c *cluster) at(o idempotency.Owner) *idempotency.Service {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[o]
}

func (c *cluster) node(i int) *idempotency.Service { return c.at(owner(fmt.Sprintf("n%d", i), 1)) }

func (c *cluster) crash(i int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.nodes, owner(fmt.Sprintf("n%d", i), 1))
}

func (c *cluster) Alive(o idempotency.Owner) bool { return c.at(o) != nil }

func (c *cluster) Forward(ctx context.Context, o idempotency.Owner, call idempotency.Call) (idempotency.Result, error) {
	if s := c.at(o); s != nil {
		return s.CallForwarded(ctx, call), nil
	}
	return idempotency.Result{}, errors.New("connection refused")
}

func (c *cluster) settle() {
	for _, s := range c.nodes {
		s.Wait()
	}
}

func order(key idempotency.Key, body string) idempotency.Call {
	return idempotency.Call{Key: key, Service: "ordering", Method: "POST", Path: "/orders", Body: []byte(body), Deadline: time.Now().Add(time.Minute)}
}

func TestSameKeyThroughTwoNodesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(2)
		c.ordering.takes = time.Second
		issued := c.node(1).Issue().Text
		for _, key := range []idempotency.Key{"chosen", issued} {
			results := make([]idempotency.Result, 6)
			var wg sync.WaitGroup
			for i := range results {
				wg.Go(func() { results[i] = c.node(1+i%2).Call(t.Context(), order(key, "spindle")) })
			}
			wg.Wait()
			for _, r := range results {
				assert.Equal(t, r.Outcome, fleet.OutcomeAnswered, "%s: %+v", key, r)
				assert.Equal(t, string(r.Answer.Body), "ordered")
			}
			assert.Equal(t, c.ordering.count(key), 1)
		}
		c.settle()
		assert.Equal(t, c.store.writes, 2, "a chosen key costs a claim and a result, an issued key nothing")
	})
}

func TestResendAfterTheFirstNodeCrashed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(2)
		c.ordering.takes = time.Second
		issued := c.node(1).Issue().Text
		for _, key := range []idempotency.Key{"chosen", issued} {
			go c.node(1).Call(t.Context(), order(key, "spindle"))
		}
		time.Sleep(500 * time.Millisecond)
		n1 := c.node(1)
		c.crash(1)
		c.start("n1", 2)
		for _, key := range []idempotency.Key{"chosen", issued} {
			r := c.node(2).Call(t.Context(), order(key, "spindle"))
			assert.Equal(t, r.Outcome, fleet.OutcomeUnknown, "%s: %+v", key, r)
			assert.Equal(t, r.Code, idempotency.CodeOwnerGone)
			assert.Equal(t, c.ordering.count(key), 1)
		}
		n1.Wait()
	})
}

func TestRecordedResultOutlivesTheOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(2)
		assert.Equal(t, c.node(1).Call(t.Context(), order("k", "spindle")).Outcome, fleet.OutcomeAnswered)
		c.settle()
		c.crash(1)
		r := c.node(2).Call(t.Context(), order("k", "spindle"))
		assert.Equal(t, r.Outcome, fleet.OutcomeAnswered)
		assert.Assert(t, r.Replayed)
		assert.Equal(t, c.ordering.count("k"), 1)
		assert.Equal(t, c.node(2).Call(t.Context(), order("k", "two spindles")).Code, idempotency.CodeKeyMismatch)
	})
}

func TestStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(1)
		c.store.set(func(s *memoryStore) { s.down = true })
		call := order("k", "spindle")
		assert.Equal(t, c.node(1).Call(t.Context(), call).Outcome, fleet.OutcomeUnknown, "an earlier send may have run")
		call.First = true
		assert.Equal(t, c.node(1).Call(t.Context(), call).Outcome, fleet.OutcomeNotRun)
		issued := c.node(1).Issue().Text
		assert.Equal(t, c.node(1).Call(t.Context(), order(issued, "spindle")).Outcome, fleet.OutcomeAnswered)
		assert.Equal(t, c.ordering.count("k"), 0)
		c.store.set(func(s *memoryStore) { s.down = false })
		assert.Equal(t, c.node(1).Call(t.Context(), call).Outcome, fleet.OutcomeAnswered)
		c.settle()
	})
}

func TestLostAnswerOfAClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(2)
		c.store.set(func(s *memoryStore) { s.lose = 1 })
		assert.Equal(t, c.node(1).Call(t.Context(), order("k", "spindle")).Outcome, fleet.OutcomeAnswered)
		assert.Equal(t, c.ordering.count("k"), 1)
		c.settle()
	})
}

func TestClaimThatMayHaveBeenMade(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(2)
		c.store.set(func(s *memoryStore) { s.lose = 1 })
		time.AfterFunc(time.Millisecond, func() { c.store.set(func(s *memoryStore) { s.down = true }) })
		call := order("k", "spindle")
		call.First = true
		r := c.node(1).Call(t.Context(), call)
		assert.Equal(t, r.Code, idempotency.CodeClaimUnknown)
		assert.Equal(t, r.Outcome, fleet.OutcomeUnknown)
		c.store.set(func(s *memoryStore) { s.down = false })
		// The other node sends it to the owner, which writes its claim anew.
		assert.Equal(t, c.node(2).Call(t.Context(), call).Outcome, fleet.OutcomeAnswered)
		assert.Equal(t, c.ordering.count("k"), 1)
		c.settle()
	})
}

// A caller that calls a send the first is wrong if the store holds a claim.
func TestContestedClaimIsNotCalledNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(2)
		c.node(1).Call(t.Context(), order("k", "spindle"))
		c.settle()
		c.store.set(func(s *memoryStore) { s.blind = true })
		call := order("k", "spindle")
		call.First = true
		assert.Equal(t, c.node(2).Call(t.Context(), call).Outcome, fleet.OutcomeUnknown)
		assert.Equal(t, c.ordering.count("k"), 1)
	})
}

func TestStrangeErrorOfAClaimCountsAsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(1)
		c.store.set(func(s *memoryStore) { s.strange = context.Canceled })
		call := order("k", "spindle")
		call.First = true
		assert.Equal(t, c.node(1).Call(t.Context(), call).Outcome, fleet.OutcomeUnknown)
		assert.Equal(t, c.node(1).Call(t.Context(), call).Outcome, fleet.OutcomeAnswered)
		assert.Equal(t, c.ordering.count("k"), 1)
		c.settle()
	})
}

func TestServiceCrashesAfterRunning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(2)
		c.ordering.crashes = true
		assert.Equal(t, c.node(1).Call(t.Context(), order("k", "spindle")).Outcome, fleet.OutcomeUnknown)
		c.settle()
		for _, i := range []int{1, 2} {
			assert.Equal(t, c.node(i).Call(t.Context(), order("k", "spindle")).Outcome, fleet.OutcomeUnknown)
		}
		assert.Equal(t, c.ordering.count("k"), 1)
	})
}

func TestUnreachableServiceFreesTheKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(2)
		issued := c.node(1).Issue().Text
		for _, key := range []idempotency.Key{"chosen", issued} {
			c.ordering.refuses = 1
			assert.Equal(t, c.node(1).Call(t.Context(), order(key, "spindle")).Outcome, fleet.OutcomeNotRun)
			assert.Equal(t, c.ordering.count(key), 0)
			assert.Equal(t, c.node(2).Call(t.Context(), order(key, "spindle")).Outcome, fleet.OutcomeAnswered)
			assert.Equal(t, c.ordering.count(key), 1)
		}
		c.settle()
	})
}

func TestForgedAndExpiredKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(1)
		key := c.node(1).Issue().Text
		assert.Equal(t, c.node(1).Call(t.Context(), order(key+"x", "a")).Code, idempotency.CodeKeyMalformed)
		time.Sleep(idempotency.DefaultRetention)
		r := c.node(1).Call(t.Context(), order(key, "a"))
		assert.Equal(t, r.Code, idempotency.CodeKeyExpired)
		assert.Equal(t, r.Outcome, fleet.OutcomeUnknown)
	})
}

func TestSweepDeletesExpiredClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(1)
		c.node(1).Call(t.Context(), order("old", "a"))
		c.settle()
		time.Sleep(idempotency.DefaultRetention / 2)
		c.node(1).Call(t.Context(), order("new", "a"))
		c.settle()
		n, err := idempotency.NewClaims(c.store).Sweep(t.Context(), time.Now().Add(idempotency.DefaultRetention/2), "")
		assert.NilError(t, err)
		assert.Equal(t, n, 1)
	})
}

func TestInvariantFires(t *testing.T) {
	now := time.Now()
	core := idempotency.NewCore(idempotency.DefaultSettings(), owner("n1", 1), []byte("secret"))
	call := order(core.Issue(now).Text, "spindle")
	assert.Equal(t, core.Offer(now, &call, false).Action, idempotency.ActionRun)
	core.ForgetRun(call.Key)
	defer func() {
		v, ok := recover().(invariant.Violation)
		assert.Assert(t, ok)
		assert.Equal(t, v.Name, invariant.AtMostOnce)
	}()
	core.Offer(now, &call, false)
}

// TestRandomFailures sends few keys many times through nodes that crash, a
// store that fails and loses answers, and a service that refuses. A key runs at most once.
func TestRandomFailures(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, 99), 5, 40).Draw(rt, "steps")
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(3)
			c.ordering.takes = 100 * time.Millisecond
			var all []*idempotency.Service
			for _, s := range c.nodes {
				all = append(all, s)
			}
			for i, step := range steps {
				c.apply(t, i, step)
				time.Sleep(time.Duration(step) * time.Millisecond)
			}
			c.store.set(func(s *memoryStore) { s.down, s.lose = false, 0 })
			for _, s := range all {
				s.Wait()
			}
			synctest.Wait()
			c.ordering.mu.Lock()
			defer c.ordering.mu.Unlock()
			for key, runs := range c.ordering.runs {
				assert.Assert(t, runs <= 1, "key %s ran %d times", key, runs)
			}
		})
	})
}

func (c *cluster) apply(t *testing.T, i, step int) {
	switch {
	case step < 5 && len(c.nodes) > 1:
		c.crash(1 + step%3)
	case step < 12:
		c.store.set(func(s *memoryStore) { s.lose++ })
	case step < 18:
		c.store.set(func(s *memoryStore) { s.down = !s.down })
	case step < 24:
		c.ordering.mu.Lock()
		c.ordering.refuses++
		c.ordering.mu.Unlock()
	default:
		node := c.node(1 + i%3)
		if node == nil {
			return
		}
		key := idempotency.Key(fmt.Sprint("key", step%2))
		go node.Call(t.Context(), order(key, "spindle"))
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

// liar says "not run" of a call that has an answer.
type liar struct{}

func (liar) Run(context.Context, idempotency.Call) idempotency.Result {
	return idempotency.Result{Outcome: fleet.OutcomeNotRun, Answer: idempotency.Answer{Status: 201}}
}

func TestFalseNotRunFiresTheInvariant(t *testing.T) {
	var broken []invariant.Name
	invariant.SetMode(invariant.ModeReport)
	invariant.SetReporter(func(v invariant.Violation) { broken = append(broken, v.Name) })
	defer invariant.SetMode(invariant.ModePanic)
	c := newCluster(1)
	core := idempotency.NewCore(idempotency.DefaultSettings(), owner("n1", 1), []byte("secret"))
	s := idempotency.NewService(core, idempotency.NewClaims(c.store), liar{}, c, nil)
	s.Call(t.Context(), order("k", "spindle"))
	s.Wait()
	assert.DeepEqual(t, broken, []invariant.Name{invariant.NotRunIsTrue})
}
