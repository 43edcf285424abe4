package settings_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/internal/settings"
)

// requiredFlags are valid values for all settings without a default.
var requiredFlags = []string{"--node", "n1", "--availability-zone", "z1",
	"--platform-url", "http://127.0.0.1:9000", "--peer-secret", "0123456789abcdef"}

func TestParseReportsAllErrors(t *testing.T) {
	t.Setenv("REDWINGNOTCH_TICK", "2h")
	t.Setenv("REDWINGNOTCH_PEER_SECRET", "short")
	var d settings.Daemon
	_, err := settings.Parse(&d, "redwingnotch", []string{"--node", "n1", "--max-body", "many",
		"--platform-url", "ftp://x", "--caller-listen", "localhost", "--log-level", "verbose"}, &bytes.Buffer{})
	for _, want := range []string{
		`--tick (REDWINGNOTCH_TICK): "2h" is above 1s`,
		`--max-body (REDWINGNOTCH_MAX_BODY): "many" is not a whole number`,
		`--availability-zone (REDWINGNOTCH_AVAILABILITY_ZONE): "" is missing`,
		`--platform-url (REDWINGNOTCH_PLATFORM_URL): "ftp://x" is not an http or https URL`,
		`--caller-listen (REDWINGNOTCH_CALLER_LISTEN): "localhost" is not an IP:port address`,
		`--peer-secret (REDWINGNOTCH_PEER_SECRET): "(hidden)" is shorter than 16 bytes`,
		`--log-level (REDWINGNOTCH_LOG_LEVEL): "verbose" is not one of debug, info, warn, error`,
	} {
		assert.ErrorContains(t, err, want)
	}
	assert.Equal(t, strings.Count(err.Error(), "\n"), 6)
}

func TestParseAppliesDefaults(t *testing.T) {
	var d settings.Daemon
	done, err := settings.Parse(&d, "redwingnotch", requiredFlags, &bytes.Buffer{})
	assert.NilError(t, err)
	assert.Assert(t, !done)
	assert.Equal(t, d.EntryTTL.Duration, 5*time.Second)
	assert.Equal(t, d.MaxBody.Value, int64(4<<20))
}

func TestParseRejectsUnknownFlag(t *testing.T) {
	var d settings.Daemon
	_, err := settings.Parse(&d, "redwingnotch", append(requiredFlags, "--colour", "red"), &bytes.Buffer{})
	assert.ErrorContains(t, err, "--colour")
}

func TestHelpListsEverySetting(t *testing.T) {
	var out bytes.Buffer
	done, err := settings.Parse(&settings.Daemon{}, "redwingnotch", []string{"--help"}, &out)
	assert.NilError(t, err)
	assert.Assert(t, done)
	for _, setting := range settings.DaemonSettings() {
		assert.Assert(t, setting.Env != "" && setting.Help != "", setting.Flag)
		assert.Assert(t, strings.Contains(out.String(), setting.Flag), setting.Flag)
		assert.Assert(t, strings.Contains(out.String(), setting.Env), setting.Env)
	}
}
