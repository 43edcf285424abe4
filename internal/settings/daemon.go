package settings

import (
	"fmt"
	"net"
	"net/url"
	"runtime/debug"
	"strings"
)

// Daemon holds the settings of redwingnotch.
type Daemon struct {
	Node        string `arg:"--node,env:REDWINGNOTCH_NODE" need:"true" help:"name of this node, unique in the deployment"`
	Region      string `arg:"--region,env:REDWINGNOTCH_REGION" default:"local" need:"true" help:"region of this node"`
	Zone        string `arg:"--availability-zone,env:REDWINGNOTCH_AVAILABILITY_ZONE" need:"true" help:"availability zone of this node"`
	Cell        string `arg:"--cell,env:REDWINGNOTCH_CELL" default:"cell-1" need:"true" help:"cell of backend servers that this node serves"`
	Peers       string `arg:"--join,env:REDWINGNOTCH_JOIN" help:"membership addresses (IP:port) of nodes to join, separated by commas; empty: those that the platform lists"`
	PlatformURL string `arg:"--platform-url,env:REDWINGNOTCH_PLATFORM_URL" need:"true" help:"URL of the platform's object API and VM list"`
	Secret      string `arg:"--peer-secret,env:REDWINGNOTCH_PEER_SECRET" need:"true" help:"secret that all nodes of a deployment share; set it by the environment"`

	CallerListen  string `arg:"--caller-listen,env:REDWINGNOTCH_CALLER_LISTEN" default:"127.0.0.1:8080" help:"IP:port on which callers are served"`
	CallerAddress string `arg:"--caller-address,env:REDWINGNOTCH_CALLER_ADDRESS" help:"IP:port told to callers; empty: the one listened on"`
	PeerListen    string `arg:"--peer-listen,env:REDWINGNOTCH_PEER_LISTEN" default:"127.0.0.1:8081" help:"IP:port for calls of other nodes (TCP) and membership (UDP)"`
	PeerAddress   string `arg:"--peer-address,env:REDWINGNOTCH_PEER_ADDRESS" help:"IP:port told to other nodes; empty: the one listened on"`
	AdminListen   string `arg:"--admin-listen,env:REDWINGNOTCH_ADMIN_LISTEN" default:"127.0.0.1:8082" help:"IP:port of metrics, health, readiness and the operators' interface"`

	MaxBody           Int      `arg:"--max-body,env:REDWINGNOTCH_MAX_BODY" default:"4194304" min:"1024" max:"268435456" help:"largest request body, bytes"`
	MaxHeader         Int      `arg:"--max-header,env:REDWINGNOTCH_MAX_HEADER" default:"32768" min:"4096" max:"1048576" help:"largest request header, bytes"`
	MaxConnections    Int      `arg:"--max-connections,env:REDWINGNOTCH_MAX_CONNECTIONS" default:"4096" min:"1" max:"1000000" help:"callers' connections open at once"`
	HeaderTimeout     Duration `arg:"--header-timeout,env:REDWINGNOTCH_HEADER_TIMEOUT" default:"5s" min:"10ms" max:"5m" help:"time for a caller to send a request header"`
	BodyTimeout       Duration `arg:"--body-timeout,env:REDWINGNOTCH_BODY_TIMEOUT" default:"30s" min:"10ms" max:"1h" help:"time for a caller to send a request body"`
	WriteTimeout      Duration `arg:"--write-timeout,env:REDWINGNOTCH_WRITE_TIMEOUT" default:"20s" min:"10ms" max:"1h" help:"time for a caller to take one piece of an answer"`
	IdleTimeout       Duration `arg:"--idle-timeout,env:REDWINGNOTCH_IDLE_TIMEOUT" default:"60s" min:"10ms" max:"1h" help:"time that a caller's connection may stay idle"`
	UrgentDeadline    Duration `arg:"--urgent-deadline,env:REDWINGNOTCH_URGENT_DEADLINE" default:"30s" min:"1ms" max:"24h" help:"time to answer an urgent request that names no deadline"`
	StandardDeadline  Duration `arg:"--standard-deadline,env:REDWINGNOTCH_STANDARD_DEADLINE" default:"2m" min:"1ms" max:"24h" help:"time to answer a standard request that names no deadline"`
	BulkDeadline      Duration `arg:"--bulk-deadline,env:REDWINGNOTCH_BULK_DEADLINE" default:"15m" min:"1ms" max:"24h" help:"time to answer a bulk request that names no deadline"`
	EntryTTL          Duration `arg:"--entry-ttl,env:REDWINGNOTCH_ENTRY_TTL" default:"5s" min:"10ms" max:"5m" help:"time for which callers may keep the list of addresses"`
	Tick              Duration `arg:"--tick,env:REDWINGNOTCH_TICK" default:"20ms" min:"1ms" max:"1s" help:"interval of the node's decisions"`
	ReportInterval    Duration `arg:"--report-interval,env:REDWINGNOTCH_REPORT_INTERVAL" default:"250ms" min:"10ms" max:"10s" help:"interval of reports asked of backend servers by the controller"`
	VMListInterval    Duration `arg:"--vm-list-interval,env:REDWINGNOTCH_VM_LIST_INTERVAL" default:"1s" min:"10ms" max:"1m" help:"interval at which the platform's VM list is read"`
	ControllerTimeout Duration `arg:"--controller-silence,env:REDWINGNOTCH_CONTROLLER_SILENCE" default:"2500ms" min:"10ms" max:"1m" help:"silence of the controller after which requests are dispatched directly; urgent ones after 300ms at most"`
	ShutdownTimeout   Duration `arg:"--shutdown-timeout,env:REDWINGNOTCH_SHUTDOWN_TIMEOUT" default:"15m" min:"1s" max:"24h" help:"time for running requests to finish before a stop cuts them"`
	KeyRetention      Duration `arg:"--key-retention,env:REDWINGNOTCH_KEY_RETENTION" default:"72h" min:"1s" max:"8760h" help:"time for which idempotency keys are remembered"`
	MaxKeys           Int      `arg:"--max-keys,env:REDWINGNOTCH_MAX_KEYS" default:"20000" min:"1" max:"10000000" help:"idempotency keys that this node remembers in memory"`

	UrgentTarget    Duration `arg:"--urgent-target,env:REDWINGNOTCH_URGENT_TARGET" default:"2s" min:"1ms" max:"24h" help:"first token of urgent requests is due within this time"`
	StandardTarget  Duration `arg:"--standard-target,env:REDWINGNOTCH_STANDARD_TARGET" default:"30s" min:"1ms" max:"24h" help:"first token of standard requests is due within this time"`
	BulkTarget      Duration `arg:"--bulk-target,env:REDWINGNOTCH_BULK_TARGET" default:"10m" min:"1ms" max:"24h" help:"first token of bulk requests is due within this time"`
	UrgentWorth     Float    `arg:"--urgent-worth,env:REDWINGNOTCH_URGENT_WORTH" default:"100" min:"0" max:"1e9" help:"worth of an urgent answer within target, units of account"`
	StandardWorth   Float    `arg:"--standard-worth,env:REDWINGNOTCH_STANDARD_WORTH" default:"10" min:"0" max:"1e9" help:"worth of a standard answer within target, units of account"`
	BulkWorth       Float    `arg:"--bulk-worth,env:REDWINGNOTCH_BULK_WORTH" default:"1" min:"0" max:"1e9" help:"worth of a bulk answer within target, units of account"`
	UrgentFloor     Float    `arg:"--urgent-floor,env:REDWINGNOTCH_URGENT_FLOOR" default:"0.5" min:"0" max:"1" help:"share of slot time kept for urgent requests in any overload"`
	StandardFloor   Float    `arg:"--standard-floor,env:REDWINGNOTCH_STANDARD_FLOOR" default:"0.2" min:"0" max:"1" help:"share of slot time kept for standard requests in any overload"`
	BulkFloor       Float    `arg:"--bulk-floor,env:REDWINGNOTCH_BULK_FLOOR" default:"0.1" min:"0" max:"1" help:"share of slot time kept for bulk requests in any overload"`
	StandardCeiling Float    `arg:"--standard-ceiling,env:REDWINGNOTCH_STANDARD_CEILING" default:"0.9" min:"0.01" max:"1" help:"share of a backend server's slots that standard and bulk requests may fill"`
	BulkCeiling     Float    `arg:"--bulk-ceiling,env:REDWINGNOTCH_BULK_CEILING" default:"0.75" min:"0.01" max:"1" help:"share of a backend server's slots that bulk requests may fill"`
	MaxWaiting      Int      `arg:"--max-waiting,env:REDWINGNOTCH_MAX_WAITING" default:"20000" min:"1" max:"10000000" help:"requests that wait at the controller at most, number"`

	IdleHourPrice     Float    `arg:"--idle-hour-price,env:REDWINGNOTCH_IDLE_HOUR_PRICE" default:"4" min:"0.000001" max:"1e9" help:"price of an accelerator that is loaded and idle, units of account per hour"`
	UrgentColdWorth   Float    `arg:"--urgent-cold-worth,env:REDWINGNOTCH_URGENT_COLD_WORTH" default:"1" min:"0" max:"1e9" help:"worth of sparing an urgent request a cold start, units of account"`
	StandardColdWorth Float    `arg:"--standard-cold-worth,env:REDWINGNOTCH_STANDARD_COLD_WORTH" default:"0.2" min:"0" max:"1e9" help:"worth of sparing a standard request a cold start, units of account"`
	BulkColdWorth     Float    `arg:"--bulk-cold-worth,env:REDWINGNOTCH_BULK_COLD_WORTH" default:"0.01" min:"0" max:"1e9" help:"worth of sparing a bulk request a cold start, units of account"`
	MinKeep           Duration `arg:"--min-keep,env:REDWINGNOTCH_MIN_KEEP" default:"1m" min:"1ms" max:"24h" help:"time for which an unused replica is kept at least"`
	MaxKeep           Duration `arg:"--max-keep,env:REDWINGNOTCH_MAX_KEEP" default:"2h" min:"1ms" max:"240h" help:"time for which an unused replica is kept at most"`

	LoadsPerSecond   Float `arg:"--loads-per-second,env:REDWINGNOTCH_LOADS_PER_SECOND" default:"3" min:"0.01" max:"10000" help:"model loads that the weight store takes, per second"`
	LoadsInFlight    Int   `arg:"--loads-in-flight,env:REDWINGNOTCH_LOADS_IN_FLIGHT" default:"4" min:"1" max:"10000" help:"model loads side by side at full speed, number"`
	AdaptersInFlight Int   `arg:"--adapters-in-flight,env:REDWINGNOTCH_ADAPTERS_IN_FLIGHT" default:"32" min:"1" max:"10000" help:"adapter loads side by side, number"`

	LogLevel   string `arg:"--log-level,env:REDWINGNOTCH_LOG_LEVEL" default:"info" choices:"debug|info|warn|error" help:"least level of logged events: debug, info, warn or error"`
	Invariants string `arg:"--invariants,env:REDWINGNOTCH_INVARIANTS" default:"report" choices:"panic|report|off" help:"what a broken invariant does: panic, report or off"`
	Pprof      bool   `arg:"--pprof,env:REDWINGNOTCH_PPROF" help:"serve profiles at /debug/pprof/ of the admin address"`
}

