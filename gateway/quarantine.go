package gateway

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"nutmegnotch/core"
	"nutmegnotch/io/peer/peerpb"
)

// Limits of the record of requests that end backend servers.
const (
	// quarantineCrashes is the number of servers that ended while they ran the same
	// request from which on it is refused (RULES, BUDGET: three).
	quarantineCrashes = 3
	// crashRecordTTL is how long a request is remembered after its last crash.
	crashRecordTTL  = 2 * time.Minute
	maxCrashRecords = 4096
)

// quarantine counts the servers that ended while they ran a request, by the
// fingerprint of the request.
type quarantine struct {
	byFingerprint map[uint64]*crashRecord
}

type crashRecord struct {
	servers   map[string]bool
	lastCrash time.Time
}

func newQuarantine() *quarantine { return &quarantine{byFingerprint: map[uint64]*crashRecord{}} }

func (s *quarantine) addCrash(fingerprint uint64, serverID string, now time.Time) {
	x := s.byFingerprint[fingerprint]
	if x == nil {
		s.evict(now)
		x = &crashRecord{servers: map[string]bool{}}
		s.byFingerprint[fingerprint] = x
	}
	x.servers[serverID] = true
	x.lastCrash = now
}

// evict forgets old suspects, and any one when there are still too many.
func (s *quarantine) evict(now time.Time) {
	if len(s.byFingerprint) < maxCrashRecords {
		return
	}
	for fp, x := range s.byFingerprint {
		if now.Sub(x.lastCrash) > crashRecordTTL {
			delete(s.byFingerprint, fp)
		}
	}
	for fp := range s.byFingerprint {
		if len(s.byFingerprint) < maxCrashRecords {
			return
		}
		delete(s.byFingerprint, fp)
	}
}

// clear clears a request that ran to its end.
func (s *quarantine) clear(fingerprint uint64) { delete(s.byFingerprint, fingerprint) }

func (s *quarantine) contains(fingerprint uint64, now time.Time) bool {
	x := s.byFingerprint[fingerprint]
	return x != nil && len(x.servers) >= quarantineCrashes && now.Sub(x.lastCrash) < crashRecordTTL
}

// fingerprint identifies a request that a caller sends again.
func fingerprint(organisation, target string, body []byte) uint64 {
	h := xxhash.New()
	for _, part := range []string{organisation, target} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	return h.Sum64()
}

// reportCrash notes that a server ended while it ran a request, and tells others.
func (g *Gateway) reportCrash(fingerprint uint64, serverID string) {
	g.task.Do(func() { g.state.quarantine.addCrash(fingerprint, serverID, time.Now()) })
	g.node.Broadcast(core.RoleGateway, &peerpb.Frame{Body: &peerpb.Frame_Suspicion{
		Suspicion: &peerpb.Suspicion{Fingerprint: fingerprint, ServerId: serverID},
	}})
}
