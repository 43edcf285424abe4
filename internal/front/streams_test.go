package front

import (
	"testing"

	"gotest.tools/v3/assert"

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
