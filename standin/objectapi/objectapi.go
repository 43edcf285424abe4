// Package objectapi is a stand-in for the platform's object API and VM list,
// held in memory. It implements platform.Store and platform.VMList directly and
// serves the same over HTTP.
package objectapi

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/redwingnotch/redwingnotch/platform"
	"github.com/redwingnotch/redwingnotch/standin/fault"
	"github.com/redwingnotch/redwingnotch/standin/host"
)

// keptEvents is the number of changes that watches can still reach back to.
const keptEvents = 10_000

// Counts are the calls that reached the API since New, refused ones included.
type Counts struct {
	Reads   int // gets and lists
	Writes  int // puts and deletes
	Watches int
	VMReads int
}

type objectKey struct {
	kind platform.Kind
	name string
}

// API is the stand-in. Use New. Safe for concurrent use.
type API struct {
	Faults *fault.Board
	*host.Host
	mux *http.ServeMux

	mu        sync.Mutex
	objects   map[objectKey]platform.Object
	version   uint64
	events    []platform.Event
	compacted uint64        // version of the newest change no longer kept
	changed   chan struct{} // closed and replaced at each change
	counts    Counts
	vms       vmList
}

// New returns an empty API that does not serve HTTP yet.
func New() *API {
	a := &API{
		Faults:  &fault.Board{},
		objects: map[objectKey]platform.Object{},
		changed: make(chan struct{}),
	}
	a.mux = a.routes()
	a.Host = host.New(a, a.Faults)
	return a
}

// Counts returns the calls made so far.
func (a *API) Counts() Counts {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.counts
}

// Compact forgets all changes, so that watches must list again.
func (a *API) Compact() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.events = nil
	a.compacted = a.version
}

// judge applies the board to one call. A lost answer is for the caller to
// apply after the effect.
func (a *API) judge(ctx context.Context, write bool, counter *int) (fault.Verdict, error) {
	a.mu.Lock()
	*counter++
	a.mu.Unlock()
	v := a.Faults.Judge(write)
	if err := fault.Sleep(ctx, v.Delay); err != nil {
		return v, fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	if v.Outage || v.Fail {
		return v, fmt.Errorf("%w: switched off", platform.ErrUnavailable)
	}
	return v, nil
}

// Get implements platform.Store.
func (a *API) Get(ctx context.Context, kind platform.Kind, name string) (platform.Object, error) {
	if _, err := a.judge(ctx, false, &a.counts.Reads); err != nil {
		return platform.Object{}, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	obj, ok := a.objects[objectKey{kind, name}]
	if !ok {
		return platform.Object{}, platform.ErrNotFound
	}
	obj.Value = slices.Clone(obj.Value)
	return obj, nil
}

// List implements platform.Store. Objects come in order of name.
func (a *API) List(ctx context.Context, kind platform.Kind, prefix string) ([]platform.Object, uint64, error) {
	if _, err := a.judge(ctx, false, &a.counts.Reads); err != nil {
		return nil, 0, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	var found []platform.Object
	for key, obj := range a.objects {
		if key.kind == kind && strings.HasPrefix(key.name, prefix) {
			obj.Value = slices.Clone(obj.Value)
			found = append(found, obj)
		}
	}
	slices.SortFunc(found, func(x, y platform.Object) int { return strings.Compare(x.Name, y.Name) })
	return found, a.version, nil
}

// Put implements platform.Store.
func (a *API) Put(ctx context.Context, kind platform.Kind, name string, value []byte, expect uint64, writer string) (uint64, error) {
	verdict, err := a.judge(ctx, true, &a.counts.Writes)
	if err != nil {
		return 0, err
	}
	if len(value) > platform.MaxValueBytes {
		return 0, platform.ErrTooLarge
	}
	version, err := a.write(platform.Object{Kind: kind, Name: name, Writer: writer, Value: slices.Clone(value)}, expect, false)
	return version, afterWrite(verdict, err)
}

// Delete implements platform.Store.
func (a *API) Delete(ctx context.Context, kind platform.Kind, name string, expect uint64) error {
	verdict, err := a.judge(ctx, true, &a.counts.Writes)
	if err != nil {
		return err
	}
	_, err = a.write(platform.Object{Kind: kind, Name: name}, expect, true)
	return afterWrite(verdict, err)
}

func afterWrite(v fault.Verdict, err error) error {
	if v.LoseAnswer {
		return fmt.Errorf("%w: answer lost", platform.ErrUnknown)
	}
	return err
}

func (a *API) write(obj platform.Object, expect uint64, remove bool) (uint64, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	key := objectKey{obj.Kind, obj.Name}
	if have := a.objects[key].Version; have != expect {
		return 0, fmt.Errorf("%w: version is %d, not %d", platform.ErrConflict, have, expect)
	}
	a.version++
	obj.Version = a.version
	if remove {
		delete(a.objects, key)
	} else {
		a.objects[key] = obj
	}
	a.record(platform.Event{Object: obj, Deleted: remove})
	return a.version, nil
}

// record appends a change and wakes the watches.
func (a *API) record(e platform.Event) {
	a.events = append(a.events, e)
	if len(a.events) > keptEvents {
		a.compacted = a.events[0].Object.Version
		a.events = a.events[1:]
	}
	close(a.changed)
	a.changed = make(chan struct{})
}

// Watch implements platform.Store.
func (a *API) Watch(ctx context.Context, kind platform.Kind, after uint64, wait time.Duration) ([]platform.Event, uint64, error) {
	if _, err := a.judge(ctx, false, &a.counts.Watches); err != nil {
		return nil, after, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		events, version, changed, err := a.since(kind, after)
		if err != nil || len(events) > 0 {
			return events, version, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, version, nil
		case <-ctx.Done():
			return nil, after, fmt.Errorf("%w: %w", platform.ErrUnavailable, ctx.Err())
		}
	}
}

// since returns the kind's changes after a version and a channel that closes at
// the next change of any kind.
func (a *API) since(kind platform.Kind, after uint64) ([]platform.Event, uint64, <-chan struct{}, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if after < a.compacted {
		return nil, after, nil, platform.ErrCompacted
	}
	var found []platform.Event
	for _, e := range a.events {
		if e.Object.Kind == kind && e.Object.Version > after {
			found = append(found, e)
		}
	}
	return found, max(after, a.version), a.changed, nil
}
