package objectapi

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/redwingnotch/redwingnotch/platform"
)

// ServeHTTP implements http.Handler. docs/PROTOCOLS.md describes the protocol.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) { a.mux.ServeHTTP(a.withEra(w, r)) }

func (a *API) routes() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.PathVMs, a.serveVMs)
	mux.HandleFunc("GET "+platform.PathObjects+"{kind}", a.serveListOrWatch)
	mux.HandleFunc("POST "+platform.PathObjects+"{kind}", a.serveWrite)
	mux.HandleFunc("GET "+platform.PathObjects+"{kind}/{name}", a.serveGet)
	mux.HandleFunc("PUT "+platform.PathObjects+"{kind}/{name}", a.serveWrite)
	mux.HandleFunc("DELETE "+platform.PathObjects+"{kind}/{name}", a.serveDelete)
	return mux
}

func (a *API) serveVMs(w http.ResponseWriter, r *http.Request) {
	records, asOf, err := a.VMs(r.Context())
	body := platform.VMListBody{AsOf: asOf}
	for _, record := range records {
		body.VMs = append(body.VMs, platform.EncodeVM(record))
	}
	writeResponse(w, http.StatusOK, body, err)
}

// pageSize is the maximum number of objects in a list response.
const pageSize = 500

func (a *API) serveListOrWatch(w http.ResponseWriter, r *http.Request) {
	kind := platform.Kind(r.PathValue("kind"))
	query := r.URL.Query()
	if query.Has(platform.QueryWatch) {
		a.serveWatch(w, r, kind)
		return
	}
	objects, version, err := a.List(r.Context(), kind, "")
	page := platform.ListBody{Items: []platform.ObjectBody{}, StoreRevision: version}
	for _, obj := range objects {
		if obj.Name <= query.Get(platform.QueryAfter) {
			continue
		}
		if len(page.Items) == pageSize {
			page.HasMore = true
			break
		}
		page.Items = append(page.Items, objectBody(obj))
	}
	writeResponse(w, http.StatusOK, page, err)
}

func (a *API) serveWatch(w http.ResponseWriter, r *http.Request, kind platform.Kind) {
	query := r.URL.Query()
	after, afterErr := strconv.ParseUint(query.Get(platform.QueryWatch), 10, 64)
	waitMS, waitErr := strconv.ParseUint(query.Get(platform.QueryWaitMS), 10, 31)
	if afterErr != nil || waitErr != nil {
		http.Error(w, "malformed query parameter watch or wait_ms", http.StatusBadRequest)
		return
	}
	wait := time.Duration(waitMS) * time.Millisecond
	events, version, err := a.Watch(r.Context(), kind, after, wait)
	body := platform.WatchBody{Events: []platform.EventBody{}, StoreRevision: version}
	for _, e := range events {
		body.Events = append(body.Events, platform.EventBody{Object: objectBody(e.Object), Deleted: e.Deleted})
	}
	writeResponse(w, http.StatusOK, body, err)
}

func (a *API) serveGet(w http.ResponseWriter, r *http.Request) {
	obj, err := a.Get(r.Context(), platform.Kind(r.PathValue("kind")), r.PathValue("name"))
	writeResponse(w, http.StatusOK, objectBody(obj), err)
}

// objectBody returns the JSON body of a stored object. The values of configs and
// servers are the specification itself; those of other kinds are encoded into it
// with their writer.
func objectBody(obj platform.Object) platform.ObjectBody {
	body := platform.ObjectBody{
		Metadata:      platform.Metadata{Name: obj.Name, Revision: obj.Version, Finalizers: json.RawMessage("[]")},
		Specification: obj.Value,
		Status:        json.RawMessage("null"),
	}
	if obj.Kind == platform.KindConfig || obj.Kind == platform.KindServers {
		if _, err := json.Marshal(body.Specification); err != nil {
			body.Specification = rawMark(obj.Value)
		}
		return body
	}
	spec, err := platform.EncodeSpecification(obj.Writer, obj.Value)
	if err != nil {
		panic(err) // encoding a string and bytes can't fail
	}
	body.Specification = spec
	return body
}

