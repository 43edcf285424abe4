package tasks_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/internal/tasks"
)

func TestWaitIncludesTasksStartedMeanwhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var g tasks.Group
		g.Wait()
		started := time.Now()
		g.Go(func() {
			time.Sleep(time.Second)
			g.Go(func() { time.Sleep(time.Second) })
		})
		go func() {
			time.Sleep(500 * time.Millisecond)
			g.Go(func() { time.Sleep(time.Second) })
		}()
		g.Wait()
		assert.Equal(t, time.Since(started), 2*time.Second)
		assert.Equal(t, g.Running(), 0)
	})
}

func TestGoAfterCloseDoesNothing(t *testing.T) {
	var g tasks.Group
	var ran atomic.Int64
	for range 8 {
		g.Go(func() {
			ran.Add(1)
			g.Go(func() { ran.Add(1) }) // may be called while Close waits
		})
	}
	g.Close()
	before := ran.Load()
	assert.Assert(t, before >= 8)
	g.Go(func() { ran.Add(1) })
	g.Close()
	assert.Equal(t, ran.Load(), before)
}
