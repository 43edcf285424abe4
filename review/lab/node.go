package lab

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"time"
)

// RestartDelay is the time after which an entry node that has ended is started again.
const RestartDelay = time.Second

// Zones are the availability zones of a deployment, one node in each.
var Zones = []string{"sk-central-a", "sk-central-b", "sk-central-c"}

// Node is one entry node: a process with the command of the deploy file.
type Node struct {
	Name, Zone, Callers, Ready string

	record  *Record
	dir     string
	program string
	conf    string // settings without first_start
	metrics int

	mu      sync.Mutex
	cmd     *exec.Cmd
	stopped bool // it is not started again
	exits   int  // ends that the case did not cause
	starts  int
	done    chan struct{}
}

// freePort returns a port that is free on all the addresses, for TCP and UDP.
func freePort(ips []string) (int, error) {
	for range 100 {
		first, err := net.Listen("tcp", net.JoinHostPort(ips[0], "0"))
		if err != nil {
			return 0, err
		}
		port := first.Addr().(*net.TCPAddr).Port
		first.Close()
		if portIsFree(ips, port) {
			return port, nil
		}
	}
	return 0, fmt.Errorf("no free port")
}

func portIsFree(ips []string, port int) bool {
	for _, ip := range ips {
		address := fmt.Sprintf("%s:%d", ip, port)
		l, err := net.Listen("tcp", address)
		if err != nil {
			return false
		}
		l.Close()
		u, err := net.ListenPacket("udp4", address)
		if err != nil {
			return false
		}
		u.Close()
	}
	return true
}

// StartNodes starts an entry node in each zone and waits until all are ready.
func StartNodes(record *Record, program, dir, storeAddress string) ([]*Node, error) {
	var ips []string
	for i := range Zones {
		ips = append(ips, fmt.Sprintf("127.0.38.%d", i+2))
	}
	var ports []int
	for range 6 {
		p, err := freePort(ips)
		if err != nil {
			return nil, err
		}
		ports = append(ports, p)
	}
	var nodes []*Node
	for i, zone := range Zones {
		ip := ips[i]
		at := func(k int) string { return fmt.Sprintf("%s:%d", ip, ports[k]) }
		lines := []string{
			"node=front-" + zone + "-1", "role=entry", "machine_class=front", "serves=front,control,directory",
			"ip_address=" + ip, "zone=" + zone, "region=sk-central",
			"listen_addresses.front=" + at(0), "listen_addresses.ready=" + at(1),
			"listen_addresses.control=" + at(2), "listen_addresses.directory=" + at(3),
			fmt.Sprintf("internal_port_range=%d,%d", ports[4], ports[4]),
			fmt.Sprintf("seed_nodes=%s:%d,%s:%d,%s:%d", ips[0], ports[2], ips[1], ports[2], ips[2], ports[2]),
			"counted_in_tolerance=false", "limits.cpu_share=0.4", "limits.cores=1", "limits.memory_mb=284",
			"limits.file_descriptors=4100", "limits.link_mbps=1000.0", "limits.disk_mb=0",
			"discovery=platform", "entry=directory", "heartbeat_interval_ms=1200",
			"contracts=base,drain,config,cost,retry,recover,fleet,stream,engine,platform",
			"fault_tolerance.machines=2", "fault_tolerance.zones=0", "fault_tolerance.regions=0",
			"bounds.seed_lag_s=3", "bounds.address_reuse_s=2", "bounds.contact_ms=3000", "bounds.ack_timeout_ms=4000",
			"bounds.catch_up_s=4", "bounds.drain_timeout_ms=2000", "bounds.grace_period_s=8", "bounds.loss_slack_ms=200",
			"bounds.config_apply_ms=2000", "bounds.rollback_slack_ms=250", "bounds.outer_bound_ms=5000",
			"bounds.retry_budget_ratio=0.2", "bounds.retry_window_s=10", "bounds.retry_budget_slack=58",
			"bounds.recovery_s=12", "bounds.pass_ms=120", "bounds.retry_after_s=0", "bounds.fencing_enforced=false",
			"bounds.lease_ms=3000", "bounds.thaw_slack_ms=300", "bounds.ceiling_window_s=5", "bounds.ceiling_overage=1.1",
			"bounds.ttl_max_s=5", "platform.address=" + storeAddress, "platform.form=objects",
			"platform.writes_per_s=400", "platform.reads_per_s=2000", "platform.history_s=20",
			"platform.value_bytes=1048576", "platform.min_ttl_ms=1000",
		}
		for _, z := range Zones {
			lines = append(lines, "zones."+z+"=sk-central")
		}
		nodes = append(nodes, &Node{Name: "front-" + zone + "-1", Zone: zone, Callers: at(0), Ready: at(1), record: record, dir: dir,
			program: program, conf: strings.Join(lines, "\n"), metrics: ports[5], done: make(chan struct{})})
	}
	for _, n := range nodes {
		if err := n.start(); err != nil {
			StopNodes(nodes)
			return nil, err
		}
		go n.supervise()
	}
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, n := range nodes {
			if n.IsReady() {
				ready++
			}
		}
		if ready == len(nodes) {
			return nodes, nil
		}
		if time.Now().After(deadline) {
			StopNodes(nodes)
			return nil, fmt.Errorf("%d of %d nodes are ready", ready, len(nodes))
		}
	}
}

