// Package bytebudget bounds the memory that a node holds for the bodies of all requests and
// responses together, so that a few large ones do not end the process and with it the
// requests of other callers.
package bytebudget

import (
	"errors"
	"fmt"
	"io"
	"sync"
)

// Errors of Holding.
var (
	ErrFull     = errors.New("no memory is left for bodies")
	ErrTooLarge = errors.New("body is larger than allowed")
)

const (
	smallBytes   = 64 << 10 // a body of this size may use the whole budget
	largeShare   = 0.5      // part of the budget that larger bodies may use together
	firstBuffer  = 1 << 10  // size of the first buffer for a body
	growthFactor = 2        // growth of the buffer
)

// Budget is the memory that bodies may use. It is safe for concurrent use.
type Budget struct {
	limit int64
	mu    sync.Mutex
	used  int64
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Used returns the bytes in use.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Hold returns a Holding of no bytes.
func (b *Budget) Hold() *Holding { return &Holding{budget: b} }

// Holding is the memory of one body. It is not safe for concurrent use.
type Holding struct {
	budget *Budget
	bytes  int64
}

// Grow takes memory out of the budget so that the body may use the given number of bytes in
// all, and reports whether there was enough.
func (h *Holding) Grow(bytes int64) bool {
	more := bytes - h.bytes
	if more <= 0 {
		return true
	}
	limit := h.budget.limit
	if bytes > smallBytes {
		limit = int64(largeShare * float64(limit))
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.budget.used+more > limit {
		return false
	}
	h.budget.used += more
	h.bytes = bytes
	return true
}

// Release returns the memory to the budget.
func (h *Holding) Release() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.used -= h.bytes
	h.bytes = 0
}

// ReadAll reads to the end of r, at most limit bytes. The error wraps ErrFull if the budget
// has no memory left, with what was read so far, and ErrTooLarge if r holds more.
func (h *Holding) ReadAll(r io.Reader, limit int64) ([]byte, error) {
	if !h.Grow(firstBuffer) {
		return nil, ErrFull
	}
	data := make([]byte, 0, firstBuffer)
	for {
		if len(data) == cap(data) {
			size := min(growthFactor*int64(cap(data)), limit+1)
			if !h.Grow(size) {
				return data, fmt.Errorf("%w: %d bytes were read", ErrFull, len(data))
			}
			data = append(make([]byte, 0, size), data...)
		}
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if int64(len(data)) > limit {
			return nil, fmt.Errorf("%w: limit %d bytes", ErrTooLarge, limit)
		}
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return nil, err
		}
	}
}
