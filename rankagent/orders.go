package rankagent

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"nutmegnotch/core"
	"nutmegnotch/core/expertmap"
	"nutmegnotch/io/peer"
	"nutmegnotch/io/peer/peerpb"
)

// Times of orders. An order without an answer is given again, so a short time
// costs little.
const (
	// localOrderTimeout bounds an order to the engine on the own host.
	localOrderTimeout = 60 * time.Millisecond
	// remoteOrderTimeout bounds an order through another agent or to another host.
	remoteOrderTimeout = 150 * time.Millisecond
)

// sendOrder gives an order to the engine of a rank: directly when it is the own one
// or when no session with its agent is up, else through its agent.
func (a *Agent) sendOrder(ctx context.Context, to expertmap.AddressedOrder, own bool, s *peer.Session, engine string) core.OrderResult {
	var res core.OrderResult
	var err error
	switch {
	case own:
		res, err = a.orderEngine(ctx, a.cfg.EngineAddress, to.Order, localOrderTimeout)
	case s != nil:
		res, err = relayOrder(ctx, s, to.Order)
	case engine != "":
		res, err = a.orderEngine(ctx, engine, to.Order, remoteOrderTimeout)
	default:
		err = fmt.Errorf("rank %d has no known address: %w", to.Rank, core.ErrNotFound)
	}
	if err != nil {
		a.log.Info("order without answer", zap.Int("rank", to.Rank), zap.Int("kind", int(to.Order.Kind)),
			zap.Int64("version", to.Order.Version), zap.Int64("pass", to.Order.Pass), zap.Error(err))
	}
	return res
}

func (a *Agent) orderEngine(ctx context.Context, address string, o core.RankOrder, timeout time.Duration) (core.OrderResult, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	res, err := a.cfg.Engine.Order(ctx, address, o)
	if err != nil {
		return res, fmt.Errorf("order engine %s: %w", address, err)
	}
	return res, nil
}

// relayOrder asks the agent at the other end of a session to give the order.
func relayOrder(ctx context.Context, s *peer.Session, o core.RankOrder) (core.OrderResult, error) {
	st, err := s.Open(peerpb.StreamKind_STREAM_KIND_RANK_ORDER, "")
	if err != nil {
		return core.OrderUnknown, fmt.Errorf("relay order: %w", err)
	}
	defer st.Close()
	deadline := time.Now().Add(remoteOrderTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if err := st.SetDeadline(deadline); err != nil {
		return core.OrderUnknown, fmt.Errorf("relay order: %w", err)
	}
	if err := st.Send(&peerpb.Frame{Body: &peerpb.Frame_RankOrder{RankOrder: encodeOrder(o)}}); err != nil {
		return core.OrderUnknown, fmt.Errorf("relay order: %w", err)
	}
	f, err := st.Receive()
	if err != nil {
		return core.OrderUnknown, fmt.Errorf("relay order: %w", err)
	}
	return core.OrderResult(f.GetRankOrderAnswer().GetResult()), nil
}

func encodeOrder(o core.RankOrder) *peerpb.RankOrder {
	m := &peerpb.RankOrder{Kind: int32(o.Kind), Epoch: o.Epoch, Version: o.Version, Pass: o.Pass}
	for _, rank := range o.Experts {
		m.Sets = int32(len(rank))
		for _, list := range rank {
			m.Experts = append(m.Experts, encodeExperts(list))
		}
	}
	return m
}

// decodeOrder is the inverse of orderMessage.
func decodeOrder(m *peerpb.RankOrder) (core.RankOrder, error) {
	o := core.RankOrder{Kind: core.OrderKind(m.GetKind()), Epoch: m.GetEpoch(), Version: m.GetVersion(), Pass: m.GetPass()}
	sets := int(m.GetSets())
	if len(m.GetExperts()) > 0 && (sets <= 0 || len(m.GetExperts())%sets != 0) {
		return o, fmt.Errorf("order has %d lists for %d sets: %w", len(m.GetExperts()), sets, core.ErrInvalid)
	}
	for i, list := range m.GetExperts() {
		if i%sets == 0 {
			o.Experts = append(o.Experts, nil)
		}
		o.Experts[i/sets] = append(o.Experts[i/sets], decodeExperts(list))
	}
	return o, nil
}

func decodeExperts(list *peerpb.ExpertList) []int {
	out := make([]int, 0, len(list.GetExperts()))
	for _, e := range list.GetExperts() {
		out = append(out, int(e))
	}
	return out
}

// serveOrder gives the own engine an order of the leader.
func (a *Agent) serveOrder(ctx context.Context, s *peer.Stream) {
	f, err := s.Receive()
	if err != nil || f.GetRankOrder() == nil {
		a.log.Warn("order cannot be read", zap.String("peer", s.Peer().GetId()), zap.Error(err))
		return
	}
	o, err := decodeOrder(f.GetRankOrder())
	if err != nil {
		a.log.Warn("order cannot be read", zap.String("peer", s.Peer().GetId()), zap.Error(err))
		return
	}
	res, err := a.orderEngine(ctx, a.cfg.EngineAddress, o, localOrderTimeout)
	if err != nil {
		a.log.Info("order without answer", zap.Int("kind", int(o.Kind)), zap.Int64("version", o.Version), zap.Error(err))
	}
	answer := &peerpb.RankOrderAnswer{Result: int32(res)}
	if err := s.Send(&peerpb.Frame{Body: &peerpb.Frame_RankOrderAnswer{RankOrderAnswer: answer}}); err != nil {
		a.log.Info("order answer was not sent", zap.String("peer", s.Peer().GetId()), zap.Error(err))
	}
}
