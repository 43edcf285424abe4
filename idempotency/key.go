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

// Key is the value of an Idempotency-Key header.
type Key string

// Owner is the node incarnation that alone may run the call of a key.
type Owner struct {
	Node        fleet.NodeID      `json:"node"`
	Incarnation fleet.Incarnation `json:"incarnation"`
}

// IssuedKey is a parsed key that a node issued. Its text consists of prefix,
// node, incarnation, time of issue in Unix milliseconds, serial number and
// signature, separated by dots. The three numbers are in base 36.
type IssuedKey struct {
	Owner    Owner
	IssuedAt time.Time
	Serial   uint64
	Text     Key
}

const (
	issuedKeyPrefix = "rwn1"
	keySeparator    = "."
	issuedKeyParts  = 6
	signatureBytes  = 12
)

// ErrMalformedKey means that a text is not a well-formed issued key.
var ErrMalformedKey = errors.New("malformed issued key")

// Issued reports whether the key has the prefix of issued keys. It does not
// validate the rest.
func (k Key) Issued() bool { return strings.HasPrefix(string(k), issuedKeyPrefix+keySeparator) }

// ParseIssued parses an issued key. It does not verify the signature; only the
// incarnation that issued the key can. Errors wrap ErrMalformedKey.
func ParseIssued(k Key) (IssuedKey, error) {
	parts := strings.Split(string(k), keySeparator)
	if len(parts) != issuedKeyParts || parts[0] != issuedKeyPrefix || parts[1] == "" {
		return IssuedKey{}, fmt.Errorf("%w: want %d dot-separated parts, the first of them %s", ErrMalformedKey, issuedKeyParts, issuedKeyPrefix)
	}
	incarnation, err1 := strconv.ParseUint(parts[2], 36, 64)
	issuedMillis, err2 := strconv.ParseInt(parts[3], 36, 64)
	serial, err3 := strconv.ParseUint(parts[4], 36, 64)
	if err := errors.Join(err1, err2, err3); err != nil {
		return IssuedKey{}, fmt.Errorf("%w: %w", ErrMalformedKey, err)
	}
	return IssuedKey{
		Owner:    Owner{Node: fleet.NodeID(parts[1]), Incarnation: fleet.Incarnation(incarnation)},
		IssuedAt: time.UnixMilli(issuedMillis),
		Serial:   serial,
		Text:     k,
	}, nil
}

// signer signs and verifies the keys of one node incarnation by HMAC-SHA256.
type signer struct{ secret []byte }

func (s signer) issue(owner Owner, now time.Time, serial uint64) IssuedKey {
	unsigned := strings.Join([]string{
		issuedKeyPrefix,
		string(owner.Node),
		strconv.FormatUint(uint64(owner.Incarnation), 36),
		strconv.FormatInt(now.UnixMilli(), 36),
		strconv.FormatUint(serial, 36),
	}, keySeparator)
	text := Key(unsigned + keySeparator + s.signature(unsigned))
	return IssuedKey{Owner: owner, IssuedAt: time.UnixMilli(now.UnixMilli()), Serial: serial, Text: text}
}

// valid reports whether the key carries a signature of this secret.
func (s signer) valid(k Key) bool {
	dot := strings.LastIndex(string(k), keySeparator)
	if dot < 0 {
		return false
	}
	return hmac.Equal([]byte(s.signature(string(k[:dot]))), []byte(k[dot+1:]))
}

func (s signer) signature(unsigned string) string {
	mac := hmac.New(sha256.New, s.secret)
	mac.Write([]byte(unsigned))
	return base64.RawURLEncoding.EncodeToString(mac.Sum(nil)[:signatureBytes])
}
