package idempotency

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/redwingnotch/redwingnotch/platform"
)

// Claims keeps claims in the platform's store, one object a key. Safe for
// concurrent use.
type Claims struct {
	store platform.Store
}

// NewClaims returns claims kept in the store.
func NewClaims(store platform.Store) *Claims { return &Claims{store: store} }

// objectName hashes the key, as object names may not hold all characters.
func objectName(key Key) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// claimRounds bounds the writes of one claim against a changing object.
const claimRounds = 3

// Claim writes the record if no other claim stands, or over a released one. If
// retake is set, it also writes over a claim of the same owner. ClaimMade means
// that this very write took effect, so that earlier writes of the same owner
// whose answers were lost can't take effect any more. It returns the version
// written.
func (c *Claims) Claim(ctx context.Context, record Record, retake bool) (ClaimResult, uint64, error) {
	expect := uint64(0)
	for range claimRounds {
		version, err := c.put(ctx, record, expect)
		switch {
		case err == nil:
			return ClaimResult{Outcome: ClaimMade}, version, nil
		case surelyNotWritten(err):
			return ClaimResult{Outcome: ClaimNotMade}, 0, err
		case !errors.Is(err, platform.ErrConflict):
			return ClaimResult{Outcome: ClaimUnknown}, 0, err
		}
		taken, version, err := c.get(ctx, record.Key)
		if errors.Is(err, platform.ErrNotFound) {
			expect = 0
			continue
		}
		if err != nil {
			// Whose claim stands is not known; this write did not take effect.
			return ClaimResult{Outcome: ClaimNotMade, Contested: true}, 0, err
		}
		own := retake && taken.State == RecordClaimed && taken.Owner == record.Owner
		free := taken.State == RecordReleased && taken.Fingerprint == record.Fingerprint
		if !own && !free {
			return ClaimResult{Outcome: ClaimTaken, Taken: taken}, 0, nil
		}
		expect = version
	}
	return ClaimResult{Outcome: ClaimNotMade, Contested: true}, 0, fmt.Errorf("claim of key changed %d times", claimRounds)
}

// surelyNotWritten reports whether a write did not take effect. Errors that
// don't say so count as unknown.
func surelyNotWritten(err error) bool {
	if errors.Is(err, platform.ErrUnknown) {
		return false
	}
	return errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrBudget)
}

// Update writes the end of a claim over the version that Claim returned.
func (c *Claims) Update(ctx context.Context, record Record, expect uint64) (uint64, error) {
	return c.put(ctx, record, expect)
}

func (c *Claims) put(ctx context.Context, record Record, expect uint64) (uint64, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return 0, fmt.Errorf("claim of key %s: %w", record.Key, err)
	}
	return platform.PutSettled(ctx, c.store, platform.KindClaim, objectName(record.Key), value, expect, uuid.NewString())
}

func (c *Claims) get(ctx context.Context, key Key) (Record, uint64, error) {
	object, err := c.store.Get(ctx, platform.KindClaim, objectName(key))
	if err != nil {
		return Record{}, 0, err
	}
	var record Record
	if err := json.Unmarshal(object.Value, &record); err != nil {
		return Record{}, 0, fmt.Errorf("claim of key %s: %w", key, err)
	}
	return record, object.Version, nil
}

// Sweep deletes the expired claims whose object names begin with the prefix, of
// hexadecimal digits, and returns how many.
func (c *Claims) Sweep(ctx context.Context, now time.Time, prefix string) (int, error) {
	objects, _, err := c.store.List(ctx, platform.KindClaim, prefix)
	if err != nil {
		return 0, fmt.Errorf("list claims: %w", err)
	}
	n := 0
	for _, object := range objects {
		var record Record
		if json.Unmarshal(object.Value, &record) != nil || now.Before(record.ExpiresAt) {
			continue
		}
		if err := c.store.Delete(ctx, platform.KindClaim, object.Name, object.Version); err != nil {
			return n, fmt.Errorf("delete expired claim: %w", err)
		}
		n++
	}
	return n, nil
}

// retryable reports whether a write that failed may succeed later.
func retryable(err error) bool {
	return errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrBudget) || errors.Is(err, platform.ErrUnknown)
}
