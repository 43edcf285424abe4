package modelserver

import (
	"encoding/json"
	"net/http"
	"time"
)

// order is the body of an order.
type order struct {
	Operation string  `json:"operation"`
	Model     string  `json:"model"`
	Adapter   string  `json:"adapter"`
	Expected  *int    `json:"expected"`
	Holder    *string `json:"holder"`
	Token     *uint64 `json:"fencing_token"`
}

func (s *Server) serveOrder(w http.ResponseWriter, body []byte) {
	var o order
	if err := json.Unmarshal(body, &o); err != nil || o.Holder == nil || o.Token == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	status := s.begin(o)
	s.mu.Unlock()
	w.WriteHeader(status)
}

// begin begins an order and returns the status of the response. The caller holds s.mu.
func (s *Server) begin(o order) int {
	m, known := s.config.Models[o.Model]
	load := o.Operation == "loading"
	switch {
	case !known || o.Adapter != "" || !load && o.Operation != "unloading":
		return http.StatusBadRequest
	case s.busy || o.Expected != nil && *o.Expected != s.orders:
		return http.StatusConflict
	case load == s.held[o.Model]:
		return http.StatusOK
	case load && s.usedMB()+m.SizeMB > s.config.MemoryMB:
		return http.StatusConflict
	}
	s.orders++
	s.busy = true
	takes := unloadTime
	if load {
		takes = m.LoadTime
		if s.onDisk[o.Model] {
			takes = m.DiskLoadTime
		}
	}
	time.AfterFunc(takes, func() { s.end(o.Model, load) })
	return http.StatusAccepted
}

// unloadTime is how long an unload takes.
const unloadTime = 100 * time.Millisecond

// end ends an order.
func (s *Server) end(model string, load bool) {
	s.mu.Lock()
	s.busy = false
	if load {
		s.held[model], s.onDisk[model] = true, true
	} else {
		delete(s.held, model)
	}
	s.mu.Unlock()
	s.register()
}

// usedMB returns the size of the held models. The caller holds s.mu.
func (s *Server) usedMB() float64 {
	used := 0.0
	for name := range s.held {
		used += s.config.Models[name].SizeMB
	}
	return used
}
