package main

import (
	"bytes"
	"context"
	"net"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/internal/settings"
	"github.com/redwingnotch/redwingnotch/standin/objectapi"
)

// output records the output of a daemon. Safe for concurrent use.
type output struct {
	mu  sync.Mutex
	buf bytes.Buffer
	log chan string // each write, for waitFor
}

// newOutput returns an empty output for up to 1000 writes.
func newOutput() *output { return &output{log: make(chan string, 1000)} }

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.log <- string(p)
	return o.buf.Write(p)
}

// waitFor returns once a line that contains text was written.
func (o *output) waitFor(text string) {
	for line := range o.log {
		if strings.Contains(line, text) {
			return
		}
	}
}

// daemonFlags returns the flags of a daemon that listens on free ports.
func daemonFlags(api string) []string {
	return []string{"--node", "n1", "--availability-zone", "z1", "--platform-url", "http://" + api,
		"--peer-secret", "0123456789abcdef", "--entry-ttl", "10ms", "--caller-listen", "127.0.0.1:0",
		"--peer-listen", "127.0.0.1:0", "--admin-listen", "127.0.0.1:0"}
}

func TestInvalidSettingsExitCode(t *testing.T) {
	var out bytes.Buffer
	code := run(t.Context(), []string{"--tick", "2h"}, &out, &out)
	assert.Equal(t, code, settings.ExitInvalidSettings)
	assert.Assert(t, strings.Contains(out.String(), "--tick (REDWINGNOTCH_TICK)"), out.String())
	assert.Assert(t, strings.Contains(out.String(), "--node (REDWINGNOTCH_NODE)"), out.String())
}

func TestHelpAndVersion(t *testing.T) {
	for _, flag := range []string{"--help", "--version"} {
		var out bytes.Buffer
		assert.Equal(t, run(t.Context(), []string{flag}, &out, &out), settings.ExitOK)
		assert.Assert(t, out.Len() > 0)
	}
}

func TestDaemonStartsRejectsDuplicateNameAndStops(t *testing.T) {
	api := objectapi.New()
	address, err := api.Start("127.0.0.1:0")
	assert.NilError(t, err)
	defer api.Close()
	ctx, cancel := context.WithCancel(t.Context())
	out := newOutput()
	exit := make(chan int, 1)
	go func() { exit <- run(ctx, daemonFlags(address), out, out) }()
	out.waitFor("event=started")

	second := newOutput()
	assert.Equal(t, run(t.Context(), daemonFlags(address), second, second), settings.ExitNameInUse)
	assert.Assert(t, strings.Contains(second.buf.String(), "n1 runs at 127.0.0.1:"), second.buf.String())

	cancel()
	assert.Equal(t, <-exit, settings.ExitOK, out.buf.String())
}

func TestAddressInUseExitsWithFailure(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer taken.Close()
	out := newOutput()
	args := append(daemonFlags("127.0.0.1:1"), "--caller-listen", taken.Addr().String())
	assert.Equal(t, run(t.Context(), args, out, out), settings.ExitFailure)
	assert.Assert(t, strings.Contains(out.buf.String(), "listen on caller address"), out.buf.String())
}
