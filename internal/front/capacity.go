package front

import (
	"math"
	"time"

	"github.com/go-kit/log/level"

	"github.com/redwingnotch/redwingnotch/capacity"
	"github.com/redwingnotch/redwingnotch/internal/telemetry"
	"github.com/redwingnotch/redwingnotch/replicas"
	"github.com/redwingnotch/redwingnotch/routes"
)

// Limits of learning the servers' capacity.
const (
	timedPart             = time.Second     // part of a stream that is observed on its own, so that a slow one shows before its end
	maxBlockedShare       = 0.1             // part of the time in which the caller did not read, up to which the events' times are the server's
	maxReportedServers    = 8               // servers in a full message
	maxReportedInPartial  = 4               // servers in a partial message
	minSumInPartial       = 0.7             // least sum of logarithms of a server in a partial message: one response of twice the usual time
	capacityLogInterval   = 5 * time.Second // least time between two log lines about one service, or one server
	capacityLoggedChange  = 1.25            // factor by which learned slots change before that is logged
	serverLoggedChange    = 1.5             // factor by which a server's factor changes before that is logged
	capacityWireScale     = 10.0            // numbers of services are sent in tenths
	evidenceWireScale     = 100.0           // those of servers in hundredths
	capacityServiceFields = 2               // numbers of one service in a message
	capacityServerFields  = 2               // numbers of one server in a message
)

// learnedCapacity is what this node has learned of the servers' capacity. Guarded by Node.mu.
type learnedCapacity struct {
	*capacity.Estimator
	services map[string]*loggedEstimate          // by service, as last logged
	servers  map[capacity.Server]*loggedEstimate // as last logged
}

// loggedEstimate is an estimate as last logged.
type loggedEstimate struct {
	at    time.Time
	value float64
}

func newLearnedCapacity() learnedCapacity {
	return learnedCapacity{capacity.New(), map[string]*loggedEstimate{}, map[capacity.Server]*loggedEstimate{}}
}

// capacityState is the encoded form of a capacity.Report.
type capacityState struct {
	Services map[string][]int64   `json:"s,omitempty"` // tenths of Slots and Rate, by service
	Servers  []serverCapacityTold `json:"v,omitempty"` // servers whose times differ most from the usual ones
}

// serverCapacityTold is the encoded form of a capacity.ServerReport.
type serverCapacityTold struct {
	ID      string  `json:"i"`
	Start   int64   `json:"b"`
	Numbers []int64 `json:"n"` // hundredths of Sum and Weight
}

// capacityReport returns what this node tells the others; nil if that is nothing. The caller holds
// n.mu.
func (n *Node) capacityReport(now time.Time) *capacityState {
	r := n.capacity.Report(now, maxReportedServers)
	if len(r.Services) == 0 && len(r.Servers) == 0 {
		return nil
	}
	state := &capacityState{Services: map[string][]int64{}}
	for name, m := range r.Services {
		state.Services[name] = []int64{scaled(m.Slots, capacityWireScale), scaled(m.Rate, capacityWireScale)}
	}
	for _, s := range r.Servers {
		state.Servers = append(state.Servers, serverCapacityTold{s.ID, s.Start, []int64{scaled(s.Sum, evidenceWireScale), scaled(s.Weight, evidenceWireScale)}})
	}
	return state
}

func scaled(v, scale float64) int64 { return int64(math.Round(v * scale)) }

// partial returns the part of the state for partial messages: the servers that differ clearly, which
// may have turned slow; nil if there are none. They come first in the state.
func (s *capacityState) partial() *capacityState {
	if s == nil {
		return nil
	}
	n := 0
	for n < min(len(s.Servers), maxReportedInPartial) && math.Abs(float64(s.Servers[n].Numbers[0])) >= minSumInPartial*evidenceWireScale {
		n++
	}
	if n == 0 {
		return nil
	}
	return &capacityState{Servers: s.Servers[:n]}
}

// decode returns the report, without what can't be used.
func (s *capacityState) decode() capacity.Report {
	var r capacity.Report
	if s.Services != nil {
		r.Services = map[string]capacity.Estimate{}
	}
	for name, v := range s.Services {
		if len(v) == capacityServiceFields {
			r.Services[name] = capacity.Estimate{Slots: float64(v[0]) / capacityWireScale, Rate: float64(v[1]) / capacityWireScale}
		}
	}
	for _, v := range s.Servers[:min(len(s.Servers), maxReportedServers)] {
		if len(v.Numbers) == capacityServerFields {
			r.Servers = append(r.Servers, capacity.ServerReport{ID: v.ID, Start: v.Start, Sum: float64(v.Numbers[0]) / evidenceWireScale, Weight: float64(v.Numbers[1]) / evidenceWireScale})
		}
	}
	return r
}

