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

// maxClockMargin is the largest difference between the clocks of callers,
// entries and the log that the checks of timed keys allow for.
const maxClockMargin = 2 * time.Minute

// clockMargin returns the clock margin of a window. It is below maxClockMargin
// for the short windows of tests.
func clockMargin(window time.Duration) time.Duration {
	return min(maxClockMargin, window/10)
}

// KeyHash returns the hash that identifies an idempotency key of an organisation
// and a service. It is a cryptographic hash, since callers choose the keys.
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
// of partitions must not change within a window, since claims stay in the
// partition that they were appended to.
func Partition(key Hash, partitions int) int {
	return int(xxhash.Sum64(key[:]) % uint64(partitions))
}

// Stream returns the log stream of a partition.
func Stream(partition int) string {
	return fmt.Sprintf("%s%02d", core.ClaimStreamPrefix, partition)
}

// Batchers returns the first k entries that are asked to batch the claims of a
// partition, in the order in which they are asked.
func Batchers(partition int, set core.EntrySet, k int) []core.EntryInfo {
	return rendezvous.Top(Stream(partition), set.Entries, k)
}

// CheckKey refuses keys that are missing, that have expired, or that are not
// timed although the service accepts timed keys only. A timed key is a UUIDv7 in
// the canonical text form. A UUIDv7 with a time in the future counts as not
// timed, since the claim of such a key would be dropped before the key expires.
func CheckKey(key string, timedOnly bool, window time.Duration, now time.Time) (core.Refusal, bool) {
	if key == "" {
		return core.Refusal{Code: core.CodeKeyRequired, Message: "Idempotency-Key is required", NotRun: true}, false
	}
	t, timed := keyTime(key)
	if timed && t.After(now.Add(clockMargin(window)/2)) {
		timed = false
	}
	switch {
	case timed && now.Sub(t) > window:
		return core.Refusal{
			Code:    core.CodeKeyExpired,
			Message: fmt.Sprintf("Idempotency-Key is older than %s", window),
			NotRun:  true,
		}, false
	case !timed && timedOnly:
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
