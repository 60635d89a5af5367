package stdout

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// blockingWriter blocks until release is closed. It closes blocked, if that is not
// nil, when the first write begins.
type blockingWriter struct {
	mu      sync.Mutex
	b       bytes.Buffer
	release chan struct{}
	blocked chan struct{}
	once    sync.Once
}

func (w *blockingWriter) Write(b []byte) (int, error) {
	if w.blocked != nil {
		w.once.Do(func() { close(w.blocked) })
	}
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.b.Write(b)
}

// Guards against logging calls that block when standard output blocks, and against
// dropped lines that are not reported.
func TestLoggingNeverBlocks(t *testing.T) {
	out := &blockingWriter{release: make(chan struct{}), blocked: make(chan struct{})}
	w := NewWriter(out)
	log := zap.New(newCore(w, zapcore.InfoLevel))
	log.Warn("first line")
	<-out.blocked
	begun := time.Now()
	const lines = maxBufferedLines + 500
	for range lines {
		log.Warn("request failed")
	}
	if took := time.Since(begun); took > 5*time.Second {
		t.Errorf("logging took %v while the output was blocked, want no wait", took)
	}
	close(out.release)
	w.Close()
	text := out.b.String()
	written := strings.Count(text, "request failed")
	if written != maxBufferedLines {
		t.Errorf("lines written: got %d, want %d", written, maxBufferedLines)
	}
	if want := fmt.Sprintf(`"msg":"log lines dropped","dropped":%d}`, lines-maxBufferedLines); strings.Count(text, want) != 1 {
		t.Errorf("dropped lines: got no line or several with %q, want one", want)
	}
}

// Guards against sampling that drops warnings, and against an unbounded number of
// lines of level info with the same message.
func TestOnlySuccessesAreSampled(t *testing.T) {
	out := &blockingWriter{release: make(chan struct{})}
	close(out.release)
	w := NewWriter(out)
	log := zap.New(newCore(w, zapcore.InfoLevel))
	const lines = 1000
	for range lines {
		log.Info("request served")
		log.Warn("request failed")
	}
	w.Close()
	if got := strings.Count(out.b.String(), "request failed"); got != lines {
		t.Errorf("lines of failures: got %d, want %d", got, lines)
	}
	if got := strings.Count(out.b.String(), "request served"); got < sampleFirst || got > lines/5 {
		t.Errorf("lines of successes: got %d, want %d to %d", got, sampleFirst, lines/5)
	}
}
