package rankagent

import (
	"bytes"
	"context"
	"errors"
	"math"
	"testing"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/encoding/protodelim"

	"nutmegnotch/core"
	"nutmegnotch/io/peer"
	"nutmegnotch/io/peer/peerpb"
)

// deadEngine answers no call.
type deadEngine struct{}

var errDead = errors.New("engine is dead")

func (deadEngine) Report(context.Context, string) (core.RankReport, error) {
	return core.RankReport{}, errDead
}

func (deadEngine) Counts(context.Context, string) ([]int64, int64, error) { return nil, 0, errDead }

func (deadEngine) Placement(context.Context, string) ([][]int, error) { return nil, errDead }

func (deadEngine) Order(context.Context, string, core.RankOrder) (core.OrderResult, error) {
	return core.OrderUnknown, errDead
}

const fuzzedRanks, fuzzedSets, fuzzedExperts = 2, 1, 4

func groupViewFrame(change func(v *peerpb.GroupView)) *peerpb.Frame {
	v := &peerpb.GroupView{
		Ranks: []*peerpb.RankAddress{
			{Group: "g", Rank: 0, Size: fuzzedRanks, EngineAddress: "127.0.0.1:1"},
			{Group: "g", Rank: 1, Size: fuzzedRanks, EngineAddress: "127.0.0.1:2"},
		},
		ExpertSets: fuzzedSets, Experts: fuzzedExperts, PlacesPerRank: 3, MaxNewExperts: 1, ExpertBytes: 1e6, BytesPerSecond: 1e6,
	}
	change(v)
	return &peerpb.Frame{Body: &peerpb.Frame_GroupView{GroupView: v}}
}

func statusFrame(change func(s *peerpb.RankStatus)) *peerpb.Frame {
	s := &peerpb.RankStatus{
		Group: "g", Rank: 1, Size: fuzzedRanks, Epoch: 1, Open: true, Pass: 10, ArmedPass: -1, HeldPass: -1, Running: 8, Pace: 1,
		Choices: []uint32{1, 1, 100, 1}, Placement: []*peerpb.ExpertList{{Experts: []int32{1, 3}}},
	}
	change(s)
	return &peerpb.Frame{Body: &peerpb.Frame_RankStatus{RankStatus: s}}
}

// frames encodes frames as they are sent.
func frames(f testing.TB, list ...*peerpb.Frame) []byte {
	f.Helper()
	var b bytes.Buffer
	for _, m := range list {
		if _, err := protodelim.MarshalTo(&b, m); err != nil {
			f.Fatal(err)
		}
	}
	return b.Bytes()
}

// Guards against a frame of a peer that ends the agent, among them those with numbers at
// their limits, before and after valid ones.
func FuzzControl(f *testing.F) {
	view, status := func(*peerpb.GroupView) {}, func(*peerpb.RankStatus) {}
	f.Add(frames(f, groupViewFrame(view), statusFrame(status), statusFrame(status)))
	f.Add(frames(f, groupViewFrame(func(v *peerpb.GroupView) { v.ExpertSets, v.Experts = math.MaxInt32, math.MaxInt32 }), statusFrame(status)))
	f.Add(frames(f, groupViewFrame(func(v *peerpb.GroupView) { v.Experts = -1 }), statusFrame(status)))
	f.Add(frames(f, groupViewFrame(func(v *peerpb.GroupView) { v.ExpertBytes = math.NaN() }), statusFrame(status)))
	f.Add(frames(f, groupViewFrame(func(v *peerpb.GroupView) { v.PlacesPerRank, v.MaxNewExperts = -5, -5 }), statusFrame(status), statusFrame(status)))
	f.Add(frames(f, groupViewFrame(view), statusFrame(func(s *peerpb.RankStatus) { s.Placement[0].Experts = []int32{-1, math.MaxInt32} }), statusFrame(status)))
	f.Add(frames(f, groupViewFrame(view), statusFrame(func(s *peerpb.RankStatus) { s.Placement = append(s.Placement, s.Placement[0], s.Placement[0]) })))
	f.Add(frames(f, groupViewFrame(view), statusFrame(func(s *peerpb.RankStatus) { s.Choices = make([]uint32, 100) }), statusFrame(status)))
	f.Add(frames(f, groupViewFrame(view), statusFrame(func(s *peerpb.RankStatus) { s.Pace, s.Pass, s.ArmedPass = math.Inf(1), math.MaxInt64, math.MinInt64 })))
	f.Add(frames(f, &peerpb.Frame{Body: &peerpb.Frame_LeaderBeat{LeaderBeat: &peerpb.LeaderBeat{Group: "g", Rank: -7}}}, &peerpb.Frame{Body: &peerpb.Frame_GroupView{}}, &peerpb.Frame{}))
	f.Fuzz(func(t *testing.T, data []byte) {
		a, err := New(Config{ID: "a", PeerAddress: "127.0.0.1:0", EngineAddress: "127.0.0.1:1", Engine: deadEngine{}, Logger: zap.NewNop()})
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		a.task.Start(ctx)
		defer func() {
			cancel()
			<-a.task.Done()
			a.node.Stop()
			a.wg.Wait()
		}()
		from := &peer.Session{Hello: &peerpb.Hello{Id: "b", Role: core.RoleRankAgent}}
		poll := func() {
			a.task.Do(func() {
				a.applyPoll(core.RankReport{Place: core.RankPlace{Group: "g", Size: fuzzedRanks, Epoch: 1, Open: true}, ArmedPass: -1, HeldPass: -1, Slowdown: 1, Running: 8},
					[]int64{1, 100, 1, 1}, [][]int{{0, 2}}, time.Now())
			})
		}
		poll()
		for r := bytes.NewReader(data); ; {
			m := &peerpb.Frame{}
			if err := (protodelim.UnmarshalOptions{MaxSize: peer.MaxFrameBytes}).UnmarshalFrom(r, m); err != nil {
				return
			}
			a.task.Do(func() { a.onFrame(from, m, time.Now()) })
			poll()
		}
	})
}
