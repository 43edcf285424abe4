package processes

import (
	"bytes"
	"flag"
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

// binaryDir is the directory of the built programs.
var binaryDir string

func TestMain(m *testing.M) {
	if text := os.Getenv(serverVariable); text != "" {
		os.Exit(runModelServer(text))
	}
	flag.Parse()
	os.Exit(buildAndTest(m))
}

// buildAndTest builds the programs once and runs all tests.
func buildAndTest(m *testing.M) int {
	dir, err := os.MkdirTemp("", "redwingnotch-processes-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binaryDir = dir
	args := append([]string{"build"}, raceFlags...)
	args = append(args, "-o", dir, "../../cmd/redwingnotch", "../../cmd/rwnctl")
	if out, err := exec.Command("go", args...).CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// Ports of every daemon, outside the ephemeral port range. Each daemon has its own
// loopback address.
const (
	callerPort = "18080"
	peerPort   = "18081"
	adminPort  = "18082"
)

// hostCount is the number of loopback addresses handed out.
var hostCount atomic.Int32

// newHost returns a loopback address that no other daemon uses. It contains the
// process ID, so that concurrent test processes don't collide.
func newHost() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>8%254, pid&0xff, 1+hostCount.Add(1))
}

// output collects the output of a process. It is safe for concurrent use.
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

// daemon is an entry node process, which may be started several times.
type daemon struct {
	t    *testing.T
	name string
	host string
	env  []string
	log  *output // output of all starts

	cmd    *exec.Cmd
	exited chan struct{} // closed when the process has exited
}

// callers returns the address for callers.
func (d *daemon) callers() string { return net.JoinHostPort(d.host, callerPort) }

// admin returns the admin address.
func (d *daemon) admin() string { return net.JoinHostPort(d.host, adminPort) }

// start starts the process.
func (d *daemon) start() {
	d.t.Helper()
	cmd := exec.Command(filepath.Join(binaryDir, "redwingnotch"))
	cmd.Env = append(os.Environ(), d.env...)
	cmd.Stdout = d.log
	cmd.Stderr = d.log
	assert.NilError(d.t, cmd.Start())
	exited := make(chan struct{})
	go func() {
		defer close(exited)
		_ = cmd.Wait() // the result is in ProcessState
	}()
	d.cmd = cmd
	d.exited = exited
}

// signal sends a signal to the process, which must be running.
func (d *daemon) signal(s syscall.Signal) {
	d.t.Helper()
	assert.NilError(d.t, d.cmd.Process.Signal(s), d.name)
}

// kill sends SIGKILL and waits for the process to exit.
func (d *daemon) kill() {
	d.t.Helper()
	d.signal(syscall.SIGKILL)
	<-d.exited
}

// running reports whether the process has not exited. A frozen process counts as
// running.
func (d *daemon) running() bool {
	select {
	case <-d.exited:
		return false
	default:
		return true
	}
}

// cleanup kills the process if it is running. It fails the test if the daemon
// logged an invariant violation, a data race or a panic, and prints the log of a
// failed test.
func (d *daemon) cleanup() {
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

// result is the exit code and the output of a run of rwnctl.
type result struct {
	exitCode int
	stdout   string
	stderr   string
}

// rwnctl runs the operators' tool rwnctl.
func rwnctl(t *testing.T, args ...string) result {
	t.Helper()
	var stdout, stderr bytes.Buffer
	cmd := exec.Command(filepath.Join(binaryDir, "rwnctl"), args...)
	cmd.Stdout = &stdout
	cmd.Stderr = &stderr
	err := cmd.Run()
	if _, exited := err.(*exec.ExitError); err != nil && !exited {
		t.Errorf("rwnctl: %v", err)
	}
	return result{exitCode: cmd.ProcessState.ExitCode(), stdout: stdout.String(), stderr: stderr.String()}
}

// Timeout and polling interval of waitFor. The timeout is far longer than any
// condition takes on a busy machine.
const (
	waitTimeout  = time.Minute
	waitInterval = 20 * time.Millisecond
)

// waitFor waits until the condition holds, and fails the test on timeout.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !condition(); time.Sleep(waitInterval) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}
