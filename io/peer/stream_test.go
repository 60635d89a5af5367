package peer_test

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"testing"

	"nutmegnotch/io/peer"
	"nutmegnotch/io/peer/peerpb"
)

func echo(_ context.Context, s *peer.Stream) {
	for {
		f, err := s.Receive()
		if err != nil || s.Send(f) != nil {
			return
		}
	}
}

// Guards against interleaved headers and bodies of yamux frames when many streams
// of a session send messages of different sizes concurrently.
func TestManyStreamsAndSizes(t *testing.T) {
	client, _ := startPair(t, peer.Config{Handlers: map[peerpb.StreamKind]peer.Handler{peerpb.StreamKind_STREAM_KIND_REQUEST: echo}})
	var wg sync.WaitGroup
	for i := range 16 {
		s, err := client.Open("server", peerpb.StreamKind_STREAM_KIND_REQUEST, fmt.Sprint(i))
		if err != nil {
			t.Fatal(err)
		}
		defer s.Close()
		wg.Add(1)
		go func() {
			defer wg.Done()
			for _, size := range []int{0, 1, 10, 12, 100, 4 << 10, 70 << 10, 1000 << 10, 3} {
				want := bytes.Repeat([]byte{byte(i)}, size)
				if err := s.Send(&peerpb.Frame{Body: &peerpb.Frame_ReplyChunk{ReplyChunk: &peerpb.ReplyChunk{Data: want}}}); err != nil {
					t.Error(err)
					return
				}
				f, err := s.Receive()
				if got := f.GetReplyChunk().GetData(); err != nil || !bytes.Equal(got, want) {
					t.Errorf("stream %d: got %d bytes (%v), want %d", i, len(got), err, size)
					return
				}
			}
		}()
	}
	wg.Wait()
}

// BenchmarkEcho measures the round trip of a message over loopback.
func BenchmarkEcho(b *testing.B) {
	client, _ := startPair(b, peer.Config{Handlers: map[peerpb.StreamKind]peer.Handler{peerpb.StreamKind_STREAM_KIND_REQUEST: echo}})
	for _, size := range []int{40, 400, 4000} {
		b.Run(fmt.Sprintf("bytes=%d", size), func(b *testing.B) {
			s, err := client.Open("server", peerpb.StreamKind_STREAM_KIND_REQUEST, "r")
			if err != nil {
				b.Fatal(err)
			}
			defer s.Close()
			f := &peerpb.Frame{Body: &peerpb.Frame_ReplyChunk{ReplyChunk: &peerpb.ReplyChunk{Data: make([]byte, size)}}}
			for b.Loop() {
				if err := s.Send(f); err != nil {
					b.Fatal(err)
				}
				if _, err := s.Receive(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
