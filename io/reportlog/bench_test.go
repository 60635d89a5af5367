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

// recorder is a log that takes everything and remembers the sizes.
type recorder struct{ bytes, appends int }

func (r *recorder) Append(_ context.Context, _ string, data []byte) (int64, error) {
	r.bytes += len(data)
	r.appends++
	return int64(r.appends), nil
}

func (r *recorder) Read(context.Context, string, int64, int, time.Duration) (core.Batch, error) {
	return core.Batch{}, nil
}

// event n of a mix over organisations in which each request has one admission
// and one outcome with times from 5 ms to 2.5 s.
func put(r *reportlog.Reporter, subjects []report.Subject, n int) {
	s := subjects[n%len(subjects)]
	ms := time.Duration(5+n*7919%2500) * time.Millisecond
	r.Admitted(report.Admission{Subject: s, PromptTokens: 200, OutputTokens: 300, Cost: 500})
	r.Ended(report.Outcome{Subject: s, First: ms / 10, Elapsed: ms, ReplyBytes: 2000})
}

func subjects(n int) []report.Subject {
	list := make([]report.Subject, n)
	for i := range list {
		list[i] = report.Subject{Service: "runners", ContractVersion: int64(123456 + i), Contract: core.Contract{
			Organisation: fmt.Sprintf("organisation-%04d", i), RequestsPerSecond: 1000, TokensPerSecond: 1e6, ReplyTimeMS: 2000}}
	}
	return list
}

// BenchmarkInterval measures one interval in which each organisation had 1 or
// 450 requests: CPU of all threads per request (one admission, one outcome and
// its part of the encoding), heap, and bytes and appends of the records.
// 1,600 entries at 29,000 requests/s and 1,300 organisations see about 1
// request of each organisation in 60 s, 3 entries about 450.
func BenchmarkInterval(b *testing.B) {
	for _, n := range []int{10, 130, 1300} {
		for _, each := range []int{1, 450} {
			b.Run(fmt.Sprintf("organisations=%d/requests=%d", n, each), func(b *testing.B) {
				var log *recorder
				var cpu time.Duration
				var held uint64
				for range b.N {
					log = &recorder{}
					before, began := heap(), cpuTime(b)
					r := reportlog.New(reportlog.Config{EntryID: "entry-0001", Incarnation: "7b1e7a5e-4a0e-4f0e-9c0b-2f1f6a1f7d11",
						Log: log, Interval: time.Hour})
					list := subjects(n)
					for i := range n * each {
						put(r, list, i)
						if i%1000 == 999 {
							// The queue holds 4,096 events; nothing may be dropped here.
							time.Sleep(time.Millisecond)
						}
					}
					cpu += cpuTime(b) - began
					held = max(heap(), before) - before
					began = cpuTime(b)
					r.Stop(context.Background())
					cpu += cpuTime(b) - began
				}
				b.ReportMetric(float64(cpu.Nanoseconds())/float64(b.N*n*each), "cpu-ns/request")
				b.ReportMetric(float64(log.bytes), "B/interval")
				b.ReportMetric(float64(log.bytes)/60, "B/s/entry")
				b.ReportMetric(float64(log.appends), "appends/interval")
				b.ReportMetric(float64(held), "heap-B")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
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
