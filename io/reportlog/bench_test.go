package reportlog_test

import (
	"context"
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/core/report"
	"nutmegnotch/io/reportlog"
)

// countingLog is a log that discards records and counts their bytes.
type countingLog struct{ bytes, appends int }

func (r *countingLog) Append(_ context.Context, _ string, data []byte) (int64, error) {
	r.bytes += len(data)
	r.appends++
	return int64(r.appends), nil
}

func (r *countingLog) Read(context.Context, string, int64, int, time.Duration) (core.Batch, error) {
	return core.Batch{}, nil
}

// addRequest reports the admission and the outcome of request n. Requests are
// spread over the subjects and take 5 ms to 2.5 s.
func addRequest(r *reportlog.Reporter, subjects []report.Subject, n int) {
	s := subjects[n%len(subjects)]
	ms := time.Duration(5+n*7919%2500) * time.Millisecond
	r.Admitted(report.Admission{Subject: s, PromptTokens: 200, OutputTokens: 300, Cost: 500})
	r.Ended(report.Outcome{Subject: s, TimeToFirstByte: ms / 10, Elapsed: ms, ReplyBytes: 2000})
}

func subjects(n int) []report.Subject {
	list := make([]report.Subject, n)
	for i := range list {
		list[i] = report.SubjectOf(core.Contract{Organisation: fmt.Sprintf("organisation-%04d", i),
			RequestsPerSecond: 1000, TokensPerSecond: 1e6, ReplyTimeMS: 2000}, int64(123456+i), "runners")
	}
	return list
}

// BenchmarkInterval measures the cost of one interval of 60 s at one entry, at
// 29,000 requests/s over all entries, spread evenly over the organisations: CPU
// time of all threads, heap, and size of the records. It also reports the appends
// and bytes per second of all entries together.
func BenchmarkInterval(b *testing.B) {
	const rate, seconds = 29_000, 60
	for _, n := range []int{10, 130, 1300} {
		for _, entries := range []int{3, 1600} {
			b.Run(fmt.Sprintf("organisations=%d/entries=%d", n, entries), func(b *testing.B) {
				requests := rate * seconds / entries
				var m measurement
				for range b.N {
					m = m.plus(runInterval(b, n, requests))
				}
				bytes, appends := float64(m.log.bytes)/float64(b.N), float64(m.log.appends)/float64(b.N)
				cpu := float64(m.cpu.Nanoseconds()) / float64(b.N)
				b.ReportMetric(0, "ns/op")
				b.ReportMetric(bytes/appends, "B/record")
				b.ReportMetric(cpu/float64(requests), "cpu-ns/request")
				b.ReportMetric(100*cpu/1e9/seconds, "core-%/entry")
				b.ReportMetric(float64(m.heap)/float64(b.N), "heap-B")
				b.ReportMetric(bytes/seconds, "B/s/entry")
				b.ReportMetric(bytes*float64(entries)/seconds, "B/s/all")
				b.ReportMetric(appends*float64(entries)/seconds, "appends/s/all")
			})
		}
	}
}

type measurement struct {
	log  countingLog
	cpu  time.Duration
	heap uint64
}

func (m measurement) plus(o measurement) measurement {
	return measurement{log: countingLog{bytes: m.log.bytes + o.log.bytes, appends: m.log.appends + o.log.appends},
		cpu: m.cpu + o.cpu, heap: m.heap + o.heap}
}

// runInterval reports the requests of one interval and stops the reporter.
func runInterval(b *testing.B, organisations, requests int) measurement {
	var m measurement
	list := subjects(organisations)
	r := reportlog.New(reportlog.Config{EntryID: "entry-0001", Incarnation: "7b1e7a5e-4a0e-4f0e-9c0b-2f1f6a1f7d11",
		Log: &m.log, Interval: time.Hour, QueueLen: 1 << 16})
	before, began := heap(), cpuTime(b)
	for i := range requests {
		addRequest(r, list, i)
		if i%500 == 499 {
			// The loop runs far faster than 9,667 requests/s; without the pause
			// events would be dropped.
			time.Sleep(4 * time.Millisecond)
		}
	}
	m.cpu = cpuTime(b) - began
	m.heap = max(heap(), before) - before
	began = cpuTime(b)
	r.Stop(context.Background())
	m.cpu += cpuTime(b) - began
	if lost := r.Metrics().Get("events_dropped_total").String(); lost != "0" {
		b.Fatalf("%s events were dropped, so the figures do not cover the whole load", lost)
	}
	return m
}

func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
