package resumption_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/replicas"
	"github.com/redwingnotch/redwingnotch/resumption"
)

var modelSeeds = flag.Int("model-seeds", 15, "number of seeds of the model")

// Times of the model.
const (
	step       = 50 * time.Millisecond
	runTime    = 2 * time.Minute
	life       = 17 * time.Second       // time limit of most callers
	longLife   = 50 * time.Second       // time limit of the others
	syncEvery  = 300 * time.Millisecond // least time between two lists of the servers
	syncSpread = 800 * time.Millisecond // a list may come so much later
	drain      = 2 * time.Second
	maxGap     = 3600 * time.Millisecond
	peerAlive  = 1200 * time.Millisecond
	calmFor    = 3 * time.Second // a node without trouble for so long has to take streams up
	nodeCount  = 8
	minTakenUp = 12 // of which half must go on
	service    = "s"
)

// mutation is a fault of the nodes that the model must show.
type mutation uint8

const (
	sound         mutation = iota
	forgetRecords          // nodes do not keep the records that others send them
	guessAtStart           // a node believes what it has seen since its start to be all
	takeNewest             // a node takes a stream that nobody knows to be of the newest version
	trustEntries           // a node takes the process that responds for the start in the server's entry
)

// modelServer is a backend server; its fields are the truth.
type modelServer struct {
	entry replicas.Entry
	gone  bool
}

// modelNode is an entry node.
type modelNode struct {
	name         string
	up           bool
	troubleUntil time.Time // frozen, cut off, or down, until then
	frozen       bool
	trouble      time.Time // end of the last trouble
	records      *resumption.Records
	history      *resumption.History
	table        *replicas.Table
	heard        map[string]time.Time
	nextSync     time.Time
}

// modelStream is a stream and what its caller has of it.
type modelStream struct {
	id      string
	version string // of the first event
	node    *modelNode
	server  *modelServer
	start   int64 // of the server
	expires time.Time
	again   time.Time // when the caller takes it up; zero while it runs
	tries   int
}

// model is a fleet in virtual time.
type model struct {
	t        *testing.T
	rng      *rand.Rand
	now      time.Time
	mutation mutation
	nodes    []*modelNode
	servers  []*modelServer
	streams  []*modelStream
	messages []modelMessage
	revision uint64
	versions int       // versions so far
	storeOut time.Time // until when the store is away
	nextID   int

	joined, takenUp, wentOn int
}

// modelMessage is a record under way.
type modelMessage struct {
	at time.Time
	to *modelNode
	r  resumption.Record
}

func newModel(t *testing.T, seed uint64, m mutation) *model {
	w := &model{t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_000_000, 0), mutation: m, versions: 1}
	for range 8 {
		w.addServer("v1")
	}
	for i := range nodeCount {
		n := &modelNode{name: fmt.Sprintf("10.0.0.%d", i+1)}
		w.start(n)
		w.nodes = append(w.nodes, n)
	}
	return w
}

func (w *model) addServer(version string) {
	w.nextID++
	w.revision++
	id := fmt.Sprintf("i-%d", w.nextID)
	w.servers = append(w.servers, &modelServer{entry: replicas.Entry{ID: id, Revision: w.revision, Start: int64(w.nextID), Service: service, Software: version, Address: id + ":1", Slots: 100}})
}

// start gives the node an empty memory.
func (w *model) start(n *modelNode) {
	n.up, n.frozen = true, false
	n.records, n.history, n.table = resumption.NewRecords(), resumption.NewHistory(maxGap), replicas.NewTable()
	n.heard, n.nextSync = map[string]time.Time{}, w.now
}

func (w *model) chance(p float64) bool { return w.rng.Float64() < p }

// able reports whether the node works and reaches others.
func (w *model) able(n *modelNode) bool { return n.up && !w.now.Before(n.troubleUntil) }

// disturb makes the fleet's troubles.
func (w *model) disturb() {
	if w.chance(0.02) {
		n := w.nodes[w.rng.IntN(len(w.nodes))]
		w.hit(n, w.rng.IntN(3))
	}
	if w.chance(0.002) {
		share := []float64{0.5, 1}[w.rng.IntN(2)]
		for _, n := range w.nodes {
			if w.chance(share) {
				w.hit(n, 0)
			}
		}
		if share == 1 && w.chance(0.3) {
			w.replaceServers()
		}
	}
	if w.chance(0.003) {
		w.storeOut = w.now.Add(time.Duration(w.rng.IntN(5000)) * time.Millisecond)
	}
	if w.chance(0.015) {
		w.addServer(w.someVersion())
	}
	if s := w.servers[w.rng.IntN(len(w.servers))]; w.chance(0.01) && len(w.servers) > 6 {
		s.gone = true
		w.revision++
	}
	if s := w.servers[w.rng.IntN(len(w.servers))]; w.chance(0.01) && !s.gone {
		w.restart(s, w.someVersion())
	}
}

// someVersion returns the newest version or the one before, and sometimes a new one.
func (w *model) someVersion() string {
	if w.chance(0.3) {
		w.versions++
	}
	return fmt.Sprintf("v%d", max(1, w.versions-w.rng.IntN(2)))
}