// maxBodyBytes is the largest accepted request body. It leaves room for the
// encoding of the largest value and for the metadata.
const maxBodyBytes = 2 * platform.MaxValueBytes

// serveWrite creates (POST) or replaces (PUT) an object. A PUT without a revision
// is refused, because the system must never replace an object unconditionally.
func (a *API) serveWrite(w http.ResponseWriter, r *http.Request) {
	kind := platform.Kind(r.PathValue("kind"))
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		writeResponse(w, 0, nil, platform.ErrTooLarge)
		return
	}
	var body platform.ObjectBody
	if err := json.Unmarshal(data, &body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	create := r.Method == http.MethodPost
	if create != (body.Metadata.Revision == 0) || !create && body.Metadata.Name != r.PathValue("name") {
		http.Error(w, "a revision is required in a PUT and not allowed in a POST; the name in a PUT must match the path", http.StatusBadRequest)
		return
	}
	obj := platform.DecodeObject(kind, body)
	body.Metadata.Revision, err = a.Put(r.Context(), kind, body.Metadata.Name, obj.Value, body.Metadata.Revision, obj.Writer)
	status := http.StatusOK
	if create {
		status = http.StatusCreated
	}
	writeResponse(w, status, body, err)
}

func (a *API) serveDelete(w http.ResponseWriter, r *http.Request) {
	expect, err := strconv.ParseUint(r.URL.Query().Get(platform.QueryRevision), 10, 64)
	if err != nil || expect == 0 {
		http.Error(w, "query parameter revision is required", http.StatusBadRequest)
		return
	}
	err = a.Delete(r.Context(), platform.Kind(r.PathValue("kind")), r.PathValue("name"), expect)
	writeResponse(w, http.StatusOK, struct{}{}, err)
}

var errorStatuses = []struct {
	err    error
	status int
}{
	{platform.ErrNotFound, http.StatusNotFound},
	{platform.ErrConflict, http.StatusConflict},
	{platform.ErrCompacted, http.StatusGone},
	{platform.ErrTooLarge, http.StatusRequestEntityTooLarge},
	{platform.ErrUnavailable, http.StatusServiceUnavailable},
}

// writeResponse writes the body, or the error's status if err is not nil.
func writeResponse(w http.ResponseWriter, status int, body any, err error) {
	if errors.Is(err, platform.ErrUnknown) {
		panic(http.ErrAbortHandler) // lose the response
	}
	for _, s := range errorStatuses {
		if errors.Is(err, s.err) {
			http.Error(w, err.Error(), s.status)
			return
		}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	var text bytes.Buffer
	if err := json.NewEncoder(&text).Encode(body); err != nil {
		panic(err) // what can't be encoded is marked
	}
	_, _ = w.Write(replaceRawMarks(text.Bytes())) // fails if the client has left
}

// Marks around the hexadecimal text of a value that the encoder refuses.
const (
	rawMarkBegin = `"raw-value:`
	rawMarkEnd   = `:raw-value"`
)

// rawMark returns a JSON string that stands for a value which the encoder refuses.
func rawMark(value []byte) json.RawMessage {
	return json.RawMessage(rawMarkBegin + hex.EncodeToString(value) + rawMarkEnd)
}

// replaceRawMarks puts the marked values in the place of their marks.
func replaceRawMarks(text []byte) []byte {
	var out []byte
	for {
		before, rest, found := bytes.Cut(text, []byte(rawMarkBegin))
		out = append(out, before...)
		if !found {
			return out
		}
		value, after, _ := bytes.Cut(rest, []byte(rawMarkEnd))
		raw, err := hex.DecodeString(string(value))
		if err != nil {
			panic(err) // rawMark encoded it
		}
		out, text = append(out, raw...), after
	}
}
