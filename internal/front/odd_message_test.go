package front

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/internal/bootclock"
	"github.com/redwingnotch/redwingnotch/platform"
)

// oddMessages are messages that another build, or another program, may send to the port.
var oddMessages = []string{
	`{"n":"p","a":"127.0.0.2","r":1,"q":2,"h":{"z":null}}`,
	`{"n":"p","a":"127.0.0.2","r":1,"q":3,"i":true,"h":{"z":null}}`,
	`{"n":"p","a":"127.0.0.2","r":1,"q":4,"h":{"z":{"h":true,"t":1}}}`,
	`{"n":"p","a":"127.0.0.2","r":1,"q":5,"i":true,"h":{"z":null}}`,
	`{"n":"p","a":"127.0.0.2","r":1,"q":6,"h":{"z":{"t":9,"o":null,"p":null,"b":{"s":null}}}}`,
	`{"n":"p","a":"127.0.0.2","r":1,"q":7,"v":[{}],"w":[{}],"c":[{}],"g":[{}],"e":[{}],"b":[{}],"p":[{}],"l":{"":-1}}`,
	`{"n":"p","a":"127.0.0.2","r":1,"q":8,"b":[{"e":1,"t":-9223372036854775808,"k":[1,2],"s":"/////w=="}],"j":[0],"ja":[-9223372036854775808]}`,
	`{"n":"p","a":"127.0.0.2","r":1,"q":9,"p":[{"k":0,"w":[0,0],"t":-1,"e":[0]}],"k":["","x","127.0.0.2"],"u":[""]}`,
	`{"n":"p","a":"not an address","r":-1,"q":18446744073709551615,"da":-1,"sa":-1,"s":-9223372036854775808,"d":18446744073709551615}`,
	`{"n":"p","a":"127.0.0.1","r":1,"q":1}`,
	`{"n":"p","a":"127.0.0.2","r":1,"q":10,"e":[{"ID":"s","Address":"","Slots":0,"Service":"x"},{"ID":"t","Slots":-1}]}`,
	`{"n":"p","a":"127.0.0.2","r":1,"q":11,"o":[{},{"i":"s","l":-1,"g":-9223372036854775808,"c":"slowed"},{"i":"s","l":1e308,"g":0,"c":"slowed"},{"i":"s","l":1,"c":"x"}]}`,
	`{"n":"p","a":"127.0.0.2","r":1,"q":12,"b":[{"e":1,"t":1,"k":[` + strings.Repeat("7,", 9000) + `7]}]}`,
}

// receiveOdd hands the node a datagram and lets it work, as its own goroutines do.
func (n *testNode) receiveOdd(data []byte) {
	m, err := decodeMessage(data)
	if err != nil {
		return
	}
	n.received(m)
	now := bootclock.Now().Add(2 * time.Second)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.decidePoison(now)
	n.dispatchWaiting(now)
	n.publish(now, sendAllNow)
}

// TestOddMessageEndsNoNode guards against a process that ends because of one malformed message
// of another node.
func TestOddMessageEndsNoNode(t *testing.T) {
	n := newTestNode(t, platform.Settings{}, "127.0.0.2")
	for _, text := range oddMessages {
		n.receiveOdd([]byte(text))
	}
	n.received(message{Node: "p", IP: "127.0.0.2", Zone: "z", Incarnation: 2, Sequence: 1, Ready: true})
	assert.Equal(t, n.peers.alive(bootclock.Now()), 1)
}

// FuzzPeerMessage guards against the same with messages that nobody thought of.
func FuzzPeerMessage(f *testing.F) {
	for _, text := range oddMessages {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		newTestNode(t, platform.Settings{}, "127.0.0.2").receiveOdd(data)
	})
}
