// Package objectapi is an in-memory stand-in for the platform's object API and VM
// list. It implements platform.Store and platform.VMList and serves both over
// HTTP.
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

// maxRetainedEvents is the number of changes retained for watches. Older ones are
// compacted.
const maxRetainedEvents = 10_000

// Counts holds the number of calls since New, refused ones included.
type Counts struct {
	Reads   int // gets and lists
	Writes  int // puts and deletes
	Watches int
	VMReads int // reads of the VM list
}

type objectKey struct {
	kind platform.Kind
	name string
}

// API is a simulated object API. Use New. Safe for concurrent use.
type API struct {
	Faults *fault.Injector // faults injected into calls and connections
	*host.Server
	mux *http.ServeMux

	mu               sync.Mutex
	objects          map[objectKey]platform.Object
	version          uint64           // version of the last change
	events           []platform.Event // retained changes, oldest first
	compactedVersion uint64           // version of the newest change that is not retained
	changed          chan struct{}    // closed and replaced on each change
	counts           Counts
	vms              vmList
	era              uint64
	namesEras        bool // answers over HTTP name the era
}

// New returns an empty API that does not serve HTTP yet.
func New() *API {
	a := &API{
		Faults:  &fault.Injector{},
		objects: map[objectKey]platform.Object{},
		changed: make(chan struct{}),
	}
	a.mux = a.routes()
	a.Server = host.New(a, a.Faults)
	return a
}

// Counts returns a copy of the counters.
func (a *API) Counts() Counts {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.counts
}

// Compact drops all retained changes. Watches from an earlier version then fail
// with platform.ErrCompacted.
func (a *API) Compact() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.events = nil
	a.compactedVersion = a.version
}

// injectFaults counts one call and injects its delay, outage or failure. The
// caller must drop the response itself, after the call took effect.
func (a *API) injectFaults(ctx context.Context, write bool, counter *int) (fault.Decision, error) {
	a.mu.Lock()
	*counter++
	a.mu.Unlock()
	decision := a.Faults.Decide(write)
	if err := fault.Sleep(ctx, decision.Delay); err != nil {
		return decision, fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	if decision.Outage || decision.Fail {
		return decision, fmt.Errorf("%w: injected fault", platform.ErrUnavailable)
	}
	return decision, nil
}

// Get implements platform.Store.
func (a *API) Get(ctx context.Context, kind platform.Kind, name string) (platform.Object, error) {
	if _, err := a.injectFaults(ctx, false, &a.counts.Reads); err != nil {
		return platform.Object{}, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stamp(ctx)
	obj, ok := a.objects[objectKey{kind, name}]
	if !ok {
		return platform.Object{}, platform.ErrNotFound
	}
	obj.Value = slices.Clone(obj.Value)
	return obj, nil
}

// List implements platform.Store. Objects are sorted by name.
func (a *API) List(ctx context.Context, kind platform.Kind, prefix string) ([]platform.Object, uint64, error) {
	if _, err := a.injectFaults(ctx, false, &a.counts.Reads); err != nil {
		return nil, 0, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stamp(ctx)
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
	decision, err := a.injectFaults(ctx, true, &a.counts.Writes)
	if err != nil {
		return 0, err
	}
	if len(value) > platform.MaxValueBytes {
		return 0, platform.ErrTooLarge
	}
	version, err := a.write(ctx, platform.Object{Kind: kind, Name: name, Writer: writer, Value: slices.Clone(value)}, expect, false)
	return version, writeResult(decision, err)
}

// Delete implements platform.Store.
func (a *API) Delete(ctx context.Context, kind platform.Kind, name string, expect uint64) error {
	decision, err := a.injectFaults(ctx, true, &a.counts.Writes)
	if err != nil {
		return err
	}
	_, err = a.write(ctx, platform.Object{Kind: kind, Name: name}, expect, true)
	return writeResult(decision, err)
}

// writeResult returns the error of a write, ErrUnknown if its response is lost.
func writeResult(decision fault.Decision, err error) error {
	if decision.DropResponse {
		return fmt.Errorf("%w: response lost", platform.ErrUnknown)
	}
	return err
}

// write stores or removes an object if its version equals expect (zero: it must
// not exist), and returns the new version.
func (a *API) write(ctx context.Context, obj platform.Object, expect uint64, remove bool) (uint64, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stamp(ctx)
	key := objectKey{obj.Kind, obj.Name}
	if current := a.objects[key].Version; current != expect {
		return 0, fmt.Errorf("%w: current version is %d, expected %d", platform.ErrConflict, current, expect)
	}
	a.version++
	obj.Version = a.version
	if remove {
		delete(a.objects, key)
	} else {
		a.objects[key] = obj
	}
	a.recordEvent(platform.Event{Object: obj, Deleted: remove})
	return a.version, nil
}

// recordEvent appends a change, compacts the oldest one if there are too many, and
// wakes the waiting watches. The lock must be held.
func (a *API) recordEvent(e platform.Event) {
	a.events = append(a.events, e)
	if len(a.events) > maxRetainedEvents {
		a.compactedVersion = a.events[0].Object.Version
		a.events = a.events[1:]
	}
	close(a.changed)
	a.changed = make(chan struct{})
}

// Watch implements platform.Store.
func (a *API) Watch(ctx context.Context, kind platform.Kind, after uint64, wait time.Duration) ([]platform.Event, uint64, error) {
	if _, err := a.injectFaults(ctx, false, &a.counts.Watches); err != nil {
		return nil, after, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		events, version, changed, err := a.eventsSince(ctx, kind, after)
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

// eventsSince returns the retained changes of the kind after the version, the
// current version, and a channel that is closed on the next change of any kind.
func (a *API) eventsSince(ctx context.Context, kind platform.Kind, after uint64) ([]platform.Event, uint64, <-chan struct{}, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stamp(ctx)
	if after < a.compactedVersion || a.namesEras && after > a.version {
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
