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

// Timeouts of orders. They are short, since an order without a response is retried.
const (
	// localOrderTimeout limits an order to the engine on the same host.
	localOrderTimeout = 60 * time.Millisecond
	// remoteOrderTimeout limits an order through another agent or to an engine on
	// another host.
	remoteOrderTimeout = 150 * time.Millisecond
	// localPrepareTimeout and remotePrepareTimeout are the same limits for orders
	// that carry a whole map.
	localPrepareTimeout  = 150 * time.Millisecond
	remotePrepareTimeout = 300 * time.Millisecond
)

// orderTimeout returns the limit of an order that the agent itself gives to an engine
// on its host, or through another host.
func orderTimeout(k core.OrderKind, local bool) time.Duration {
	switch {
	case k == core.OrderPrepare && local:
		return localPrepareTimeout
	case k == core.OrderPrepare:
		return remotePrepareTimeout
	case local:
		return localOrderTimeout
	}
	return remoteOrderTimeout
}

// sendOrder sends an order to the engine of a rank. It calls the engine directly if
// it is the local one or if there is no session with its agent, and goes through the
// agent otherwise.
func (a *Agent) sendOrder(ctx context.Context, order expertmap.AddressedOrder, local bool, session *peer.Session, engineAddress string) core.OrderResult {
	var res core.OrderResult
	var err error
	switch {
	case local:
		res, err = a.orderEngine(ctx, a.cfg.EngineAddress, order.Order, orderTimeout(order.Order.Kind, true))
	case session != nil:
		res, err = relayOrder(ctx, session, order)
	case engineAddress != "":
		res, err = a.orderEngine(ctx, engineAddress, order.Order, orderTimeout(order.Order.Kind, false))
	default:
		err = fmt.Errorf("rank %d has no known address: %w", order.Rank, core.ErrNotFound)
	}
	if err != nil {
		a.log.Info("order got no response", zap.Int("rank", order.Rank), zap.Int("kind", int(order.Order.Kind)),
			zap.Int64("version", order.Order.Version), zap.Int64("pass", order.Order.Pass), zap.Error(err))
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

// relayOrder sends an order through the agent at the other end of a session.
func relayOrder(ctx context.Context, s *peer.Session, order expertmap.AddressedOrder) (core.OrderResult, error) {
	o := order.Order
	st, err := s.Open(peerpb.StreamKind_STREAM_KIND_RANK_ORDER, "")
	if err != nil {
		return core.OrderUnknown, fmt.Errorf("relay order: %w", err)
	}
	defer st.Close()
	deadline := time.Now().Add(orderTimeout(o.Kind, false))
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if err := st.SetDeadline(deadline); err != nil {
		return core.OrderUnknown, fmt.Errorf("relay order: %w", err)
	}
	if err := st.Send(&peerpb.Frame{Body: &peerpb.Frame_RankOrder{RankOrder: encodeOrder(order)}}); err != nil {
		return core.OrderUnknown, fmt.Errorf("relay order: %w", err)
	}
	f, err := st.Receive()
	if err != nil {
		return core.OrderUnknown, fmt.Errorf("relay order: %w", err)
	}
	return core.OrderResult(f.GetRankOrderAnswer().GetResult()), nil
}

func encodeOrder(order expertmap.AddressedOrder) *peerpb.RankOrder {
	o := order.Order
	m := &peerpb.RankOrder{Kind: int32(o.Kind), Epoch: o.Epoch, Version: o.Version, Pass: o.Pass, Layout: order.Layout}
	if len(order.Layout) > 0 {
		return m
	}
	for _, rank := range o.Experts {
		m.Sets = int32(len(rank))
		for _, list := range rank {
			m.Experts = append(m.Experts, encodeExperts(list))
		}
	}
	return m
}

// decodeOrder is the inverse of encodeOrder.
func decodeOrder(m *peerpb.RankOrder) (core.RankOrder, error) {
	o := core.RankOrder{Kind: core.OrderKind(m.GetKind()), Epoch: m.GetEpoch(), Version: m.GetVersion(), Pass: m.GetPass()}
	if len(m.GetLayout()) > 0 {
		l, err := expertmap.DecodeLayout(m.GetLayout())
		if err != nil {
			return o, fmt.Errorf("decode order: %w", err)
		}
		o.Experts = l
		return o, nil
	}
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

// serveOrder handles an order of the leader by sending it to the local engine.
func (a *Agent) serveOrder(ctx context.Context, s *peer.Stream) {
	f, err := s.Receive()
	if err != nil || f.GetRankOrder() == nil {
		a.log.Warn("receiving an order failed", zap.String("peer", s.Peer().GetId()), zap.Error(err))
		return
	}
	o, err := decodeOrder(f.GetRankOrder())
	if err != nil {
		a.log.Warn("invalid order", zap.String("peer", s.Peer().GetId()), zap.Error(err))
		return
	}
	res, err := a.orderEngine(ctx, a.cfg.EngineAddress, o, orderTimeout(o.Kind, true))
	if err != nil {
		a.log.Info("order got no response", zap.Int("kind", int(o.Kind)), zap.Int64("version", o.Version), zap.Error(err))
	}
	answer := &peerpb.RankOrderAnswer{Result: int32(res)}
	if err := s.Send(&peerpb.Frame{Body: &peerpb.Frame_RankOrderAnswer{RankOrderAnswer: answer}}); err != nil {
		a.log.Info("sending the result of an order failed", zap.String("peer", s.Peer().GetId()), zap.Error(err))
	}
}
