package front

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/credentials"
	"github.com/redwingnotch/redwingnotch/internal/bootclock"
	"github.com/redwingnotch/redwingnotch/platform"
)

// keyedNode returns a node whose desired state has a team, with one other node.
func keyedNode(t testing.TB, other string) *testNode {
	n := newTestNode(t, platform.Settings{Bounds: platform.Bounds{FailClosed: true, RevocationTimeout: 5 * time.Second, ConfigApplyTimeout: 3 * time.Second}}, other)
	assert.NilError(t, n.setDesired(stateOf(4)))
	return n
}

// stateOf returns the store's object of a desired state with a team.
func stateOf(version int) platform.Object {
	return platform.Object{Name: platform.ConfigName, Version: uint64(version),
		Value: fmt.Appendf(nil, `{"version":%d,"routes":[],"services":[],"tenants":[{"name":"a","api_keys":["k"]}]}`, version)}
}

// nextConfirm returns the next datagram about confirmations at a peer.
func (n *testNode) nextConfirm(ip string) confirmMessage {
	buffer := make([]byte, maxDatagram)
	for {
		assert.NilError(n.t, n.sockets[ip].SetReadDeadline(time.Now().Add(5*time.Second)))
		size, err := n.sockets[ip].Read(buffer)
		assert.NilError(n.t, err)
		if !bytes.HasPrefix(buffer[:size], confirmDatagramPrefix) {
			continue
		}
		var d confirmDatagram
		assert.NilError(n.t, json.Unmarshal(buffer[:size], &d))
		return *d.Confirm
	}
}

// receiveText hands the node a datagram in its wire form.
func (n *testNode) receiveText(format string, values ...any) {
	assert.Assert(n.t, n.receiveConfirm(fmt.Appendf(nil, format, values...)))
}

// Guards against datagrams that differ from the wire format, an age that is rounded down, and a node
// that passes on the confirmation of another as its own.
func TestNodeRepliesWithItsOwnConfirmation(t *testing.T) {
	const other = "127.0.0.2"
	n, now := keyedNode(t, other), bootclock.Now()
	n.keys.checker.Confirm(now)                                // by a reply of a third node
	n.receiveText(`{"confirm":{"a":"127.0.0.9","q":{"k":1}}}`) // unknown nodes get no reply
	n.receiveText(`{"confirm":{"a":"127.0.0.2","q":{"k":18446744073709551615}}}`)
	assert.DeepEqual(t, *n.nextConfirm(other).Reply, confirmReply{Key: 1<<64 - 1, Version: 4})
	n.keys.readDone(now, []platform.Object{stateOf(4)}, nil)
	n.answerWaiting(true)
	assert.Assert(t, *n.nextConfirm(other).Reply.AgeMS >= 1, "the query is answered once more after the read")
	data, err := json.Marshal(confirmDatagram{&confirmMessage{IP: "1.2.3.4", Reply: n.keys.reply(now.Add(1001*time.Microsecond), 7)}})
	assert.NilError(t, err)
	assert.Equal(t, string(data), `{"confirm":{"a":"1.2.3.4","w":{"k":7,"d":4,"da":2}}}`)
}

