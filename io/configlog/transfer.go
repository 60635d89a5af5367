package configlog

import (
	"time"

	"go.uber.org/zap"

	"nutmegnotch/core"
	"nutmegnotch/core/config"
	"nutmegnotch/io/peer"
	"nutmegnotch/io/peer/peerpb"
)

// Sizes of what peers send each other.
const (
	partBytes        = 256 << 10
	maxRecentBytes   = 8 << 20
	maxSnapshotParts = 1024
	// maxRecordFrames bounds one answer, so that it never fills the queue of a
	// session. The peer asks for the rest when it has folded these.
	maxRecordFrames = 8
)

// recent holds the newest folded records without a gap, for peers.
type recent struct {
	records []core.Record
	bytes   int
}

// add appends a record. The content of records that have no effect on the fold
// and would exceed a frame is left out.
func (rc *recent) add(r core.Record) {
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

// from returns the records from an offset on, and false when some are missing.
func (rc *recent) from(offset int64) ([]core.Record, bool) {
	if len(rc.records) == 0 || offset < rc.records[0].Offset {
		return nil, false
	}
	i := offset - rc.records[0].Offset
	if i > int64(len(rc.records)) {
		return nil, false
	}
	return rc.records[i:], true
}

// sendRecords answers a peer that is behind, with records or a snapshot.
func (t *task) sendRecords(to *peer.Session, from int64) {
	if from >= t.fold.NextOffset() {
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
		to.Control(&peerpb.Frame{Body: &peerpb.Frame_Records{Records: m}})
	}
}

func (t *task) sendSnapshot(to *peer.Session) {
	data, err := t.fold.EncodeState()
	if err != nil {
		t.log.Error("encoding a snapshot failed", zap.Error(err))
		return
	}
	parts := (len(data) + partBytes - 1) / partBytes
	for i := 0; i < parts; i++ {
		to.Control(&peerpb.Frame{Body: &peerpb.Frame_Snapshot{Snapshot: &peerpb.Snapshot{
			NextOffset: t.fold.NextOffset(),
			State:      data[i*partBytes : min(len(data), (i+1)*partBytes)],
			Part:       int32(i),
			Parts:      int32(parts),
		}}})
	}
}

func (t *task) receiveRecords(m message, p *peerpb.Records) {
	if p.FromOffset > t.fold.NextOffset() {
		return
	}
	records := make([]core.Record, 0, len(p.Records))
	for _, r := range p.Records {
		records = append(records, core.Record{Offset: r.Offset, Time: time.UnixMilli(r.TimeUnixMs), Data: r.Data})
	}
	before := t.fold.NextOffset()
	t.apply(records)
	if t.fold.NextOffset() > before {
		metrics.Add("records_from_peers", t.fold.NextOffset()-before)
		t.pulled(m)
		t.log.Debug("records taken from peer", zap.String("peer", m.from.Hello.Id), zap.Int64("next_offset", t.fold.NextOffset()))
	}
}

// pulled lets the next request go out at once when the state has caught up with
// the peer. Before that more frames may be on their way.
func (t *task) pulled(m message) {
	t.exchange.pullAt = m.at
	if ps := t.exchange.peers[m.from.Hello.Id]; ps != nil && t.fold.NextOffset() >= ps.next {
		t.exchange.pullAt = time.Time{}
	}
}

// snapshotParts gathers the parts of one snapshot from one session.
type snapshotParts struct {
	from  *peer.Session
	next  int64
	parts int32
	data  []byte
	got   int32
}

// add takes the next part and reports whether the snapshot is complete. Parts
// of one session arrive in order; a missing one voids the snapshot.
func (sp *snapshotParts) add(from *peer.Session, p *peerpb.Snapshot) bool {
	if p.Part == 0 {
		*sp = snapshotParts{from: from, next: p.NextOffset, parts: p.Parts}
	}
	if sp.from != from || sp.next != p.NextOffset || sp.parts != p.Parts || sp.got != p.Part || p.Parts > maxSnapshotParts {
		return false
	}
	sp.got++
	sp.data = append(sp.data, p.State...)
	return sp.got == sp.parts
}

func (t *task) receiveSnapshot(m message, p *peerpb.Snapshot) {
	if p.NextOffset <= t.fold.NextOffset() {
		return
	}
	t.exchange.pullAt = m.at
	if !t.exchange.parts.add(m.from, p) {
		return
	}
	data := t.exchange.parts.data
	t.exchange.parts = snapshotParts{}
	f, err := config.DecodeState(p.NextOffset, data)
	if err != nil {
		t.log.Error("snapshot of peer is invalid", zap.String("peer", m.from.Hello.Id), zap.Error(err))
		return
	}
	if t.replace(f, time.Now()) {
		t.log.Info("snapshot taken from peer", zap.String("peer", m.from.Hello.Id), zap.Int64("next_offset", p.NextOffset))
	}
}
