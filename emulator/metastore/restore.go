package metastore

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// headerEra states the era of the store in each response.
const headerEra = "Store-Era"

// Topics that the operator and the backend servers write.
var platformTopics = []string{"keyed.op", "keyed.servers"}

// LostRecord is the newest record of a key that the store has lost. An empty value means
// that the key was deleted.
type LostRecord struct {
	Topic, Key string
	Value      []byte
}

// Era returns the era of the store.
func (s *Store) Era() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// Restore replaces the store by a copy of its state some time ago and begins a new era.
// It returns the lost records of the operator and of the backend servers, which write
// them again.
func (s *Store) Restore(age time.Duration) []LostRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := time.Now().Add(-age)
	var lost []LostRecord
	for name, t := range s.topics {
		end := len(t.records)
		for end > 0 && t.written[end-1].After(copied) {
			end--
		}
		if slices.Contains(platformTopics, name) {
			newest := map[string][]byte{}
			for _, rec := range t.records[end:] {
				n := int(rec[0])
				newest[string(rec[1:1+n])] = rec[1+n:]
			}
			for _, key := range slices.Sorted(maps.Keys(newest)) {
				lost = append(lost, LostRecord{name, key, newest[key]})
			}
		}
		t.records, t.written, t.first = t.records[:end:end], t.written[:end:end], min(t.first, end)
	}
	s.era++
	s.notifyReaders()
	return lost
}

// WriteAgain writes lost records again, in random order and spread over some time, as
// the operator and the backend servers do. It returns when all are written.
func (s *Store) WriteAgain(lost []LostRecord, spread time.Duration, r *rand.Rand) {
	lost = slices.Clone(lost)
	r.Shuffle(len(lost), func(i, j int) { lost[i], lost[j] = lost[j], lost[i] })
	for _, l := range lost {
		time.Sleep(time.Duration(2 * r.Float64() * float64(spread) / float64(len(lost))))
		s.Put(l.Topic, l.Key, l.Value)
	}
}
