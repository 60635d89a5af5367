package peer_test

import (
	"context"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"

	"nutmegnotch/io/peer"
	"nutmegnotch/io/peer/peerpb"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startPair starts two nodes and waits until they have a session.
func startPair(t testing.TB, server peer.Config) (client, srv *peer.Node) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server.Self = &peerpb.Hello{Id: "server", Role: "agent"}
	srv = peer.New(server)
	served := make(chan struct{})
	go func() { defer close(served); _ = srv.Serve(l) }()
	up := make(chan struct{}, 8)
	client = peer.New(peer.Config{
		Self:        &peerpb.Hello{Id: "client", Role: "entry"},
		OnSessionUp: func(*peer.Session) { up <- struct{}{} },
	})
	client.KeepConnected(l.Addr().String())
	t.Cleanup(func() { client.Stop(); srv.Stop(); <-served })
	select {
	case <-up:
	case <-time.After(5 * time.Second):
		t.Fatal("no session after 5 s")
	}
	return client, srv
}

// Guards against frames that are delivered on a stream other than the one they
// were sent on.
func TestStreamsEcho(t *testing.T) {
	echo := func(_ context.Context, s *peer.Stream) {
		for {
			f, err := s.Receive()
			if err != nil {
				return
			}
			if err := s.Send(f); err != nil {
				return
			}
		}
	}
	client, _ := startPair(t, peer.Config{Handlers: map[peerpb.StreamKind]peer.Handler{
		peerpb.StreamKind_STREAM_KIND_REQUEST: echo,
	}})
	for _, id := range []string{"a", "b", "c"} {
		s, err := client.Open("server", peerpb.StreamKind_STREAM_KIND_REQUEST, id)
		if err != nil {
			t.Fatal(err)
		}
		defer s.Close()
		want := id
		if err := s.Send(&peerpb.Frame{Body: &peerpb.Frame_ReplyChunk{ReplyChunk: &peerpb.ReplyChunk{RequestId: id}}}); err != nil {
			t.Fatal(err)
		}
		f, err := s.Receive()
		if err != nil {
			t.Fatal(err)
		}
		if got := f.GetReplyChunk().GetRequestId(); got != want {
			t.Errorf("echoed id: got %q, want %q", got, want)
		}
	}
}

// Guards against control frames that are lost between two connected peers.
func TestControlFrame(t *testing.T) {
	got := make(chan int64, 1)
	client, _ := startPair(t, peer.Config{OnControl: func(_ *peer.Session, f *peerpb.Frame) {
		got <- f.GetPosition().GetNextOffset()
	}})
	client.Broadcast("agent", &peerpb.Frame{Body: &peerpb.Frame_Position{Position: &peerpb.Position{NextOffset: 7}}})
	select {
	case n := <-got:
		if want := int64(7); n != want {
			t.Errorf("offset: got %d, want %d", n, want)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("control frame did not arrive")
	}
}

// Guards against records of another deployment that are applied here. A host of
// another deployment can be assigned an address that one of this deployment had.
func TestOtherDeploymentIsRefused(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	up := make(chan struct{}, 8)
	start := func(id, deployment string) *peer.Node {
		return peer.New(peer.Config{
			Self:        &peerpb.Hello{Id: id, Role: "entry", Deployment: deployment},
			OnSessionUp: func(*peer.Session) { up <- struct{}{} },
		})
	}
	srv, own, other := start("server", "a"), start("own", "a"), start("other", "b")
	served := make(chan struct{})
	go func() { defer close(served); _ = srv.Serve(l) }()
	defer func() { own.Stop(); other.Stop(); srv.Stop(); <-served }()
	other.KeepConnected(l.Addr().String())
	own.KeepConnected(l.Addr().String())
	for range 2 {
		select {
		case <-up:
		case <-time.After(5 * time.Second):
			t.Fatal("no session within the deployment after 5 s")
		}
	}
	if got := srv.Session("other"); got != nil {
		t.Errorf("session with another deployment: got %v, want none", got.Hello)
	}
}
