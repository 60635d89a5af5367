package configlog

import (
	"time"

	"go.uber.org/zap"

	"nutmegnotch/core"
	"nutmegnotch/core/config"
	"nutmegnotch/io/peer"
	"nutmegnotch/io/peer/peerpb"
)

// Limits of the records and snapshots that peers send.
const (
	partBytes        = 256 << 10
	maxRecentBytes   = 8 << 20
	maxSnapshotParts = 1024
	// maxRecordFrames bounds one reply, so that it never fills the queue of a
	// session. The peer requests the rest when it has applied these records.
	maxRecordFrames = 8
)

// recentRecords holds the newest applied records, without a gap, for peers.
type recentRecords struct {
	records []core.Record
	bytes   int
}

// add appends a record. Data above MaxRecordBytes is replaced, since it would
// exceed a frame and has no effect on the state.
func (rc *recentRecords) add(r core.Record) {
	if len(r.Data) > config.MaxRecordBytes {
		r.Data = []byte("null")
	}
	rc.records = append(rc.records, r)
	rc.bytes += len(r.Data)
	for rc.bytes > maxRecentBytes {
		rc.bytes -= len(rc.records[0].Data)
		rc.records = rc.records[1:]
	}
}

// from returns the records from an offset on, or false if some of them are missing.
func (rc *recentRecords) from(offset int64) ([]core.Record, bool) {
	if len(rc.records) == 0 || offset < rc.records[0].Offset {
		return nil, false
	}
	i := offset - rc.records[0].Offset
	if i > int64(len(rc.records)) {
		return nil, false
	}
	return rc.records[i:], true
}

// sendRecords sends records, or a snapshot if records are missing, to a peer that
// is behind.
func (t *task) sendRecords(to *peer.Session, from int64) {
	if from >= t.state.NextOffset() {
		return
	}
	records, ok := t.recent.from(from)
	if !ok {
		t.sendSnapshot(to)
		return
	}
	for range maxRecordFrames {
		if len(records) == 0 {
			return
		}
		m := &peerpb.Records{FromOffset: records[0].Offset}
		for size := 0; len(records) > 0 && size < partBytes; records = records[1:] {
			r := records[0]
			size += len(r.Data)
			m.Records = append(m.Records, &peerpb.LogRecord{Offset: r.Offset, TimeUnixMs: r.Time.UnixMilli(), Data: r.Data})
		}
		to.SendControl(&peerpb.Frame{Body: &peerpb.Frame_Records{Records: m}})
	}
}

func (t *task) sendSnapshot(to *peer.Session) {
	data, err := t.state.EncodeState()
	if err != nil {
		t.log.Error("encoding a snapshot failed", zap.Error(err))
		return
	}
	parts := (len(data) + partBytes - 1) / partBytes
	for i := 0; i < parts; i++ {
		to.SendControl(&peerpb.Frame{Body: &peerpb.Frame_Snapshot{Snapshot: &peerpb.Snapshot{
			NextOffset: t.state.NextOffset(),
			State:      data[i*partBytes : min(len(data), (i+1)*partBytes)],
			Part:       int32(i),
			Parts:      int32(parts),
		}}})
	}
}

func (t *task) receiveRecords(m message, p *peerpb.Records) {
	if p.FromOffset > t.state.NextOffset() {
		return
	}
	records := make([]core.Record, 0, len(p.Records))
	for _, r := range p.Records {
		records = append(records, core.Record{Offset: r.Offset, Time: time.UnixMilli(r.TimeUnixMs), Data: r.Data})
	}
	before := t.state.NextOffset()
	t.apply(records)
	if t.state.NextOffset() > before {
		metrics.Add("records_from_peers", t.state.NextOffset()-before)
		t.allowNextPull(m)
		t.log.Debug("records received from peer", zap.String("peer", m.from.Hello.Id), zap.Int64("next_offset", t.state.NextOffset()))
	}
}

// allowNextPull permits the next records request at once if the state has caught
// up with the peer. Until then more frames of the same reply may arrive.
func (t *task) allowNextPull(m message) {
	t.exchange.pulledAt = m.at
	if ps := t.exchange.peers[m.from.Hello.Id]; ps != nil && t.state.NextOffset() >= ps.maxNextOffset {
		t.exchange.pulledAt = time.Time{}
	}
}

// snapshotAssembly collects the parts of one snapshot from one session.
type snapshotAssembly struct {
	from       *peer.Session
	nextOffset int64
	partCount  int32
	data       []byte
	received   int32
}

// add appends the next part and reports whether the snapshot is complete. Parts
// from one session arrive in order; if one is missing, the snapshot is never
// complete.
func (a *snapshotAssembly) add(from *peer.Session, p *peerpb.Snapshot) bool {
	if p.Part == 0 {
		*a = snapshotAssembly{from: from, nextOffset: p.NextOffset, partCount: p.Parts}
	}
	if a.from != from || a.nextOffset != p.NextOffset || a.partCount != p.Parts || a.received != p.Part || p.Parts > maxSnapshotParts {
		return false
	}
	a.received++
	a.data = append(a.data, p.State...)
	return a.received == a.partCount
}

func (t *task) receiveSnapshot(m message, p *peerpb.Snapshot) {
	if p.NextOffset <= t.state.NextOffset() {
		return
	}
	t.exchange.pulledAt = m.at
	if !t.exchange.snapshot.add(m.from, p) {
		return
	}
	data := t.exchange.snapshot.data
	t.exchange.snapshot = snapshotAssembly{}
	f, err := config.DecodeState(p.NextOffset, data)
	if err != nil {
		t.log.Error("snapshot from peer is invalid", zap.String("peer", m.from.Hello.Id), zap.Error(err))
		return
	}
	if t.replaceState(f, time.Now()) {
		t.log.Info("snapshot loaded from peer", zap.String("peer", m.from.Hello.Id), zap.Int64("next_offset", p.NextOffset))
	}
}
