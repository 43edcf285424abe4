package policybench_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/admission"
	"github.com/redwingnotch/redwingnotch/internal/policybench"
	"github.com/redwingnotch/redwingnotch/keepwarm"
	"github.com/redwingnotch/redwingnotch/quarantine"
	"github.com/redwingnotch/redwingnotch/release"
)

// smallDeployment returns a deployment small enough for a unit test.
func smallDeployment() policybench.Deployment {
	d := policybench.Naipes(admission.DefaultSettings(), keepwarm.DefaultSettings())
	d.Servers, d.Models, d.Adapters = 4, 12, 6
	return d
}

// shortScenario returns the named scenario, measured for at most one hour.
func shortScenario(t *testing.T, name string) policybench.Scenario {
	for _, s := range policybench.Scenarios() {
		if s.Name == name {
			s.Measured = min(s.Measured, time.Hour)
			return s
		}
	}
	t.Fatalf("no scenario %s", name)
	return policybench.Scenario{}
}

func TestRunIsDeterministicAndEndsEveryCallOnce(t *testing.T) {
	for _, name := range []string{"ordinary-day", "reclaimed-third", "poison"} {
		for i, p := range policybench.ComparedPolicies(smallDeployment()) {
			row := policybench.Run(smallDeployment(), shortScenario(t, name), p).Row()
			again := policybench.Run(smallDeployment(), shortScenario(t, name), policybench.ComparedPolicies(smallDeployment())[i]).Row()
			assert.DeepEqual(t, row, again)
			assert.Equal(t, row.Lost+row.Duplicates+row.FalseNotRun, 0, "%s %s: %+v", name, p.Name, row)
		}
	}
}

func TestQuarantineLimitsPoisonCrashes(t *testing.T) {
	for _, p := range policybench.ComparedPolicies(smallDeployment()) {
		row := policybench.Run(smallDeployment(), shortScenario(t, "poison"), p).Row()
		if p.Name == policybench.PolicyNaive {
			assert.Assert(t, row.ServersLost > quarantine.MaxCrashes, "the poison request crashed too few servers without quarantine: %+v", row)
			continue
		}
		assert.Assert(t, row.ServersLost <= quarantine.MaxCrashes, "%s: %+v", p.Name, row)
	}
}

func TestExampleNotesParse(t *testing.T) {
	for _, name := range []string{"tocka", "naipes"} {
		text, err := os.ReadFile(filepath.Join("..", "..", "examples", name, "release.yaml"))
		assert.NilError(t, err)
		_, findings := release.ParseNote(text)
		assert.Equal(t, len(findings), 0, "%s: %v", name, findings)
	}
}
