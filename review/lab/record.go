// Package lab runs entry nodes as processes on loopback addresses, with stand-ins of the
// platform's store, backend servers and clients, for the cases of the review.
package lab

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the file of what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	began time.Time
	file  *os.File
	w     *bufio.Writer
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{began: time.Now(), file: f, w: bufio.NewWriter(f)}, nil
}

// Logf adds a line with the time since NewRecord in seconds.
func (r *Record) Logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%8.3f ", time.Since(r.began).Seconds())
	fmt.Fprintf(r.w, format, args...)
	fmt.Fprintln(r.w)
}

// Close writes out the file.
func (r *Record) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.w.Flush(); err != nil {
		return err
	}
	return r.file.Close()
}
