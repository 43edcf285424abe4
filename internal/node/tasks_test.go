package node

import (
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

func TestTasksGivenAfterTheEndAreNotRun(t *testing.T) {
	var list tasks
	var ran atomic.Int64
	for range 8 {
		list.Go(func() {
			ran.Add(1)
			list.Go(func() { ran.Add(1) }) // may come while Wait waits
		})
	}
	list.Wait()
	before := ran.Load()
	assert.Assert(t, before >= 8)
	list.Go(func() { ran.Add(1) })
	list.Wait()
	assert.Equal(t, ran.Load(), before)
}
