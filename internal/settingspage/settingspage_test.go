package main

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/internal/settings"
)

func TestCommittedPageIsUpToDate(t *testing.T) {
	committed, err := os.ReadFile("../../docs/operations/settings.md")
	assert.NilError(t, err)
	assert.Equal(t, string(committed), page(settings.DaemonSettings()), "run: go run ./internal/settingspage")
}

func TestPageListsEveryFlagInHelp(t *testing.T) {
	var help bytes.Buffer
	_, err := settings.Parse(&settings.Daemon{}, "redwingnotch", []string{"--help"}, &help)
	assert.NilError(t, err)
	text := page(settings.DaemonSettings())
	for _, word := range strings.Fields(help.String()) {
		flag := strings.TrimRight(word, ",")
		if !strings.HasPrefix(flag, "--") || flag == "--help" || flag == "--version" {
			continue
		}
		assert.Assert(t, strings.Contains(text, "`"+flag+"`"), flag)
	}
}
