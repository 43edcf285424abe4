// Package resumption decides at which software version of backend servers a stream goes on
// that its caller takes up again. What two versions write does not fit together, so a node
// that does not know the version that began the stream refuses it.
//
// The node at which a stream begins remembers its origin and sends it to a few other nodes,
// which are chosen by rendezvous hashing of the request's ID. A node at which the stream is
// taken up asks those. Where no record is left, the version is known if the service has had
// only one for longer than any stream lasts.
//
// The package does no I/O, takes the time as a parameter and is not safe for concurrent use.
package resumption

import "slices"

// Origin says which backend servers began a stream.
type Origin struct {
	Service  string
	Software string // version of their software; empty if they name none
}

// Source says how the origin of a stream is known.
type Source string

// Sources of an origin.
const (
	OwnRecord   Source = "own_record"   // this node remembers it
	PeerRecord  Source = "peer_record"  // another node remembers it
	OnlyVersion Source = "only_version" // the service has had no other version for as long as the stream can have lasted
	Unknown     Source = "unknown"      // no node that answered knows it
)

// Answer is what a node says of a stream that is taken up.
type Answer struct {
	Known  bool     // Origin is that of the stream
	Origin Origin   // the recorded origin; else Software is the only version of the service, empty if there may be others
	Seen   []string // versions that the node has seen in the service while the stream may have begun, maybe not all; empty if Known
}

// Conclude returns the origin of a stream of the service, of which this node has no record. own
// is what this node would answer itself. hasPeers says that there have been other nodes lately,
// answers are what those that were asked have said.
//
// A record is believed before anything else. The only version counts if no node has seen another
// one and some other node has answered, if there are any: a node without contact may not have
// seen a new version.
func Conclude(service string, own Answer, hasPeers bool, answers []Answer) (Origin, Source) {
	only := ""
	var seen []string
	for _, a := range slices.Concat([]Answer{own}, answers) {
		if a.Known {
			return a.Origin, PeerRecord
		}
		seen = append(seen, a.Seen...)
		if a.Origin.Software != "" {
			only = a.Origin.Software
			seen = append(seen, only)
		}
	}
	contradicted := slices.ContainsFunc(seen, func(version string) bool { return version != only })
	if only == "" || contradicted || hasPeers && len(answers) == 0 {
		return Origin{}, Unknown
	}
	return Origin{Service: service, Software: only}, OnlyVersion
}
