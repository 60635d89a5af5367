// Package stdout writes JSON log lines to standard output without blocking the
// caller. Lines that do not fit into a bounded buffer are dropped and counted.
package stdout

import (
	"expvar"
	"fmt"
	"io"
	"os"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Limits of the buffer and of sampling.
const (
	maxBufferedLines = 4096
	// Of the lines with the same level and message, the first sampleFirst of each
	// sampleInterval are written, then one of every sampleThereafter. Lines of level
	// warn and above are not sampled.
	sampleInterval   = time.Second
	sampleFirst      = 10
	sampleThereafter = 50
)

var (
	droppedLines = expvar.NewInt("log_lines_dropped")
	sampledLines = expvar.NewInt("log_lines_sampled")
)

// Writer is a zapcore.WriteSyncer with a bounded buffer. A single task writes to the
// output.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	done    chan struct{}
	closing chan struct{}
	dropped atomic.Int64
}

// NewWriter starts the task that writes to out.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, maxBufferedLines), done: make(chan struct{}), closing: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a copy of a line. If the buffer is full, it drops and counts the line
// and returns no error.
func (w *Writer) Write(b []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), b...):
	default:
		w.dropped.Add(1)
		droppedLines.Add(1)
	}
	return len(b), nil
}

// Sync implements zapcore.WriteSyncer. It does nothing and does not wait for queued
// lines.
func (w *Writer) Sync() error { return nil }

// Close writes the queued lines and ends the task. It must be called only once.
func (w *Writer) Close() {
	close(w.closing)
	<-w.done
}

// Done returns a channel that is closed when the task has ended.
func (w *Writer) Done() <-chan struct{} { return w.done }

func (w *Writer) run() {
	defer close(w.done)
	for {
		select {
		case b := <-w.lines:
			w.write(b)
		case <-w.closing:
			for {
				select {
				case b := <-w.lines:
					w.write(b)
				default:
					return
				}
			}
		}
	}
}

// write writes a line together with all queued lines in one call. If lines were
// dropped, it adds a line with their number.
func (w *Writer) write(b []byte) {
	for n := len(w.lines); n > 0; n-- {
		b = append(b, <-w.lines...)
	}
	if n := w.dropped.Swap(0); n > 0 {
		b = fmt.Appendf(b, "{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"dropped\":%d}\n", n)
	}
	// The error is ignored, since it cannot be logged when standard output fails.
	_, _ = w.out.Write(b)
}

// New returns a logger that writes JSON lines to standard output, and its writer.
func New(level string) (*zap.Logger, *Writer, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, nil, fmt.Errorf("parse log level: %w", err)
	}
	w := NewWriter(os.Stdout)
	return zap.New(newCore(w, l)), w, nil
}

// newCore returns a core that samples lines below level warn by their message and
// writes all others.
func newCore(w zapcore.WriteSyncer, l zapcore.Level) zapcore.Core {
	cfg := zap.NewProductionEncoderConfig()
	cfg.TimeKey = "time"
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	enc := zapcore.NewJSONEncoder(cfg)
	low := zap.LevelEnablerFunc(func(x zapcore.Level) bool { return x >= l && x < zapcore.WarnLevel })
	high := zap.LevelEnablerFunc(func(x zapcore.Level) bool { return x >= l && x >= zapcore.WarnLevel })
	count := zapcore.SamplerHook(func(_ zapcore.Entry, d zapcore.SamplingDecision) {
		if d&zapcore.LogDropped != 0 {
			sampledLines.Add(1)
		}
	})
	return zapcore.NewTee(
		zapcore.NewSamplerWithOptions(zapcore.NewCore(enc, w, low), sampleInterval, sampleFirst, sampleThereafter, count),
		zapcore.NewCore(enc, w, high),
	)
}
