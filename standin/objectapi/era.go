package objectapi

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"strconv"

	"github.com/redwingnotch/redwingnotch/platform"
)

// Copy is what the store held at some time.
type Copy struct {
	objects          map[objectKey]platform.Object
	version          uint64
	events           []platform.Event
	compactedVersion uint64
}

// NameEras lets all answers over HTTP name the store's era, from the given one on. Without it the store has
// no eras.
func (a *API) NameEras(first uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.era, a.namesEras = first, true
}

// Copy returns a copy of what the store holds.
func (a *API) Copy() *Copy {
	a.mu.Lock()
	defer a.mu.Unlock()
	return &Copy{maps.Clone(a.objects), a.version, slices.Clone(a.events), a.compactedVersion}
}

// GoBack lets the store come back from the copy: what was written since is gone, its revisions are given
// again, and a new era begins. Watches that wait end; one from a revision that the store does not have
// fails with platform.ErrCompacted. An outage before is the caller's to inject.
func (a *API) GoBack(c *Copy) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.objects, a.version, a.events, a.compactedVersion = maps.Clone(c.objects), c.version, slices.Clone(c.events), c.compactedVersion
	a.era++
	close(a.changed)
	a.changed = make(chan struct{})
}

// eraKey is the context key of a call's era.
type eraKey struct{}

// stamp records the era in which a call over HTTP takes effect. The lock must be held.
func (a *API) stamp(ctx context.Context) {
	if era, ok := ctx.Value(eraKey{}).(*uint64); ok {
		*era = a.era
	}
}

// eraWriter names the era of a call in its response.
type eraWriter struct {
	http.ResponseWriter
	era *uint64
}

// WriteHeader implements http.ResponseWriter.
func (w eraWriter) WriteHeader(status int) {
	w.Header().Set(platform.HeaderStoreEra, strconv.FormatUint(*w.era, 10))
	w.ResponseWriter.WriteHeader(status)
}

// withEra returns the writer and the request of a call whose answer names its era, if the store has eras.
func (a *API) withEra(w http.ResponseWriter, r *http.Request) (http.ResponseWriter, *http.Request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.namesEras {
		return w, r
	}
	era := a.era
	return eraWriter{w, &era}, r.WithContext(context.WithValue(r.Context(), eraKey{}, &era))
}
