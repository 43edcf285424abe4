// Command redwingnotch-dev runs several entry nodes with stand-ins for the platform,
// model engines and a plain service in one process on loopback. With --scenario
// day it runs a scripted day of load and checks the system's guarantees.
// Exit codes: 0 all guarantees held, 1 a guarantee was violated or a start failed,
// 2 invalid flags.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kit/log"

	"github.com/redwingnotch/redwingnotch/internal/dev"
	"github.com/redwingnotch/redwingnotch/internal/settings"
	"github.com/redwingnotch/redwingnotch/internal/telemetry"
)

// options are the flags of the command.
type options struct {
	Scenario string       `arg:"--scenario,env:REDWINGNOTCH_DEV_SCENARIO" choices:"none|day" default:"none" help:"scenario to run: none or day"`
	Exit     bool         `arg:"--exit,env:REDWINGNOTCH_DEV_EXIT" help:"exit after the scenario instead of staying up"`
	Nodes    settings.Int `arg:"--nodes,env:REDWINGNOTCH_DEV_NODES" default:"4" min:"3" max:"16" help:"entry nodes, number"`
	LogLevel string       `arg:"--log-level,env:REDWINGNOTCH_DEV_LOG_LEVEL" choices:"none|debug|info|warn|error" default:"none" help:"least level of the nodes' events, on standard error"`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// run runs the command with the given flags and returns the exit code.
func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	var o options
	done, err := settings.Parse(&o, "redwingnotch-dev", args, out)
	if err != nil {
		fmt.Fprintf(errOut, "redwingnotch-dev: invalid settings:\n%v\n", err)
		return settings.ExitInvalidSettings
	}
	if done {
		return settings.ExitOK
	}
	if err := serve(ctx, o, out, errOut); err != nil {
		fmt.Fprintf(errOut, "redwingnotch-dev: %v\n", err)
		return settings.ExitFailure
	}
	return settings.ExitOK
}

// serve starts the deployment and runs the scenario; without one it
// waits for ctx to end.
func serve(ctx context.Context, o options, out, errOut io.Writer) error {
	d, err := dev.Start(dev.Options{Nodes: int(o.Nodes.Value), Log: logger(o, errOut)}, dev.FirstRelease())
	if err != nil {
		return err
	}
	defer d.Close()
	d.PrintAddresses(out)
	if o.Scenario == "day" {
		if err := dev.RunScenario(ctx, d, out); err != nil || o.Exit {
			return err
		}
		return nil
	}
	if err := d.WaitReady(ctx); err != nil {
		return err
	}
	fmt.Fprintln(out, "ready; interrupt to stop")
	<-ctx.Done()
	return d.StopNodes()
}

// logger returns the logger of the nodes.
func logger(o options, errOut io.Writer) log.Logger {
	if o.LogLevel == "none" {
		return log.NewNopLogger()
	}
	return telemetry.NewLogger(errOut, "dev", o.LogLevel)
}
