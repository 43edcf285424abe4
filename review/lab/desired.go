package lab

import "github.com/redwingnotch/redwingnotch/platform"

// Services of the desired state.
const (
	Engine = "repair-llm"
	Orders = "orders-api"
)

// Paths of the routes.
const (
	ChatPath    = "/chat/" // fault-chat
	SummaryPath = "/sums/" // shift-summary
	OrderPath   = "/order/"
)

// EngineCapacity is that of each replica of Engine.
var EngineCapacity = Capacity{WeightsMB: 220000, AdapterSlots: 8, Models: map[string]Model{
	"m1": {Name: "m1", WeightsMB: 65100, LoadTimeS: 6, DiskLoadS: 1, WarmS: 0.38, Adapters: 38, AdapterSize: 12},
	"m2": {Name: "m2", WeightsMB: 72700, LoadTimeS: 6, DiskLoadS: 1.2, WarmS: 0.4, AdapterSize: 66},
	"m3": {Name: "m3", WeightsMB: 72700, LoadTimeS: 6, DiskLoadS: 1.2, WarmS: 0.4, AdapterSize: 66},
	"m4": {Name: "m4", WeightsMB: 72700, LoadTimeS: 6, DiskLoadS: 1.2, WarmS: 0.4, AdapterSize: 66},
}}

// WriteDesired writes a desired state whose engine lists the models.
func (s *Store) WriteDesired(record *Record, version int, models ...string) error {
	var list []Model
	for _, m := range models {
		list = append(list, EngineCapacity.Models[m])
	}
	route := func(name, path, kind, service string, timeout, target, gap, priority, attempts int, resumable bool) map[string]any {
		return map[string]any{"name": name, "host": Host, "path_prefix": path, "kind": kind, "service": service, "timeout_ms": timeout,
			"target_latency_ms": target, "target_gap_ms": gap, "priority": priority, "max_attempts": attempts, "resumable": resumable, "sticky_sessions": kind == "streaming"}
	}
	err := s.Write(platform.KindConfig, platform.ConfigName, map[string]any{
		"version": version,
		"routes": []map[string]any{
			route("fault-chat", ChatPath, "streaming", Engine, 5000, 400, 500, 0, 1, false),
			route("shift-summary", SummaryPath, "streaming", Engine, 17000, 6000, 500, 2, 2, true),
			route("parts-order", OrderPath, "unsafe", Orders, 1000, 100, 0, 0, 1, false),
		},
		"services": []map[string]any{
			{"name": Orders, "health_check_path": "/health", "max_connections": 110},
			{"name": Engine, "health_check_path": "/health", "max_connections": 210, "engine": map[string]any{
				"slots": 24, "kv_cache_tokens": 212161, "weights_mb": EngineCapacity.WeightsMB, "adapter_slots": EngineCapacity.AdapterSlots,
				"loads_per_s": 5.2, "models": list}},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
	})
	record.Logf("desired state %d with models %v: %v", version, models, err)
	return err
}
