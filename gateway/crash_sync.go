package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"nutmegnotch/core"
	"nutmegnotch/io/peer"
	"nutmegnotch/io/peer/peerpb"
	"nutmegnotch/task"
)

// Limits of the exchange of crash records.
const (
	// crashSyncInterval is the interval at which a gateway sends its crash records
	// to another one, chosen at random. It covers gateways that have no session with
	// the one that saw a crash.
	crashSyncInterval = 2 * time.Second
	// maxSyncedRecords and maxSyncedCrashes bound one message. The records with the
	// most crashes go first.
	maxSyncedRecords = 256
	maxSyncedCrashes = 384
	// maxSyncedParts bounds the served parts that a gateway is told of when it connects.
	maxSyncedParts = 256
)

// syncCrashRecords periodically sends the crash records to another gateway.
func (g *Gateway) syncCrashRecords(ctx context.Context) {
	task.Every(ctx, crashSyncInterval, func() {
		var peers []*peer.Session
		for _, s := range g.node.Sessions() {
			if s.Hello.GetRole() == core.RoleGateway {
				peers = append(peers, s)
			}
		}
		if len(peers) > 0 {
			g.sendCrashRecords(peers[rand.IntN(len(peers))])
		}
	})
}

// sendServedParts tells a gateway that has connected which parts of prompts were served
// lately, since a crash says less about them.
func (g *Gateway) sendServedParts(s *peer.Session) {
	f := &peerpb.CrashRecords{}
	g.task.Do(func() {
		now := time.Now()
		for part, at := range g.state.quarantine.ServedParts(maxSyncedParts) {
			f.Served = append(f.Served, &peerpb.ServedRequest{Fingerprint: part, MsAgo: now.Sub(at).Milliseconds()})
		}
	})
	if len(f.Served) > 0 {
		s.SendControl(&peerpb.Frame{Body: &peerpb.Frame_CrashRecords{CrashRecords: f}})
	}
}

// sendCrashRecords sends a gateway what this one knows of crashing requests.
func (g *Gateway) sendCrashRecords(s *peer.Session) {
	f := &peerpb.CrashRecords{}
	g.task.Do(func() {
		now := time.Now()
		for _, r := range g.state.quarantine.Records(maxSyncedRecords, now) {
			if len(f.Crashes) >= maxSyncedCrashes {
				break
			}
			for _, c := range r.Crashes {
				f.Crashes = append(f.Crashes, requestCrash(c, now))
			}
			if !r.CompletedAt.IsZero() {
				f.Served = append(f.Served, &peerpb.ServedRequest{Fingerprint: r.Fingerprint, MsAgo: now.Sub(r.CompletedAt).Milliseconds()})
			}
		}
	})
	if len(f.Crashes)+len(f.Served) > 0 {
		s.SendControl(&peerpb.Frame{Body: &peerpb.Frame_CrashRecords{CrashRecords: f}})
	}
}