// restart starts a server again under its ID and address.
func (w *model) restart(s *modelServer, version string) {
	w.nextID++
	w.revision++
	s.entry.Revision, s.entry.Start, s.entry.Software = w.revision, int64(w.nextID), version
}

// replaceServers ends all servers and starts others of a new version.
func (w *model) replaceServers() {
	w.versions++
	for _, s := range w.servers {
		if !s.gone {
			s.gone = true
			w.addServer(fmt.Sprintf("v%d", w.versions))
		}
	}
}

// hit kills the node, cuts it off or freezes it.
func (w *model) hit(n *modelNode, kind int) {
	if !w.able(n) {
		return
	}
	n.troubleUntil = w.now.Add(500*time.Millisecond + time.Duration(w.rng.IntN(5000))*time.Millisecond)
	n.trouble = n.troubleUntil
	n.up, n.frozen = kind != 0, kind == 1
	n.nextSync = n.troubleUntil.Add(w.syncDelay())
}

// syncDelay returns a time until the next list of the servers.
func (w *model) syncDelay() time.Duration {
	return syncEvery + time.Duration(w.rng.IntN(int(syncSpread)))
}

// sync lets the node read the servers and hear of the others.
func (w *model) sync(n *modelNode) {
	if !n.up && !w.now.Before(n.troubleUntil) {
		w.start(n)
	}
	if !w.able(n) || w.now.Before(n.nextSync) || w.now.Before(w.storeOut) {
		return
	}
	n.nextSync = w.now.Add(w.syncDelay())
	listed := map[string]bool{}
	for _, s := range w.servers {
		if !s.gone {
			listed[s.entry.ID] = true
			n.table.SetEntry(w.now, s.entry)
		}
	}
	for _, e := range n.table.Entries() {
		if !listed[e.ID] {
			n.table.Remove(w.now, e.ID, w.revision)
		}
	}
	n.history.Confirm(w.now)
}

func (w *model) hear() {
	for _, n := range w.nodes {
		for _, other := range w.nodes {
			if n != other && w.able(n) && w.able(other) && w.chance(0.9) {
				n.heard[other.name] = w.now
			}
		}
	}
}

func (w *model) peers(n *modelNode) []string {
	var alive []string
	for name, at := range n.heard {
		if w.now.Sub(at) < peerAlive {
			alive = append(alive, name)
		}
	}
	return alive
}

