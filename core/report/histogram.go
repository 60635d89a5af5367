package report

import (
	"encoding/json"
	"fmt"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"nutmegnotch/core"
)

// Times above maxTimeMS count as maxTimeMS. One significant digit limits the
// error of a time to a tenth.
const (
	maxTimeMS         = 3_600_000
	significantDigits = 1
)

// Histogram counts times in milliseconds. Its JSON form is a list of pairs
// [time, count].
type Histogram struct{ h *hdr.Histogram }

func newHistogram() *Histogram {
	return &Histogram{h: hdr.New(1, maxTimeMS, significantDigits)}
}

// Add adds a time with count n.
func (h *Histogram) Add(ms, n int64) {
	// The value is in range, so RecordValues cannot fail.
	_ = h.h.RecordValues(min(max(ms, 1), maxTimeMS), n)
}

// Merge adds the counts of another histogram, which may be nil.
func (h *Histogram) Merge(o *Histogram) {
	if o != nil {
		h.h.Merge(o.h)
	}
}

// Percentile returns the p-th percentile in milliseconds.
func (h *Histogram) Percentile(p float64) int64 { return h.h.ValueAtPercentile(p) }

// Count returns the total count.
func (h *Histogram) Count() int64 { return h.h.TotalCount() }

// MarshalJSON implements json.Marshaler.
func (h *Histogram) MarshalJSON() ([]byte, error) {
	pairs := [][2]int64{}
	for _, b := range h.h.Distribution() {
		if b.Count > 0 {
			pairs = append(pairs, [2]int64{b.From, b.Count})
		}
	}
	return json.Marshal(pairs)
}

// UnmarshalJSON implements json.Unmarshaler.
func (h *Histogram) UnmarshalJSON(data []byte) error {
	var pairs [][2]int64
	if err := json.Unmarshal(data, &pairs); err != nil {
		return fmt.Errorf("histogram: %w", err)
	}
	h.h = newHistogram().h
	for _, p := range pairs {
		if p[0] < 0 || p[0] > maxTimeMS || p[1] < 0 {
			return fmt.Errorf("histogram holds time %d with count %d: %w", p[0], p[1], core.ErrInvalid)
		}
		h.Add(p[0], p[1])
	}
	return nil
}
