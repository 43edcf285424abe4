package entry

import (
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/engine"
	"github.com/redwingnotch/redwingnotch/invariant"
)

func TestInvariantFailsOnChunkOfAnotherRequest(t *testing.T) {
	rw := &responseWriter{w: httptest.NewRecorder()}
	defer func() {
		v, ok := recover().(invariant.Violation)
		assert.Assert(t, ok)
		assert.Equal(t, v.Name, invariant.AnswerMatches)
	}()
	assert.NilError(t, rw.writeChunk(engine.Chunk{RequestID: "r-2", Data: []byte("x")}, "r-1"))
}
