package group

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"nutmegnotch/core"
	"nutmegnotch/core/expertmap"
)

// maxReadRecords is the maximum number of records of one read.
const maxReadRecords = 1000

// leadersView is the state of the leaders stream as far as it has been read.
// atEnd reports whether it was read to its end.
type leadersView struct {
	leaders expertmap.Leaders
	atEnd   bool
}

// followLeaders reads the leaders stream and passes its state to the leader task.
// Once it has read to the end, it passes the initial fence to the rank task.
func (g *Group) followLeaders(ctx context.Context) {
	var view leadersView
	initialFenceSent := false
	for ctx.Err() == nil {
		next, first, err := g.readLeaders(ctx, view.leaders, readWaitTimeout)
		if err != nil {
			g.cfg.Logger.Debug("reading the leaders stream failed", zap.Error(err))
			sleep(ctx, readRetryDelay)
			continue
		}
		view = next
		select {
		case g.leadersViews <- view:
		case <-ctx.Done():
			return
		}
		if !view.atEnd || initialFenceSent {
			continue
		}
		select {
		case g.initialFences <- highestPossibleFence(view, g.cfg.Group, first):
			initialFenceSent = true
		case <-ctx.Done():
		}
	}
}

// highestPossibleFence returns the highest fence that a leader of the group may
// have. Records below first have expired and may have named a leader too.
func highestPossibleFence(view leadersView, group string, first int64) int64 {
	highest := first - 1
	if l, ok := view.leaders.Of(group); ok {
		highest = max(highest, l.Fence)
	}
	return highest
}

// readLeaders reads and applies the next records. It also returns the first offset
// that the log still retains.
func (g *Group) readLeaders(ctx context.Context, s expertmap.Leaders, wait time.Duration) (leadersView, int64, error) {
	b, err := g.cfg.Log.Read(ctx, core.StreamLeaders, s.NextOffset(), maxReadRecords, wait)
	if errors.Is(err, core.ErrExpired) {
		return leadersView{leaders: s.Skip(b.FirstOffset), atEnd: false}, b.FirstOffset, nil
	}
	if err != nil {
		return leadersView{leaders: s}, 0, err
	}
	next, invalid := s.With(b.Records)
	if invalid != nil {
		g.cfg.Logger.Warn("skipped an invalid leaders record", zap.Error(invalid))
	}
	return leadersView{leaders: next, atEnd: next.NextOffset() >= b.NextOffset}, b.FirstOffset, nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
