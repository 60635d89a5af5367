package peer

import (
	"io"
	"net"
	"testing"

	"google.golang.org/protobuf/encoding/protodelim"

	"nutmegnotch/io/peer/peerpb"
)

// FuzzReceive guards against frames of a broken peer that panic or are read
// beyond the bound of a frame.
func FuzzReceive(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x7f})
	f.Add([]byte{3, 10, 1, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		ours, theirs := net.Pipe()
		defer ours.Close()
		go func() {
			defer theirs.Close()
			_, _ = theirs.Write(data)
		}()
		s := newStream(ours, &peerpb.Hello{})
		for read := 0; ; {
			frame, err := s.Receive()
			if err != nil {
				return
			}
			if read += len(frame.ProtoReflect().GetUnknown()); read > len(data) {
				t.Fatalf("unknown fields: got %d bytes from %d bytes of input", read, len(data))
			}
			if _, err := protodelim.MarshalTo(io.Discard, frame); err != nil {
				t.Fatalf("encode a received frame: %v", err)
			}
		}
	})
}
