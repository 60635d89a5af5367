package platformlog

import "time"

// record is a record in the format of the protocol. Data is base64 in JSON.
type record struct {
	Offset     int64  `json:"offset"`
	TimeUnixMS int64  `json:"time_unix_ms"`
	Data       []byte `json:"data"`
}

// offsets is the response about the range of a stream.
type offsets struct {
	FirstOffset int64 `json:"first_offset"`
	NextOffset  int64 `json:"next_offset"`
}

// readResponse is the response to a read.
type readResponse struct {
	FirstOffset int64    `json:"first_offset"`
	NextOffset  int64    `json:"next_offset"`
	Records     []record `json:"records"`
}

// stream holds the retained records of a stream. changed is closed at the next append.
type stream struct {
	first   int64
	records []record
	changed chan struct{}
}

func (s *stream) next() int64 { return s.first + int64(len(s.records)) }

// dropBefore drops the records below an offset.
func (s *stream) dropBefore(offset int64) {
	if n := min(offset, s.next()) - s.first; n > 0 {
		s.records = append([]record(nil), s.records[n:]...)
		s.first += n
	}
}

// dropFrom drops the records from an offset on, as a log does that comes back from an
// older copy.
func (s *stream) dropFrom(offset int64) {
	if n := max(offset, s.first) - s.first; n < int64(len(s.records)) {
		s.records = s.records[:n:n]
	}
}

// store is owned by the server's task.
type store struct {
	cfg     Config
	streams map[string]*stream
	faults  Faults
	// faultsChanged is closed when the faults change.
	faultsChanged chan struct{}
}

func newStore(cfg Config) *store {
	return &store{cfg: cfg, streams: map[string]*stream{}, faultsChanged: make(chan struct{})}
}

func (st *store) stream(name string) *stream {
	s := st.streams[name]
	if s == nil {
		s = &stream{changed: make(chan struct{})}
		st.streams[name] = s
	}
	return s
}

// append adds a record. It returns its offset, and whether a fault drops the response.
func (st *store) append(name string, data []byte, now time.Time) (int64, bool) {
	s := st.stream(name)
	offset := s.next()
	s.records = append(s.records, record{Offset: offset, TimeUnixMS: now.UnixMilli(), Data: data})
	close(s.changed)
	s.changed = make(chan struct{})
	if st.cfg.MaxRecords > 0 && len(s.records) > st.cfg.MaxRecords {
		s.dropBefore(s.next() - int64(st.cfg.MaxRecords))
	}
	dropResponse := st.faults.LoseAppendAnswers > 0 && (st.faults.LoseStream == "" || st.faults.LoseStream == name)
	if dropResponse {
		st.faults.LoseAppendAnswers--
	}
	return offset, dropResponse
}

// read returns up to limit records from an offset on, and a channel that is closed at
// the next append.
func (st *store) read(name string, from int64, limit int) (readResponse, <-chan struct{}) {
	s := st.stream(name)
	a := readResponse{FirstOffset: s.first, NextOffset: s.next(), Records: []record{}}
	if from < s.first || from >= s.next() {
		return a, s.changed
	}
	size := 0
	for _, r := range s.records[from-s.first:] {
		size += len(r.Data)
		if len(a.Records) == limit || len(a.Records) > 0 && size > maxReadBytes {
			break
		}
		a.Records = append(a.Records, r)
	}
	return a, s.changed
}

// expire drops the records that are older than Retention.
func (st *store) expire(now time.Time) {
	if st.cfg.Retention <= 0 {
		return
	}
	oldest := now.Add(-st.cfg.Retention).UnixMilli()
	for _, s := range st.streams {
		n := 0
		for n < len(s.records) && s.records[n].TimeUnixMS < oldest {
			n++
		}
		s.dropBefore(s.first + int64(n))
	}
}
