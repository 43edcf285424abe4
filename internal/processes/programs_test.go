package processes

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// programs is the directory of the built programs.
var programs string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

// buildAndRun builds the programs once for all tests.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "redwingnotch-processes-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	programs = dir
	args := append([]string{"build"}, raceFlags...)
	args = append(args, "-o", dir, "../../cmd/redwingnotch", "../../cmd/rwnctl")
	if out, err := exec.Command("go", args...).CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// Ports of every daemon, outside the range from which the system picks ports.
// Each daemon has a loopback address of its own.
const (
	callerPort = "18080"
	peerPort   = "18081"
	adminPort  = "18082"
)

// hosts counts the loopback addresses given out.
var hosts atomic.Int32

// newHost returns a loopback address that no other daemon of this or another
// test process uses.
func newHost() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>8%254, pid&0xff, 1+hosts.Add(1))
}

// output collects what a process writes. Safe for concurrent use.
type output struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.Write(p)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.String()
}

// daemon is one entry node, which may be started several times.
type daemon struct {
	t    *testing.T
	name string
	host string
	env  []string
	log  *output // of all starts

	cmd    *exec.Cmd
	exited chan struct{} // closed when the process was waited for
}

func (d *daemon) callers() string { return net.JoinHostPort(d.host, callerPort) }
func (d *daemon) admin() string   { return net.JoinHostPort(d.host, adminPort) }

// start starts the process.
func (d *daemon) start() {
	d.t.Helper()
	cmd := exec.Command(filepath.Join(programs, "redwingnotch"))
	cmd.Env = append(os.Environ(), d.env...)
	cmd.Stdout = d.log
	cmd.Stderr = d.log
	assert.NilError(d.t, cmd.Start())
	exited := make(chan struct{})
	go func() {
		defer close(exited)
		_ = cmd.Wait() // its result is in ProcessState
	}()
	d.cmd = cmd
	d.exited = exited
}

// signal sends a signal to the process, which must run.
func (d *daemon) signal(s syscall.Signal) {
	d.t.Helper()
	assert.NilError(d.t, d.cmd.Process.Signal(s), d.name)
}

// kill ends the process at once.
func (d *daemon) kill() {
	d.t.Helper()
	d.signal(syscall.SIGKILL)
	<-d.exited
}

// running tells whether the process has not ended, frozen ones included.
func (d *daemon) running() bool {
	select {
	case <-d.exited:
		return false
	default:
		return true
	}
}

// end kills the process if it runs. It shows the log if the test failed, and
// fails the test if the daemon found a broken invariant or a data race.
func (d *daemon) end() {
	if d.cmd != nil && d.running() {
		_ = d.cmd.Process.Kill()
		<-d.exited
	}
	text := d.log.String()
	for _, fault := range []string{"event=invariant_violated", "DATA RACE", "panic:"} {
		if strings.Contains(text, fault) {
			d.t.Errorf("%s wrote %q", d.name, fault)
		}
	}
	if d.t.Failed() {
		d.t.Logf("log of %s:\n%s", d.name, text)
	}
}

// result is how a run of the operators' tool ended.
type result struct {
	code   int
	out    string
	errOut string
}

// rwnctl runs the operators' tool.
func rwnctl(t *testing.T, args ...string) result {
	t.Helper()
	var out, errOut bytes.Buffer
	cmd := exec.Command(filepath.Join(programs, "rwnctl"), args...)
	cmd.Stdout = &out
	cmd.Stderr = &errOut
	err := cmd.Run()
	if _, ended := err.(*exec.ExitError); err != nil && !ended {
		t.Errorf("rwnctl: %v", err)
	}
	return result{code: cmd.ProcessState.ExitCode(), out: out.String(), errOut: errOut.String()}
}

// Bounds of waits: far beyond what a condition takes on a busy machine.
const (
	waitLimit = time.Minute
	waitPoll  = 20 * time.Millisecond
)

// waitFor waits until the condition holds.
func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(waitLimit); !holds(); time.Sleep(waitPoll) {
		if time.Now().After(end) {
			t.Fatalf("waited in vain: %s", what)
		}
	}
}
