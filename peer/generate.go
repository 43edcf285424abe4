// Package peer defines the messages and services between the daemons of one
// deployment, generated from peer.proto. Response streams do not pass through
// these services: an entry node gets a grant from the cell's controller and then
// streams directly from the backend server.
package peer

//go:generate sh ../tools/generate.sh peer peer.proto
