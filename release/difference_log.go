package release

import "slices"

// Limits of the differences that a node caches for its peers.
const (
	maxCachedDifferences = 64        // cached differences
	maxCachedBytes       = 256 << 10 // total size of the cached differences
)

// EncodedUpdate is an update in encoded form, for a peer that is behind: the differences
// after the peer's version, or the whole state if they are no longer cached.
type EncodedUpdate struct {
	Version     uint64   // version of the responding node
	Differences [][]byte // in ascending order of version
	State       []byte   // empty if Differences suffice
}

// differenceLog caches the newest differences in encoded form, and the encoded
// state that a peer last needed.
type differenceLog struct {
	firstVersion uint64   // version of entries[0]
	entries      [][]byte // encoded differences of consecutive versions
	bytes        int      // total size of entries

	state        []byte
	stateVersion uint64 // version of state
}

// add appends the differences of an update, up to the version that it led to. It
// restarts the log if they do not follow its last entry.
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

// trim drops the oldest entries until the log is within its limits.
func (l *differenceLog) trim() {
	for len(l.entries) > 0 && (len(l.entries) > maxCachedDifferences || l.bytes > maxCachedBytes) {
		l.bytes -= len(l.entries[0])
		l.entries[0] = nil
		l.entries = l.entries[1:]
		l.firstVersion++
	}
}

// EncodedUpdate returns the update for a peer at the version after. It returns false if
// this node has not confirmed its own version.
func (f *Follower) EncodedUpdate(after uint64) (EncodedUpdate, bool) {
	if !f.confirmed {
		return EncodedUpdate{}, false
	}
	a := EncodedUpdate{Version: f.state.Version}
	if after >= a.Version {
		return a, true
	}
	l := &f.differences
	covered := l.firstVersion != 0 && after+1 >= l.firstVersion && l.firstVersion+uint64(len(l.entries)) == a.Version+1
	if covered {
		a.Differences = slices.Clone(l.entries[after+1-l.firstVersion:])
		return a, true
	}
	if l.stateVersion != a.Version {
		l.state = EncodeState(f.state)
		l.stateVersion = a.Version
	}
	a.State = l.state
	return a, true
}

// Update decodes the update. It fails with ErrEncoding.
func (a EncodedUpdate) Update() (Update, error) {
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
