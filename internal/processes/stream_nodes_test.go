package processes

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// frontNode is an entry node of the users' platform, a process that is started again whenever it
// has ended.
type frontNode struct {
	name, host, zone string

	program string
	dir     string
	conf    string // settings without first_start
	logf    func(format string, args ...any)

	mu      sync.Mutex
	cmd     *exec.Cmd
	starts  int
	stopped bool // it is not started again
	delay   time.Duration
	done    chan struct{}
}

func (n *frontNode) directory() string { return n.host + ":" + directoryPort }
func (n *frontNode) logPath() string   { return filepath.Join(n.dir, n.name+".log") }

// run starts the process and starts it again whenever it has ended, until stop.
func (n *frontNode) run() error {
	if err := n.start(); err != nil {
		return err
	}
	n.done = make(chan struct{})
	go func() {
		defer close(n.done)
		for n.waitAndStart() {
		}
	}()
	return nil
}

// waitAndStart waits for the end of the process and starts it again, unless it was stopped.
func (n *frontNode) waitAndStart() bool {
	n.mu.Lock()
	cmd := n.cmd
	n.mu.Unlock()
	err := cmd.Wait()
	n.mu.Lock()
	stopped, delay := n.stopped, n.delay
	n.mu.Unlock()
	if stopped {
		return false
	}
	n.logf("node %s has ended: %v; back in %v", n.name, err, delay)
	time.Sleep(delay)
	if err := n.start(); err != nil {
		n.logf("node %s: %v", n.name, err)
		return false
	}
	return true
}

func (n *frontNode) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	settings := filepath.Join(n.dir, n.name+".conf")
	if err := os.WriteFile(settings, fmt.Appendf(nil, "%s\nfirst_start=%t\n", n.conf, n.starts == 0), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(n.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(n.program, "front", "--metrics-port", metricsPort)
	cmd.Env = append(os.Environ(), "REDWINGNOTCH_SETTINGS="+settings)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if n.stopped {
		return nil
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	n.cmd = cmd
	n.starts++
	n.logf("node %s starts, run %d, process %d", n.name, n.starts, cmd.Process.Pid)
	return nil
}

// signal sends a signal to the process. It is back after the delay if that ends it.
func (n *frontNode) signal(s syscall.Signal, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = delay
	n.logf("node %s gets signal %v", n.name, s)
	_ = n.cmd.Process.Signal(s) // fails if it has ended
}

// stop ends the process for good.
func (n *frontNode) stop() {
	n.mu.Lock()
	n.stopped = true
	_ = n.cmd.Process.Kill() // fails if it has ended
	n.mu.Unlock()
	<-n.done
}

// ready asks the node whether it is ready, as the platform does.
func (n *frontNode) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + n.host + ":" + readyPort + "/-/readiness")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// faults returns what the node wrote that no node must write.
func (n *frontNode) faults() []string {
	text, err := os.ReadFile(n.logPath())
	if err != nil {
		return []string{err.Error()}
	}
	var found []string
	for _, fault := range []string{"event=invariant_violated", "DATA RACE", "panic:"} {
		if strings.Contains(string(text), fault) {
			found = append(found, fault)
		}
	}
	return found
}

// reasons returns the node's reason for how it ended each request, by the request's ID.
func (n *frontNode) reasons() map[string]string {
	text, err := os.ReadFile(n.logPath())
	if err != nil {
		return nil
	}
	found := map[string]string{}
	for line := range strings.Lines(string(text)) {
		if id, reason := logValue(line, "id"), logValue(line, "reason"); strings.Contains(line, "event=request ") && id != "" {
			found[id] = reason
		}
	}
	return found
}

// logValue returns the value of a key in a log line.
func logValue(line, key string) string {
	_, rest, found := strings.Cut(line, " "+key+"=")
	if !found {
		return ""
	}
	value, _, _ := strings.Cut(strings.TrimSpace(rest), " ")
	return value
}
