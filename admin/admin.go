// Package admin defines the operators' HTTP interface that each node serves on
// its admin address, and a client for it.
package admin

import (
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// Paths of the interface. Both serve GET requests with a JSON response. An error
// response has a status of 400 or higher and an ErrorResponse as its body.
const (
	PathStatus  = "/v1/admin/status"
	PathExplain = "/v1/admin/explain/" // followed by a request ID; 404 if the node has no record of the request
)

// Status is the state of the deployment as one node sees it.
type Status struct {
	Node    fleet.NodeID           `json:"node"`
	Region  fleet.Region           `json:"region"`
	Zone    fleet.AvailabilityZone `json:"availability_zone"`
	Release Release                `json:"release"`
	Members []Member               `json:"members"` // includes the node itself
	Cells   []Cell                 `json:"cells"`   // the node's own cell only
}

// Release is the release in force on a node and how well the node follows it.
type Release struct {
	Version     uint64        `json:"version"`
	Since       time.Time     `json:"since"`       // when the version came into force on the node
	AcceptedAt  time.Time     `json:"accepted_at"` // when the release note was accepted
	Operator    string        `json:"operator"`
	LatestKnown uint64        `json:"heard"`    // highest version that the node has learned of
	SyncState   string        `json:"standing"` // name of the node's release.SyncState
	Age         time.Duration `json:"age_ns"`   // nanoseconds since the last contact with a peer or the object API
}

// Member is a member of the deployment as the responding node sees it.
type Member struct {
	Node           fleet.NodeID           `json:"node"`
	Zone           fleet.AvailabilityZone `json:"availability_zone"`
	State          string                 `json:"state"`
	Incarnation    fleet.Incarnation      `json:"incarnation"`
	ReleaseVersion uint64                 `json:"release_version"` // version in force on the member at the last contact
	LastContact    time.Time              `json:"heard_at"`        // last direct contact; zero if there was none
}

// Cell is a cell and its controller. Only the active controller lists Replicas.
type Cell struct {
	Cell         fleet.CellID `json:"cell"`
	Controller   fleet.NodeID `json:"controller"`
	Epoch        fleet.Epoch  `json:"epoch"`
	LeaseVersion uint64       `json:"lease_version"` // version of the lease object as the node last read it; a successor relies on it during an outage of the object API
	Replicas     []Replica    `json:"replicas,omitempty"`
}

// Replica is one loaded copy of a model on a backend server.
type Replica struct {
	Model   fleet.ModelID   `json:"model"`
	Version fleet.Version   `json:"version"`
	Backend fleet.BackendID `json:"backend"`
	State   string          `json:"state"`
}

// Explanation describes the outcome of a request and the steps that led to it.
type Explanation struct {
	RequestID string       `json:"request_id"`
	Node      fleet.NodeID `json:"node"` // node that recorded the request
	Target    string       `json:"target"`
	Rank      string       `json:"rank"`
	Outcome   string       `json:"outcome"` // empty while the request waits or runs
	Code      string       `json:"code"`    // code of the refusal or failure; "ok" if the request was answered, empty while it waits or runs
	Reason    string       `json:"reason"`  // why the request waits, or the message of its error
	Steps     []Step       `json:"steps"`   // in the order they happened
}

// Step is one event in the processing of a request.
type Step struct {
	At          time.Time `json:"at"`
	Description string    `json:"what"`
}

// ErrorResponse is the body of an error response.
type ErrorResponse struct {
	Code   string `json:"code"`
	Detail string `json:"detail"`
}
