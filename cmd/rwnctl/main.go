// Command rwnctl is the operators' tool: it checks and applies release notes,
// withdraws models and adapters, and reads back status, audit trail and what
// became of a request. Its exit codes are listed by --help.
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