func (w *model) named(name string) *modelNode {
	for _, n := range w.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

// span is how long a stream can last, as far as the node knows.
func (w *model) span(n *modelNode) time.Duration {
	return max(life, n.records.LongestLife(w.now))
}

// only is the only version that the node knows the service to have had.
func (w *model) only(n *modelNode) string {
	versions := n.table.Softwares(w.now, service, w.span(n))
	if len(versions) != 1 || w.mutation != guessAtStart && !n.history.Covers(w.now, w.span(n), drain) {
		return ""
	}
	return versions[0]
}

// answer is what a node without a record says of a stream.
func (w *model) answer(n *modelNode) resumption.Answer {
	return resumption.Answer{Origin: resumption.Origin{Service: service, Software: w.only(n)}, Seen: n.table.Softwares(w.now, service, w.span(n))}
}

// originOf is what the node learns of a stream.
func (w *model) originOf(n *modelNode, id string) (resumption.Origin, resumption.Source) {
	if r, found := n.records.Find(w.now, id); found {
		return r.Origin, resumption.OwnRecord
	}
	asked := resumption.HoldersOf(id, w.peers(n), resumption.Asked)
	var answers []resumption.Answer
	for _, name := range asked {
		other := w.named(name)
		if !w.able(other) || !w.able(n) || w.chance(0.01) {
			continue
		}
		a := w.answer(other)
		if r, found := other.records.Find(w.now, id); found {
			a = resumption.Answer{Known: true, Origin: r.Origin}
		}
		answers = append(answers, a)
	}
	origin, source := resumption.Conclude(service, w.answer(n), len(n.heard) > 0, answers)
	if source == resumption.Unknown && w.mutation == takeNewest {
		if versions := n.table.Softwares(w.now, service, 0); len(versions) > 0 {
			return resumption.Origin{Service: service, Software: versions[len(versions)-1]}, resumption.OnlyVersion
		}
	}
	return origin, source
}

// serverOf returns a server that lives and that the node believes to be of the version, unless
// empty, and whether the node finds that its entry is that of the server's start.
func (w *model) serverOf(n *modelNode, version string) (server *modelServer, believed string, confirmed bool) {
	var found []*modelServer
	for _, s := range w.servers {
		if e, known := n.table.Entry(s.entry.ID); known && !s.gone && (version == "" || e.Software == version) {
			found = append(found, s)
		}
	}
	if len(found) == 0 {
		return nil, "", false
	}
	s := found[w.rng.IntN(len(found))]
	e, _ := n.table.Entry(s.entry.ID)
	return s, e.Software, e.Start == s.entry.Start || w.mutation == trustEntries
}

// begin begins a stream at a node.
func (w *model) begin() {
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	s, version, confirmed := w.serverOf(n, "")
	if !n.up || n.frozen && !w.able(n) || s == nil {
		return
	}
	if !confirmed {
		version = ""
	}
	limit := life
	if w.chance(0.1) {
		limit = longLife
	}
	w.nextID++
	st := &modelStream{id: fmt.Sprintf("r%d", w.nextID), version: s.entry.Software, node: n, server: s, start: s.entry.Start, expires: w.now.Add(limit)}
	r := resumption.Record{ID: st.id, Origin: resumption.Origin{Service: service, Software: version}, Expires: st.expires}
	n.records.Add(w.now, r)
	for _, name := range resumption.HoldersOf(st.id, w.peers(n), resumption.Holders) {
		if w.able(n) && !w.chance(0.05) && w.mutation != forgetRecords {
			delay := time.Duration(1+w.rng.IntN(5)) * time.Millisecond
			if w.chance(0.03) {
				delay = time.Duration(w.rng.IntN(3000)) * time.Millisecond
			}
			w.messages = append(w.messages, modelMessage{w.now.Add(delay), w.named(name), r})
		}
	}
	w.streams = append(w.streams, st)
}

// deliver delivers the records that have arrived.
func (w *model) deliver() {
	var left []modelMessage
	for _, m := range w.messages {
		switch {
		case m.at.After(w.now):
			left = append(left, m)
		case w.able(m.to):
			m.to.records.Add(w.now, m.r)
		}
	}
	w.messages = left
}

// advance goes on with a stream and reports whether it has not ended.
func (w *model) advance(st *modelStream) bool {
	if !w.now.Before(st.expires) {
		return false
	}
	if st.again.IsZero() {
		if w.chance(0.01) {
			return false // complete
		}
		if !st.node.up || st.server.gone || st.server.entry.Start != st.start || !w.able(st.node) && !st.node.frozen || w.chance(0.02) {
			st.again = w.now.Add(time.Duration(20+w.rng.IntN(500)) * time.Millisecond)
		}
		return true
	}
	if w.now.Before(st.again) {
		return true
	}
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	if !n.up || n.frozen && !w.able(n) {
		return true // it tries another one
	}
	if st.tries++; st.tries > 4 {
		return false
	}
	st.again = w.now.Add(100 * time.Millisecond)
	origin, source := w.originOf(n, st.id)
	calm := w.able(n) && w.now.Sub(n.trouble) > calmFor && !w.now.Before(w.storeOut) && w.serversOf(n, st.version) >= 2
	if calm {
		w.takenUp++
	}
	if source == resumption.Unknown || origin.Software == "" {
		return true
	}
	s, _, confirmed := w.serverOf(n, origin.Software)
	if s == nil || !confirmed {
		return true
	}
	if s.entry.Software != st.version {
		w.joined++
	}
	if calm {
		w.wentOn++
	}
	n.records.Add(w.now, resumption.Record{ID: st.id, Origin: origin, Expires: st.expires})
	st.node, st.server, st.start, st.again = n, s, s.entry.Start, time.Time{}
	return true
}

// serversOf returns how many servers of the version live and are known to the node.
func (w *model) serversOf(n *modelNode, version string) int {
	count := 0
	for _, s := range w.servers {
		if _, known := n.table.Entry(s.entry.ID); known && !s.gone && s.entry.Software == version {
			count++
		}
	}
	return count
}

// run plays the fleet's time.
func (w *model) run() {
	for end := w.now.Add(runTime); w.now.Before(end); w.now = w.now.Add(step) {
		w.disturb()
		w.hear()
		for _, n := range w.nodes {
			w.sync(n)
		}
		w.deliver()
		if w.chance(0.5) {
			w.begin()
		}
		var left []*modelStream
		for _, st := range w.streams {
			if w.advance(st) {
				left = append(left, st)
			}
		}
		w.streams = left
	}
}

// TestModelStreamsKeepTheirVersion guards against streams that hold events of two software
// versions, and against nodes that refuse most of those that could go on.
func TestModelStreamsKeepTheirVersion(t *testing.T) {
	for seed := range uint64(*modelSeeds) {
		w := newModel(t, seed, sound)
		w.run()
		assert.Equal(t, w.joined, 0, "seed %d: streams hold events of two versions", seed)
		if w.takenUp >= minTakenUp {
			assert.Assert(t, 2*w.wentOn >= w.takenUp, "seed %d: %d of %d streams went on", seed, w.wentOn, w.takenUp)
		}
	}
}

// TestModelShowsMutations checks that the model would show the faults that it guards against.
func TestModelShowsMutations(t *testing.T) {
	for name, m := range map[string]mutation{"forgotten records": forgetRecords, "guess at the start": guessAtStart, "newest version": takeNewest, "entries of other starts": trustEntries} {
		t.Run(name, func(t *testing.T) {
			shown := false
			for seed := uint64(0); seed < 40 && !shown; seed++ {
				w := newModel(t, seed, m)
				w.run()
				shown = w.joined > 0 || w.takenUp >= minTakenUp && 2*w.wentOn < w.takenUp
			}
			assert.Assert(t, shown)
		})
	}
}
