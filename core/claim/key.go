package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"nutmegnotch/core"
	"nutmegnotch/core/rendezvous"
)

// maxClockMargin is the greatest difference of clocks between callers, entries
// and the log that the dating of keys allows for.
const maxClockMargin = 2 * time.Minute

// clockMargin is smaller for the short windows of tests.
func clockMargin(window time.Duration) time.Duration {
	return min(maxClockMargin, window/10)
}

// KeyHash returns the identity of an idempotency key. Callers choose keys, so
// the hash is a cryptographic one.
func KeyHash(organisation, service, key string) Hash {
	h := sha256.New()
	for _, s := range []string{organisation, service, key} {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(s)))
		h.Write(n[:])
		h.Write([]byte(s))
	}
	return Hash(h.Sum(nil)[:HashBytes])
}

// Partition returns the partition of a key, from 0 to partitions-1. The number
// of partitions must not change within a window, as claims do not move.
func Partition(key Hash, partitions int) int {
	return int(xxhash.Sum64(key[:]) % uint64(partitions))
}

// Stream returns the log stream of a partition.
func Stream(partition int) string {
	return fmt.Sprintf("%s%02d", core.ClaimStreamPrefix, partition)
}

// Batchers returns the first k entries in the order in which they are asked to
// batch the claims of a partition.
func Batchers(partition int, set core.EntrySet, k int) []core.EntryInfo {
	return rendezvous.Top(Stream(partition), set.Entries, k)
}

// CheckKey refuses keys that are missing, expired, or not dated although the
// service requires it. A key is dated when it is a UUIDv7 in its usual form. A
// UUIDv7 from the future counts as not dated: the claim of such a key would be
// forgotten before its date expires.
func CheckKey(key string, timedOnly bool, window time.Duration, now time.Time) (core.Refusal, bool) {
	if key == "" {
		return core.Refusal{Code: core.CodeKeyRequired, Message: "Idempotency-Key is required", NotRun: true}, false
	}
	t, dated := keyTime(key)
	if dated && t.After(now.Add(clockMargin(window)/2)) {
		dated = false
	}
	switch {
	case dated && now.Sub(t) > window:
		return core.Refusal{
			Code:    core.CodeKeyExpired,
			Message: fmt.Sprintf("Idempotency-Key is older than %s", window),
			NotRun:  true,
		}, false
	case !dated && timedOnly:
		return core.Refusal{
			Code:    core.CodeBadRequest,
			Message: "Idempotency-Key must be a UUIDv7 with the present time",
			NotRun:  true,
		}, false
	}
	return core.Refusal{}, true
}

const uuidTextBytes = 36

func keyTime(key string) (time.Time, bool) {
	if len(key) != uuidTextBytes {
		return time.Time{}, false
	}
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return time.Time{}, false
	}
	var ms [8]byte
	copy(ms[2:], id[:6])
	return time.UnixMilli(int64(binary.BigEndian.Uint64(ms[:]))), true
}
