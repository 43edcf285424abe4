// Package operators holds what the nodes tell operators' tools, and the client
// that asks them. The nodes serve it at their peer addresses, to callers that
// bear the deployment's secret.
package operators

import (
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// HeaderSecret carries the secret that all nodes of a deployment share.
const HeaderSecret = "Redwingnotch-Secret"

// Paths at a node's peer address.
const (
	PathStatus  = "/operators/status"
	PathExplain = "/operators/requests/" // followed by the caller's request id
)

// Node is a node's object of kind platform.KindNode in the platform's store.
type Node struct {
	Node        fleet.NodeID           `json:"node"`
	Incarnation fleet.Incarnation      `json:"incarnation"`
	Region      fleet.Region           `json:"region"`
	Zone        fleet.AvailabilityZone `json:"availability_zone"`
	Gossip      string                 `json:"gossip_address"`
	Peer        string                 `json:"peer_address"`
	Entry       string                 `json:"entry_address"`
	StartedAt   time.Time              `json:"started_at"`
}

// Status is what one node knows.
type Status struct {
	Node     Node      `json:"node"`
	At       time.Time `json:"at"`
	NotReady string    `json:"not_ready,omitempty"` // why it can't serve
	Running  int64     `json:"running"`             // callers' requests in progress
	Release  Release   `json:"release"`
	Cell     Cell      `json:"cell"`
	Members  []Member  `json:"members"`
}

// Release is the release in force at a node.
type Release struct {
	Version  uint64    `json:"version"`
	Since    time.Time `json:"since"`
	Heard    uint64    `json:"heard"` // highest version heard of
	Standing string    `json:"standing"`
}

// Cell is the cell as a node sees it. Replicas, Waiting and Blocked are known
// only to the node in office.
type Cell struct {
	Cell         fleet.CellID         `json:"cell"`
	Controller   fleet.NodeID         `json:"controller"`
	Epoch        fleet.Epoch          `json:"epoch"`
	InOffice     bool                 `json:"in_office"`
	StoreContact bool                 `json:"store_contact"`
	Replicas     []Replica            `json:"replicas,omitempty"`
	Waiting      [fleet.RankCount]int `json:"waiting"`
	Blocked      []Blocked            `json:"blocked,omitempty"`
}

// Replica is one row of the table of replicas.
type Replica struct {
	Model    fleet.ModelID     `json:"model"`
	Version  fleet.Version     `json:"version"`
	Backend  fleet.BackendID   `json:"backend"`
	State    string            `json:"state"`
	Adapters []fleet.AdapterID `json:"adapters,omitempty"`
	Draining bool              `json:"draining,omitempty"`
	LastUsed time.Time         `json:"last_used"`
}

// Blocked is a target that waits and is not being loaded.
type Blocked struct {
	Target string `json:"target"`
	Reason string `json:"reason"`
}

// Member is one row of a node's member table.
type Member struct {
	Node    fleet.NodeID           `json:"node"`
	Zone    fleet.AvailabilityZone `json:"availability_zone"`
	State   string                 `json:"state"`
	Release uint64                 `json:"release"`
	HeardAt time.Time              `json:"heard_at"`
}

// Explanation is what an entry node remembers of one request.
type Explanation struct {
	RequestID string        `json:"request_id"` // as the caller gave it or was told
	Node      fleet.NodeID  `json:"node"`
	Caller    string        `json:"caller,omitempty"`
	Target    string        `json:"target"`
	Rank      string        `json:"rank"`
	Arrival   time.Time     `json:"arrival"`
	Duration  time.Duration `json:"duration"` // nanoseconds
	Code      string        `json:"code"`
	Outcome   string        `json:"outcome"`
	Detail    string        `json:"detail,omitempty"`
	Attempts  []Attempt     `json:"attempts,omitempty"`
}

// Attempt is one dispatch of a request.
type Attempt struct {
	Backend  fleet.BackendID `json:"backend"`
	End      string          `json:"end"`
	Error    string          `json:"error,omitempty"`
	Tokens   int             `json:"tokens"`
	Duration time.Duration   `json:"duration"` // nanoseconds
}
