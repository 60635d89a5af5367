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

// Times of BenchmarkGroup.
const (
	benchStepTime = 25 * time.Millisecond
	benchWindow   = 8 * time.Second
)

// BenchmarkGroup measures the messages of a running group and the longest time
// without a step, with and without a change of map. The agents have sessions
// with the leader only. The CPU time is that of the whole process with all
// agents, sessions and emulated engines.
func BenchmarkGroup(b *testing.B) {
	for _, ranks := range []int{8, 32, 128} {
		b.Run(fmt.Sprintf("ranks=%d", ranks), func(b *testing.B) {
			c := startCluster(b, clusterConfig{ranks: ranks, stepTime: benchStepTime, loadTime: time.Second,
				fencing: func(int) bool { return true }, star: true, withoutHTTP: true})
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
	before, cpu, steps := c.agents[l].group.Status(), cpuTime(b), c.lowestStep()
	steadyGap := c.longestGap(benchWindow)
	after := c.agents[l].group.Status()
	seconds := benchWindow.Seconds()
	messages := float64(after.SentMessages-before.SentMessages) / seconds
	bytes := float64(after.SentBytes-before.SentBytes+after.ReceivedBytes-before.ReceivedBytes) / seconds
	b.ReportMetric(2*messages/float64(ranks), "messages/s/rank")
	b.ReportMetric(bytes/float64(ranks), "bytes/s/rank")
	b.ReportMetric(2*messages, "leader_messages/s")
	b.ReportMetric(bytes, "leader_bytes/s")
	b.ReportMetric(float64(cpuTime(b)-cpu)/float64(benchWindow), "process_cpu_s/s")
	b.ReportMetric(float64(c.lowestStep()-steps)/seconds, "steps/s")
	done := make(chan struct{})
	v := c.propose(l)
	go func() { defer close(done); c.waitMap(v) }()
	changeGap := c.longestGap(3 * time.Second)
	<-done
	b.ReportMetric(float64(steadyGap)/1e6, "longest_gap_quiet_ms")
	b.ReportMetric(float64(changeGap)/1e6, "longest_gap_change_ms")
}

// longestGap returns the longest time without a step of the first engine within d.
func (c *cluster) longestGap(d time.Duration) time.Duration {
	end, lastStepAt, longest, lastStep := time.Now().Add(d), time.Now(), time.Duration(0), int64(-1)
	for time.Now().Before(end) {
		s, _ := c.engines[0].State(context.Background())
		if s.Step != lastStep {
			if lastStep >= 0 {
				longest = max(longest, time.Since(lastStepAt))
			}
			lastStep, lastStepAt = s.Step, time.Now()
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

// BenchmarkLeader measures the CPU time that a leader takes for one second of
// steps: its decisions, and encoding and decoding of its messages. Sessions and
// system calls are not included.
func BenchmarkLeader(b *testing.B) {
	for _, ranks := range []int{8, 32, 128} {
		b.Run(fmt.Sprintf("ranks=%d", ranks), func(b *testing.B) {
			l, followers := runningLeader(b, ranks)
			start, now, step := l.PlanEnd(), time.Unix(100, 0), l.PlanEnd()
			b.ResetTimer()
			for range b.N {
				for range int(time.Second / leaderTickInterval) {
					now, step = now.Add(leaderTickInterval), step+int64(leaderTickInterval/benchStepTime)
					l.ObserveStep(step)
					exchangeMessages(b, l, followers, now)
				}
			}
			b.StopTimer()
			b.ReportMetric(float64(b.Elapsed())/float64(b.N)/float64(time.Second)*100, "%_of_core")
			if l.PlanEnd() < start+int64(b.N)*32 {
				b.Fatal("the leader stopped granting steps")
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
	exchangeMessages(b, l, followers, time.Unix(99, 0))
	if !l.Running() {
		b.Fatal("the leader does not grant steps")
	}
	return l, followers
}

func exchangeMessages(b *testing.B, l *expertmap.Leader, followers []*expertmap.Rank, now time.Time) {
	for _, m := range l.Messages(now) {
		if _, err := proto.Marshal(messageToPB("g", "leader", 0, m, nil)); err != nil {
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
		if err := applyAnswer(l, f); err != nil {
			b.Fatal(err)
		}
	}
}
