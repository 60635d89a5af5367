package group

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"nutmegnotch/core"
	"nutmegnotch/core/expertmap"
)

// readLimit is the number of records of one read.
const readLimit = 1000

// fold is the leaders stream as far as it has been read.
type fold struct {
	leaders expertmap.Leaders
	atEnd   bool
}

// follow reads the leaders stream and passes the fold to the other tasks.
func (g *Group) follow(ctx context.Context) {
	var f fold
	told := false
	for ctx.Err() == nil {
		next, first, err := g.read(ctx, f.leaders, readWait)
		if err != nil {
			g.cfg.Logger.Debug("read leaders stream failed", zap.Error(err))
			sleep(ctx, readRetryDelay)
			continue
		}
		f = next
		select {
		case g.folds <- f:
		case <-ctx.Done():
			return
		}
		if !f.atEnd || told {
			continue
		}
		select {
		case g.floors <- floor(f, g.cfg.Group, first):
			told = true
		case <-ctx.Done():
		}
	}
}

// floor is the highest fence that a leader of the group can have had. Records
// that have expired may have named one too.
func floor(f fold, group string, first int64) int64 {
	highest := first - 1
	if l, ok := f.leaders.Of(group); ok {
		highest = max(highest, l.Fence)
	}
	return highest
}

// read folds the next records and returns the first offset still retained.
func (g *Group) read(ctx context.Context, s expertmap.Leaders, wait time.Duration) (fold, int64, error) {
	b, err := g.cfg.Log.Read(ctx, core.StreamLeaders, s.NextOffset(), readLimit, wait)
	if errors.Is(err, core.ErrExpired) {
		return fold{leaders: s.Skip(b.FirstOffset), atEnd: false}, b.FirstOffset, nil
	}
	if err != nil {
		return fold{leaders: s}, 0, err
	}
	next, bad := s.With(b.Records)
	if bad != nil {
		g.cfg.Logger.Warn("passed over a leaders record", zap.Error(bad))
	}
	return fold{leaders: next, atEnd: next.NextOffset() >= b.NextOffset}, b.FirstOffset, nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
