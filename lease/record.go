// Package lease decides which node controls a cell. One object per cell in the
// object API names the holder and its fencing number. A claim is one
// conditional update, made when membership says that the holder is gone; it is
// never renewed. The record also grants fencing numbers in advance to two
// successors, so that a takeover during a store outage needs no write.
//
// Core is free of I/O: it takes answers of the store, the member table and
// ticks, and returns the calls to make. It is not safe for concurrent use.
package lease

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// Holder is one run of one node.
type Holder struct {
	Node        fleet.NodeID      `json:"node"`
	Incarnation fleet.Incarnation `json:"incarnation"`
}

// Successor is a node that may act with Epoch if all before it are dead and the
// store is silent.
type Successor struct {
	Holder
	Epoch fleet.Epoch `json:"epoch"`
}

// Intent announces one load order to a backend server that does not check
// fencing numbers. It is durable before the order is sent.
type Intent struct {
	OrderID string          `json:"order_id"`
	Backend fleet.BackendID `json:"backend"`
	Boot    fleet.BootID    `json:"boot"`
	Model   fleet.ModelID   `json:"model"`
	Version fleet.Version   `json:"version"`
	Adapter fleet.AdapterID `json:"adapter,omitempty"`
	Memory  int64           `json:"memory_bytes"`
	Sender  Holder          `json:"sender"`
}

// Roster is one generation of the list from which the candidate sets of models
// are drawn. It is durable before a replica is placed by it.
type Roster struct {
	Backends   []fleet.BackendID `json:"backends"`
	Candidates int               `json:"candidates"` // largest size of a candidate set
	AsOf       time.Time         `json:"as_of"`      // of the VM list that it was made from
}

// Equal reports whether two generations are the same.
func (r Roster) Equal(o Roster) bool {
	if r.Candidates != o.Candidates || !r.AsOf.Equal(o.AsOf) || len(r.Backends) != len(o.Backends) {
		return false
	}
	same := len(r.Backends) == 0 || &r.Backends[0] == &o.Backends[0]
	return same || slices.Equal(r.Backends, o.Backends)
}

// Record is the value of a cell's lease object.
type Record struct {
	Holder       Holder      `json:"holder"`
	Epoch        fleet.Epoch `json:"epoch"`
	Granted      fleet.Epoch `json:"granted"` // highest epoch ever granted
	Successors   []Successor `json:"successors"`
	Predecessors []Holder    `json:"predecessors"` // may still act; not known to have stopped
	Rosters      []Roster    `json:"rosters"`      // newest first
	Intents      []Intent    `json:"intents"`
}

// ErrBadRecord means that a lease object could not be read.
var ErrBadRecord = errors.New("malformed lease record")

func (r Record) encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic(fmt.Errorf("encode lease record: %w", err)) // no field can fail to encode
	}
	return value
}

func decodeRecord(value []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, fmt.Errorf("%w: %w", ErrBadRecord, err)
	}
	if r.Epoch == 0 || r.Granted < r.Epoch {
		return Record{}, fmt.Errorf("%w: epoch %d, granted %d", ErrBadRecord, r.Epoch, r.Granted)
	}
	return r, nil
}

// Wanted is what the controller in office wants the record to say beside the
// holder.
type Wanted struct {
	Rosters []Roster // newest first; those behind it still have replicas placed by them
	Intents []Intent
}

// Authority says what this node may do in a cell.
type Authority struct {
	Cell         fleet.CellID
	Epoch        fleet.Epoch // of this node if in office, else the highest known
	Holder       Holder      // the node in office as far as known
	InOffice     bool        // this node may send orders with Epoch
	AdvanceRank  int         // 0: by a claim; 1, 2: first, second successor without a write
	StoreContact bool        // the object API answered recently

	PredecessorStopped bool // no earlier holder can still act
	SuccessorsAlive    bool // no successor can act without this node knowing

	Rosters []Roster // durable, newest first
	Intents []Intent // durable
}
