package telemetry_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/invariant"
)

const (
	root = "../.."
	page = root + "/docs/operations/metrics-and-logs.md"
)

// sources returns the text of all Go files of the product, tests left out.
func sources(t *testing.T) string {
	t.Helper()
	var all strings.Builder
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		all.Write(text)
		return err
	})
	assert.NilError(t, err)
	return all.String()
}

// namesIn returns what the first group of the expression matches.
func namesIn(text, expression string) map[string]bool {
	names := make(map[string]bool)
	for _, match := range regexp.MustCompile(expression).FindAllStringSubmatch(text, -1) {
		names[match[1]] = true
	}
	return names
}

func TestPageNamesWhatTheCodeReports(t *testing.T) {
	text, err := os.ReadFile(page)
	assert.NilError(t, err)
	code := sources(t)
	for _, kind := range []struct {
		what, expression, known, before, after string
	}{
		{"log event", `"event",\s*"(\w+)"`, "order", "`", "`"},
		{"log event of keyed calls", `\.log\("(\w+)"`, "claim_failed", "`", "`"},
		{"metric", `meter\.\w+\("(\w+)"`, "redwingnotch_requests", "`", "`"},
		{"invariant", `\w+\s+Name\s+=\s+"(\w+)"`, string(invariant.ReplicaLimit), "`", "`"},
		{"audit outcome", `Outcome\w+\s+Outcome\s+=\s+"(accepted|refused|not accepted|unknown)"`, "not accepted", "`", "`"},
		{"reason of a blocked load", `BlockReason = "([^"]+)"`, "replica limit reached", "| ", " |"},
	} {
		names := namesIn(code, kind.expression)
		assert.Assert(t, names[kind.known], "no %s %q in the code: mend this test", kind.what, kind.known)
		for name := range names {
			assert.Assert(t, strings.Contains(string(text), kind.before+name+kind.after), "%s %q is not on %s", kind.what, name, page)
		}
	}
}

func TestPageNamesNoEventThatTheCodeLacks(t *testing.T) {
	text, err := os.ReadFile(page)
	assert.NilError(t, err)
	_, section, found := strings.Cut(string(text), "\n## Log events")
	assert.Assert(t, found)
	section, _, found = strings.Cut(section, "\n## Reasons")
	assert.Assert(t, found)
	code := sources(t)
	for line := range strings.Lines(section) {
		if !strings.HasPrefix(line, "| `") {
			continue
		}
		cell, _, _ := strings.Cut(line[1:], "|")
		for name := range namesIn(cell, "`(\\w+)`") {
			assert.Assert(t, strings.Contains(code, `"`+name+`"`), "event %q of %s is not in the code", name, page)
		}
	}
}
