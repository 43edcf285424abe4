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

// entryResponse is the response body of GET /v1/entry.
type entryResponse struct {
	Addresses  []Address `json:"addresses"`    // in the order in which to try them
	ValidForMS int64     `json:"valid_for_ms"` // milliseconds after which to ask again
}

// Number of addresses in one response if there are enough of both groups. Those of
// other availability zones are for the case that the caller's own fails.
const (
	nearAddressCount = 12 // of the caller's availability zone
	farAddressCount  = 4  // of other availability zones
)

// serveEntry returns the entry nodes that the caller should use: those of the
// requested availability zone first, by default of this node's zone. Within each
// group the order differs between callers and is stable for one caller. It returns an
// error while this node knows of none.
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
	if len(addresses) == 0 {
		newNotReadyError().write(w)
		return
	}
	w.Header().Set("Cache-Control", fmt.Sprintf("max-age=%d", int(h.cfg.EntryTTL.Seconds())))
	writeJSON(w, http.StatusOK, entryResponse{Addresses: addresses, ValidForMS: h.cfg.EntryTTL.Milliseconds()})
}

// chooseAddresses returns the addresses with the highest rendezvous hashing
// weights for the caller, those of the zone first. Places that one group leaves
// free go to the other.
func chooseAddresses(all []Address, zone fleet.AvailabilityZone, caller string) []Address {
	const limit = nearAddressCount + farAddressCount
	near, far := topAddresses{limit: limit}, topAddresses{limit: limit}
	for _, a := range all {
		if a.Zone == zone {
			near.offer(a, caller)
			continue
		}
		far.offer(a, caller)
	}
	farCount := min(len(far.sorted), max(farAddressCount, limit-len(near.sorted)))
	nearCount := min(len(near.sorted), limit-farCount)
	chosen := make([]Address, 0, nearCount+farCount)
	for _, candidate := range near.sorted[:nearCount] {
		chosen = append(chosen, candidate.address)
	}
	for _, candidate := range far.sorted[:farCount] {
		chosen = append(chosen, candidate.address)
	}
	return chosen
}

// weightedAddress is an address with its rendezvous hashing weight for one caller.
type weightedAddress struct {
	weight  uint64
	address Address
}

// topAddresses holds the addresses with the highest weights, at most limit of
// them.
type topAddresses struct {
	limit  int
	sorted []weightedAddress // by descending weight
}

// offer adds the address if its weight is among the highest.
func (t *topAddresses) offer(a Address, caller string) {
	candidate := weightedAddress{weight: xxhash.Sum64String(caller + "\x00" + string(a.Node)), address: a}
	if len(t.sorted) == t.limit && candidate.weight <= t.sorted[t.limit-1].weight {
		return
	}
	index, _ := slices.BinarySearchFunc(t.sorted, candidate, func(a, b weightedAddress) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.address.Node, b.address.Node))
	})
	t.sorted = slices.Insert(t.sorted, index, candidate)
	t.sorted = t.sorted[:min(len(t.sorted), t.limit)]
}

// modelList is the response body of GET /v1/models.
type modelList struct {
	Object string        `json:"object"`
	Data   []modelObject `json:"data"`
}

// modelObject is one target in a modelList.
type modelObject struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

// serveModels lists the targets in force. It returns an error while no release is
// known.
func (h *Handler) serveModels(w http.ResponseWriter, _ *http.Request) {
	if h.cfg.Catalog.Version() == 0 {
		newNotReadyError().write(w)
		return
	}
	list := modelList{Object: "list", Data: []modelObject{}}
	for _, name := range h.cfg.Catalog.Names() {
		list.Data = append(list.Data, modelObject{ID: name, Object: "model"})
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
