package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/redwingnotch/redwingnotch/platform"
	"github.com/redwingnotch/redwingnotch/standin/objectapi"
)

// Times and sizes of a trial.
const (
	storeDelay     = 4 * time.Millisecond // time that the store takes for each answer
	readyTimeout   = 20 * time.Second     // time within which a node that was started must be ready
	pollInterval   = 50 * time.Millisecond
	portSpan       = 15 // further ports of the range for traffic between nodes
	maxLogLine     = 1 << 20
	recordFileMode = 0o644
)

// trial is one run of a case: its record, the store and all processes that it has started.
type trial struct {
	trouble bool   // the disruption is brought about
	temp    string // folder for settings and logs
	began   time.Time

	mu   sync.Mutex
	file *os.File

	store        *objectapi.API
	storeAddress string
	nodes        []*node
	servers      []*exec.Cmd
}

// newTrial opens the record and starts the store.
func newTrial(folder string) (*trial, error) {
	file, err := os.OpenFile(filepath.Join(folder, "record.txt"), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, recordFileMode)
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "review-trial-")
	if err != nil {
		return nil, errors.Join(err, file.Close())
	}
	t := &trial{trouble: os.Getenv("TROUBLE") != "0", temp: temp, began: time.Now(), file: file, store: objectapi.New()}
	t.store.Faults.SetDelay(storeDelay)
	if t.storeAddress, err = t.store.Start("127.0.0.1:0"); err != nil {
		return nil, errors.Join(err, file.Close())
	}
	t.record("trouble: %v", t.trouble)
	return t, nil
}

// record writes a line to the record, with the time since the start.
func (t *trial) record(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, _ = fmt.Fprintf(t.file, "%8.3f  %s\n", time.Since(t.began).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes that the trial has started.
func (t *trial) close() {
	for _, n := range t.nodes {
		n.end()
	}
	for _, s := range t.servers {
		_ = s.Process.Kill() // fails if it has ended
		_ = s.Wait()
	}
	t.store.Close()
	_ = os.RemoveAll(t.temp)
	_ = t.file.Close()
}

// put writes an object of the operator or of a backend server and returns when the call was sent.
// The store has acknowledged it when put returns.
func (t *trial) put(kind platform.Kind, name string, value any) (time.Time, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return time.Time{}, err
	}
	sent, version := time.Now(), uint64(0)
	if old, err := t.store.Get(context.Background(), kind, name); err == nil {
		version = old.Version
	}
	_, err = t.store.Put(context.Background(), kind, name, data, version, "writer")
	return sent, err
}

// bounds are the lines of the settings file that depend on neither the node nor the deployment.
const bounds = `discovery=platform
entry=directory
heartbeat_interval_ms=1200
fault_tolerance.machines=2
bounds.seed_lag_s=3
bounds.address_reuse_s=2
bounds.grace_period_s=8
bounds.loss_slack_ms=200
bounds.rollback_slack_ms=250
bounds.retry_budget_ratio=0.2
bounds.retry_window_s=10
bounds.fencing_enforced=false
bounds.lease_ms=3000
bounds.thaw_slack_ms=300
bounds.ceiling_window_s=5
bounds.ceiling_overage=1.1
bounds.ttl_max_s=5
platform.form=objects
platform.history_s=20
platform.value_bytes=1048576
limits.cores=1
limits.disk_mb=0
`

// siteBounds are the further lines by deployment.
var siteBounds = map[string]string{
	siteTocka: `bounds.contact_ms=3000
bounds.ack_timeout_ms=4000
bounds.catch_up_s=4
bounds.drain_timeout_ms=2000
bounds.config_apply_ms=2000
bounds.outer_bound_ms=5000
bounds.retry_budget_slack=58
bounds.recovery_s=12
bounds.pass_ms=120
platform.writes_per_s=400
platform.reads_per_s=2000
limits.cpu_share=0.4
limits.memory_mb=284
limits.file_descriptors=4100
limits.link_mbps=1000.0
`,
	siteCoralbay: `bounds.contact_ms=4000
bounds.ack_timeout_ms=6000
bounds.catch_up_s=6
bounds.drain_timeout_ms=3000
bounds.config_apply_ms=3000
bounds.outer_bound_ms=6000
bounds.fail_closed=true
bounds.revocation_ms=5000
bounds.retry_budget_slack=220
bounds.quota_window_s=8
bounds.quota_overage=0.1
bounds.quota_slack=110000
bounds.recovery_s=15
bounds.pass_ms=200
platform.writes_per_s=1200
platform.reads_per_s=6000
limits.cpu_share=0.8
limits.memory_mb=536
limits.file_descriptors=8192
limits.link_mbps=200.0
`,
}

// Deployments whose bounds the cases use.
const (
	siteTocka    = "tocka-prod"
	siteCoralbay = "coralbay-bne-grown"
)

// node is an entry node, a process of its own.
type node struct {
	name, callers, ready, control, directory string
	ip, zone, settings, log                  string
	metricsPort                              int
	process                                  *exec.Cmd
	done                                     chan error // receives the result of Wait
}

// startNodes starts entry nodes of the deployment, one a zone, and waits until all are ready.
func (t *trial) startNodes(site string, zones ...string) error {
	peerPort, err := freePort("udp", "127.0.0.1")
	if err != nil {
		return err
	}
	var seeds []string
	for i, zone := range zones {
		n := &node{name: fmt.Sprintf("front-%s-1", zone), ip: fmt.Sprintf("127.0.%d.%d", 40+os.Getpid()%100, i+1), zone: zone}
		for _, address := range []*string{&n.callers, &n.ready, &n.control, &n.directory} {
			port, err := freePort("tcp", n.ip)
			if err != nil {
				return err
			}
			*address = fmt.Sprintf("%s:%d", n.ip, port)
		}
		if n.metricsPort, err = freePort("tcp", n.ip); err != nil {
			return err
		}
		seeds = append(seeds, n.control)
		t.nodes = append(t.nodes, n)
	}
	for _, n := range t.nodes {
		text := fmt.Sprintf("node=%s\nrole=entry\nmachine_class=front\nserves=front,control,directory\nip_address=%s\nzone=%s\nregion=region\n", n.name, n.ip, n.zone)
		for _, zone := range zones {
			text += fmt.Sprintf("zones.%s=region\n", zone)
		}
		text += fmt.Sprintf("listen_addresses.front=%s\nlisten_addresses.ready=%s\nlisten_addresses.control=%s\nlisten_addresses.directory=%s\ninternal_port_range=%d,%d\nseed_nodes=%s\nfirst_start=true\nplatform.address=%s\n",
			n.callers, n.ready, n.control, n.directory, peerPort, peerPort+portSpan, strings.Join(seeds, ","), t.storeAddress)
		n.settings, n.log = filepath.Join(t.temp, n.name+".conf"), filepath.Join(t.temp, n.name+".log")
		if err := os.WriteFile(n.settings, []byte(text+bounds+siteBounds[site]), recordFileMode); err != nil {
			return err
		}
		if err := n.start(); err != nil {
			return err
		}
	}
	for _, n := range t.nodes {
		if err := n.awaitReady(); err != nil {
			return err
		}
	}
	t.record("%d entry nodes are ready", len(t.nodes))
	return nil
}

// freePort returns a port of the IP that is free at the moment.
func freePort(network, ip string) (int, error) {
	if network == "udp" {
		c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(ip)})
		if err != nil {
			return 0, err
		}
		return c.LocalAddr().(*net.UDPAddr).Port, c.Close()
	}
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	return l.Addr().(*net.TCPAddr).Port, l.Close()
}

