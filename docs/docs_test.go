// Package docs_test checks that the pages speak of what the code has.
package docs_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

var (
	namedTest  = regexp.MustCompile("`((?:Test|Fuzz|Benchmark)[A-Za-z]+)`")
	writtenOne = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz|Benchmark)[A-Za-z]+)\(`)
	pageLink   = regexp.MustCompile(`\]\(([^)#:]+\.md)(?:#[^)]*)?\)`)
)

// pages returns the text of all Markdown files, by path.
func pages(t *testing.T) map[string]string {
	t.Helper()
	return read(t, ".md")
}

// read returns the text of all files of the repository with the ending.
func read(t *testing.T, ending string) map[string]string {
	t.Helper()
	texts := make(map[string]string)
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ending) {
			return err
		}
		text, err := os.ReadFile(path)
		texts[path] = string(text)
		return err
	})
	assert.NilError(t, err)
	return texts
}

func TestPagesNameTestsThatExist(t *testing.T) {
	written := make(map[string]bool)
	for _, text := range read(t, "_test.go") {
		for _, match := range writtenOne.FindAllStringSubmatch(text, -1) {
			written[match[1]] = true
		}
	}
	for path, text := range pages(t) {
		for _, match := range namedTest.FindAllStringSubmatch(text, -1) {
			assert.Check(t, written[match[1]], "%s names %s", path, match[1])
		}
	}
}

func TestLinksBetweenPagesLead(t *testing.T) {
	for path, text := range pages(t) {
		for _, match := range pageLink.FindAllStringSubmatch(text, -1) {
			_, err := os.Stat(filepath.Join(filepath.Dir(path), match[1]))
			assert.Check(t, err == nil, "%s links to %s", path, match[1])
		}
	}
}
