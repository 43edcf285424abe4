// Package lease decides which node is the active controller of a cell. One
// lease object per cell in the object API names the holder and its fencing
// token. A node claims a cell with one conditional update, made when membership
// reports that the holder has failed; a claim is never renewed. The record also
// grants fencing tokens in advance to two successors, so that a takeover during
// an outage of the object API needs no write.
//
// Core does no I/O: it takes responses of the object API, the member table and
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

// Holder identifies one run of a node, which may hold a cell's lease.
type Holder struct {
	Node        fleet.NodeID      `json:"node"`
	Incarnation fleet.Incarnation `json:"incarnation"`
}

// Successor is a node that may become active with Epoch, without a write, if the
// holder and all earlier successors have failed and the object API is unavailable.
type Successor struct {
	Holder
	Epoch fleet.Epoch `json:"epoch"`
}

// Intent records one load order to a backend server that does not check fencing
// tokens. It is stored in the lease object before the order is sent.
type Intent struct {
	OrderID string          `json:"order_id"`
	Backend fleet.BackendID `json:"backend"`
	Boot    fleet.BootID    `json:"boot"` // run of the backend server
	Model   fleet.ModelID   `json:"model"`
	Version fleet.Version   `json:"version"`
	Adapter fleet.AdapterID `json:"adapter,omitempty"`
	Memory  int64           `json:"memory_bytes"`
	Sender  Holder          `json:"sender"` // controller that sends the order
}

// ServerSet is one generation of the server set: the list of backend servers from
// which the candidates for each model are chosen. It is stored in the lease
// object before a replica is placed with it.
type ServerSet struct {
	Backends   []fleet.BackendID `json:"backends"`
	Candidates int               `json:"candidates"` // maximum number of candidates of a model
	AsOf       time.Time         `json:"as_of"`      // time of the VM list that it was built from
}

// Equal reports whether two generations of the server set are equal.
func (s ServerSet) Equal(o ServerSet) bool {
	if s.Candidates != o.Candidates || !s.AsOf.Equal(o.AsOf) || len(s.Backends) != len(o.Backends) {
		return false
	}
	// Slices of equal length with the same first element in memory are equal; this
	// saves comparing the elements.
	sameArray := len(s.Backends) == 0 || &s.Backends[0] == &o.Backends[0]
	return sameArray || slices.Equal(s.Backends, o.Backends)
}

// Record is the value of a cell's lease object.
type Record struct {
	Holder       Holder      `json:"holder"`
	Epoch        fleet.Epoch `json:"epoch"`
	Granted      fleet.Epoch `json:"granted"`      // highest epoch ever granted
	Successors   []Successor `json:"successors"`   // in the order in which they take over
	Predecessors []Holder    `json:"predecessors"` // earlier holders that are not confirmed to have stopped
	ServerSets   []ServerSet `json:"rosters"`      // generations of the server set, newest first
	Intents      []Intent    `json:"intents"`
}

// ErrBadRecord means that the value of a lease object is malformed.
var ErrBadRecord = errors.New("malformed lease record")

func (r Record) encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic(fmt.Errorf("encode lease record: %w", err)) // unreachable: every field can be encoded
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

// DesiredRecord is the state that the active controller needs the record to store.
type DesiredRecord struct {
	ServerSets []ServerSet // generations of the server set, newest first; older ones still have replicas placed with them
	Intents    []Intent
}

// Authority describes what this node may do in a cell.
type Authority struct {
	Cell              fleet.CellID
	Epoch             fleet.Epoch // epoch of this node's lease if it has one, else the highest known epoch
	Holder            Holder      // node that is active with Epoch, as far as known
	Active            bool        // this node is the active controller and may send orders with Epoch
	SuccessorPosition int         // 0: active by a claim or handover; 1 or 2: active as that successor, without a write
	StoreContact      bool        // the object API responded within Config.StoreTimeout

	PredecessorsStopped bool // every earlier holder is confirmed to have stopped
	SuccessorsAlive     bool // every successor is alive or confirmed to have stopped, so none can become active unnoticed

	ServerSets []ServerSet // generations of the server set as last read or written, newest first
	Intents    []Intent    // intents as last read or written
}
