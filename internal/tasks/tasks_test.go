package tasks_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/internal/tasks"
)

func TestTasksMayStartWhileOthersWait(t *testing.T) {
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
