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

// ClaimStore reads and writes claims in the platform's store, one object per key.
// It is safe for concurrent use.
type ClaimStore struct {
	store platform.Store
}

// NewClaimStore returns the claims in the given store.
func NewClaimStore(store platform.Store) *ClaimStore { return &ClaimStore{store: store} }

// objectName returns the object name for a key. The key is hashed because it may
// contain characters that object names don't allow.
func objectName(key Key) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// maxClaimAttempts is the maximum number of writes of one claim while other
// writers change the object.
const maxClaimAttempts = 3

// Claim writes the record if the store holds no claim of the key or a released
// one with the same fingerprint. If overwriteOwn is set, it also overwrites a
// claim of the same owner. ClaimWritten means that this write itself took effect.
// It changed the object's version, so earlier writes of the same owner whose
// responses were lost can no longer take effect. Claim returns the new version.
func (s *ClaimStore) Claim(ctx context.Context, record Record, overwriteOwn bool) (ClaimResult, uint64, error) {
	expect := uint64(0)
	for range maxClaimAttempts {
		version, err := s.put(ctx, record, expect)
		switch {
		case err == nil:
			return ClaimResult{Outcome: ClaimWritten}, version, nil
		case confirmedNotWritten(err):
			return ClaimResult{Outcome: ClaimNotWritten}, 0, err
		case !errors.Is(err, platform.ErrConflict):
			return ClaimResult{Outcome: ClaimUnknown}, 0, err
		}
		existing, version, err := s.get(ctx, record.Key)
		if errors.Is(err, platform.ErrNotFound) {
			expect = 0
			continue
		}
		if err != nil {
			// The store held another version of the object, but its claim can't be read.
			return ClaimResult{Outcome: ClaimNotWritten, Contested: true}, 0, err
		}
		ownClaim := overwriteOwn && existing.State == RecordClaimed && existing.Owner == record.Owner
		released := existing.State == RecordReleased && existing.Fingerprint == record.Fingerprint
		if !ownClaim && !released {
			return ClaimResult{Outcome: ClaimExists, Existing: existing}, 0, nil
		}
		expect = version
	}
	return ClaimResult{Outcome: ClaimNotWritten, Contested: true}, 0, fmt.Errorf("claim not written: conflicting writes in %d attempts", maxClaimAttempts)
}

// confirmedNotWritten reports whether the error proves that a write did not take
// effect. After any other error it may have taken effect.
func confirmedNotWritten(err error) bool {
	if errors.Is(err, platform.ErrUnknown) {
		return false
	}
	return errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrBudget)
}

// Update replaces a claim by its released or done record. Expect is the version
// that Claim returned. It returns the new version.
func (s *ClaimStore) Update(ctx context.Context, record Record, expect uint64) (uint64, error) {
	return s.put(ctx, record, expect)
}

func (s *ClaimStore) put(ctx context.Context, record Record, expect uint64) (uint64, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return 0, fmt.Errorf("encode claim of key %s: %w", record.Key, err)
	}
	return platform.PutResolved(ctx, s.store, platform.KindClaim, objectName(record.Key), value, expect, uuid.NewString())
}

func (s *ClaimStore) get(ctx context.Context, key Key) (Record, uint64, error) {
	object, err := s.store.Get(ctx, platform.KindClaim, objectName(key))
	if err != nil {
		return Record{}, 0, err
	}
	var record Record
	if err := json.Unmarshal(object.Value, &record); err != nil {
		return Record{}, 0, fmt.Errorf("decode claim of key %s: %w", key, err)
	}
	return record, object.Version, nil
}

// Sweep deletes the expired claims whose object names start with prefix, a
// string of hexadecimal digits, and returns their number. It stops at the first
// failed delete.
func (s *ClaimStore) Sweep(ctx context.Context, now time.Time, prefix string) (int, error) {
	objects, _, err := s.store.List(ctx, platform.KindClaim, prefix)
	if err != nil {
		return 0, fmt.Errorf("list claims: %w", err)
	}
	deleted := 0
	for _, object := range objects {
		var record Record
		if json.Unmarshal(object.Value, &record) != nil || now.Before(record.ExpiresAt) {
			continue
		}
		if err := s.store.Delete(ctx, platform.KindClaim, object.Name, object.Version); err != nil {
			return deleted, fmt.Errorf("delete expired claim: %w", err)
		}
		deleted++
	}
	return deleted, nil
}

// retryable reports whether a failed write may succeed if it is repeated.
func retryable(err error) bool {
	return errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrBudget) || errors.Is(err, platform.ErrUnknown)
}
