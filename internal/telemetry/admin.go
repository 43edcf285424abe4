package telemetry

import (
	"io"
	"net/http"
	"net/http/pprof"
)

// Admin returns the handler of the admin address: /metrics, /healthz, which
// answers while the process runs, /readyz, which answers 200 only while ready
// returns an empty text and else 503 with that text, profiles if asked for, and
// the operators' interface for all other paths.
func Admin(m *Metrics, ready func() string, profiles bool, operators http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", operators)
	mux.Handle("GET /metrics", m.handler)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, "ok\n")
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if why := ready(); why != "" {
			http.Error(w, why, http.StatusServiceUnavailable)
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