// Guards against a reply that counts from when it was received, or without its query, and against a
// node that does not read the store when a reply names a newer version.
func TestReplyConfirmsAsOfItsQuery(t *testing.T) {
	const other = "127.0.0.2"
	n := keyedNode(t, other)
	began := bootclock.Now()
	n.sync.Tick(began, false)
	n.sync.ReadDone(began, began, 1, nil, false)
	assert.Assert(t, !n.sync.Tick(began.Add(500*time.Millisecond), false).Read)
	n.mu.Lock()
	n.peers.byIP[other].VMClass = 9 // the other watches the desired state
	n.reconcileKeys(began)
	sent := began.Add(750 * time.Millisecond) // one interval
	n.reconcileKeys(sent)
	n.mu.Unlock()
	key := n.nextConfirm(other).Query.Key
	for _, reply := range []string{`"d":4`, `"d":4,"da":-20`, `"d":4,"da":9223372036854775807`, `"d":5,"da":0`} {
		n.receiveText(`{"confirm":{"a":"127.0.0.2","w":{"k":%d,%s}}}`, key, reply)
	}
	n.receiveText(`{"confirm":{"a":"127.0.0.2","w":{"k":%d,"d":4,"da":20}}}`, key+1)
	assert.Equal(t, n.keys.checker.Age(began), time.Duration(-1))
	assert.Assert(t, n.sync.Tick(bootclock.Now(), false).Read)
	n.receiveText(`{"confirm":{"a":"127.0.0.2","w":{"k":%d,"d":4,"da":20}}}`, key)
	assert.Equal(t, n.keys.checker.Age(sent), 20*time.Millisecond)
	assert.Equal(t, n.keys.source, other)
	assert.Equal(t, n.keys.check(credentials.ParseKey([]string{"Token x"})).Result, credentials.Behind)
}

// Guards against nodes that ask one that does not watch the desired state, because the order of those
// that they ask is not the order of succession.
func TestAskedNodesAreInTheOrderOfSuccession(t *testing.T) {
	ips, now := []string{"10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4"}, bootclock.Now()
	for _, asker := range ips {
		seen := newPeers(now, platform.Settings{IP: asker})
		for _, ip := range ips {
			if p := seen.add(now, ip); p != nil {
				p.Node, p.received = ip, now
			}
		}
		for i, ip := range seen.succession(now) {
			own := newPeers(now, platform.Settings{IP: ip})
			for _, other := range ips {
				if p := own.add(now, other); p != nil && other != asker {
					p.Node, p.received = other, now
				}
			}
			assert.Equal(t, own.countSuccessors(now, ""), i, "%s asks %s", asker, ip)
		}
	}
}

// Guards against a watch that confirms more than it shows: one that has ended early, with a change or
// with an error, and one of a store without a desired state.
func TestWatchConfirmsNoMoreThanItShows(t *testing.T) {
	n := keyedNode(t, "127.0.0.2")
	now, wait := bootclock.Now(), time.Second
	age := func() time.Duration { return n.keys.checker.OwnAge(now).Truncate(time.Millisecond) }
	n.keys.watchDone(now.Add(-time.Second), wait, nil, errors.New("reset"))
	assert.Assert(t, n.keys.checker.OwnAge(now) < 0)
	n.keys.watchDone(now.Add(-900*time.Millisecond), wait, nil, nil)
	assert.Equal(t, age(), 900*time.Millisecond, "ended early")
	n.keys.watchDone(now.Add(-800*time.Millisecond), wait, []platform.Event{{Object: stateOf(4)}}, nil)
	assert.Equal(t, age(), 800*time.Millisecond, "with a change")
	n.keys.watchDone(now.Add(-1700*time.Millisecond), wait, nil, nil)
	assert.Equal(t, age(), 700*time.Millisecond)
	n.keys.watchDone(now, wait, []platform.Event{{Object: stateOf(4), Deleted: true}}, nil)
	n.keys.watchDone(now, wait, nil, nil)
	n.keys.readDone(now, nil, nil)
	assert.Equal(t, age(), 700*time.Millisecond, "there is no desired state")
	n.keys.readDone(now, []platform.Object{stateOf(4)}, nil)
	assert.Equal(t, age(), time.Duration(0))
}

// BenchmarkConfirmQuery measures a query and its reply at the node that watches the desired state,
// with the system call.
func BenchmarkConfirmQuery(b *testing.B) {
	n := keyedNode(b, "127.0.0.2")
	n.keys.readDone(bootclock.Now().Add(time.Hour), []platform.Object{stateOf(4)}, nil)
	query := []byte(`{"confirm":{"a":"127.0.0.2","q":{"k":18446744073709551615}}}`)
	for b.Loop() {
		n.receiveConfirm(query)
	}
}
