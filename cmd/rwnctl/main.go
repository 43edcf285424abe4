// Command rwnctl is the operators' command-line tool. It checks and applies release
// notes, withdraws models and adapters, and shows the status, the audit trail and
// the outcome of requests. --help lists its exit codes.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/redwingnotch/redwingnotch/internal/rwnctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	os.Exit(rwnctl.Run(ctx, os.Args[1:], rwnctl.DefaultEnv()))
}
