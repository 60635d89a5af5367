package group

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"nutmegnotch/core"
	"nutmegnotch/core/expertmap"
	"nutmegnotch/io/peer/peerpb"
)

// Times of a measurement.
const (
	benchStep   = 25 * time.Millisecond
	benchWindow = 8 * time.Second
)

// BenchmarkGroup measures the messages of a running group and the longest time
// without a step during a change of map. The agents are connected to the
// leader only. The CPU time is that of the whole process: all agents, sessions
// and stand-ins.
func BenchmarkGroup(b *testing.B) {
	for _, ranks := range []int{8, 32, 128} {
		b.Run(fmt.Sprintf("ranks=%d", ranks), func(b *testing.B) {
			c := startCluster(b, clusterConfig{ranks: ranks, stepTime: benchStep, loadTime: time.Second,
				fencing: func(int) bool { return true }, star: true, direct: true})
			c.wait("a leader", time.Minute, func() bool { return c.leader() >= 0 })
			c.waitProgress("first steps", 100)
			for range b.N {
				measure(b, c, ranks)
			}
		})
	}
}

func measure(b *testing.B, c *cluster, ranks int) {
	l := c.leader()
	before, cpu, steps := c.agents[l].group.Status(), cpuTime(b), c.step()
	quiet := c.longestGap(benchWindow)
	after := c.agents[l].group.Status()
	seconds := benchWindow.Seconds()
	messages := float64(after.SentMessages-before.SentMessages) / seconds
	bytes := float64(after.SentBytes-before.SentBytes+after.ReceivedBytes-before.ReceivedBytes) / seconds
	b.ReportMetric(2*messages/float64(ranks), "messages/s/rank")
	b.ReportMetric(bytes/float64(ranks), "bytes/s/rank")
	b.ReportMetric(2*messages, "leader_messages/s")
	b.ReportMetric(bytes, "leader_bytes/s")
	b.ReportMetric(float64(cpuTime(b)-cpu)/float64(benchWindow), "process_cpu_s/s")
	b.ReportMetric(float64(c.step()-steps)/seconds, "steps/s")
	done := make(chan struct{})
	v := c.propose(l)
	go func() { defer close(done); c.waitMap(v) }()
	change := c.longestGap(3 * time.Second)
	<-done
	b.ReportMetric(float64(quiet)/1e6, "longest_gap_quiet_ms")
	b.ReportMetric(float64(change)/1e6, "longest_gap_change_ms")
}

// longestGap is the longest time in which the first engine ran no step.
func (c *cluster) longestGap(d time.Duration) time.Duration {
	end, last, longest, at := time.Now().Add(d), time.Now(), time.Duration(0), int64(-1)
	for time.Now().Before(end) {
		s, _ := c.engines[0].State(context.Background())
		if s.Step != at {
			if at >= 0 {
				longest = max(longest, time.Since(last))
			}
			at, last = s.Step, time.Now()
		}
		time.Sleep(time.Millisecond)
	}
	return longest
}

func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkLeader measures the CPU time of a leader's decisions and of encoding
// and decoding its messages for one second of steps. Sessions and system calls
// are not included.
func BenchmarkLeader(b *testing.B) {
	for _, ranks := range []int{8, 32, 128} {
		b.Run(fmt.Sprintf("ranks=%d", ranks), func(b *testing.B) {
			l, followers := runningLeader(b, ranks)
			start, now, step := l.PlanEnd(), time.Unix(100, 0), l.PlanEnd()
			b.ResetTimer()
			for range b.N {
				for range int(time.Second / leadInterval) {
					now, step = now.Add(leadInterval), step+int64(leadInterval/benchStep)
					l.ObserveStep(step)
					exchange(b, l, followers, now)
				}
			}
			b.StopTimer()
			b.ReportMetric(float64(b.Elapsed())/float64(b.N)/float64(time.Second)*100, "%_of_core")
			if l.PlanEnd() < start+int64(b.N)*32 {
				b.Fatal("the leader stopped granting")
			}
		})
	}
}

func runningLeader(b *testing.B, ranks int) (*expertmap.Leader, []*expertmap.Rank) {
	l := expertmap.NewLeader("g", 0, ranks, map[int64]core.ExpertMap{1: {Version: 1}}, core.ExpertMap{})
	var followers []*expertmap.Rank
	for i := range ranks {
		r := expertmap.NewRank("g", i)
		r.Recover(core.RankState{Generation: 1, Horizon: 64, LoadedVersions: []int64{1},
			Runs: []core.Run{{Generation: 1, From: 0, To: 64, MapVersion: 1}}}, -1)
		followers = append(followers, r)
	}
	exchange(b, l, followers, time.Unix(99, 0))
	if !l.Running() {
		b.Fatal("the leader does not run")
	}
	return l, followers
}

func exchange(b *testing.B, l *expertmap.Leader, followers []*expertmap.Rank, now time.Time) {
	for _, m := range l.Messages(now) {
		if _, err := proto.Marshal(toFrame("g", "leader", 0, m, nil)); err != nil {
			b.Fatal(err)
		}
		r, reply := followers[m.Rank], (*peerpb.Frame)(nil)
		if m.Collect != nil {
			reply = collectAnswerToPB("g", r.Collect(*m.Collect))
		} else {
			reply = grantAckToPB("g", r.Grant(*m.Grant))
		}
		data, err := proto.Marshal(reply)
		if err != nil {
			b.Fatal(err)
		}
		f := &peerpb.Frame{}
		if err := proto.Unmarshal(data, f); err != nil {
			b.Fatal(err)
		}
		if err := deliver(l, f); err != nil {
			b.Fatal(err)
		}
	}
}
