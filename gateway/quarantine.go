package gateway

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"nutmegnotch/core"
	"nutmegnotch/io/peer/peerpb"
)

// Limits of the quarantine.
const (
	// quarantineCrashes is the number of servers that have to crash while running
	// the same request before it is quarantined (RULES, BUDGET: three).
	quarantineCrashes = 3
	// crashRecordTTL is how long the crashes of a request count after the last one.
	crashRecordTTL  = 2 * time.Minute
	maxCrashRecords = 4096
)

// quarantine counts the backend servers that crashed while running a request, by
// the fingerprint of the request. A request that has crashed several servers is
// rejected, as it would crash more.
type quarantine struct {
	byFingerprint map[uint64]*crashRecord
}

type crashRecord struct {
	servers   map[string]bool
	lastCrash time.Time
}

func newQuarantine() *quarantine { return &quarantine{byFingerprint: map[uint64]*crashRecord{}} }

// addCrash returns the number of servers that have crashed.
func (q *quarantine) addCrash(fingerprint uint64, serverID string, now time.Time) int {
	rec := q.byFingerprint[fingerprint]
	if rec == nil {
		q.evict(now)
		rec = &crashRecord{servers: map[string]bool{}}
		q.byFingerprint[fingerprint] = rec
	}
	rec.servers[serverID] = true
	rec.lastCrash = now
	return len(rec.servers)
}

// evict removes expired records if the quarantine is full, and arbitrary ones if it
// is still full after that.
func (q *quarantine) evict(now time.Time) {
	if len(q.byFingerprint) < maxCrashRecords {
		return
	}
	for fp, rec := range q.byFingerprint {
		if now.Sub(rec.lastCrash) > crashRecordTTL {
			delete(q.byFingerprint, fp)
		}
	}
	for fp := range q.byFingerprint {
		if len(q.byFingerprint) < maxCrashRecords {
			return
		}
		delete(q.byFingerprint, fp)
	}
}

// clear removes the record of a request that was served.
func (q *quarantine) clear(fingerprint uint64) { delete(q.byFingerprint, fingerprint) }

// contains reports whether a request is quarantined.
func (q *quarantine) contains(fingerprint uint64, now time.Time) bool {
	rec := q.byFingerprint[fingerprint]
	return rec != nil && len(rec.servers) >= quarantineCrashes && now.Sub(rec.lastCrash) < crashRecordTTL
}

// fingerprint returns a hash that is the same for repeated sends of a request, by
// its caller or by gateways.
func fingerprint(organisation, target string, body []byte) uint64 {
	h := xxhash.New()
	for _, part := range []string{organisation, target} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	return h.Sum64()
}

// fingerprintField returns the log field by which the lines about one request, its
// copies and its crashes are found.
func fingerprintField(fingerprint uint64) zap.Field {
	return zap.String("fingerprint", strconv.FormatUint(fingerprint, 16))
}

// countCrash counts a crash that this gateway or a peer has seen. It runs in the
// task.
func (g *Gateway) countCrash(fingerprint uint64, serverID, source string) {
	n := g.state.quarantine.addCrash(fingerprint, serverID, time.Now())
	quarantineEvents.Add("crashes_counted", 1)
	g.log.Info("crash counted", fingerprintField(fingerprint), zap.String("server", serverID),
		zap.Int("crashes", n), zap.String("source", source))
}

// reportCrash counts a crash of a server that ran a request, and reports it to the
// other gateways.
func (g *Gateway) reportCrash(fingerprint uint64, serverID string) {
	g.task.Do(func() { g.countCrash(fingerprint, serverID, "self") })
	g.node.Broadcast(core.RoleGateway, &peerpb.Frame{Body: &peerpb.Frame_Suspicion{
		Suspicion: &peerpb.Suspicion{Fingerprint: fingerprint, ServerId: serverID},
	}})
}
