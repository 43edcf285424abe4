// Command redwingnotch is the daemon of an entry node. SIGTERM and SIGINT stop it
// gracefully. Exit codes: 0 stopped gracefully, 1 failed while running or
// aborted requests on shutdown, 2 invalid settings, 3 node name in use.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/internal/node"
	"github.com/redwingnotch/redwingnotch/internal/settings"
	"github.com/redwingnotch/redwingnotch/internal/telemetry"
	"github.com/redwingnotch/redwingnotch/invariant"
	"github.com/redwingnotch/redwingnotch/membership/udp"
	"github.com/redwingnotch/redwingnotch/platform"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	args := os.Args[1:]
	if len(args) > 0 && args[0] == frontCommand {
		os.Exit(runFront(ctx, args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(run(ctx, args, os.Stdout, os.Stderr))
}

// run runs the daemon with the given flags and returns the exit code.
func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	var s settings.Daemon
	done, err := settings.Parse(&s, "redwingnotch", args, out)
	if err != nil {
		fmt.Fprintf(errOut, "redwingnotch: invalid settings:\n%v\n", err)
		return settings.ExitInvalidSettings
	}
	if done {
		return settings.ExitOK
	}
	logger := telemetry.NewLogger(errOut, s.Node, s.LogLevel)
	err = serve(ctx, &s, logger)
	switch {
	case err == nil:
		return settings.ExitOK
	case errors.Is(err, node.ErrNameInUse):
		level.Error(logger).Log("event", "refused_to_start", "err", err)
		return settings.ExitNameInUse
	}
	level.Error(logger).Log("event", "failed", "err", err)
	return settings.ExitFailure
}

// serve runs the node and its admin address until ctx ends.
func serve(ctx context.Context, s *settings.Daemon, logger log.Logger) error {
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		return err
	}
	setInvariants(s.Invariants, logger, metrics)
	cfg, err := listen(s)
	if err != nil {
		return err
	}
	cfg.Log, cfg.Metrics = logger, metrics
	n, err := node.New(cfg)
	if err != nil {
		return err
	}
	admin := &http.Server{Handler: telemetry.NewAdminHandler(metrics, n.NotReadyReason, s.Pprof, n.AdminHandler()), ReadHeaderTimeout: s.HeaderTimeout.Duration}
	adminListener, err := net.Listen("tcp", s.AdminListen)
	if err != nil {
		return fmt.Errorf("listen on admin address: %w", err)
	}
	go admin.Serve(adminListener)
	defer admin.Close()
	return n.Run(ctx)
}

// setInvariants selects how violated invariants are handled: panic, report or off.
func setInvariants(mode string, logger log.Logger, metrics *telemetry.Metrics) {
	modes := map[string]invariant.Mode{"panic": invariant.ModePanic, "report": invariant.ModeReport, "off": invariant.ModeOff}
	invariant.SetMode(modes[mode])
	invariant.SetReporter(func(v invariant.Violation) {
		metrics.Violation(string(v.Name))
		level.Error(logger).Log("event", "invariant_violated", "name", v.Name, "detail", v.Detail)
	})
}

// listen opens the daemon's sockets, except the admin address, and returns the
// node's configuration.
func listen(s *settings.Daemon) (node.Config, error) {
	callers, err := net.Listen("tcp", s.CallerListen)
	if err != nil {
		return node.Config{}, fmt.Errorf("listen on caller address: %w", err)
	}
	peers, err := net.Listen("tcp", s.PeerListen)
	if err != nil {
		return node.Config{}, errors.Join(fmt.Errorf("listen on peer address: %w", err), callers.Close())
	}
	// Membership uses UDP on the same port number.
	gossip, err := udp.Listen(peers.Addr().String())
	if err != nil {
		return node.Config{}, errors.Join(err, callers.Close(), peers.Close())
	}
	gossipAddress := s.PeerAddress
	if gossipAddress == "" {
		gossipAddress = gossip.Addr()
	}
	store := platform.NewClient(platform.Options{BaseURL: s.PlatformURL})
	cfg := node.Config{
		ID:             fleet.NodeID(s.Node),
		Region:         fleet.Region(s.Region),
		Zone:           fleet.AvailabilityZone(s.Zone),
		Cell:           fleet.CellID(s.Cell),
		Callers:        callers,
		Peers:          peers,
		Gossip:         gossip,
		CallerAddress:  s.CallerAddress,
		PeerAddress:    s.PeerAddress,
		GossipAddress:  gossipAddress,
		Seeds:          s.JoinAddresses(),
		Secret:         []byte(s.Secret),
		Store:          store,
		VMs:            store,
		MaxBody:        s.MaxBody.Value,
		MaxHeader:      int(s.MaxHeader.Value),
		MaxConnections: int(s.MaxConnections.Value),
	}
	copyLimits(&cfg, s)
	cfg.Admission = s.AdmissionSettings()
	cfg.KeepWarm = s.KeepWarmSettings()
	return cfg, nil
}

// copyLimits copies timeouts, intervals, limits on loads and key retention from
// the settings.
func copyLimits(cfg *node.Config, s *settings.Daemon) {
	cfg.HeaderTimeout = s.HeaderTimeout.Duration
	cfg.BodyTimeout = s.BodyTimeout.Duration
	cfg.WriteTimeout = s.WriteTimeout.Duration
	cfg.IdleTimeout = s.IdleTimeout.Duration
	cfg.EntryTTL = s.EntryTTL.Duration
	cfg.Tick = s.Tick.Duration
	cfg.VMListInterval = s.VMListInterval.Duration
	cfg.ControllerTimeout = s.ControllerTimeout.Duration
	cfg.ShutdownTimeout = s.ShutdownTimeout.Duration
	cfg.Controller.ReportInterval = s.ReportInterval.Duration
	cfg.Controller.Budget.LoadsPerSecond = s.LoadsPerSecond.Value
	cfg.Controller.Budget.LoadsInFlight = int(s.LoadsInFlight.Value)
	cfg.Controller.Budget.AdaptersInFlight = int(s.AdaptersInFlight.Value)
	cfg.Idempotency.Retention = s.KeyRetention.Duration
	cfg.Idempotency.MaxKeys = int(s.MaxKeys.Value)
	cfg.Deadlines = [fleet.RankCount]time.Duration{
		fleet.RankUrgent:   s.UrgentDeadline.Duration,
		fleet.RankStandard: s.StandardDeadline.Duration,
		fleet.RankBulk:     s.BulkDeadline.Duration,
	}
}
