package processes

import (
	"fmt"
	"time"

	"github.com/redwingnotch/redwingnotch/standin/modelserver"
)

// deploymentPlan is what differs between the deployments whose entry nodes are run.
type deploymentPlan struct {
	name       string
	region     string
	zones      []string
	nodes      int
	slots      int // of a model server
	conns      int // that a model server takes
	events     int // of a stream
	gapMS      int // longest pause of a stream that is on time
	targetMS   int // of unhurried streams
	retrySlack int
}

var deploymentPlans = []deploymentPlan{
	{name: "tocka-prod", region: "sk-central", zones: []string{"sk-central-a", "sk-central-b", "sk-central-c"}, nodes: 9,
		slots: 24, conns: 210, events: 12, gapMS: 500, targetMS: 6000, retrySlack: 58},
	{name: "colacion-gt", region: "gt-central", zones: []string{"escuintla", "mixco", "villanueva"}, nodes: 8,
		slots: 64, conns: 370, events: 14, gapMS: 400, targetMS: 5000, retrySlack: 56},
	{name: "three", region: "sk-central", zones: []string{"sk-central-a", "sk-central-b", "sk-central-c"}, nodes: 3,
		slots: 24, conns: 210, events: 12, gapMS: 500, targetMS: 6000, retrySlack: 58},
}

// Names of the desired state.
const (
	streamHost   = "ficu95.example"
	mainEngine   = "repair-llm"
	secondEngine = "spare-llm"
	plainService = "orders-api"
)

// streamRoute is a route of streams, as the callers know it.
type streamRoute struct {
	name, path string
	resumable  bool
	timeout    time.Duration
	target     time.Duration
	gap        time.Duration
}

// longestPause returns the pause after which callers abandon a stream.
func (r streamRoute) longestPause() time.Duration {
	return max(2*time.Second, 4*r.target, 8*r.gap)
}

// streamRoutes returns the routes of streams. The second is the one whose services change.
func (p deploymentPlan) streamRoutes() []streamRoute {
	gap := time.Duration(p.gapMS) * time.Millisecond
	return []streamRoute{
		{name: "unhurried", path: "/sums/", resumable: true, timeout: 17 * time.Second, target: time.Duration(p.targetMS) * time.Millisecond, gap: gap},
		{name: "moving", path: "/moves/", resumable: true, timeout: 17 * time.Second, target: 600 * time.Millisecond, gap: 300 * time.Millisecond},
		{name: "chat", path: "/chat/", timeout: 5 * time.Second, target: 400 * time.Millisecond, gap: gap},
	}
}

// desired returns a version of the desired state. weights are those of the services of the second
// route.
func (p deploymentPlan) desired(version int, weights map[string]float64) map[string]any {
	var list []map[string]any
	for i, r := range p.streamRoutes() {
		route := map[string]any{"name": r.name, "host": streamHost, "path_prefix": r.path, "kind": "streaming", "timeout_ms": r.timeout.Milliseconds(),
			"target_latency_ms": r.target.Milliseconds(), "target_gap_ms": r.gap.Milliseconds(), "priority": i, "max_attempts": 2, "resumable": r.resumable,
			"sticky_sessions": true}
		setServices(route, map[string]float64{mainEngine: 1})
		if i == 1 {
			setServices(route, weights)
		}
		list = append(list, route)
	}
	for _, kind := range []string{"safe", "unsafe"} {
		list = append(list, map[string]any{"name": kind, "host": streamHost, "path_prefix": "/" + kind + "/", "kind": kind, "timeout_ms": 1500,
			"target_latency_ms": 150, "priority": 1, "max_attempts": 2, "service": plainService})
	}
	var models []map[string]any
	for _, name := range engineModels {
		m := modelStore[name]
		models = append(models, map[string]any{"name": name, "weights_mb": m.SizeMB, "load_time_s": m.LoadTime.Seconds(), "disk_load_s": m.DiskLoadTime.Seconds(), "warm_s": 0.4})
	}
	services := []map[string]any{{"name": plainService, "health_check_path": modelserver.HealthPath, "max_connections": 110}}
	for _, name := range []string{mainEngine, secondEngine} {
		services = append(services, map[string]any{"name": name, "health_check_path": modelserver.HealthPath, "max_connections": p.conns, "engine": map[string]any{
			"slots": p.slots, "kv_cache_tokens": 212161, "weights_mb": serverMemoryMB, "adapter_slots": 8, "loads_per_s": 5.2, "models": models}})
	}
	return map[string]any{"version": version, "routes": list, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 30000}}
}

