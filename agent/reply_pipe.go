package agent

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/core/eventstream"
)

// readChunkBytes is the size of one read from the backend server.
const readChunkBytes = 4 << 10

// slowReaderThreshold is the longest wait for the caller after which the times
// of a run are still used to judge the backend server.
const slowReaderThreshold = 5 * time.Millisecond

// doneEvent is the last event of a streamed model reply.
const doneEvent = "data: [DONE]"

var errTruncated = errors.New("reply ended before its last event")

var errTooLarge = errors.New("reply exceeds max_reply_bytes")

// replyPipe reads a reply from the backend server and passes it on in chunks.
type replyPipe struct {
	body      io.Reader
	chunks    chan []byte
	countdown *runCountdown
	start     time.Time
	maxBytes  int64
	// eventStream is set for a stream of events, and needsDone if its last one must be
	// doneEvent.
	eventStream, needsDone bool
	position               eventstream.Position
	// unverified reports that the reply ended with its connection and that nothing in it
	// shows that it is whole.
	unverified bool
	totalBytes int64
	tokens     int64
	firstByte  time.Duration
	lastByte   time.Duration
	// readerStalled reports that a slow caller delayed the run, so that its
	// times must not be attributed to the backend server.
	readerStalled bool
	tail          []byte
	err           error
	// broken reports that the reply failed although the run was not cancelled.
	broken bool
}

// closeDelimited reports whether a reply has neither a length nor chunks, so that its
// end looks like that of a broken connection.
func closeDelimited(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
}

func newReplyPipe(resp *http.Response, start time.Time, countdown *runCountdown, service core.Service) *replyPipe {
	eventStream := eventstream.IsContentType(resp.Header.Get("Content-Type"))
	needsDone := eventStream && service.Kind == core.ServiceModel
	return &replyPipe{
		body:        resp.Body,
		chunks:      make(chan []byte, 1),
		countdown:   countdown,
		start:       start,
		maxBytes:    service.MaxReplyBytes,
		eventStream: eventStream,
		needsDone:   needsDone,
		unverified:  !needsDone && closeDelimited(resp),
	}
}

// read reads until the end of the reply. It sets err and then closes chunks.
func (p *replyPipe) read(ctx context.Context) {
	defer close(p.chunks)
	for {
		buf := make([]byte, readChunkBytes)
		n, err := p.body.Read(buf)
		if n > 0 {
			p.record(buf[:n])
			if p.maxBytes > 0 && p.totalBytes > p.maxBytes {
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

func (p *replyPipe) end(ctx context.Context, err error) {
	switch {
	case !errors.Is(err, io.EOF):
		p.err = err
	case p.needsDone && !bytes.Contains(p.tail, []byte(doneEvent)),
		p.eventStream && !p.needsDone && p.position.InsideEvent():
		p.err = errTruncated
	}
	p.broken = p.err != nil && ctx.Err() == nil
}

// record updates times and byte counts. In an event stream it also counts events,
// each of which is a token, and keeps the last bytes to detect doneEvent.
func (p *replyPipe) record(data []byte) {
	p.lastByte = time.Since(p.start)
	if p.totalBytes == 0 {
		p.firstByte = p.lastByte
	}
	p.totalBytes += int64(len(data))
	if !p.eventStream {
		return
	}
	p.position = p.position.Read(data)
	joined := append(p.tail, data...)
	p.tokens += int64(bytes.Count(joined, []byte("\n\n")) - bytes.Count(p.tail, []byte("\n\n")))
	keep := min(len(joined), len(doneEvent)+4)
	p.tail = bytes.Clone(joined[len(joined)-keep:])
}

// push passes a chunk on. The countdown is paused while the buffer is full.
func (p *replyPipe) push(ctx context.Context, data []byte) bool {
	select {
	case p.chunks <- data:
		return true
	default:
	}
	p.countdown.pause()
	defer p.countdown.resume()
	start := time.Now()
	select {
	case p.chunks <- data:
		p.readerStalled = p.readerStalled || time.Since(start) > slowReaderThreshold
		return true
	case <-ctx.Done():
		return false
	}
}

// outcome returns what the admitter may learn from the run.
func (p *replyPipe) outcome(status int, kind core.ServiceKind) core.Outcome {
	o := core.Outcome{Succeeded: p.err == nil && status < http.StatusInternalServerError}
	switch {
	case p.readerStalled || (kind == core.ServiceModel && p.tokens <= 1):
		// A single token allows no estimate of the generation rate.
		o.OutputTokens = 1
	case kind == core.ServiceModel:
		// The last event is doneEvent, not a token.
		o.OutputTokens, o.FirstToken, o.Elapsed = p.tokens-1, p.firstByte, p.lastByte
	default:
		o.FirstToken, o.Elapsed = p.firstByte, p.lastByte
	}
	return o
}

// bufferChunks buffers up to maxBytes, and at most two chunks more, between in
// and the returned channel. The returned channel is closed when in is closed and
// the buffered data has been received, or when stop is closed.
func bufferChunks(in <-chan []byte, maxBytes int, stop <-chan struct{}) <-chan []byte {
	out := make(chan []byte)
	go func() {
		defer close(out)
		var held []byte
		for in != nil || len(held) > 0 {
			from, to := in, out
			if len(held) >= maxBytes {
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