// start starts the process.
func (n *Node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopped {
		return nil
	}
	settings := filepath.Join(n.dir, n.Name+".conf")
	text := fmt.Sprintf("%s\nfirst_start=%t\n", n.conf, n.starts == 0)
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(n.LogPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(n.program, "front", "--metrics-port", fmt.Sprint(n.metrics))
	cmd.Env = []string{"REDWINGNOTCH_SETTINGS=" + settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	started.Store(cmd.Process.Pid, cmd.Process)
	n.cmd = cmd
	n.starts++
	n.record.Logf("node %s starts, run %d", n.Name, n.starts)
	return nil
}

// LogPath returns the file of the process's output.
func (n *Node) LogPath() string { return filepath.Join(n.dir, n.Name+".log") }

// supervise starts the process again whenever it has ended.
func (n *Node) supervise() {
	defer close(n.done)
	for {
		n.mu.Lock()
		cmd := n.cmd
		n.mu.Unlock()
		err := cmd.Wait()
		n.mu.Lock()
		stopped := n.stopped
		if !stopped {
			n.exits++
		}
		n.mu.Unlock()
		if stopped {
			return
		}
		n.record.Logf("node %s has ended: %v", n.Name, err)
		time.Sleep(RestartDelay)
		if err := n.start(); err != nil {
			n.record.Logf("node %s: %v", n.Name, err)
			return
		}
	}
}

// Kill kills the process, which is then started again.
func (n *Node) Kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.record.Logf("node %s is killed", n.Name)
	n.exits--
	_ = n.cmd.Process.Kill() // fails if it has ended
}

// Exits returns how often the process ended by itself.
func (n *Node) Exits() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.exits
}

// IsReady asks the node whether it is ready, as the platform does.
func (n *Node) IsReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + n.Ready + "/-/readiness")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// started are the processes that were started, by their ids.
var started sync.Map

// KillAll ends all processes that were started and have not ended.
func KillAll() {
	started.Range(func(_, process any) bool {
		_ = process.(*os.Process).Kill() // fails if it has ended
		return true
	})
}

// StopNodes ends all processes.
func StopNodes(nodes []*Node) {
	for _, n := range nodes {
		n.mu.Lock()
		n.stopped = true
		if n.cmd != nil {
			_ = n.cmd.Process.Kill() // fails if it has ended
		}
		n.mu.Unlock()
	}
	for _, n := range nodes {
		select {
		case <-n.done:
		case <-time.After(2 * RestartDelay):
		}
	}
}

// panicLines is the number of lines that Panic returns.
const panicLines = 12

// folders matches the folders of source files.
var folders = regexp.MustCompile(`\t/\S*/(?:\S+/)`)

// Panic returns the first lines of the last panic that the process printed, "" if it printed
// none.
func (n *Node) Panic() string {
	text, err := os.ReadFile(n.LogPath())
	if err != nil {
		return ""
	}
	at := strings.LastIndex(string(text), "panic: ")
	if at < 0 {
		return ""
	}
	lines := strings.Split(folders.ReplaceAllString(string(text[at:]), ""), "\n")
	return strings.Join(lines[:min(panicLines, len(lines))], "\n")
}
