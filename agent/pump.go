package agent

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"nutmegnotch/core"
)

// chunkBytes is the size of one read from the backend server.
const chunkBytes = 4 << 10

// stallTime is the wait for a slow reader from which a run's times are ignored.
const stallTime = 5 * time.Millisecond

// doneEvent ends a streamed model reply.
const doneEvent = "data: [DONE]"

var errCut = errors.New("reply ended before its last event")

var errTooLarge = errors.New("reply exceeds max_reply_bytes")

// pump reads a reply.
type pump struct {
	body   io.Reader
	chunks chan []byte
	clock  *runClock
	start  time.Time
	limit  int64
	events bool
	total  int64
	tokens int64
	first  time.Duration
	last   time.Duration
	// stalled reports that a slow reader held the run up, so that its times
	// tell nothing of the backend server.
	stalled bool
	tail    []byte
	err     error
	// broken reports that the connection to the backend server broke by itself.
	broken bool
}

func newPump(resp *http.Response, start time.Time, clock *runClock, limit int64) *pump {
	return &pump{
		body:   resp.Body,
		chunks: make(chan []byte, 1),
		clock:  clock,
		start:  start,
		limit:  limit,
		events: strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream"),
	}
}

// read reads until the end of the reply and closes chunks. err is set before.
func (p *pump) read(ctx context.Context) {
	defer close(p.chunks)
	for {
		buf := make([]byte, chunkBytes)
		n, err := p.body.Read(buf)
		if n > 0 {
			p.note(buf[:n])
			if p.limit > 0 && p.total > p.limit {
				p.err = errTooLarge
				return
			}
			if !p.push(ctx, buf[:n]) {
				p.err = ctx.Err()
				return
			}
		}
		if err != nil {
			p.end(ctx, err)
			return
		}
	}
}

func (p *pump) end(ctx context.Context, err error) {
	if !errors.Is(err, io.EOF) {
		p.err = err
	} else if p.events && !bytes.Contains(p.tail, []byte(doneEvent)) {
		p.err = errCut
	}
	p.broken = p.err != nil && ctx.Err() == nil
}

// note counts events, which are tokens, and keeps the end of the reply.
func (p *pump) note(data []byte) {
	p.last = time.Since(p.start)
	if p.total == 0 {
		p.first = p.last
	}
	p.total += int64(len(data))
	if !p.events {
		return
	}
	joined := append(p.tail, data...)
	p.tokens += int64(bytes.Count(joined, []byte("\n\n")) - bytes.Count(p.tail, []byte("\n\n")))
	keep := min(len(joined), len(doneEvent)+4)
	p.tail = bytes.Clone(joined[len(joined)-keep:])
}

// push hands a chunk on. The clock stands while the buffer is full.
func (p *pump) push(ctx context.Context, data []byte) bool {
	select {
	case p.chunks <- data:
		return true
	default:
	}
	p.clock.pause()
	defer p.clock.resume()
	start := time.Now()
	select {
	case p.chunks <- data:
		p.stalled = p.stalled || time.Since(start) > stallTime
		return true
	case <-ctx.Done():
		return false
	}
}

// outcome tells the admission what to learn from the run.
func (p *pump) outcome(status int, kind core.ServiceKind) core.Outcome {
	o := core.Outcome{Good: p.err == nil && status < http.StatusInternalServerError}
	switch {
	case p.stalled || (kind == core.ServiceModel && p.tokens <= 1):
		// A single token carries no time that could be judged.
		o.OutputTokens = 1
	case kind == core.ServiceModel:
		// The last event is the end mark.
		o.OutputTokens, o.FirstToken, o.Elapsed = p.tokens-1, p.first, p.last
	default:
		o.FirstToken, o.Elapsed = p.first, p.last
	}
	return o
}

// buffer holds up to limit bytes, and at most two chunks more, between a reply
// and its reader. The returned channel is closed after in is closed and the rest
// has been taken, or after stop is closed.
func buffer(in <-chan []byte, limit int, stop <-chan struct{}) <-chan []byte {
	out := make(chan []byte)
	go func() {
		defer close(out)
		var held []byte
		for in != nil || len(held) > 0 {
			from, to := in, out
			if len(held) >= limit {
				from = nil
			}
			if len(held) == 0 {
				to = nil
			}
			select {
			case data, ok := <-from:
				if !ok {
					in = nil
					continue
				}
				held = append(held, data...)
			case to <- held:
				held = nil
			case <-stop:
				return
			}
		}
	}()
	return out
}