// applyCapacity takes in what another node tells of the servers' capacity. The caller holds n.mu.
func (n *Node) applyCapacity(now time.Time, ip string, s *capacityState) {
	if s != nil {
		n.capacity.Merge(now, ip, s.decode())
	}
}

// refreshCapacity makes new estimates and has the choice of servers use them. The caller holds n.mu.
func (n *Node) refreshCapacity(now time.Time) {
	if !n.capacity.Refresh(now) {
		return
	}
	n.table.SetLearnedSlots(func(e *replicas.Entry) float64 {
		return n.capacity.Learned(e.Service, capacity.Server{ID: e.ID, Start: e.Start}, e.Slots)
	})
	n.logCapacity(now)
}

// copyRate returns how many requests per second a copy of a model serves well; zero if nothing says
// that it serves less than usual. The caller holds n.mu.
func (n *Node) copyRate(service *routes.Service) float64 {
	return n.capacity.Rate(service.Name, service.Engine.Slots)
}

// logCapacity logs the estimates that have changed clearly. The caller holds n.mu.
func (n *Node) logCapacity(now time.Time) {
	table := n.desired.Load()
	for _, name := range n.capacity.Services() {
		service := (*routes.Service)(nil)
		if table != nil {
			service = table.Services[name]
		}
		if service == nil || service.Engine == nil || service.Engine.Slots < 1 {
			continue
		}
		slots, nodes := n.capacity.Usual(name, service.Engine.Slots)
		if before, changed := recordChange(n.capacity.services, name, now, slots, float64(service.Engine.Slots), capacityLoggedChange); changed {
			level.Info(n.log).Log("event", "capacity_learned", "service", name, "slots", service.Engine.Slots, "learned", round(slots), "before", round(before),
				"copy_rate", round(n.copyRate(service)), "nodes", nodes, "age_ms", n.capacity.Age(now, name).Milliseconds())
		}
	}
	for server := range n.capacity.Differing() {
		if n.capacity.servers[server] == nil {
			n.capacity.servers[server] = &loggedEstimate{value: 1}
		}
	}
	for server, logged := range n.capacity.servers {
		factor := n.capacity.Factor(server)
		if before, changed := recordChange(n.capacity.servers, server, now, factor, 1, serverLoggedChange); changed {
			level.Info(n.log).Log("event", "server_capacity_learned", "server", server.ID, "start", server.Start, "factor", round(factor), "before", round(before))
		}
		if factor == 1 && now.Sub(logged.at) >= capacityLogInterval {
			delete(n.capacity.servers, server)
		}
	}
}

// recordChange records the value if it differs from the last recorded one by the factor, and returns
// that one. What was not recorded yet had the initial value.
func recordChange[K comparable](logged map[K]*loggedEstimate, key K, now time.Time, value, initial, factor float64) (before float64, changed bool) {
	last := logged[key]
	if last == nil {
		last = &loggedEstimate{value: initial}
		logged[key] = last
	}
	before = last.value
	ratio := value / before
	if ratio < factor && ratio > 1/factor || !last.at.IsZero() && now.Sub(last.at) < capacityLogInterval {
		return before, false
	}
	*last = loggedEstimate{at: now, value: value}
	return before, true
}

// round rounds a number for the log.
func round(v float64) float64 { return math.Round(v*100) / 100 }

// observeCapacity returns the learned slots of each service and the number of servers whose times
// differ, for the metrics.
func (n *Node) observeCapacity() telemetry.Capacity {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := telemetry.Capacity{Slots: map[string]float64{}}
	if table := n.desired.Load(); table != nil {
		for _, name := range n.capacity.Services() {
			if service := table.Services[name]; service != nil && service.Engine != nil {
				c.Slots[name], _ = n.capacity.Usual(name, service.Engine.Slots)
			}
		}
	}
	for _, factor := range n.capacity.Differing() {
		if factor > 1 {
			c.Slow++
		} else {
			c.Fast++
		}
	}
	return c
}
