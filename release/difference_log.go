package release

import "slices"

// Limits of the differences that a node keeps for its peers.
const (
	peerLogEntries = 64
	peerLogBytes   = 256 << 10
)

// Answer is what a node gives a peer that is behind: the encoded differences
// after the peer's version, or the whole encoded state if they are not kept.
type Answer struct {
	Version     uint64
	Differences [][]byte
	State       []byte
}

// differenceLog keeps the newest differences in their encoded form, and the encoded
// state once a peer needed it.
type differenceLog struct {
	firstVersion uint64   // version of entries[0]
	entries      [][]byte // of consecutive versions
	bytes        int

	state        []byte
	stateVersion uint64
}

// add appends the differences of an update that led to the version.
func (l *differenceLog) add(u Update, version uint64) {
	for _, d := range u.Differences {
		if d.Version > version {
			break
		}
		next := l.firstVersion + uint64(len(l.entries))
		if d.Version < next {
			continue
		}
		if d.Version != next {
			*l = differenceLog{firstVersion: d.Version}
		}
		data := EncodeDifference(d)
		l.entries = append(l.entries, data)
		l.bytes += len(data)
	}
	l.trim()
}

// trim drops the oldest entries beyond the limits.
func (l *differenceLog) trim() {
	for len(l.entries) > 0 && (len(l.entries) > peerLogEntries || l.bytes > peerLogBytes) {
		l.bytes -= len(l.entries[0])
		l.entries[0] = nil
		l.entries = l.entries[1:]
		l.firstVersion++
	}
}

// Answer returns what brings a peer on from the version after. It is not ok if
// this node does not know the version in force itself.
func (r *Replica) Answer(after uint64) (Answer, bool) {
	if !r.confirmed {
		return Answer{}, false
	}
	a := Answer{Version: r.state.Version}
	if after >= a.Version {
		return a, true
	}
	l := &r.differences
	reaches := l.firstVersion != 0 && after+1 >= l.firstVersion && l.firstVersion+uint64(len(l.entries)) == a.Version+1
	if reaches {
		a.Differences = slices.Clone(l.entries[after+1-l.firstVersion:])
		return a, true
	}
	if l.stateVersion != a.Version {
		l.state = EncodeState(r.state)
		l.stateVersion = a.Version
	}
	a.State = l.state
	return a, true
}

// Update decodes the answer.
func (a Answer) Update() (Update, error) {
	u := Update{Version: a.Version}
	if len(a.State) > 0 {
		state, err := DecodeState(a.State)
		if err != nil {
			return Update{}, err
		}
		u.State = state
	}
	for _, data := range a.Differences {
		d, err := DecodeDifference(data)
		if err != nil {
			return Update{}, err
		}
		u.Differences = append(u.Differences, d)
	}
	return u, nil
}
