package front

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/configsync"
	"github.com/redwingnotch/redwingnotch/internal/bootclock"
	"github.com/redwingnotch/redwingnotch/platform"
	"github.com/redwingnotch/redwingnotch/replicas"
)

// softwareEntry returns the entry of a server of the service s with the version of its software.
func softwareEntry(id, software string) replicas.Entry {
	return replicas.Entry{ID: id, Revision: 1, Start: 1, Service: "s", Software: software, Address: id + ":1", Slots: 1}
}

// TestAnswerTellsVersionsSeen guards against an answer that hides from the node that asks that the
// service has several versions, so that it believes another node which has seen one only.
func TestAnswerTellsVersionsSeen(t *testing.T) {
	n := newTestNode(t, platform.Settings{})
	for id, software := range map[string]string{"s1": "v1", "s2": "v2", "s3": "v3"} {
		n.table.SetEntry(bootclock.Now(), softwareEntry(id, software))
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	a := n.answerStream(bootclock.Now(), streamQuestion{Key: 1, ID: "r1", Service: "s"})
	assert.Equal(t, a.Only, "")
	assert.DeepEqual(t, a.Seen, []string{"v1", "v2"})
}

// TestDelayedMessageDoesNotConfirmServers guards against a node that stood still and takes a message
// that lay in its socket meanwhile for a statement about now: it would claim that the service has
// had one version only, and miss one that came while it stood still.
func TestDelayedMessageDoesNotConfirmServers(t *testing.T) {
	n := newTestNode(t, platform.Settings{HeartbeatInterval: 1200 * time.Millisecond, Bounds: platform.Bounds{DrainTimeout: 2 * time.Second}}, "127.0.0.2")
	from := bootclock.Now()
	n.table.SetEntry(from, softwareEntry("s1", "v1"))
	digest, age := n.table.Digest(), int64(0)
	sequence := uint64(1)
	only := func(sent, delay time.Duration) string {
		sequence++
		at := from.Add(sent + delay)
		n.receivedAt(at, message{Node: "p", IP: "127.0.0.2", Zone: "z", Incarnation: 1, Sequence: sequence, SentMS: 1 + sent.Milliseconds(), ServersDigest: &digest, ServersAgeMS: &age})
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.viewOf(at, "s").Origin.Software
	}
	var sent time.Duration
	for ; sent < n.longestStream(from)+time.Second; sent += 500 * time.Millisecond {
		only(sent, time.Millisecond)
	}
	assert.Equal(t, only(sent, time.Millisecond), "v1")
	assert.Equal(t, only(sent+100*time.Millisecond, 3*time.Second), "", "sent before the node stood still")
	assert.Equal(t, only(sent+3*time.Second, 110*time.Millisecond), "v1", "sent just now")
}

// TestDelayedMessageDoesNotConfirmDesiredState guards against a node that stood still and calls its
// routes current by a message from before.
func TestDelayedMessageDoesNotConfirmDesiredState(t *testing.T) {
	age := int64(10)
	m := message{ConfirmedAgeMS: &age}
	assert.Equal(t, m.confirmedAge(20*time.Second), 20*time.Second+10*time.Millisecond)
	n := newTestNode(t, platform.Settings{}, "127.0.0.2")
	n.sync = configsync.New(bootclock.Now(), configsync.Settings{ApplyTimeout: 2 * time.Second})
	now := bootclock.Now()
	n.sync.PutInForce(now, 7)
	receive := func(at time.Time, sequence uint64, sent time.Duration) {
		n.receivedAt(at, message{Node: "p", IP: "127.0.0.2", Zone: "z", Incarnation: 1, Sequence: sequence, SentMS: 1 + sent.Milliseconds(), DesiredVersion: 7, ConfirmedAgeMS: &age})
	}
	receive(now, 2, 0)
	thawed := now.Add(20 * time.Second)
	receive(thawed, 3, 100*time.Millisecond) // sent before the node stood still
	assert.Assert(t, n.sync.Status(thawed).ConfirmedAge > 19*time.Second, "%v", n.sync.Status(thawed).ConfirmedAge)
}

// question lets the node ask a peer for a stream of the service, and hands it the answers that
// answer returns for the question's key.
func (n *testNode) question(peer, service string, answer func(key uint64) []streamAnswer) map[string]streamAnswer {
	done := make(chan map[string]streamAnswer)
	go func() {
		done <- n.askStreams(n.t.Context(), []string{peer}, streamQuestion{ID: "r1", Service: service})
	}()
	buffer := make([]byte, maxDatagram)
	assert.NilError(n.t, n.sockets[peer].SetReadDeadline(time.Now().Add(5*time.Second)))
	size, err := n.sockets[peer].Read(buffer)
	assert.NilError(n.t, err)
	var d streamDatagram
	assert.NilError(n.t, json.Unmarshal(buffer[:size], &d))
	for _, a := range answer(d.Streams.Question.Key) {
		data, err := json.Marshal(streamDatagram{&streamMessage{IP: peer, Answer: &a}})
		assert.NilError(n.t, err)
		n.receiveStreams(data)
	}
	return <-done
}

// TestAnswerToEarlierProcessIsIgnored guards against a late answer to a question of the process
// before, at the same address, that counts for a question about another service.
func TestAnswerToEarlierProcessIsIgnored(t *testing.T) {
	const peer = "127.0.0.2"
	n := newTestNode(t, platform.Settings{}, peer)
	var late uint64
	n.question(peer, "s", func(key uint64) []streamAnswer { late = key; return nil })
	restarted := newTestNode(t, platform.Settings{}, "127.0.0.3")
	restarted.sockets[peer], restarted.settings.PeerPort = n.sockets[peer], n.settings.PeerPort
	for { // the question of before was sent twice
		if m := n.nextMessage(peer); m == nil {
			break
		}
	}
	got := restarted.question(peer, "other", func(uint64) []streamAnswer { return []streamAnswer{{Key: late, Only: "v1"}} })
	assert.Equal(t, len(got), 0)
}

// TestOnlyVersionCoversLongTimeLimits guards against a stream of a caller with a longer time limit
// than the usual that is taken to be of the only version, although the version that began it left
// while its caller could still come back.
func TestOnlyVersionCoversLongTimeLimits(t *testing.T) {
	const peer = "127.0.0.2"
	n := newTestNode(t, platform.Settings{HeartbeatInterval: 1200 * time.Millisecond, Bounds: platform.Bounds{DrainTimeout: 2 * time.Second}}, peer)
	from := bootclock.Now()
	n.table.SetEntry(from, softwareEntry("s1", "v1"))
	n.table.SetEntry(from, softwareEntry("s2", "v2"))
	n.table.Remove(from, "s1", 2)
	now := from
	for ; now.Before(from.Add(45 * time.Second)); now = now.Add(time.Second) {
		n.serversFollowed.Confirm(now)
	}
	only := func() string {
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.viewOf(now, "s").Origin.Software
	}
	assert.Equal(t, only(), "v2")
	data, err := json.Marshal(streamDatagram{&streamMessage{IP: peer, Began: &streamState{ID: "r1", Service: "s", Software: "v2", LeftMS: 60_000}}})
	assert.NilError(t, err)
	n.receiveStreams(data)
	assert.Equal(t, only(), "", "callers may wait for 60 s")
}
