package telemetry_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log/level"
	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/internal/telemetry"
)

// get returns the response of h to a GET request.
func get(h http.Handler, path string) *httptest.ResponseRecorder {
	rec := httptest.NewRecorder()
	h.ServeHTTP(rec, httptest.NewRequest(http.MethodGet, path, nil))
	return rec
}

func TestAdmin(t *testing.T) {
	m, err := telemetry.NewMetrics()
	assert.NilError(t, err)
	reason := "no release yet"
	h := telemetry.NewAdminHandler(m, func() string { return reason }, false, http.NotFoundHandler())
	assert.Equal(t, get(h, "/healthz").Code, http.StatusOK)
	assert.Equal(t, get(h, "/readyz").Code, http.StatusServiceUnavailable)
	reason = ""
	assert.Equal(t, get(h, "/readyz").Code, http.StatusOK)
	assert.Equal(t, get(h, "/debug/pprof/").Code, http.StatusNotFound)
	assert.Equal(t, get(telemetry.NewAdminHandler(m, nil, true, http.NotFoundHandler()), "/debug/pprof/").Code, http.StatusOK)

	m.RequestStarted()
	m.RequestEnded("chat", "urgent", "ran", "ok", 20*time.Millisecond)
	body := get(h, "/metrics").Body.String()
	assert.Assert(t, strings.Contains(body, `redwingnotch_requests_total{code="ok",kind="chat"`), body)
}

func TestLoggerDropsLowerLevels(t *testing.T) {
	var out bytes.Buffer
	logger := telemetry.NewLogger(&out, "n1", "warn")
	level.Info(logger).Log("event", "at_info")
	level.Warn(logger).Log("event", "at_warn")
	assert.Equal(t, strings.Count(out.String(), "\n"), 1)
	assert.Assert(t, strings.Contains(out.String(), "level=warn ") && strings.Contains(out.String(), "event=at_warn"), out.String())
}
