package gateway

import (
	"bytes"
	"context"
	"math"
	"net"
	"testing"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/encoding/protodelim"

	"nutmegnotch/core"
	"nutmegnotch/io/peer"
	"nutmegnotch/io/peer/peerpb"
	"nutmegnotch/platform"
)

// fuzzedGateway returns a gateway that serves nobody, and a session with a peer.
func fuzzedGateway(f *testing.F) (*Gateway, *peer.Session) {
	f.Helper()
	up := make(chan *peer.Session, 1)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	remote := peer.New(peer.Config{Self: &peerpb.Hello{Id: "other", Role: core.RoleGateway, Address: "127.0.0.1:1"}})
	served := make(chan struct{})
	go func() { defer close(served); _ = remote.Serve(l) }()
	local := peer.New(peer.Config{
		Self:        &peerpb.Hello{Id: "dialer", Role: core.RoleGateway, Address: "127.0.0.1:2"},
		OnSessionUp: func(s *peer.Session) { up <- s },
	})
	local.KeepConnected(l.Addr().String())
	g := New(Config{
		ID: "g", Incarnation: "g", PeerAddress: "127.0.0.1:3", FailureDomain: "z", Deployment: "test",
		Decoder: platform.RecordDecoder{}, Headers: platform.Headers{}, Logger: zap.NewNop(),
	})
	g.callerServer = newCallerServer(g, l.Addr(), g.log)
	ctx, cancel := context.WithCancel(context.Background())
	g.task.Start(ctx)
	f.Cleanup(func() {
		cancel()
		<-g.task.Done()
		g.node.Stop()
		local.Stop()
		remote.Stop()
		<-served
		g.callerServer.close(l, maxCloseTime)
	})
	return g, <-up
}

// Guards against a frame of a peer that ends the gateway, or that makes it keep more and
// more.
func FuzzControl(f *testing.F) {
	g, from := fuzzedGateway(f)
	server := []byte(`{"service":"s","addr":"127.0.0.1:9","zone":"z","version":"v1","cold_left_ms":0,"slots":9223372036854775807,"state":"ready","seq":1,"size":2147483647,"group":{"name":"g","epoch":1,"rank":2147483647,"state":"open"}}`)
	config := []byte(`{"version":9223372036854775807,"routes":[{"name":"r","host":"h","path_prefix":"/"}],"services":[{"name":"s","engine":{"slots":-1}}]}`)
	for _, m := range []*peerpb.Frame{
		{},
		{Body: &peerpb.Frame_DirectoryBeat{}},
		{Body: &peerpb.Frame_DirectoryBeat{DirectoryBeat: &peerpb.DirectoryBeat{
			OperatorNextOffset: math.MinInt64, ServersNextOffset: math.MaxInt64, OperatorEra: math.MaxInt64, ConfigVersion: math.MaxInt64,
			Gateways: []string{"", "x", "127.0.0.1:99999"}, Loads: []*peerpb.ServerLoad{{ServerId: "a", Requests: math.MaxUint32}},
		}}},
		{Body: &peerpb.Frame_DirectoryPull{DirectoryPull: &peerpb.DirectoryPull{Topic: -1, FromOffset: -5}}},
		{Body: &peerpb.Frame_DirectoryPull{DirectoryPull: &peerpb.DirectoryPull{Topic: 1, FromOffset: math.MaxInt64, Era: -9, Config: true}}},
		{Body: &peerpb.Frame_DirectoryRecords{DirectoryRecords: &peerpb.DirectoryRecords{Topic: 1, NextOffset: 9, Full: true, Records: []*peerpb.KeyedRecord{
			{Key: "a", Value: server, Offset: 1}, {Key: "b", Value: []byte("{"), Offset: 2}, {Offset: math.MinInt64, Deleted: true},
		}}}},
		{Body: &peerpb.Frame_DirectoryRecords{DirectoryRecords: &peerpb.DirectoryRecords{NextOffset: 3, Records: []*peerpb.KeyedRecord{
			{Key: "config", Value: config, Offset: 1}, {Key: "evacuate/", Offset: 2},
		}}}},
		{Body: &peerpb.Frame_EngineState{EngineState: &peerpb.EngineState{EngineAddress: "127.0.0.1:9", Pace: math.NaN()}}},
		{Body: &peerpb.Frame_EngineStates{EngineStates: &peerpb.EngineStates{States: []*peerpb.EngineState{{}, {Pace: math.Inf(-1), Open: true}}}}},
		{Body: &peerpb.Frame_ServerStates{ServerStates: &peerpb.ServerStates{
			Leaving: []*peerpb.ServerProcess{{ServerId: "a", StartedUnixMs: -1}}, Paused: []*peerpb.ServerPause{{ServerId: "a", Ms: math.MaxUint32}},
		}}},
		{Body: &peerpb.Frame_ServerStates{ServerStates: &peerpb.ServerStates{Limits: []*peerpb.ServerLimit{
			{ServerId: "a", PerSecond: math.NaN()}, {ServerId: "b", PerSecond: math.Inf(1), MsAgo: math.MinInt64}, {ServerId: "c", PerSecond: -1},
			{ServerId: "d", PerSecond: math.MaxFloat64, MsAgo: math.MaxInt64}, {ServerId: "e"}, {Ended: true, PerSecond: math.NaN()},
		}}}},
		{Body: &peerpb.Frame_Permits{Permits: &peerpb.Permits{
			Requests: []*peerpb.PermitRequest{{}, {ServerId: "e", Seq: math.MaxUint64, Count: math.MaxUint32}},
			Grants:   []*peerpb.PermitGrant{{}, {ServerId: "e", Count: math.MaxUint32, WaitMs: math.MaxUint32}},
		}}},
		{Body: &peerpb.Frame_CrashRecords{CrashRecords: &peerpb.CrashRecords{
			Crashes: []*peerpb.RequestCrash{{StartedMsAgo: math.MinInt64, EndedMsAgo: math.MaxInt64}, {}}, Served: []*peerpb.ServedRequest{{MsAgo: math.MinInt64}},
		}}},
	} {
		var b bytes.Buffer
		if _, err := protodelim.MarshalTo(&b, m); err != nil {
			f.Fatal(err)
		}
		f.Add(b.Bytes())
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		for r := bytes.NewReader(data); ; {
			m := &peerpb.Frame{}
			if err := (protodelim.UnmarshalOptions{MaxSize: peer.MaxFrameBytes}).UnmarshalFrom(r, m); err != nil {
				break
			}
			g.task.Do(func() { g.onFrame(from, m, time.Now()) })
		}
		now := time.Now()
		g.task.Do(func() {
			g.serversChanged(now)
			g.heartbeatFrame(true)
			g.groupView()
			g.detectUnresponsive(now)
			g.refreshLimitHomes(false, now)
			g.askPermits(now)
			g.checkLimits(now)
			for _, l := range g.state.dispatcher.Limits().Limits(now) {
				if !(l.Rate >= 0) || math.IsInf(l.Rate, 0) {
					t.Errorf("limit of %v: got %v, want a rate", l.Process, l.Rate)
				}
			}
			if got := len(g.state.members.known); got > maxMembers {
				t.Errorf("known gateways: got %d, want at most %d", got, maxMembers)
			}
		})
	})
}