func setServices(route map[string]any, weights map[string]float64) {
	delete(route, "service")
	delete(route, "traffic_split")
	var split []map[string]any
	for _, name := range []string{mainEngine, secondEngine} {
		if weights[name] == 1 {
			route["service"] = name
			return
		}
		split = append(split, map[string]any{"service": name, "weight": weights[name]})
	}
	route["traffic_split"] = split
}

// Models of the engines. A server has room for two of them.
const serverMemoryMB = 150_000

var (
	engineModels = []string{"m1", "m2", "m3"}
	modelStore   = map[string]modelserver.Model{
		"m1": {SizeMB: 65_100, LoadTime: 6 * time.Second, DiskLoadTime: time.Second},
		"m2": {SizeMB: 72_700, LoadTime: 6 * time.Second, DiskLoadTime: time.Second},
		"m3": {SizeMB: 72_700, LoadTime: 6 * time.Second, DiskLoadTime: time.Second},
	}
)

// settings returns the settings of an entry node, except first_start.
func (p deploymentPlan) settings(name, host, zone, store string, seeds []string) []string {
	lines := []string{
		"node=" + name, "role=entry", "machine_class=front", "serves=front,control,directory",
		"ip_address=" + host, "zone=" + zone, "region=" + p.region,
		"listen_addresses.front=" + host + ":" + frontPort, "listen_addresses.ready=" + host + ":" + readyPort,
		"listen_addresses.control=" + host + ":" + controlPort, "listen_addresses.directory=" + host + ":" + directoryPort,
		"internal_port_range=" + internalPort + "," + internalPort,
		"counted_in_tolerance=false", "limits.cpu_share=0.4", "limits.cores=1", "limits.memory_mb=284",
		"limits.file_descriptors=4100", "limits.link_mbps=1000.0", "limits.disk_mb=0",
		"discovery=platform", "entry=directory", "heartbeat_interval_ms=1200",
		"contracts=base,drain,config,cost,retry,recover,fleet,stream,engine,platform",
		"fault_tolerance.machines=2", "fault_tolerance.zones=0", "fault_tolerance.regions=0",
		"bounds.seed_lag_s=3", "bounds.address_reuse_s=2", "bounds.contact_ms=3000", "bounds.ack_timeout_ms=4000",
		"bounds.catch_up_s=4", "bounds.drain_timeout_ms=2000", "bounds.grace_period_s=8", "bounds.loss_slack_ms=200",
		"bounds.config_apply_ms=2000", "bounds.rollback_slack_ms=250", "bounds.outer_bound_ms=5000",
		"bounds.retry_budget_ratio=0.2", "bounds.retry_window_s=10", fmt.Sprint("bounds.retry_budget_slack=", p.retrySlack),
		"bounds.recovery_s=12", "bounds.pass_ms=120", "bounds.retry_after_s=0", "bounds.fencing_enforced=false",
		"bounds.lease_ms=3000", "bounds.thaw_slack_ms=300", "bounds.ceiling_window_s=5", "bounds.ceiling_overage=1.1",
		"bounds.ttl_max_s=5", "platform.address=" + store, "platform.form=objects",
		"platform.writes_per_s=400", "platform.reads_per_s=2000", "platform.history_s=20",
		"platform.value_bytes=1048576", "platform.min_ttl_ms=1000",
	}
	for i, seed := range seeds {
		if i == 0 {
			lines = append(lines, "seed_nodes="+seed)
		} else {
			lines[len(lines)-1] += "," + seed
		}
	}
	for _, z := range p.zones {
		lines = append(lines, "zones."+z+"="+p.region)
	}
	return lines
}

// Ports of every entry node, outside the ephemeral port range. Each has its own loopback address.
const (
	frontPort     = "18090"
	readyPort     = "18091"
	controlPort   = "18092"
	directoryPort = "18093"
	internalPort  = "18094"
	metricsPort   = "18095"
	storePort     = "18096"
)
