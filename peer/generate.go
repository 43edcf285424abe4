// Package peer holds the messages and services between the daemons of one
// deployment, generated from peer.proto. Streams of answers do not pass
// through it: a node asks the cell's controller for a grant and then streams
// from the backend server itself.
package peer

//go:generate sh ../tools/generate.sh peer peer.proto
