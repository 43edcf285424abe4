package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/platform"
)

const frontSettings = `node=n1
ip_address=127.0.0.1
zone=z1
region=r1
listen_addresses.front=127.0.0.1:8149
listen_addresses.ready=127.0.0.1:8141
listen_addresses.directory=127.0.0.1:8143
internal_port_range=7380,7395
platform.address=127.0.0.1:8142
`

// TestReloadLogsChangesAndErrors checks what reload logs for an unchanged, changed,
// invalid and missing file.
func TestReloadLogsChangesAndErrors(t *testing.T) {
	inForce, err := platform.ParseSettings(frontSettings)
	assert.NilError(t, err)
	path := filepath.Join(t.TempDir(), "settings")
	for _, tc := range []struct {
		name, text string // empty text: the file is removed
		want       []string
	}{
		{"unchanged", frontSettings, []string{"event=reload ", "changed=false"}},
		{"changed", frontSettings + "bounds.lease_ms=2000\n", []string{"event=reload ", "changed=true"}},
		{"invalid", strings.Replace(frontSettings, "node=n1", "node=", 1) + "bounds.lease_ms=soon\n", []string{"event=reload_refused", "node: missing", "line 10: bounds.lease_ms"}},
		{"missing", "", []string{"event=reload_refused", "no such file"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if tc.text == "" {
				assert.NilError(t, os.Remove(path))
			} else {
				assert.NilError(t, os.WriteFile(path, []byte(tc.text), 0o600))
			}
			var out bytes.Buffer
			reload(log.NewLogfmtLogger(&out), path, inForce)
			for _, part := range tc.want {
				assert.Assert(t, strings.Contains(out.String(), part), "%q is missing in %s", part, out.String())
			}
		})
	}
}
