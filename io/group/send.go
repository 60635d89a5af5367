package group

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"nutmegnotch/io/peer"
	"nutmegnotch/io/peer/peerpb"
)

// senders send the messages of one leadership. Each rank has its own goroutine.
type senders struct {
	queues []chan *peerpb.Frame
	cancel context.CancelFunc
	wg     conc.WaitGroup
}

func (s *senders) wait() { s.wg.Wait() }

// send queues a frame for a rank. It drops the frame when the queue is full.
func (s *senders) send(rank int, f *peerpb.Frame) {
	select {
	case s.queues[rank] <- f:
	default:
	}
}

func (g *Group) startSenders(ctx context.Context, fence int64) *senders {
	ctx, cancel := context.WithCancel(ctx)
	s := &senders{cancel: cancel}
	for rank := range g.cfg.RankIDs {
		q := make(chan *peerpb.Frame, senderQueueLen)
		s.queues = append(s.queues, q)
		x := &sender{g: g, rank: rank, fence: fence}
		s.wg.Go(func() { x.run(ctx, q) })
	}
	return s
}

// sender sends frames to one rank, one at a time, and passes the answers to the
// leader task.
type sender struct {
	g      *Group
	rank   int
	fence  int64
	stream *peer.Stream
}

func (x *sender) run(ctx context.Context, q <-chan *peerpb.Frame) {
	defer x.closeStream()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-q:
			reply := x.call(ctx, f)
			if reply == nil {
				continue
			}
			a := answer{rank: x.rank, fence: x.fence, frame: reply, sentBytes: frameBytes(f), receivedBytes: frameBytes(reply)}
			select {
			case x.g.answers <- a:
			case <-ctx.Done():
				return
			}
		}
	}
}

// frameBytes returns the size of a frame on its stream, with the length prefix.
func frameBytes(f *peerpb.Frame) int {
	n := proto.Size(f)
	return n + protowire.SizeVarint(uint64(n))
}

// call sends a frame and returns the answer of the rank, or nil when there is
// none.
func (x *sender) call(ctx context.Context, f *peerpb.Frame) *peerpb.Frame {
	if x.rank == x.g.cfg.Rank {
		return x.g.callRank(ctx, f)
	}
	reply, err := x.exchange(ctx, f)
	if err != nil {
		x.g.cfg.Logger.Debug("message to rank failed", zap.Int("to", x.rank), zap.Error(err))
		if x.stream != nil && ctx.Err() == nil {
			// Agents send keepalives so rarely that a broken session would be detected
			// late.
			x.stream.CheckSession()
		}
		x.closeStream()
		return nil
	}
	return reply
}

// exchange sends a frame over the stream to the rank, which it opens if there is
// none, and receives the answer.
func (x *sender) exchange(ctx context.Context, f *peerpb.Frame) (*peerpb.Frame, error) {
	if x.stream == nil {
		s, err := x.g.cfg.Peers.Open(x.g.cfg.RankIDs[x.rank], peerpb.StreamKind_STREAM_KIND_GROUP, "")
		if err != nil {
			return nil, err
		}
		x.stream = s
	}
	s := x.stream
	if err := s.SetDeadline(time.Now().Add(answerTimeout)); err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = s.SetDeadline(time.Now()) })
	defer stop()
	if err := s.Send(f); err != nil {
		return nil, err
	}
	return s.Receive()
}

func (x *sender) closeStream() {
	if x.stream != nil {
		x.stream.Close()
		x.stream = nil
	}
}
