package backend_test

import (
	"context"
	"net"
	"testing"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/emulator/loopback"
	"nutmegnotch/io/backend"
)

// Guards against servers that are taken for ended although they run, or the reverse.
func TestProbe(t *testing.T) {
	c := newClient()
	defer c.Close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	free, err := loopback.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	cases := []struct {
		name    string
		ctx     context.Context
		address string
		want    backend.Liveness
	}{
		{"listening", context.Background(), l.Addr().String(), backend.LivenessAccepts},
		{"no listener", context.Background(), free, backend.LivenessRefuses},
		{"no answer in time", ended, l.Addr().String(), backend.LivenessUnknown},
	}
	for _, x := range cases {
		ctx, cancel := context.WithTimeout(x.ctx, 5*time.Second)
		if got := c.Probe(ctx, core.BackendServer{ID: "s", Address: x.address}); got != x.want {
			t.Errorf("%s: got %v, want %v", x.name, got, x.want)
		}
		cancel()
	}
}
