package idempotency

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// Key is an idempotency key as it appears in the Idempotency-Key header.
type Key string

// Owner is the run of a node that alone may run a call.
type Owner struct {
	Node        fleet.NodeID      `json:"node"`
	Incarnation fleet.Incarnation `json:"incarnation"`
}

// IssuedKey is a key that a node issued: prefix, node, incarnation, time of
// issue in Unix milliseconds, serial number and signature, separated by dots.
type IssuedKey struct {
	Owner    Owner
	IssuedAt time.Time
	Serial   uint64
	Text     Key
}

const (
	keyPrefix      = "rwn1"
	keySeparator   = "."
	keyParts       = 6
	signatureBytes = 12
)

// ErrMalformedKey is returned for texts that begin like an issued key and are
// none.
var ErrMalformedKey = errors.New("malformed issued key")

// Issued reports whether the key claims to be one that a node issued.
func (k Key) Issued() bool { return strings.HasPrefix(string(k), keyPrefix+keySeparator) }

// ParseIssued reads an issued key. It does not check the signature, which only
// the issuing node can.
func ParseIssued(k Key) (IssuedKey, error) {
	parts := strings.Split(string(k), keySeparator)
	if len(parts) != keyParts || parts[0] != keyPrefix || parts[1] == "" {
		return IssuedKey{}, fmt.Errorf("%w: want %d parts that begin with %s", ErrMalformedKey, keyParts, keyPrefix)
	}
	incarnation, err1 := strconv.ParseUint(parts[2], 36, 64)
	issued, err2 := strconv.ParseInt(parts[3], 36, 64)
	serial, err3 := strconv.ParseUint(parts[4], 36, 64)
	if err := errors.Join(err1, err2, err3); err != nil {
		return IssuedKey{}, fmt.Errorf("%w: %w", ErrMalformedKey, err)
	}
	return IssuedKey{
		Owner:    Owner{Node: fleet.NodeID(parts[1]), Incarnation: fleet.Incarnation(incarnation)},
		IssuedAt: time.UnixMilli(issued),
		Serial:   serial,
		Text:     k,
	}, nil
}

// signer signs the keys of one run of a node.
type signer struct{ secret []byte }

func (s signer) issue(owner Owner, now time.Time, serial uint64) IssuedKey {
	unsigned := strings.Join([]string{
		keyPrefix,
		string(owner.Node),
		strconv.FormatUint(uint64(owner.Incarnation), 36),
		strconv.FormatInt(now.UnixMilli(), 36),
		strconv.FormatUint(serial, 36),
	}, keySeparator)
	text := Key(unsigned + keySeparator + s.signature(unsigned))
	return IssuedKey{Owner: owner, IssuedAt: time.UnixMilli(now.UnixMilli()), Serial: serial, Text: text}
}

// valid reports whether this run of the node issued the key.
func (s signer) valid(k Key) bool {
	at := strings.LastIndex(string(k), keySeparator)
	if at < 0 {
		return false
	}
	return hmac.Equal([]byte(s.signature(string(k[:at]))), []byte(k[at+1:]))
}

func (s signer) signature(unsigned string) string {
	mac := hmac.New(sha256.New, s.secret)
	mac.Write([]byte(unsigned))
	return base64.RawURLEncoding.EncodeToString(mac.Sum(nil)[:signatureBytes])
}
