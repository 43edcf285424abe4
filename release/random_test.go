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

// history runs random operations of operators, a store with faults and some nodes.
// The reference model is the encoded state of each version.
type history struct {
	store           *objectapi.API
	states          map[uint64][]byte // encoded state of each version, from the store
	acceptedWriters map[uint64]string // writer ID of each version that Publish reported as accepted
	unknown         []string          // writer IDs of notes with an unknown outcome
	nodes           []*Follower
	earlier         []Update // updates from the store that may be delivered again later
	now             time.Time
}

// startNode starts or restarts the node with the index i.
func (h *history) startNode(i int) {
	id := fleet.NodeID(fmt.Sprintf("entry-%d", i))
	h.nodes[i] = NewFollower(h.now, id, "zone", DefaultFollowerSettings(), rand.New(rand.NewPCG(1, 1)))
}

// publish publishes a random note, possibly with a fault of the store.
func (h *history) publish(t *rapid.T) {
	note, fs := ParseNote([]byte(modelNote(
		rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "model"), rapid.IntRange(1, 50).Draw(t, "slots"))))
	if fs != nil {
		t.Fatal(fs)
	}
	note.BasedOn = uint64(rapid.IntRange(0, 3).Draw(t, "base"))
	switch rapid.IntRange(0, 3).Draw(t, "fault") {
	case 1:
		h.store.Faults.DropResponses(rapid.IntRange(1, 6).Draw(t, "lost"))
	case 2:
		h.store.Faults.FailNext(1)
	}
	a, err := (&Publisher{Store: h.store, Operator: "ana", Now: func() time.Time { return h.now }}).Publish(context.Background(), note)
	h.store.Faults.DropResponses(0)
	h.store.Faults.FailNext(0)
	var unknown *UnknownError
	switch {
	case err == nil:
		if other, ok := h.acceptedWriters[a.Version]; ok {
			t.Fatalf("version %d accepted for both %s and %s", a.Version, other, a.ID)
		}
		h.acceptedWriters[a.Version] = a.ID
	case errors.As(err, &unknown):
		h.unknown = append(h.unknown, unknown.ID)
	}
	h.recordState(t)
}

// recordState records the state in the store. It fails if the state of a recorded
// version changed.
func (h *history) recordState(t *rapid.T) {
	head, state, err := ReadState(context.Background(), h.store)
	if err != nil {
		t.Fatal(err)
	}
	if known, ok := h.states[head.Version]; ok && !bytes.Equal(known, EncodeState(state)) {
		t.Fatalf("version %d changed", head.Version)
	}
	h.states[head.Version] = EncodeState(state)
}

// randomNode returns a random node.
func (h *history) randomNode(t *rapid.T) *Follower {
	return h.nodes[rapid.IntRange(0, len(h.nodes)-1).Draw(t, "node")]
}

// applyUpdate passes an update to a node. It fails if the node's version decreases, or
// if its state differs from the published one.
func (h *history) applyUpdate(t *rapid.T, n *Follower, from Source, u Update) {
	before := n.Version()
	n.HandleUpdate(h.now, h.now, from, u, nil)
	if n.Version() < before {
		t.Fatalf("version %d after %d", n.Version(), before)
	}
	if want, ok := h.states[n.Version()]; ok && !bytes.Equal(want, EncodeState(n.State())) {
		t.Fatalf("node's state at version %d differs from the one published", n.Version())
	}
}

// cloneUpdate returns a copy of the update with a state of its own, as if it had been
// sent over the network.
func cloneUpdate(u Update) Update {
	if u.State != nil {
		u.State = u.State.Clone()
	}
	return u
}

// readStore lets a random node read the store.
func (h *history) readStore(t *rapid.T) {
	n := h.randomNode(t)
	u, err := LoadUpdate(context.Background(), h.store, n.Version())
	if err != nil {
		t.Fatal(err)
	}
	h.earlier = append(h.earlier, cloneUpdate(u))
	h.applyUpdate(t, n, Source{}, u)
}

// readPeer lets a random node fetch from a random node.
func (h *history) readPeer(t *rapid.T) {
	n, peer := h.randomNode(t), h.randomNode(t)
	a, ok := peer.EncodedUpdate(n.Version())
	if !ok {
		return
	}
	u, err := a.Update()
	if err != nil {
		t.Fatal(err)
	}
	h.applyUpdate(t, n, Source{Peer: "peer"}, u)
}

// lateResponse delivers an earlier update again to a random node.
func (h *history) lateResponse(t *rapid.T) {
	if len(h.earlier) > 0 {
		h.applyUpdate(t, h.randomNode(t), Source{}, cloneUpdate(rapid.SampledFrom(h.earlier).Draw(t, "old")))
	}
}

func TestRandomHistories(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) {
		var failure any // rapid must recover the panic of a failed draw on its own goroutine
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
		store: objectapi.New(), states: map[uint64][]byte{}, acceptedWriters: map[uint64]string{},
		nodes: make([]*Follower, 3), now: time.Unix(1_700_000_000, 0),
	}
	for i := range h.nodes {
		h.startNode(i)
	}
	t.Repeat(map[string]func(*rapid.T){
		"publish":       h.publish,
		"read store":    h.readStore,
		"read peer":     h.readPeer,
		"late response": h.lateResponse,
		"restart":       func(t *rapid.T) { h.startNode(rapid.IntRange(0, len(h.nodes)-1).Draw(t, "restarted")) },
		"pass time":     func(*rapid.T) { h.now = h.now.Add(time.Second) },
	})
	h.checkEnd(t)
}

// checkEnd checks that no accepted version is lost, that unknown outcomes are
// resolved correctly, and that all nodes reach the store's version.
func (h *history) checkEnd(t *rapid.T) {
	head, err := ReadHead(context.Background(), h.store)
	if err != nil {
		t.Fatal(err)
	}
	for version, id := range h.acceptedWriters {
		if e, ok := head.findWriter(id); ok && e.Version != version {
			t.Fatalf("accepted as version %d, but the log has version %d", version, e.Version)
		} else if !ok && len(head.Log) < maxLogEntries {
			t.Fatalf("accepted version %d was lost", version)
		}
	}
	for _, id := range h.unknown {
		_, resolveErr := ResolveOutcome(context.Background(), h.store, id)
		if _, found := head.findWriter(id); found != (resolveErr == nil) {
			t.Fatalf("ResolveOutcome returned error %v, writer ID in the log: %v", resolveErr, found)
		}
	}
	for _, n := range h.nodes {
		u, err := LoadUpdate(context.Background(), h.store, n.Version())
		if err != nil {
			t.Fatal(err)
		}
		h.applyUpdate(t, n, Source{}, u)
		if n.Version() != head.Version {
			t.Fatalf("node at %d, store at %d", n.Version(), head.Version)
		}
	}
}

// BenchmarkScalePublish measures the time to parse and publish one note with all
// adapters, the size of the head object and the number of snapshot objects.
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

// TestMain fixes the seed of random tests and turns off failure files, unless
// flags set them.
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
