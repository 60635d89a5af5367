package retry_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"nutmegnotch/core/retry"
)

// fullQuarantine returns a quarantine with records of the maximum number of requests,
// three crashes each, and twelve requests on each server that ended.
func fullQuarantine() *retry.Quarantine {
	q := retry.NewQuarantine()
	for i := range uint64(retry.MaxFingerprints) {
		for n := range 3 {
			q.Add(retry.Crash{Fingerprint: i, ID: fmt.Sprintf("i-%010d/%d", i/12, n), Started: at(20 * n), Ended: at(20*n + 10)}, now)
		}
	}
	return q
}

func BenchmarkQuarantineStatus(b *testing.B) {
	q := fullQuarantine()
	for i := range b.N {
		q.Status(uint64(i%retry.MaxFingerprints), now)
	}
}

func BenchmarkQuarantineStatusOfOthers(b *testing.B) {
	q := fullQuarantine()
	for i := range b.N {
		q.Status(uint64(retry.MaxFingerprints+i), now)
	}
}

func BenchmarkQuarantineRecords(b *testing.B) {
	q := fullQuarantine()
	for range b.N {
		q.Records(256, now)
	}
}

// BenchmarkQuarantineMemory reports the memory of one record with three crashes.
func BenchmarkQuarantineMemory(b *testing.B) {
	var before, after runtime.MemStats
	for range b.N {
		runtime.GC()
		runtime.ReadMemStats(&before)
		q := fullQuarantine()
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/retry.MaxFingerprints, "B/record")
		runtime.KeepAlive(q)
	}
}

func BenchmarkBrokenRunsExpire(b *testing.B) {
	r := retry.NewBrokenRuns()
	for i := range uint64(retry.MaxBrokenRuns) {
		r.Add(server(fmt.Sprint(i/12), "addr", 1), retry.Keys{Request: i}, false, now, now)
	}
	for range b.N {
		r.Expire(now.Add(time.Second))
	}
}

// All requests share a part with a few crashes.
func BenchmarkJudge(b *testing.B) {
	q := fullQuarantine()
	for _, c := range partCrashes(0, 4, firstPart) {
		q.Add(c, now)
	}
	keys := retry.Keys{Request: ownRequest, Parts: []uint64{firstPart, newPart, badPart}}
	for range b.N {
		q.Judge(keys, now)
	}
}

func BenchmarkPartsServedMemory(b *testing.B) {
	const parts = 1 << 15
	for range b.N {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		q := retry.NewQuarantine()
		for i := range uint64(parts) {
			q.PartsServed([]uint64{i}, now)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MiB")
		runtime.KeepAlive(q)
	}
}

func BenchmarkPartsServed(b *testing.B) {
	q := retry.NewQuarantine()
	parts := make([]uint64, 4)
	for i := range b.N {
		parts[3] = uint64(i)
		q.PartsServed(parts, now)
	}
}
