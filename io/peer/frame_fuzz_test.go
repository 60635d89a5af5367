package peer

import (
	"io"
	"net"
	"testing"

	"google.golang.org/protobuf/encoding/protodelim"

	"nutmegnotch/io/peer/peerpb"
)

// Guards against malformed frames of a peer that make Receive panic or read past
// the end of a frame.
func FuzzReceive(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x7f})
	f.Add([]byte{3, 10, 1, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		local, remote := net.Pipe()
		defer local.Close()
		go func() {
			defer remote.Close()
			_, _ = remote.Write(data)
		}()
		s := newStream(local, &peerpb.Hello{})
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
