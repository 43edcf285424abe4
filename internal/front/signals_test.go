package front_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/internal/front"
	"github.com/redwingnotch/redwingnotch/internal/telemetry"
	"github.com/redwingnotch/redwingnotch/platform"
	"github.com/redwingnotch/redwingnotch/standin/rawhttp"
)

// nodeSettingsVariable holds the settings of the node that this binary runs instead of tests.
const nodeSettingsVariable = "FRONT_TEST_NODE_SETTINGS"

// TestMain runs a node if this process was started by nodeProcess, else the tests.
func TestMain(m *testing.M) {
	text := os.Getenv(nodeSettingsVariable)
	if text == "" {
		os.Exit(m.Run())
	}
	if err := runNode(text); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// runNode runs a node until the process is killed.
func runNode(settings string) error {
	var s platform.Settings
	if err := json.Unmarshal([]byte(settings), &s); err != nil {
		return err
	}
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		return err
	}
	return front.New(s, log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr)), metrics).Run(context.Background())
}

// nodeProcess runs a node in a process of its own and waits until it is ready and knows the servers.
func (c *cluster) nodeProcess(ip string) (*node, *os.Process) {
	n := &node{settings: c.settings(ip, 0)}
	settings, err := json.Marshal(n.settings)
	assert.NilError(c.t, err)
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), nodeSettingsVariable+"="+string(settings))
	cmd.Stderr = c
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	assert.NilError(c.t, cmd.Start())
	c.t.Cleanup(func() {
		_ = cmd.Process.Kill() // the test may have killed it
		_ = cmd.Wait()
	})
	c.eventually(func() bool {
		return c.status("http://"+n.settings.ReadyListen+platform.PathReadiness) == http.StatusOK &&
			strings.Count(c.text(), "event=server ") >= len(c.backends)
	})
	return n, cmd.Process
}

// TestKilledNodeLeavesNoCompleteStream guards against a stream that looks complete to its caller because
// the node's process was killed amid it: streams of servers with any framing, to callers of both versions of HTTP.
func TestKilledNodeLeavesNoCompleteStream(t *testing.T) {
	for _, framing := range rawhttp.Framings() {
		for _, protocol := range []string{"HTTP/1.0", "HTTP/1.1"} {
			t.Run(fmt.Sprint(framing, " ", protocol), func(t *testing.T) {
				c := newCluster(t)
				open := eventStream(framing, 1, 6, "")
				sent := strings.TrimSuffix(eventStream(framing, 1, 3, "").EncodedBody(), "0\r\n\r\n")
				open.Cut, open.End = len(sent), rawhttp.Open
				c.backendServer("s1", "llm", send(open))
				n, process := c.nodeProcess("127.0.0.1")
				conn := c.dial(n)
				_, err := io.WriteString(conn, strings.Replace(requestHead("/chat/x", "r1", 0), "HTTP/1.1", protocol, 1))
				assert.NilError(t, err)
				received := bufio.NewReader(conn)
				resp, err := http.ReadResponse(received, nil)
				assert.NilError(t, err)
				first := make([]byte, len(eventText(1, 3)))
				_, err = io.ReadFull(resp.Body, first)
				assert.NilError(t, err)
				assert.Equal(t, string(first), eventText(1, 3))
				assert.NilError(t, process.Kill())
				rest, err := io.ReadAll(resp.Body)
				assert.Equal(t, string(rest), "")
				assert.Assert(t, err != nil, "the answer looks complete")
			})
		}
	}
}

// TestFrozenNodeLosesNoEvent guards against events that are lost or come twice because the node's process
// stood still while its server went on.
func TestFrozenNodeLosesNoEvent(t *testing.T) {
	for _, path := range []string{"/chat/x", "/proof/x"} {
		t.Run(path, func(t *testing.T) {
			const events, pause = 30, 100 * time.Millisecond
			c := newCluster(t)
			serve := func(rw http.ResponseWriter, r *http.Request) {
				last := 0
				_, _ = fmt.Sscan(r.Header.Get(platform.HeaderLastEventID), &last) // zero if there is none
				for i := last + 1; i <= events; i++ {
					writeEvents(rw, i, i, false)
					time.Sleep(pause)
				}
			}
			c.backendServer("s1", "llm", serve)
			c.backendServer("s2", "llm", serve)
			n, process := c.nodeProcess("127.0.0.1")
			got := make(chan response)
			go func() {
				got <- c.call(n, http.MethodPost, path, "r1", platform.HeaderModel, "m", platform.HeaderDeadline, "9000")
			}()
			time.Sleep(events / 4 * pause)
			assert.NilError(t, process.Signal(syscall.SIGSTOP))
			time.Sleep(2500 * time.Millisecond) // longer than the pause of a server after which its stream is resumed
			assert.NilError(t, process.Signal(syscall.SIGCONT))
			r := <-got
			assert.Equal(t, r.body, eventText(1, events))
			assert.Assert(t, !r.truncated)
		})
	}
}
