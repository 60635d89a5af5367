package group

import (
	"encoding/json"
	"fmt"

	"nutmegnotch/core"
	"nutmegnotch/core/expertmap"
	"nutmegnotch/io/peer/peerpb"
)

func grantToPB(g core.StepGrant) *peerpb.Grant {
	return &peerpb.Grant{Group: g.Group, Generation: g.Generation, Fence: g.Fence,
		FromStep: g.FromStep, ToStep: g.ToStep, MapVersion: g.MapVersion}
}

func grantFromPB(g *peerpb.Grant) core.StepGrant {
	return core.StepGrant{Group: g.GetGroup(), Generation: g.GetGeneration(), Fence: g.GetFence(),
		FromStep: g.GetFromStep(), ToStep: g.GetToStep(), MapVersion: g.GetMapVersion()}
}

// messageToPB encodes a message of a leader. placement is the JSON encoding of the
// map that a LoadMap names, or nil if the rank holds it already.
func messageToPB(group, leaderID string, ranksHash uint64, m expertmap.Message, placement []byte) *peerpb.Frame {
	switch {
	case m.Collect != nil:
		return &peerpb.Frame{Body: &peerpb.Frame_Collect{Collect: &peerpb.Collect{
			Group: group, Fence: m.Collect.Fence, LeaderId: leaderID, RanksHash: ranksHash}}}
	case m.Grant != nil:
		return &peerpb.Frame{Body: &peerpb.Frame_Grant{Grant: grantToPB(*m.Grant)}}
	case m.Load != nil:
		return &peerpb.Frame{Body: &peerpb.Frame_LoadMap{LoadMap: &peerpb.LoadMap{
			Group: group, Fence: m.Load.Fence, MapVersion: m.Load.Version, Placement: placement}}}
	case m.Stop != nil:
		return &peerpb.Frame{Body: &peerpb.Frame_Stop{Stop: &peerpb.Stop{
			Group: group, Fence: m.Stop.Fence, Generation: m.Stop.Generation, Horizon: m.Stop.Horizon}}}
	default:
		return &peerpb.Frame{Body: &peerpb.Frame_Begin{Begin: &peerpb.Begin{
			Group: group, Fence: m.Begin.Fence, Generation: m.Begin.Generation, Step: m.Begin.Step}}}
	}
}

func collectAnswerToPB(group string, a expertmap.CollectAnswer) *peerpb.Frame {
	out := &peerpb.CollectAnswer{Group: group, Rank: int32(a.Rank), Fence: a.Fence, HighestFence: a.HighestFence,
		Generation: a.Generation, Horizon: a.Horizon, LoadedVersions: a.Loaded, StateLost: a.StateLost, Stopped: a.Stopped}
	for _, g := range a.Recent {
		out.Recent = append(out.Recent, grantToPB(g))
	}
	return &peerpb.Frame{Body: &peerpb.Frame_CollectAnswer{CollectAnswer: out}}
}

func collectAnswerFromPB(p *peerpb.CollectAnswer) expertmap.CollectAnswer {
	a := expertmap.CollectAnswer{Rank: int(p.GetRank()), Fence: p.GetFence(), HighestFence: p.GetHighestFence(),
		Generation: p.GetGeneration(), Horizon: p.GetHorizon(), Loaded: p.GetLoadedVersions(),
		StateLost: p.GetStateLost(), Stopped: p.GetStopped()}
	for _, g := range p.GetRecent() {
		a.Recent = append(a.Recent, grantFromPB(g))
	}
	return a
}

func grantAckToPB(group string, a expertmap.GrantAck) *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_GrantAck{GrantAck: &peerpb.GrantAck{Group: group, Rank: int32(a.Rank),
		Accepted: a.Accepted, Horizon: a.Horizon, HighestFence: a.HighestFence, Generation: a.Generation, StateLost: a.StateLost}}}
}

func loadAckToPB(group string, a expertmap.LoadAck, held bool) *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_LoadAck{LoadAck: &peerpb.LoadAck{Group: group, Rank: int32(a.Rank),
		MapVersion: a.Version, Loaded: a.Loaded, HighestFence: a.HighestFence, StateLost: a.StateLost, Held: held}}}
}

func stopAckToPB(group string, a expertmap.StopAck) *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_StopAck{StopAck: &peerpb.StopAck{Group: group, Rank: int32(a.Rank),
		Stopped: a.Stopped, Generation: a.Generation, Horizon: a.Horizon, HighestFence: a.HighestFence, LoadedVersions: a.Loaded}}}
}

func beginAckToPB(group string, a expertmap.BeginAck) *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_BeginAck{BeginAck: &peerpb.BeginAck{Group: group, Rank: int32(a.Rank),
		Begun: a.Begun, Generation: a.Generation, HighestFence: a.HighestFence, StateLost: a.StateLost}}}
}

// applyAnswer passes the answer of a rank to a leader. It returns an error for a
// frame of another kind.
func applyAnswer(l *expertmap.Leader, f *peerpb.Frame) error {
	switch b := f.GetBody().(type) {
	case *peerpb.Frame_CollectAnswer:
		l.HandleCollectAnswer(collectAnswerFromPB(b.CollectAnswer))
	case *peerpb.Frame_GrantAck:
		a := b.GrantAck
		l.HandleGrantAck(expertmap.GrantAck{Rank: int(a.GetRank()), Accepted: a.GetAccepted(), Horizon: a.GetHorizon(),
			HighestFence: a.GetHighestFence(), Generation: a.GetGeneration(), StateLost: a.GetStateLost()})
	case *peerpb.Frame_LoadAck:
		a := b.LoadAck
		l.HandleLoadAck(expertmap.LoadAck{Rank: int(a.GetRank()), Version: a.GetMapVersion(), Loaded: a.GetLoaded(),
			HighestFence: a.GetHighestFence(), StateLost: a.GetStateLost()})
	case *peerpb.Frame_StopAck:
		a := b.StopAck
		l.HandleStopAck(expertmap.StopAck{Rank: int(a.GetRank()), Stopped: a.GetStopped(), Generation: a.GetGeneration(),
			Horizon: a.GetHorizon(), HighestFence: a.GetHighestFence(), Loaded: a.GetLoadedVersions()})
	case *peerpb.Frame_BeginAck:
		a := b.BeginAck
		l.HandleBeginAck(expertmap.BeginAck{Rank: int(a.GetRank()), Begun: a.GetBegun(), Generation: a.GetGeneration(),
			HighestFence: a.GetHighestFence(), StateLost: a.GetStateLost()})
	default:
		return fmt.Errorf("frame %T is not an answer of a rank: %w", b, core.ErrInvalid)
	}
	return nil
}

func decodeMap(m *peerpb.LoadMap) (core.ExpertMap, error) {
	var out core.ExpertMap
	if err := json.Unmarshal(m.GetPlacement(), &out); err != nil {
		return out, fmt.Errorf("decode map %d: %w: %w", m.GetMapVersion(), core.ErrInvalid, err)
	}
	out.Version = m.GetMapVersion()
	return out, nil
}
