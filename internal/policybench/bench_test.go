package policybench_test

import (
	"os"
	"testing"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/admission"
	"github.com/redwingnotch/redwingnotch/internal/policybench"
	"github.com/redwingnotch/redwingnotch/keepwarm"
)

// jsonFileVariable names the file that gets the rows as JSON lines, if set.
const jsonFileVariable = "POLICY_JSON"

func deployments() []policybench.Deployment {
	a := admission.DefaultSettings()
	k := keepwarm.DefaultSettings()
	return []policybench.Deployment{policybench.Tocka(a, k), policybench.Naipes(a, k)}
}

func BenchmarkPolicy(b *testing.B) {
	var all []policybench.Row
	for _, d := range deployments() {
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

// runAll plays a scenario with all policies.
func runAll(d policybench.Deployment, s policybench.Scenario) []policybench.Row {
	rows := make([]policybench.Row, len(policybench.Compared(d)))
	var g errgroup.Group
	for i, p := range policybench.Compared(d) {
		g.Go(func() error {
			rows[i] = policybench.Run(d, s, p).Row()
			return nil
		})
	}
	_ = g.Wait() // no run returns an error
	return rows
}
