package gateway_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/emulator/runner"
	"nutmegnotch/io/peer"
	"nutmegnotch/io/peer/peerpb"
	"nutmegnotch/platform"
)

// faultyDecoder panics at the records of one key.
type faultyDecoder struct {
	platform.RecordDecoder
	key string
}

func (d faultyDecoder) Decode(t core.Topic, r core.KeyedRecord) (core.DecodedRecord, error) {
	if r.Key == d.key {
		panic("fault in the decoder")
	}
	return d.RecordDecoder.Decode(t, r)
}

// Guards against an unexpected error in the handling of one record or frame that ends
// the gateway, or its sessions with other peers.
func TestGatewayOutlivesAPanic(t *testing.T) {
	d := newDeployment(t)
	d.decoder = faultyDecoder{key: "bad"}
	d.addRunner(runner.Config{ID: "d1", Body: "ok"}, "desk")
	d.publish()
	p := d.startReady()
	other := d.startReady()
	eventually(t, "gateways are connected", d.connected)
	served := func() bool { return send(newRequest(p, "GET", "/lookup/x", "key-a", "")).status == http.StatusOK }
	eventually(t, "requests are served", served)

	up, down := make(chan *peer.Session, 4), make(chan *peer.Session, 4)
	evil := peer.New(peer.Config{
		Self:          &peerpb.Hello{Id: "evil", Role: core.RoleGateway, Deployment: "test"},
		OnSessionUp:   func(s *peer.Session) { up <- s },
		OnSessionDown: func(s *peer.Session) { down <- s },
	})
	defer evil.Stop()
	evil.KeepConnected(p.peer)
	s := <-up
	s.SendControl(&peerpb.Frame{Body: &peerpb.Frame_DirectoryRecords{DirectoryRecords: &peerpb.DirectoryRecords{
		Topic: int32(core.TopicServers), NextOffset: 1000, Era: 1, Records: []*peerpb.KeyedRecord{{Key: "bad", Value: []byte("x"), Offset: 999}},
	}}})
	if got := <-down; got != s {
		t.Errorf("session that ended: got %v, want that with the bad frame", got.Hello)
	}
	if !served() {
		t.Error("request after a frame whose handling failed: got it not served")
	}
	if got := p.logs.FilterMessage("handling a frame of a peer failed; closing the session").Len(); got != 1 {
		t.Errorf("log lines of the frame: got %d, want 1", got)
	}

	d.store.PutJSON("keyed.servers", "bad", map[string]any{})
	eventually(t, "the bad record is logged", func() bool {
		return other.logs.FilterMessage("applying records of the store failed").Len() > 0
	})
	d.announce("d1", "desk", "draining")
	eventually(t, "records after the bad one are applied", func() bool { return !served() })
	d.addRunner(runner.Config{ID: "d2", Body: "ok"}, "desk")
	eventually(t, "requests are served again", served)
}

// faultyHeaders panics at the requests with one id.
type faultyHeaders struct {
	platform.Headers
	id string
}

func (h faultyHeaders) Backend(in http.Header, f core.BackendFields) http.Header {
	if in.Get("Nutmegnotch-Request-Id") == h.id {
		panic("fault in the headers")
	}
	return h.Headers.Backend(in, f)
}

// faultyStore panics once at a read of each topic.
type faultyStore struct {
	core.KeyedStore
	read map[core.Topic]*atomic.Bool
}

func (s faultyStore) Read(ctx context.Context, t core.Topic, from core.Position, wait time.Duration) (core.KeyedBatch, error) {
	if r := s.read[t]; r != nil && !r.Swap(true) {
		panic("fault in the store's client")
	}
	return s.KeyedStore.Read(ctx, t, from, wait)
}

// Guards against an unexpected error in a request's handler that costs more than that
// request, and against one in a loop that ends it while the gateway lives on.
func TestGatewayOutlivesPanicsOfItsOwn(t *testing.T) {
	d := newDeployment(t)
	d.headers = faultyHeaders{id: "bad-request"}
	read := map[core.Topic]*atomic.Bool{core.TopicOperator: {}, core.TopicServers: {}, core.TopicMembers: {}}
	d.links = func(s core.KeyedStore) core.KeyedStore { return faultyStore{s, read} }
	d.addRunner(runner.Config{ID: "d1", Body: "ok"}, "desk")
	d.publish()
	p := d.startReady()
	bad := newRequest(p, "GET", "/lookup/x", "key-a", "")
	bad.Header.Set("Nutmegnotch-Request-Id", "bad-request")
	if got := send(bad); got.err == nil {
		t.Errorf("request whose handler fails: got %d, want a closed connection", got.status)
	}
	if got := p.logs.FilterMessage("handling a request failed; closing its connection").Len(); got != 1 {
		t.Errorf("log lines of the request: got %d, want 1", got)
	}
	served := func() bool { return send(newRequest(p, "GET", "/lookup/x", "key-a", "")).status == http.StatusOK }
	if !served() {
		t.Error("next request: got it not served")
	}
	eventually(t, "each loop that failed is logged", func() bool {
		return p.logs.FilterMessage("a loop of the gateway failed; starting it again").Len() == len(read)
	})
	d.announce("d1", "desk", "draining")
	eventually(t, "the list of servers is still read", func() bool { return !served() })
}
