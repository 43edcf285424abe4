// Package node runs one entry node: it wires membership, lease, controller,
// admission, quarantine, idempotency and the callers' interface, and carries
// out what their cores decide. Several nodes can run in one process.
package node

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/go-kit/log"

	"github.com/redwingnotch/redwingnotch/admission"
	"github.com/redwingnotch/redwingnotch/controller"
	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/idempotency"
	"github.com/redwingnotch/redwingnotch/internal/httpsend"
	"github.com/redwingnotch/redwingnotch/internal/telemetry"
	"github.com/redwingnotch/redwingnotch/keepwarm"
	"github.com/redwingnotch/redwingnotch/lease"
	"github.com/redwingnotch/redwingnotch/membership"
	"github.com/redwingnotch/redwingnotch/platform"
	"github.com/redwingnotch/redwingnotch/quarantine"
	"github.com/redwingnotch/redwingnotch/release"
)

// Gossip carries membership's datagrams. udp.Transport implements it.
type Gossip interface {
	Send(packets []membership.Outgoing) error
	// Run passes each datagram to handle until the context ends.
	Run(ctx context.Context, handle func(data []byte)) error
}

// Config sets up a Node. Fields without a default must be set.
type Config struct {
	ID     fleet.NodeID
	Region fleet.Region
	Zone   fleet.AvailabilityZone
	Cell   fleet.CellID

	Callers        net.Listener // callers' interface; closed by the node
	Peers          net.Listener // other nodes' calls; closed by the node
	Gossip         Gossip
	CallerAddress  string // told to callers; the listener's if empty
	PeerAddress    string // told to other nodes; the listener's if empty
	GossipAddress  string // told to other nodes
	Seeds          []string
	Secret         []byte // shared by all nodes of the deployment
	Store          platform.Store
	VMs            platform.VMList
	Dial           httpsend.DialFunc // to backend servers and peers; nil dials TCP
	Log            log.Logger        // nil drops events
	Metrics        *telemetry.Metrics
	MaxBody        int64
	MaxHeader      int
	MaxConnections int

	HeaderTimeout   time.Duration
	BodyTimeout     time.Duration
	WriteTimeout    time.Duration
	IdleTimeout     time.Duration
	Deadlines       [fleet.RankCount]time.Duration
	EntryTTL        time.Duration
	Tick            time.Duration
	VMListInterval  time.Duration
	SilentAfter     time.Duration
	ShutdownTimeout time.Duration

	Membership  membership.Settings
	Release     release.ReplicaSettings
	Lease       lease.Config
	Controller  controller.Config
	Admission   admission.Settings
	Quarantine  quarantine.Settings
	Idempotency idempotency.Settings
	KeepWarm    keepwarm.Settings
	Retention   Retention // nil keeps by a keepwarm.Policy with the settings KeepWarm
}

// Defaults of Config.
const (
	DefaultMaxBody         = 4 << 20
	DefaultMaxHeader       = 32 << 10
	DefaultMaxConnections  = 4096
	DefaultHeaderTimeout   = 5 * time.Second
	DefaultBodyTimeout     = 30 * time.Second
	DefaultWriteTimeout    = 20 * time.Second
	DefaultIdleTimeout     = time.Minute
	DefaultEntryTTL        = 5 * time.Second
	DefaultTick            = 20 * time.Millisecond
	DefaultVMListInterval  = time.Second
	DefaultSilentAfter     = 2500 * time.Millisecond
	DefaultShutdownTimeout = 15 * time.Minute

	DefaultLoadsPerSecond   = 3
	DefaultLoadsInFlight    = 4
	DefaultAdaptersInFlight = 32
)

// Sentinel errors of a node.
var (
	// ErrNameInUse means that another node of the same name is alive.
	ErrNameInUse = errors.New("node name in use by a live node")
	// ErrCut means that a stop ended requests in progress.
	ErrCut = errors.New("stop cut requests in progress")
)

func (cfg Config) withDefaults() (Config, error) {
	if err := cfg.missing(); err != nil {
		return cfg, err
	}
	setDefault(&cfg.MaxBody, DefaultMaxBody)
	setDefault(&cfg.MaxHeader, DefaultMaxHeader)
	setDefault(&cfg.MaxConnections, DefaultMaxConnections)
	setDefault(&cfg.HeaderTimeout, DefaultHeaderTimeout)
	setDefault(&cfg.BodyTimeout, DefaultBodyTimeout)
	setDefault(&cfg.WriteTimeout, DefaultWriteTimeout)
	setDefault(&cfg.IdleTimeout, DefaultIdleTimeout)
	setDefault(&cfg.EntryTTL, DefaultEntryTTL)
	setDefault(&cfg.Tick, DefaultTick)
	setDefault(&cfg.VMListInterval, DefaultVMListInterval)
	setDefault(&cfg.SilentAfter, DefaultSilentAfter)
	setDefault(&cfg.ShutdownTimeout, DefaultShutdownTimeout)
	setDefault(&cfg.CallerAddress, cfg.Callers.Addr().String())
	setDefault(&cfg.PeerAddress, cfg.Peers.Addr().String())
	setDefault(&cfg.Release, release.DefaultReplicaSettings())
	setDefault(&cfg.Membership, membership.DefaultSettings())
	setDefault(&cfg.Quarantine, quarantine.DefaultSettings())
	setDefault(&cfg.Controller.Budget.LoadsPerSecond, DefaultLoadsPerSecond)
	setDefault(&cfg.Controller.Budget.LoadsInFlight, DefaultLoadsInFlight)
	setDefault(&cfg.Controller.Budget.AdaptersInFlight, DefaultAdaptersInFlight)
	setDefault(&cfg.Idempotency.Retention, idempotency.DefaultRetention)
	setDefault(&cfg.Idempotency.MaxKeys, idempotency.DefaultMaxKeys)
	setDefault(&cfg.Idempotency.MaxAnswerBytes, idempotency.DefaultMaxAnswerBytes)
	if cfg.Admission.MaxWaiting == 0 {
		cfg.Admission = admission.DefaultSettings()
	}
	for rank := range cfg.Deadlines {
		setDefault(&cfg.Deadlines[rank], cfg.Admission.Ranks[rank].MaxWait)
	}
	if cfg.Log == nil {
		cfg.Log = log.NewNopLogger()
	}
	if cfg.KeepWarm.MaxModels == 0 {
		cfg.KeepWarm = keepwarm.DefaultSettings()
	}
	if cfg.Retention == nil {
		cfg.Retention = keepwarm.New(cfg.KeepWarm)
	}
	return cfg, errors.Join(cfg.Admission.Validate(), cfg.KeepWarm.Validate())
}

func (cfg *Config) missing() error {
	var errs []error
	for _, field := range []struct {
		name   string
		absent bool
	}{
		{"ID", cfg.ID == ""},
		{"Zone", cfg.Zone == ""},
		{"Cell", cfg.Cell == ""},
		{"Callers", cfg.Callers == nil},
		{"Peers", cfg.Peers == nil},
		{"Gossip", cfg.Gossip == nil},
		{"Store", cfg.Store == nil},
		{"VMs", cfg.VMs == nil},
		{"Metrics", cfg.Metrics == nil},
	} {
		if field.absent {
			errs = append(errs, errors.New("node config: "+field.name+" is not set"))
		}
	}
	return errors.Join(errs...)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Retention decides how long idle replicas are kept. keepwarm.Policy and
// keepwarm.Fixed implement it. The node calls it under one mutex.
type Retention interface {
	controller.Retention
	Observe(now time.Time, t fleet.Target, rank fleet.Rank)
}
