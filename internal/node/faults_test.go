package node_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// stallDetectionTime is the maximum time in which an unresponsive connection to a
// peer is detected: one poll with its slack, and the retry on a new connection.
const stallDetectionTime = 3 * time.Second

func TestUnresponsivePeerConnectionIsReplaced(t *testing.T) {
	inDeployment(t, 1, 2, func(t *testing.T, d *deployment) {
		_, other := d.controllerAndOther()
		assert.NilError(t, checkAnswer(d.send(other, "POST", "/v1/chat/completions", latheRequest), "lathe", latheRequest))
		d.peerFaults.StallConns()
		before := time.Now()
		assert.NilError(t, checkAnswer(d.send(other, "POST", "/v1/chat/completions", latheRequest), "lathe", latheRequest))
		answerTime := 16 * tokenTime
		assert.Assert(t, time.Since(before) <= stallDetectionTime+answerTime, "took %s", time.Since(before))
	})
}

func TestSlowCallersDoNotBlockOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t)
		defer d.close()
		d.maxConnections = 4
		d.addEngine("e1")
		d.start("n1")
		time.Sleep(startupTime)
		for range d.maxConnections {
			conn, err := d.network.Dial(t.Context(), "tcp", "n1:80")
			assert.NilError(t, err)
			defer conn.Close()
			go fmt.Fprint(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: n1\r\nX-Slow: ")
		}
		time.Sleep(time.Second)
		assert.NilError(t, checkAnswer(d.send("n1", "POST", "/v1/chat/completions", latheRequest), "lathe", latheRequest))
	})
}

func TestMalformedRequestsDoNotAffectOthers(t *testing.T) {
	inDeployment(t, 1, 1, func(t *testing.T, d *deployment) {
		for _, bytes := range []string{"\x00\x01\x02\r\n\r\n", "GET / HTTP/9.9\r\n\r\n", "POST /v1/chat/completions HTTP/1.1\r\nHost: n1\r\nContent-Length: 99\r\n\r\n{"} {
			conn, err := d.network.Dial(t.Context(), "tcp", "n1:80")
			assert.NilError(t, err)
			go func() {
				fmt.Fprint(conn, bytes)
				conn.Close()
			}()
		}
		assert.NilError(t, checkAnswer(d.send("n1", "POST", "/v1/chat/completions", latheRequest), "lathe", latheRequest))
	})
}

func TestReleaseOverridesRankSettings(t *testing.T) {
	inDeployment(t, 1, 1, func(t *testing.T, d *deployment) {
		d.publish("title: ranks\nranks:\n  urgent: {target: 1s, floor: 0.6, worth: 50}\n")
		time.Sleep(releasePropagationTime)
		assert.Equal(t, d.nodes["n1"].RankFloor(0), 0.6)
	})
}