// start starts the node's process with the command of the deploy file.
func (n *node) start() error {
	out, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, recordFileMode)
	if err != nil {
		return err
	}
	defer out.Close()
	n.process = exec.Command("target/redwingnotch", "front", "--metrics-port", fmt.Sprint(n.metricsPort))
	n.process.Env = append(os.Environ(), platform.SettingsVariable+"="+n.settings)
	n.process.Stdout, n.process.Stderr = out, out
	if err := n.process.Start(); err != nil {
		return err
	}
	n.done = make(chan error, 1)
	go func(p *exec.Cmd, done chan<- error) { done <- p.Wait() }(n.process, n.done)
	return nil
}

// awaitReady waits until the node says that it is ready.
func (n *node) awaitReady() error {
	for began := time.Now(); time.Since(began) < readyTimeout; time.Sleep(pollInterval) {
		resp, err := http.Get("http://" + n.ready + platform.PathReadiness)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready within %v", n.name, readyTimeout)
}

// end kills the node's process, unless it has ended, and waits for it.
func (n *node) end() {
	if n.process == nil || n.process.Process == nil {
		return
	}
	_ = n.process.Process.Signal(syscall.SIGKILL) // fails if it has ended
	<-n.done
	n.process = nil
}

// logLines returns the lines of the node's log that hold the text.
func (n *node) logLines(text string) []string {
	file, err := os.Open(n.log)
	if err != nil {
		return nil
	}
	defer file.Close()
	var lines []string
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		if strings.Contains(scanner.Text(), text) {
			lines = append(lines, scanner.Text())
		}
	}
	return lines
}
