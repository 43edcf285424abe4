package front

import (
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/redwingnotch/redwingnotch/poison"
)

// traits returns what may make the request end servers, see package poison: its content, and
// each part of its prompt that other requests may share, whatever else they hold.
func (x *exchange) traits() []poison.Key {
	if x.traitKeys == nil {
		x.traitKeys = append(x.traitKeys, poison.Key(x.contentHash()))
		for _, p := range x.sharedParts() {
			x.traitKeys = append(x.traitKeys, partKey(p.ID))
		}
	}
	return x.traitKeys
}

// partKey returns the trait of a part of a prompt. IDs are hexadecimal numbers.
func partKey(id string) poison.Key {
	d := xxhash.New()
	_, _ = d.WriteString("part\x00") // never fails
	_, _ = d.WriteString(strings.ToLower(id))
	return poison.Key(max(1, d.Sum64()))
}

// beginPeriod is the time after the first event of a response after which the end of the
// server is unlikely to be due to the request: the server is past the beginning of it.
const beginPeriod = 500 * time.Millisecond

// lostRequest returns the request as a report of the server's end names it.
func (x *exchange) lostRequest(now time.Time) poison.Request {
	return poison.Request{Traits: x.traits(), Weak: !x.attemptBegan.IsZero() && now.Sub(x.attemptBegan) > beginPeriod}
}

// formatKey returns a trait's hash as the logs have it.
func formatKey(key poison.Key) string { return strconv.FormatUint(uint64(key), 16) }

// formatKeys returns the hashes as the logs have them, up to a number of them.
func formatKeys(keys []poison.Key) string {
	const most = 8
	var text []string
	for _, key := range keys[:min(most, len(keys))] {
		text = append(text, formatKey(key))
	}
	return strings.Join(text, ",")
}
