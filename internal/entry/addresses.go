package entry

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// entryAnswer is the answer of GET /v1/entry.
type entryAnswer struct {
	Addresses  []Address `json:"addresses"`    // in the order to try
	ValidForMS int64     `json:"valid_for_ms"` // ask again afterwards
}

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
	addresses := slices.Clone(h.cfg.Addresses())
	weight := func(a Address) uint64 { return xxhash.Sum64String(caller + "\x00" + string(a.Node)) }
	slices.SortFunc(addresses, func(a, b Address) int {
		if (string(a.Zone) == zone) != (string(b.Zone) == zone) {
			if string(a.Zone) == zone {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(weight(a), weight(b)), cmp.Compare(a.Node, b.Node))
	})
	if addresses == nil {
		addresses = []Address{}
	}
	w.Header().Set("Cache-Control", fmt.Sprintf("max-age=%d", int(h.cfg.EntryTTL.Seconds())))
	writeJSON(w, http.StatusOK, entryAnswer{Addresses: addresses, ValidForMS: h.cfg.EntryTTL.Milliseconds()})
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

func (h *Handler) serveModels(w http.ResponseWriter, _ *http.Request) {
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
