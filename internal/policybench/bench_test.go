package policybench_test

import (
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/internal/policybench"
	"github.com/redwingnotch/redwingnotch/internal/settings"
)

// jsonFileVariable is the environment variable with the path of the JSON lines
// output. Without it, none is written.
const jsonFileVariable = "POLICY_JSON"

// deployments returns both deployments with their example settings.
func deployments(b *testing.B) []policybench.Deployment {
	tocka := parseExample(b, "tocka")
	naipes := parseExample(b, "naipes")
	return []policybench.Deployment{
		policybench.Tocka(tocka.AdmissionSettings(), tocka.KeepWarmSettings()),
		policybench.Naipes(naipes.AdmissionSettings(), naipes.KeepWarmSettings()),
	}
}

// parseExample parses the settings of an example.
func parseExample(b *testing.B, name string) *settings.Daemon {
	text, err := os.ReadFile(filepath.Join("..", "..", "examples", name, "settings.env"))
	assert.NilError(b, err)
	for line := range strings.Lines(string(text)) {
		if key, value, found := strings.Cut(strings.TrimSpace(line), "="); found && !strings.HasPrefix(key, "#") {
			b.Setenv(key, value)
		}
	}
	var d settings.Daemon
	args := []string{"--node=n", "--availability-zone=z", "--platform-url=http://127.0.0.1:1", "--peer-secret=0123456789abcdef0123456789abcdef"}
	_, err = settings.Parse(&d, "redwingnotch", args, io.Discard)
	assert.NilError(b, err)
	return &d
}

func BenchmarkPolicy(b *testing.B) {
	var all []policybench.Row
	for _, d := range deployments(b) {
		b.Run(d.Name, func(b *testing.B) {
			var rows []policybench.Row
			for _, s := range policybench.Scenarios() {
				b.Run(s.Name, func(b *testing.B) {
					for b.Loop() {
						rows = append(rows, runAll(d, s)...)
					}
				})
			}
			assert.NilError(b, policybench.WriteTable(os.Stdout, rows))
			all = append(all, rows...)
		})
	}
	path := os.Getenv(jsonFileVariable)
	if path == "" {
		return
	}
	f, err := os.Create(path)
	assert.NilError(b, err)
	assert.NilError(b, policybench.WriteJSON(f, all))
	assert.NilError(b, f.Close())
}

// runAll runs a scenario with all policies.
func runAll(d policybench.Deployment, s policybench.Scenario) []policybench.Row {
	rows := make([]policybench.Row, len(policybench.ComparedPolicies(d)))
	var g errgroup.Group
	for i, p := range policybench.ComparedPolicies(d) {
		g.Go(func() error {
			rows[i] = policybench.Run(d, s, p).Row()
			return nil
		})
	}
	_ = g.Wait() // no run returns an error
	return rows
}
