// Package node runs one entry node. It connects membership, lease, controller,
// admission, quarantine, idempotency and the callers' interface, and applies the
// effects of their cores. Several nodes can run in one process.
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

// Gossip sends and receives membership datagrams. udp.Transport implements it.
type Gossip interface {
	Send(packets []membership.Datagram) error
	// Run passes each received datagram to handle until ctx ends.
	Run(ctx context.Context, handle func(data []byte)) error
}

// Config configures a Node. ID, Zone, Cell, Callers, Peers, Gossip, GossipAddress,
// Secret, Store, VMs and Metrics must be set; Region may be empty. Other fields that
// are zero get the defaults below or those of their package; Admission as a whole if
// its MaxWaiting is zero, KeepWarm as a whole if its MaxModels is zero.
type Config struct {
	ID     fleet.NodeID
	Region fleet.Region
	Zone   fleet.AvailabilityZone
	Cell   fleet.CellID

	Callers        net.Listener // listener for callers' connections; closed by the node
	Peers          net.Listener // listener for calls of other nodes; closed by the node
	Gossip         Gossip
	CallerAddress  string         // address published to callers; default: address of Callers
	PeerAddress    string         // address published to other nodes for calls; default: address of Peers
	GossipAddress  string         // address published to other nodes for gossip
	Seeds          []string       // gossip addresses to join; if empty, those of the nodes registered in Store
	Secret         []byte         // shared by all nodes of the deployment; authenticates peers
	Store          platform.Store // object API
	VMs            platform.VMList
	Dial           httpsend.DialFunc // dials backend servers and peers; nil dials TCP
	Log            log.Logger        // nil discards all events
	Metrics        *telemetry.Metrics
	MaxBody        int64 // size limit of a caller's request body in bytes
	MaxHeader      int   // size limit of a caller's request header in bytes
	MaxConnections int   // maximum number of open connections of callers

	HeaderTimeout     time.Duration                  // time limit for reading a caller's request header
	BodyTimeout       time.Duration                  // time limit for reading a caller's request body
	WriteTimeout      time.Duration                  // time limit for each write to a caller
	IdleTimeout       time.Duration                  // time after which an idle connection of a caller is closed
	Deadlines         [fleet.RankCount]time.Duration // deadline after arrival for requests without one; default: MaxWait of the rank
	EntryTTL          time.Duration                  // how long callers may use a list of entry nodes
	Tick              time.Duration                  // interval of the controller loop
	VMListInterval    time.Duration                  // interval at which the VM list is read
	ControllerTimeout time.Duration                  // time without a response of the controller before direct dispatch
	ShutdownTimeout   time.Duration                  // time limit for requests in progress to finish during Stop

	Membership  membership.Settings
	Release     release.FollowerSettings
	Lease       lease.Config
	Controller  controller.Config
	Admission   admission.Settings
	Quarantine  quarantine.Settings
	Idempotency idempotency.Settings
	KeepWarm    keepwarm.Settings
	Retention   Retention // default: a keepwarm.Policy with the settings KeepWarm
}

// Defaults of Config. Sizes are in bytes.
const (
	DefaultMaxBody           = 4 << 20
	DefaultMaxHeader         = 32 << 10
	DefaultMaxConnections    = 4096
	DefaultHeaderTimeout     = 5 * time.Second
	DefaultBodyTimeout       = 30 * time.Second
	DefaultWriteTimeout      = 20 * time.Second
	DefaultIdleTimeout       = time.Minute
	DefaultEntryTTL          = 5 * time.Second
	DefaultTick              = 20 * time.Millisecond
	DefaultVMListInterval    = time.Second
	DefaultControllerTimeout = 2500 * time.Millisecond
	DefaultShutdownTimeout   = 15 * time.Minute

	DefaultLoadsPerSecond   = 3
	DefaultLoadsInFlight    = 4
	DefaultAdaptersInFlight = 32
)

// Errors returned by Node.Run and Node.Stop.
var (
	// ErrNameInUse means that another live node has the same name.
	ErrNameInUse = errors.New("node name in use by a live node")
	// ErrRequestsInterrupted means that a stop interrupted requests in progress.
	ErrRequestsInterrupted = errors.New("shutdown interrupted requests in progress")
)

// withDefaults returns cfg with defaults in place of zero fields, or an error that
// names missing or invalid fields.
func (cfg Config) withDefaults() (Config, error) {
	if err := cfg.checkRequired(); err != nil {
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
	setDefault(&cfg.ControllerTimeout, DefaultControllerTimeout)
	setDefault(&cfg.ShutdownTimeout, DefaultShutdownTimeout)
	setDefault(&cfg.CallerAddress, cfg.Callers.Addr().String())
	setDefault(&cfg.PeerAddress, cfg.Peers.Addr().String())
	setDefault(&cfg.Release, release.DefaultFollowerSettings())
	setDefault(&cfg.Membership, membership.DefaultSettings())
	setDefault(&cfg.Quarantine, quarantine.DefaultSettings())
	setDefault(&cfg.Controller.Budget.LoadsPerSecond, DefaultLoadsPerSecond)
	setDefault(&cfg.Controller.Budget.LoadsInFlight, DefaultLoadsInFlight)
	setDefault(&cfg.Controller.Budget.AdaptersInFlight, DefaultAdaptersInFlight)
	setDefault(&cfg.Idempotency.Retention, idempotency.DefaultRetention)
	setDefault(&cfg.Idempotency.MaxKeys, idempotency.DefaultMaxKeys)
	setDefault(&cfg.Idempotency.MaxResponseBytes, idempotency.DefaultMaxResponseBytes)
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

// checkRequired returns an error that names the required fields that are not set.
func (cfg *Config) checkRequired() error {
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

// Retention decides how long idle replicas stay loaded. keepwarm.Policy and
// keepwarm.Fixed implement it. The node serializes all calls.
type Retention interface {
	controller.Retention
	// Observe records the arrival of a request for the target.
	Observe(now time.Time, t fleet.Target, rank fleet.Rank)
}
