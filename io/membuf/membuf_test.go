package membuf

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/iotest"
)

// Guards against bodies that are changed, cut short or held in more memory than is reserved
// for them.
func TestBodyBuffer(t *testing.T) {
	t.Parallel()
	const maxBytes = 100_000
	for _, size := range []int{1, firstChunkBytes - 1, firstChunkBytes, firstChunkBytes + 1, 2 * firstChunkBytes, maxBytes - 1, maxBytes, maxBytes + 1} {
		body := bytes.Repeat([]byte("0123456789"), size/10+1)[:size]
		for _, length := range []int64{-1, int64(size)} {
			for name, r := range map[string]io.Reader{"whole": bytes.NewReader(body), "halves": iotest.HalfReader(bytes.NewReader(body)), "end with data": iotest.DataErrReader(bytes.NewReader(body))} {
				m := NewBudget(10 * maxBytes)
				b := NewBuffer(m, 0)
				err := b.Read(http.MaxBytesReader(httptest.NewRecorder(), io.NopCloser(r), maxBytes), length, maxBytes)
				var large *http.MaxBytesError
				if got, want := errors.As(err, &large), size > maxBytes; got != want {
					t.Errorf("%d bytes, length %d, %s: got error %v, want it to be too large: %t", size, length, name, err, want)
				}
				if err == nil && !bytes.Equal(b.Data, body) {
					t.Errorf("%d bytes, length %d, %s: got another body of %d bytes", size, length, name, len(b.Data))
				}
				if held := m.Held(); held < int64(cap(b.Data)) || held > max(firstChunkBytes, 2*int64(size)) {
					t.Errorf("%d bytes, length %d, %s: got %d reserved for a buffer of %d", size, length, name, held, cap(b.Data))
				}
				if b.Free(); m.Held() != 0 {
					t.Errorf("%d bytes, length %d, %s: got %d reserved after the end, want 0", size, length, name, m.Held())
				}
			}
		}
	}
}

// Guards against a body that is cut short and taken for a whole one.
func TestBodyBufferCutShort(t *testing.T) {
	t.Parallel()
	b := NewBuffer(NewBudget(100), 0)
	if err := b.Read(bytes.NewReader([]byte("half")), 8, 100); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("error: got %v, want %v", err, io.ErrUnexpectedEOF)
	}
}

// Guards against bodies that are read at the same moment and together exceed the memory.
func TestBodyMemoryIsNeverExceeded(t *testing.T) {
	t.Parallel()
	const (
		limit    = 200_000
		readers  = 32
		maxBytes = 60_000
		rounds   = 50
	)
	m := NewBudget(limit)
	var mu sync.Mutex
	var inUse, most, read, refused int64
	var wg sync.WaitGroup
	for i := range readers {
		wg.Go(func() {
			for range rounds {
				body := make([]byte, 1+(i*7919)%maxBytes)
				length := int64(len(body))
				if i%2 == 0 {
					length = -1
				}
				b := NewBuffer(m, 0)
				err := b.Read(iotest.HalfReader(bytes.NewReader(body)), length, maxBytes)
				mu.Lock()
				switch {
				case err == nil:
					read++
				case errors.Is(err, ErrNoMemory):
					refused++
				default:
					t.Errorf("read: %v", err)
				}
				n := int64(cap(b.Data))
				inUse += n
				most = max(most, inUse, m.Held())
				mu.Unlock()
				mu.Lock()
				inUse -= n
				mu.Unlock()
				b.Free()
			}
		})
	}
	wg.Wait()
	if most > limit || m.Held() != 0 {
		t.Errorf("memory: got %d at most and %d at the end, want at most %d and 0", most, m.Held(), limit)
	}
	if read == 0 || refused == 0 {
		t.Errorf("bodies: got %d read and %d refused, want both", read, refused)
	}
}
