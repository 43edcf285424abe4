package entry

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// entryAnswer is the answer of GET /v1/entry.
type entryAnswer struct {
	Addresses  []Address `json:"addresses"`    // in the order to try
	ValidForMS int64     `json:"valid_for_ms"` // ask again afterwards
}

// Addresses in one answer. Some are of other availability zones, for when the
// caller's is lost.
const (
	maxNearAddresses = 12
	maxFarAddresses  = 4
)

// serveEntry tells the caller which entry nodes to use: those of its own
// availability zone first, else those of this node's, each group in an order
// that differs between callers and stays the same for one caller.
func (h *Handler) serveEntry(w http.ResponseWriter, r *http.Request) {
	zone := r.URL.Query().Get("availability_zone")
	if zone == "" {
		zone = string(h.cfg.Zone)
	}
	caller := r.Header.Get(HeaderCaller)
	if caller == "" {
		caller = r.RemoteAddr
	}
	addresses := chooseAddresses(h.cfg.Addresses(), fleet.AvailabilityZone(zone), caller)
	w.Header().Set("Cache-Control", fmt.Sprintf("max-age=%d", int(h.cfg.EntryTTL.Seconds())))
	writeJSON(w, http.StatusOK, entryAnswer{Addresses: addresses, ValidForMS: h.cfg.EntryTTL.Milliseconds()})
}

// chooseAddresses returns the addresses with the highest rendezvous weights for
// the caller, those of the zone first. Room that one group leaves goes to the
// other.
func chooseAddresses(all []Address, zone fleet.AvailabilityZone, caller string) []Address {
	const most = maxNearAddresses + maxFarAddresses
	near, far := topAddresses{most: most}, topAddresses{most: most}
	for _, a := range all {
		if a.Zone == zone {
			near.offer(a, caller)
			continue
		}
		far.offer(a, caller)
	}
	farCount := min(len(far.rows), max(maxFarAddresses, most-len(near.rows)))
	nearCount := min(len(near.rows), most-farCount)
	chosen := make([]Address, 0, nearCount+farCount)
	for _, row := range near.rows[:nearCount] {
		chosen = append(chosen, row.address)
	}
	for _, row := range far.rows[:farCount] {
		chosen = append(chosen, row.address)
	}
	return chosen
}

// weighedAddress is an address with its weight for one caller.
type weighedAddress struct {
	weight  uint64
	address Address
}

// topAddresses keeps the addresses of the highest weights, highest first.
type topAddresses struct {
	most int
	rows []weighedAddress
}

func (t *topAddresses) offer(a Address, caller string) {
	row := weighedAddress{weight: xxhash.Sum64String(caller + "\x00" + string(a.Node)), address: a}
	if len(t.rows) == t.most && row.weight <= t.rows[t.most-1].weight {
		return
	}
	at, _ := slices.BinarySearchFunc(t.rows, row, func(a, b weighedAddress) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.address.Node, b.address.Node))
	})
	t.rows = slices.Insert(t.rows, at, row)
	t.rows = t.rows[:min(len(t.rows), t.most)]
}

// modelList is the answer of GET /v1/models.
type modelList struct {
	Object string     `json:"object"`
	Data   []modelRow `json:"data"`
}

type modelRow struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

// serveModels lists what is in force, or refuses while that is not known.
func (h *Handler) serveModels(w http.ResponseWriter, _ *http.Request) {
	if h.cfg.Catalog.Version() == 0 {
		refuseNotReady().write(w)
		return
	}
	list := modelList{Object: "list", Data: []modelRow{}}
	for _, name := range h.cfg.Catalog.Names() {
		list.Data = append(list.Data, modelRow{ID: name, Object: "model"})
	}
	writeJSON(w, http.StatusOK, list)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(body)
}
