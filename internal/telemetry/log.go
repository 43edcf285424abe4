// Package telemetry provides the logs, metrics, health checks and profiles of a
// daemon.
package telemetry

import (
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// NewLogger returns a logger that writes one logfmt line per event, with time and
// node, and drops events below minLevel: debug, info, warn or error.
func NewLogger(out io.Writer, node, minLevel string) log.Logger {
	logger := log.NewLogfmtLogger(log.NewSyncWriter(out))
	logger = log.With(logger, "ts", log.DefaultTimestampUTC, "node", node)
	// The filter is outermost, so that no timestamp is made for dropped events.
	return level.NewFilter(logger, level.Allow(level.ParseDefault(minLevel, level.InfoValue())))
}
