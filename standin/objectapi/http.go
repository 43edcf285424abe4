package objectapi

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/redwingnotch/redwingnotch/platform"
)

// ServeHTTP implements http.Handler by the protocol of docs/PROTOCOLS.md.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) { a.mux.ServeHTTP(w, r) }

func (a *API) routes() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.PathVMs, a.serveVMs)
	mux.HandleFunc("GET "+platform.PathObjects+"{kind}", a.serveKind)
	mux.HandleFunc("GET "+platform.PathObjects+"{kind}/{name}", a.serveGet)
	mux.HandleFunc("PUT "+platform.PathObjects+"{kind}/{name}", a.servePut)
	mux.HandleFunc("DELETE "+platform.PathObjects+"{kind}/{name}", a.serveDelete)
	return mux
}

func (a *API) serveVMs(w http.ResponseWriter, r *http.Request) {
	records, asOf, err := a.VMs(r.Context())
	body := platform.VMListBody{AsOf: asOf}
	for _, record := range records {
		body.VMs = append(body.VMs, platform.VMBodyOf(record))
	}
	answer(w, body, err)
}

func (a *API) serveKind(w http.ResponseWriter, r *http.Request) {
	kind := platform.Kind(r.PathValue("kind"))
	query := r.URL.Query()
	if !query.Has(platform.QueryAfter) {
		objects, version, err := a.List(r.Context(), kind, query.Get(platform.QueryPrefix))
		answer(w, platform.ListBody{Objects: objects, Version: version}, err)
		return
	}
	after, afterErr := strconv.ParseUint(query.Get(platform.QueryAfter), 10, 64)
	waitMS, waitErr := strconv.ParseUint(query.Get(platform.QueryWaitMS), 10, 31)
	if afterErr != nil || waitErr != nil {
		http.Error(w, "malformed after or wait_ms", http.StatusBadRequest)
		return
	}
	wait := time.Duration(waitMS) * time.Millisecond
	events, version, err := a.Watch(r.Context(), kind, after, wait)
	answer(w, platform.WatchBody{Events: events, Version: version}, err)
}

func (a *API) serveGet(w http.ResponseWriter, r *http.Request) {
	obj, err := a.Get(r.Context(), platform.Kind(r.PathValue("kind")), r.PathValue("name"))
	answer(w, obj, err)
}

func (a *API) servePut(w http.ResponseWriter, r *http.Request) {
	expect, ok := expectedVersion(r.Header)
	if !ok {
		http.Error(w, "If-Match or If-None-Match: * is required", http.StatusPreconditionRequired)
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, platform.MaxValueBytes))
	if err != nil {
		answer(w, nil, platform.ErrTooLarge)
		return
	}
	writer := r.Header.Get(platform.HeaderWriter)
	version, err := a.Put(r.Context(), platform.Kind(r.PathValue("kind")), r.PathValue("name"), value, expect, writer)
	answer(w, platform.VersionBody{Version: version}, err)
}

func (a *API) serveDelete(w http.ResponseWriter, r *http.Request) {
	expect, ok := expectedVersion(r.Header)
	if !ok || expect == 0 {
		http.Error(w, "If-Match is required", http.StatusPreconditionRequired)
		return
	}
	err := a.Delete(r.Context(), platform.Kind(r.PathValue("kind")), r.PathValue("name"), expect)
	answer(w, platform.VersionBody{}, err)
}

func expectedVersion(h http.Header) (uint64, bool) {
	if h.Get("If-None-Match") == "*" {
		return 0, true
	}
	version, err := strconv.ParseUint(strings.Trim(h.Get("If-Match"), `"`), 10, 64)
	return version, err == nil
}

var statuses = []struct {
	err    error
	status int
}{
	{platform.ErrNotFound, http.StatusNotFound},
	{platform.ErrConflict, http.StatusPreconditionFailed},
	{platform.ErrCompacted, http.StatusGone},
	{platform.ErrTooLarge, http.StatusRequestEntityTooLarge},
	{platform.ErrUnavailable, http.StatusServiceUnavailable},
}

func answer(w http.ResponseWriter, body any, err error) {
	if errors.Is(err, platform.ErrUnknown) {
		panic(http.ErrAbortHandler) // the answer is lost
	}
	for _, s := range statuses {
		if errors.Is(err, s.err) {
			http.Error(w, err.Error(), s.status)
			return
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
