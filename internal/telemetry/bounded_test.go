package telemetry_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/internal/telemetry"
)

// blockingWriter blocks every Write until unblock is closed.
type blockingWriter struct {
	unblock chan struct{}
	bytes.Buffer
}

func (s *blockingWriter) Write(p []byte) (int, error) {
	<-s.unblock
	return s.Buffer.Write(p)
}

// TestBoundedWriterDropsLinesWhenOutputBlocks checks that Write doesn't block, and
// that the number of dropped lines is written once the output accepts data again.
func TestBoundedWriterDropsLinesWhenOutputBlocks(t *testing.T) {
	out := &blockingWriter{unblock: make(chan struct{})}
	w := telemetry.NewBoundedWriter(out)
	for range 5000 {
		n, err := w.Write([]byte("line\n"))
		assert.NilError(t, err)
		assert.Equal(t, n, len("line\n"))
	}
	assert.Assert(t, w.Dropped() > 0)
	close(out.unblock)
	w.Close()
	written := strings.Count(out.String(), "line\n")
	assert.Assert(t, written > 0 && written < 5000, "%d lines written", written)
	assert.Assert(t, strings.Contains(out.String(), "event=log_lines_dropped count="))
}

// TestBoundedWriterLimitsRate checks that most lines beyond the burst are dropped.
func TestBoundedWriterLimitsRate(t *testing.T) {
	var out bytes.Buffer
	w := telemetry.NewBoundedWriter(&out)
	const lines = 200000
	for range lines {
		_, err := w.Write([]byte("line\n"))
		assert.NilError(t, err)
	}
	w.Close()
	assert.Assert(t, strings.Count(out.String(), "line\n") < lines/10)
}

// TestBoundedWriterDropsLinesAfterClose guards against a goroutine that a stop leaves behind and whose
// log line ends the process with a panic.
func TestBoundedWriterDropsLinesAfterClose(t *testing.T) {
	var out bytes.Buffer
	w := telemetry.NewBoundedWriter(&out)
	var writers sync.WaitGroup
	for range 4 {
		writers.Go(func() {
			for range 1000 {
				_, _ = w.Write([]byte("line\n"))
			}
		})
	}
	w.Close()
	writers.Wait()
	written := out.Len()
	n, err := w.Write([]byte("late\n"))
	assert.NilError(t, err)
	assert.Equal(t, n, len("late\n"))
	assert.Equal(t, out.Len(), written)
}
