package modelserver

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/redwingnotch/redwingnotch/platform"
)

// Paths and headers of servers.
const (
	HealthPath  = "/health"
	pathReport  = "/-/report"
	pathOrder   = "/-/order"
	pathSystem  = "/-/"
	headerOwnID = "Redwingnotch-Instance-Id"
)

// HeaderEvents names the number of events of the stream that a request asks for. A request
// without it is a plain one.
const HeaderEvents = "Events"

// maxBodyBytes is the largest request body that a server reads.
const maxBodyBytes = 8 << 20

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get(platform.HeaderRequestID)
	if id != "" {
		w.Header().Set(platform.HeaderRequestID, id)
	}
	if s.isLeaving() {
		w.Header().Set("Connection", "close")
	}
	if want := r.Header.Get(platform.HeaderExpectInstance); want != "" && want != s.config.ID {
		notRun(w, http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == pathReport:
		s.serveReport(w)
	case r.URL.Path == pathOrder:
		s.serveOrder(w, body)
	case r.URL.Path == HealthPath:
		s.serveHealth(w)
	case strings.HasPrefix(r.URL.Path, pathSystem):
		w.WriteHeader(http.StatusNotFound)
	case id == "":
		notRun(w, http.StatusBadRequest)
	default:
		s.serveRequest(w, r, id, body)
	}
}

// notRun responds that the request was not run.
func notRun(w http.ResponseWriter, status int) {
	w.Header().Set(platform.HeaderNotRun, "1")
	w.WriteHeader(status)
}

func (s *Server) isLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state != "ready"
}

func (s *Server) serveHealth(w http.ResponseWriter) {
	w.Header().Set(headerOwnID, s.config.ID)
	if s.isLeaving() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (s *Server) serveReport(w http.ResponseWriter) {
	s.mu.Lock()
	report := map[string]any{
		"stage": "prefill_decode", "models": s.modelList(), "busy": s.busy, "sequence": s.orders, "waiting_requests": 0,
		"running_requests": s.running, "kv_cache_used": 0, "kv_cache_total": 200_000, "handles": 0, "born": s.born, "at_hand": s.atHand(),
	}
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(report) // fails if the caller has left
}

// modelList returns the held models as reports and entries have them. The caller holds s.mu.
func (s *Server) modelList() []map[string]any {
	list := []map[string]any{}
	for _, name := range slices.Sorted(maps.Keys(s.held)) {
		list = append(list, map[string]any{"name": name, "version": 1, "adapters": []string{}})
	}
	return list
}

// atHand returns what reports and entries say of copies of weights. The caller holds s.mu.
func (s *Server) atHand() map[string]any {
	names := func(m map[string]bool) []string { return append([]string{}, slices.Sorted(maps.Keys(m))...) } // never null in JSON
	return map[string]any{"in_memory": names(s.held), "on_disk": names(s.onDisk)}
}

// serveRequest runs a request if there is a slot and the server holds its model.
func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request, id string, body []byte) {
	model, _, _ := strings.Cut(r.Header.Get(platform.HeaderModel), "/")
	s.mu.Lock()
	refused := 0
	switch {
	case len(s.config.Models) > 0 && !s.held[model]:
		refused = http.StatusMisdirectedRequest
	case s.running >= s.config.Slots:
		refused = http.StatusServiceUnavailable
	}
	if refused == 0 {
		s.running++
		s.runCount++
	}
	count, load := s.runCount, fmt.Sprintf("%d,0,%d", s.running, s.config.Slots)
	s.mu.Unlock()
	w.Header().Set(platform.HeaderServerLoad, load)
	if refused != 0 {
		notRun(w, refused)
		return
	}
	defer func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
	}()
	w.Header().Set(platform.HeaderStamp, fmt.Sprintf("%s.%d.%d", s.config.ID, s.born, count))
	if events, err := strconv.Atoi(r.Header.Get(HeaderEvents)); err == nil {
		s.serveStream(w, r, events, Event{Service: s.config.Service, Software: s.config.Software, Server: s.config.ID, Born: s.born, Run: id, Stream: Digest(body)})
		return
	}
	time.Sleep(s.config.Work)
	text := PlainResponse(id, body)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text) // fails if the caller has left
}

// PlainResponse returns the body of the response to a plain request.
func PlainResponse(id string, body []byte) string { return "done " + id + " " + Digest(body) }

// Digest identifies a request's body in events and responses.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:8])
}

// Event is the data of a stream's event: who made it.
type Event struct {
	Service  string `json:"service"`
	Software string `json:"software"`
	Server   string `json:"server"`
	Born     int64  `json:"born"`
	Run      string `json:"run"`    // ID of the request that ran
	Stream   string `json:"stream"` // Digest of its body
	Number   int    `json:"n"`
}
