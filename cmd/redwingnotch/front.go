package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
	"strconv"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/redwingnotch/redwingnotch/internal/front"
	"github.com/redwingnotch/redwingnotch/internal/settings"
	"github.com/redwingnotch/redwingnotch/internal/telemetry"
	"github.com/redwingnotch/redwingnotch/platform"
)

// frontCommand is the subcommand that runs an entry node configured by the
// platform's settings file.
const frontCommand = "front"

// frontArgs are the flags of frontCommand. All other settings come from the
// platform's settings file.
type frontArgs struct {
	Settings    string `arg:"--settings,env:REDWINGNOTCH_SETTINGS" help:"path of the platform's settings file"`
	MetricsPort int    `arg:"--metrics-port,env:REDWINGNOTCH_METRICS_PORT" help:"port of the VM's address at which metrics are served besides the control address; 0 is none"`
	LogLevel    string `arg:"--log-level,env:REDWINGNOTCH_LOG_LEVEL" default:"info" help:"least level of log lines: debug, info, warn or error"`
}

// runFront runs frontCommand and returns the exit code.
func runFront(ctx context.Context, args []string, out, errOut io.Writer) int {
	var a frontArgs
	parser, err := arg.NewParser(arg.Config{Program: "redwingnotch " + frontCommand, Out: out}, &a)
	if err != nil {
		fmt.Fprintf(errOut, "redwingnotch: %v\n", err)
		return settings.ExitInvalidSettings
	}
	switch err := parser.Parse(args); err {
	case nil:
	case arg.ErrHelp:
		parser.WriteHelp(out)
		return settings.ExitOK
	default:
		fmt.Fprintf(errOut, "redwingnotch: invalid settings:\n%v\n", err)
		return settings.ExitInvalidSettings
	}
	text, err := os.ReadFile(a.Settings)
	if err != nil {
		fmt.Fprintf(errOut, "redwingnotch: invalid settings:\n%v\n", err)
		return settings.ExitInvalidSettings
	}
	s, err := platform.ParseSettings(string(text))
	if err != nil {
		fmt.Fprintf(errOut, "redwingnotch: invalid settings: %s:\n%v\n", a.Settings, err)
		return settings.ExitInvalidSettings
	}
	// SIGHUP signals that the settings file changed. Its settings are the sockets
	// and limits of the process and take effect only at the next start.
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	lines := telemetry.NewBoundedWriter(out)
	defer lines.Close()
	logger := telemetry.NewLogger(lines, s.Node, a.LogLevel)
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		level.Error(logger).Log("event", "failed", "err", err)
		return settings.ExitFailure
	}
	setInvariants("report", logger, metrics)
	go func() {
		for range hangup {
			reload(logger, a.Settings, s)
		}
	}()
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * s.MemoryMB * (1 << 20)))
	}
	node := front.New(s, logger, metrics)
	if a.MetricsPort > 0 {
		node.ServeMetricsAt(net.JoinHostPort(s.IP, strconv.Itoa(a.MetricsPort)))
	}
	if err := node.Run(ctx); err != nil {
		level.Error(logger).Log("event", "failed", "err", err)
		return settings.ExitFailure
	}
	return settings.ExitOK
}

// memoryLimitShare is the part of the VM's memory from which on the runtime collects garbage
// more often, whatever the heap's growth.
const memoryLimitShare = 0.75

// reload parses the settings file again and logs whether it changed or is invalid.
// The settings in force do not change; a changed file takes effect at the next
// start.
func reload(logger log.Logger, path string, inForce platform.Settings) {
	text, err := os.ReadFile(path)
	if err != nil {
		level.Error(logger).Log("event", "reload_refused", "err", err)
		return
	}
	read, err := platform.ParseSettings(string(text))
	if err != nil {
		level.Error(logger).Log("event", "reload_refused", "err", err)
		return
	}
	level.Info(logger).Log("event", "reload", "changed", !reflect.DeepEqual(read, inForce))
}
