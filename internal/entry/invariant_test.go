package entry

import (
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/engine"
	"github.com/redwingnotch/redwingnotch/invariant"
)

func TestChunkOfAnotherRequestFiresTheInvariant(t *testing.T) {
	a := &answerWriter{w: httptest.NewRecorder()}
	defer func() {
		v, ok := recover().(invariant.Violation)
		assert.Assert(t, ok)
		assert.Equal(t, v.Name, invariant.AnswerMatches)
	}()
	assert.NilError(t, a.put(engine.Chunk{RequestID: "r-2", Data: []byte("x")}, "r-1"))
}
