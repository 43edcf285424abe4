package release

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/standin/objectapi"
)

// history drives operators, a store with faults and some nodes at random. The
// naive version beside it is the list of states by version.
type history struct {
	store   *objectapi.API
	states  map[uint64][]byte // encoded state of each version, from the store
	accepts map[uint64]string // writer id of each version that was told to be accepted
	unknown []string
	nodes   []*Replica
	old     []Update // answers that may come late
	now     time.Time
}

func (h *history) start(i int) {
	id := fleet.NodeID(fmt.Sprintf("entry-%d", i))
	h.nodes[i] = NewReplica(h.now, id, "zone", DefaultReplicaSettings(), rand.New(rand.NewPCG(1, 1)))
}

// publish lets an operator put a note in force, with a fault perhaps.
func (h *history) publish(t *rapid.T) {
	note, fs := ParseNote([]byte(modelNote(
		rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "model"), rapid.IntRange(1, 50).Draw(t, "slots"))))
	if fs != nil {
		t.Fatal(fs)
	}
	note.BasedOn = uint64(rapid.IntRange(0, 3).Draw(t, "base"))
	switch rapid.IntRange(0, 3).Draw(t, "fault") {
	case 1:
		h.store.Faults.LoseAnswers(rapid.IntRange(1, 6).Draw(t, "lost"))
	case 2:
		h.store.Faults.FailNext(1)
	}
	a, err := (&Publisher{Store: h.store, Operator: "ana", Now: func() time.Time { return h.now }}).Publish(context.Background(), note)
	h.store.Faults.LoseAnswers(0)
	h.store.Faults.FailNext(0)
	var unknown *UnknownError
	switch {
	case err == nil:
		if other, ok := h.accepts[a.Version]; ok {
			t.Fatalf("version %d accepted for both %s and %s", a.Version, other, a.ID)
		}
		h.accepts[a.Version] = a.ID
	case errors.As(err, &unknown):
		h.unknown = append(h.unknown, unknown.ID)
	}
	h.remember(t)
}

// remember notes the state that the store shows.
func (h *history) remember(t *rapid.T) {
	head, state, err := ReadState(context.Background(), h.store)
	if err != nil {
		t.Fatal(err)
	}
	if known, ok := h.states[head.Version]; ok && !bytes.Equal(known, EncodeState(state)) {
		t.Fatalf("version %d changed", head.Version)
	}
	h.states[head.Version] = EncodeState(state)
}

// node returns one node at random.
func (h *history) node(t *rapid.T) *Replica {
	return h.nodes[rapid.IntRange(0, len(h.nodes)-1).Draw(t, "node")]
}

// deliver hands an update to a node and checks the promise.
func (h *history) deliver(t *rapid.T, n *Replica, from Source, u Update) {
	before := n.Version()
	n.HandleUpdate(h.now, from, u, nil)
	if n.Version() < before {
		t.Fatalf("version %d after %d", n.Version(), before)
	}
	if want, ok := h.states[n.Version()]; ok && !bytes.Equal(want, EncodeState(n.State())) {
		t.Fatalf("node's state at version %d differs from the one published", n.Version())
	}
}

// copyOf returns the update as the wire would, sharing nothing.
func copyOf(u Update) Update {
	if u.State != nil {
		u.State = u.State.Clone()
	}
	return u
}

func (h *history) readStore(t *rapid.T) {
	n := h.node(t)
	u, err := Load(context.Background(), h.store, n.Version())
	if err != nil {
		t.Fatal(err)
	}
	h.old = append(h.old, copyOf(u))
	h.deliver(t, n, Source{}, u)
}

func (h *history) readPeer(t *rapid.T) {
	n, peer := h.node(t), h.node(t)
	a, ok := peer.Answer(n.Version())
	if !ok {
		return
	}
	u, err := a.Update()
	if err != nil {
		t.Fatal(err)
	}
	h.deliver(t, n, Source{Peer: "peer"}, u)
}

func (h *history) lateAnswer(t *rapid.T) {
	if len(h.old) > 0 {
		h.deliver(t, h.node(t), Source{}, copyOf(rapid.SampledFrom(h.old).Draw(t, "old")))
	}
}

func TestRandomHistories(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) {
		var failure any // rapid must see the panic of a failed draw on its own goroutine
		synctest.Test(t, func(*testing.T) {
			defer func() { failure = recover() }()
			runHistory(draw)
		})
		if failure != nil {
			panic(failure)
		}
	})
}

// runHistory runs one random history in virtual time.
func runHistory(t *rapid.T) {
	h := &history{
		store: objectapi.New(), states: map[uint64][]byte{}, accepts: map[uint64]string{},
		nodes: make([]*Replica, 3), now: time.Unix(1_700_000_000, 0),
	}
	for i := range h.nodes {
		h.start(i)
	}
	t.Repeat(map[string]func(*rapid.T){
		"publish":     h.publish,
		"read store":  h.readStore,
		"read peer":   h.readPeer,
		"late answer": h.lateAnswer,
		"restart":     func(t *rapid.T) { h.start(rapid.IntRange(0, len(h.nodes)-1).Draw(t, "restarted")) },
		"pass time":   func(*rapid.T) { h.now = h.now.Add(time.Second) },
	})
	h.checkEnd(t)
}

// checkEnd lets all nodes read the store, and settles what is unknown.
func (h *history) checkEnd(t *rapid.T) {
	head, err := ReadHead(context.Background(), h.store)
	if err != nil {
		t.Fatal(err)
	}
	for version, id := range h.accepts {
		if e, ok := head.findWriter(id); ok && e.Version != version {
			t.Fatalf("accepted as version %d, but is %d", version, e.Version)
		} else if !ok && len(head.Log) < maxLogEntries {
			t.Fatalf("accepted version %d was lost", version)
		}
	}
	for _, id := range h.unknown {
		_, settleErr := Settle(context.Background(), h.store, id)
		if _, found := head.findWriter(id); found != (settleErr == nil) {
			t.Fatalf("settled as %v, in the log: %v", settleErr, found)
		}
	}
	for _, n := range h.nodes {
		u, err := Load(context.Background(), h.store, n.Version())
		if err != nil {
			t.Fatal(err)
		}
		h.deliver(t, n, Source{}, u)
		if n.Version() != head.Version {
			t.Fatalf("node at %d, store at %d", n.Version(), head.Version)
		}
	}
}

// BenchmarkScalePublish gives the time to parse and publish one note with all
// adapters, and the sizes of what the platform then holds.
func BenchmarkScalePublish(b *testing.B) {
	for _, adapters := range []int{200, 2000, 27000} {
		b.Run(fmt.Sprintf("adapters=%d", adapters), func(b *testing.B) {
			text := adaptersNote(adapters)
			var parse time.Duration
			var head Head
			for range b.N {
				store := objectapi.New()
				start := time.Now()
				note := mustParse(b, text)
				parse += time.Since(start)
				p := &Publisher{Store: store, Operator: "ana"}
				_, err := p.Publish(context.Background(), note)
				assert.NilError(b, err)
				head, err = ReadHead(context.Background(), store)
				assert.NilError(b, err)
			}
			value, err := head.encode()
			assert.NilError(b, err)
			b.ReportMetric(float64(parse.Milliseconds())/float64(b.N), "parse-ms")
			b.ReportMetric(float64(len(value)), "headB")
			b.ReportMetric(float64(len(head.SnapshotObjects)), "snapshot-objects")
		})
	}
}

// TestMain makes random tests draw the same on each run unless flags say
// otherwise.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			if err := f.Value.Set(value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}
