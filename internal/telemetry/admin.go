package telemetry

import (
	"io"
	"net/http"
	"net/http/pprof"
)

// NewAdminHandler returns the handler of the admin address: /metrics; /healthz, which
// returns 200 while the process runs; /readyz, which returns 200 if ready returns
// an empty text and otherwise 503 with that text, the reason; /debug/pprof/ if
// profiles is set; and the operators' interface for all other paths.
func NewAdminHandler(m *Metrics, ready func() string, profiles bool, operators http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", operators)
	mux.Handle("GET /metrics", m.handler)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, "ok\n")
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if reason := ready(); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		io.WriteString(w, "ready\n")
	})
	if profiles {
		mux.HandleFunc("/debug/pprof/", pprof.Index)
		mux.HandleFunc("/debug/pprof/cmdline", pprof.Cmdline)
		mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
		mux.HandleFunc("/debug/pprof/symbol", pprof.Symbol)
		mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	}
	return mux
}
