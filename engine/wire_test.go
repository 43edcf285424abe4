package engine_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/engine"
)

func TestEventID(t *testing.T) {
	for _, id := range []engine.EventID{{RequestID: "r", Index: 0, Tokens: 1}, {RequestID: "a/b/3", Index: 12, Tokens: 4}} {
		got, err := engine.ParseEventID(id.String())
		assert.NilError(t, err)
		assert.Equal(t, got, id)
	}
	for _, bad := range []string{"", "r", "r/1", "/1/1", "r/x/1", "r/1/x", "r/-1/1", "r/1/-1"} {
		_, err := engine.ParseEventID(bad)
		assert.Assert(t, err != nil, bad)
	}
}
