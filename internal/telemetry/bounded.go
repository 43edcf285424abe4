package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"golang.org/x/time/rate"
)

// Limits of a BoundedWriter.
const (
	maxQueuedLines = 1024 // lines waiting to be written
	linesPerSecond = 400  // average rate of accepted lines
	burstLines     = 2000 // lines accepted in one burst
)

// BoundedWriter writes log lines in the background, so that a slow or blocked
// output never delays the program. Lines that exceed the queue or the rate limit
// are dropped, and their number is written before the next line.
type BoundedWriter struct {
	out     io.Writer
	lines   chan []byte
	limiter *rate.Limiter
	dropped atomic.Uint64
	done    sync.WaitGroup

	mu     sync.RWMutex // held for writing by Close only
	closed bool
}

// NewBoundedWriter returns a writer to out and starts its goroutine, which Close
// stops.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	w := &BoundedWriter{out: out, lines: make(chan []byte, maxQueuedLines), limiter: rate.NewLimiter(linesPerSecond, burstLines)}
	w.done.Go(w.writeLines)
	return w
}

// Write implements io.Writer for one line. It never blocks and never fails, even
// if it drops the line, as it does after Close.
func (w *BoundedWriter) Write(line []byte) (int, error) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.closed || !w.limiter.Allow() {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since their number was last written.
func (w *BoundedWriter) Dropped() uint64 { return w.dropped.Load() }

// writeLines writes queued lines until Close.
func (w *BoundedWriter) writeLines() {
	for line := range w.lines {
		if n := w.dropped.Swap(0); n > 0 {
			// Errors are ignored: there is no other output to report them to.
			_, _ = fmt.Fprintf(w.out, "event=log_lines_dropped count=%d\n", n)
		}
		_, _ = w.out.Write(line)
	}
}

// Close writes the queued lines and stops the goroutine. Call it once. Goroutines that a stop
// leaves behind may still call Write.
func (w *BoundedWriter) Close() {
	w.mu.Lock()
	w.closed = true
	close(w.lines)
	w.mu.Unlock()
	w.done.Wait()
}
