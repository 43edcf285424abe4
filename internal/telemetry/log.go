// Package telemetry holds the logs, metrics, health and profiles of a daemon.
package telemetry

import (
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// NewLogger returns a logger that writes one logfmt line an event, with time
// and node, and drops events below the named level: debug, info, warn, error.
func NewLogger(out io.Writer, node, least string) log.Logger {
	logger := log.NewLogfmtLogger(log.NewSyncWriter(out))
	logger = log.With(logger, "ts", log.DefaultTimestampUTC, "node", node)
	// The filter stands first, so that dropped events cost no time stamp.
	return level.NewFilter(logger, level.Allow(level.ParseDefault(least, level.InfoValue())))
}
