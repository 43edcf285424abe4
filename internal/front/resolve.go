package front

import (
	"net/http"
	"time"

	"github.com/go-kit/log/level"

	"github.com/redwingnotch/redwingnotch/internal/bootclock"
	"github.com/redwingnotch/redwingnotch/platform"
)

// Limits of responses to callers that ask where to connect.
const (
	addressTTL   = time.Second // time for which callers may cache a response; some cache it three times as long
	maxAddresses = 64          // limit of addresses in one response; callers ignore further ones
	minZoneNodes = 2           // nodes that a zone must have for its callers to be sent to them only
)

// serveReadiness responds to the platform with 200 if this node takes requests,
// else with 503.
func (n *Node) serveReadiness(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != platform.PathReadiness {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if !n.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// ready reports whether this node takes requests.
func (n *Node) ready() bool { return n.notReady() == "" }

// notReady returns why this node takes no requests, or an empty string.
func (n *Node) notReady() string {
	switch {
	case n.stopping.Load():
		return "stopping"
	case n.desired.Load() == nil:
		return "no desired state yet"
	case n.storeBehind.Load():
		return "desired state behind"
	case !n.refusalsKnown.Load():
		return "refusals not read yet"
	case n.keys.notReady(bootclock.Now()):
		return "API keys not confirmed"
	}
	return ""
}

// serveAddresses responds with the addresses of the entry nodes that the caller
// is to use.
func (n *Node) serveAddresses(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != platform.PathResolve {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	addresses := n.addresses(r.URL.Query().Get("zone"))
	if len(addresses) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if err := platform.WriteAddresses(w, addresses, min(addressTTL, n.settings.Bounds.MaxTTL)); err != nil {
		level.Debug(n.log).Log("event", "addresses_not_told", "err", err)
	}
}

// addresses returns the addresses for callers of the zone: those of the nodes in
// the zone if there are enough, else of all nodes that take requests.
func (n *Node) addresses(zone string) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	near, all := n.peers.entryNodes(bootclock.Now(), zone)
	if n.ready() {
		all = append(all, n.settings.CallerListen)
		if n.settings.Zone == zone {
			near = append(near, n.settings.CallerListen)
		}
	}
	if len(near) >= minZoneNodes {
		all = near
	}
	return all[:min(len(all), maxAddresses)]
}