// Version returns the output of --version.
func (*Daemon) Version() string { return "redwingnotch " + buildVersion() }

// Description returns the first line of --help.
func (*Daemon) Description() string {
	return "Entry node of a serving system for rarely used models. SIGTERM stops it gracefully."
}

// Epilogue returns the last line of --help.
func (*Daemon) Epilogue() string {
	return "Exit codes: 0 stopped gracefully, 1 failed or aborted requests on shutdown, 2 invalid settings, 3 node name in use."
}

// DaemonSettings returns the settings of the daemon, to generate their documentation.
func DaemonSettings() []Setting { return SettingsOf(&Daemon{}) }

// buildVersion returns the module version of the binary.
func buildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "unknown"
	}
	return info.Main.Version
}

// minSecretBytes is the minimum length of the peer secret; shorter ones can be guessed.
const minSecretBytes = 16

// invalidSettings returns the invalid settings that the bounds in the tags don't cover.
func (d *Daemon) invalidSettings() []InvalidSetting {
	var invalidSettings []InvalidSetting
	add := func(flag, env, value, problem string) {
		invalidSettings = append(invalidSettings, InvalidSetting{Flag: flag, Env: "REDWINGNOTCH_" + env, Value: value, Problem: problem})
	}
	for _, a := range []struct{ flag, env, value string }{
		{"--caller-listen", "CALLER_LISTEN", d.CallerListen},
		{"--caller-address", "CALLER_ADDRESS", d.CallerAddress},
		{"--peer-listen", "PEER_LISTEN", d.PeerListen},
		{"--peer-address", "PEER_ADDRESS", d.PeerAddress},
		{"--admin-listen", "ADMIN_LISTEN", d.AdminListen},
	} {
		if problem := addressProblem(a.value); problem != "" {
			add(a.flag, a.env, a.value, problem)
		}
	}
	for _, address := range d.JoinAddresses() {
		if problem := addressProblem(address); problem != "" {
			add("--join", "JOIN", address, problem)
		}
	}
	if d.PlatformURL != "" {
		if u, err := url.Parse(d.PlatformURL); err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
			add("--platform-url", "PLATFORM_URL", d.PlatformURL, "is not an http or https URL")
		}
	}
	if d.Secret != "" && len(d.Secret) < minSecretBytes {
		add("--peer-secret", "PEER_SECRET", "(hidden)", fmt.Sprintf("is shorter than %d bytes", minSecretBytes))
	}
	if sum := d.UrgentFloor.Value + d.StandardFloor.Value + d.BulkFloor.Value; sum > 1 {
		invalidSettings = append(invalidSettings, InvalidSetting{Problem: fmt.Sprintf("--urgent-floor, --standard-floor and --bulk-floor add up to %g, more than 1", sum)})
	}
	if d.MinKeep.Duration > d.MaxKeep.Duration {
		add("--min-keep", "MIN_KEEP", d.MinKeep.text(), "is above --max-keep")
	}
	if strings.ContainsAny(d.Node, "./ \t") {
		add("--node", "NODE", d.Node, "must not contain dots, slashes or spaces")
	}
	return invalidSettings
}

// JoinAddresses returns the addresses given by --join.
func (d *Daemon) JoinAddresses() []string {
	var addresses []string
	for _, a := range strings.Split(d.Peers, ",") {
		if a = strings.TrimSpace(a); a != "" {
			addresses = append(addresses, a)
		}
	}
	return addresses
}

// addressProblem returns why address is not a valid IP:port, or an empty text if it
// is valid or empty.
func addressProblem(address string) string {
	if address == "" {
		return ""
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil {
		return "is not an IP:port address"
	}
	return ""
}
