package docs_test

import (
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

var (
	headingLink       = regexp.MustCompile(`\]\(([^)#:]*)#([^)]+)\)`)
	heading           = regexp.MustCompile(`(?m)^#+ +(.+)$`)
	droppedFromAnchor = regexp.MustCompile(`[^a-z0-9 _-]`)
)

// anchors returns the set of heading anchors of a page.
func anchors(text string) map[string]bool {
	found := make(map[string]bool)
	for _, match := range heading.FindAllStringSubmatch(text, -1) {
		title := droppedFromAnchor.ReplaceAllString(strings.ToLower(match[1]), "")
		found[strings.ReplaceAll(title, " ", "-")] = true
	}
	return found
}

func TestLinksToHeadingsResolve(t *testing.T) {
	texts := readPages(t)
	for path, text := range texts {
		for _, match := range headingLink.FindAllStringSubmatch(text, -1) {
			target := path
			if match[1] != "" {
				target = filepath.Join(filepath.Dir(path), match[1])
			}
			assert.Check(t, anchors(texts[target])[match[2]], "%s links to %s#%s, which doesn't exist", path, match[1], match[2])
		}
	}
}
