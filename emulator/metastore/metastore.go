// Package metastore emulates the platform's metadata store. It implements the part of
// the published protocol that concerns keyed topics and can inject faults.
package metastore

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"
)

// Limits of the store, and the size of a record's length prefix.
const (
	maxBodyBytes      = 4 << 20
	lengthPrefixBytes = 4
	itemsPerPage      = 50
	maxReadWait       = 30 * time.Second
)

// Fault is a fault of the store.
type Fault int

// Faults of the store.
const (
	FaultNone Fault = iota
	// FaultUnavailable responds 503 without an effect.
	FaultUnavailable
	// FaultTooManyRequests responds 429 without an effect.
	FaultTooManyRequests
	// FaultReset closes connections without a response or an effect.
	FaultReset
	// FaultHang does not respond until the client gives up, and has no effect.
	FaultHang
	// FaultLostResponse executes appends and closes the connection without a response.
	// It does not affect reads.
	FaultLostResponse
)

// Store emulates the metadata store. It implements http.Handler and is safe for
// concurrent use.
type Store struct {
	mu     sync.Mutex
	topics map[string]*topic
	fault  Fault
	// faultClients are the IP addresses to which the fault applies; nil means all.
	faultClients map[string]bool
	// changed is closed when a topic or the fault changes.
	changed chan struct{}
	router  *httprouter.Router
	calls   int
	// era is the number of times that the store has begun, from a copy or empty.
	era int64
}

// topic holds the records of a topic in the order in which they were appended. first is
// the offset of the first one that a read may return.
type topic struct {
	records [][]byte
	// written holds the time of each record.
	written []time.Time
	first   int
}

// New returns an empty store.
func New() *Store {
	s := &Store{topics: map[string]*topic{}, changed: make(chan struct{}), router: httprouter.New(), era: 1}
	s.router.POST("/log-append", s.append)
	s.router.GET("/log-read", s.read)
	s.router.GET("/log-newest", s.newest)
	return s
}

// SetFault replaces the fault. It applies to clients with one of the given IP addresses,
// or to all clients if none is given.
func (s *Store) SetFault(f Fault, clients ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault, s.faultClients = f, nil
	if len(clients) > 0 {
		s.faultClients = map[string]bool{}
		for _, c := range clients {
			s.faultClients[c] = true
		}
	}
	s.notifyReaders()
}

// Calls returns the number of calls. A read counts again after each change that it
// waits for.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put appends a record, as the operator or a backend server does. An empty value
// deletes the key.
func (s *Store) Put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(name, append(append([]byte{byte(len(key))}, key...), value...))
}

// PutJSON is like Put with a value that is encoded as JSON. It panics if the value
// cannot be encoded.
func (s *Store) PutJSON(name, key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.Put(name, key, b)
}

// Trim makes reads of a topic from an offset before its current end fail with 410. The
// newest record of each key can still be read.
func (s *Store) Trim(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.first = len(t.records)
	s.notifyReaders()
}

// topic returns a topic, which it creates if necessary. The caller must hold mu.
func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{}
		s.topics[name] = t
	}
	return t
}

// add appends a record and returns its offset. The caller must hold mu.
func (s *Store) add(name string, record []byte) int {
	t := s.topic(name)
	t.records, t.written = append(t.records, record), append(t.written, time.Now())
	s.notifyReaders()
	return len(t.records) - 1
}

// newest returns the newest record of each key that is not deleted.
func (t *topic) newest() map[string]item {
	out := map[string]item{}
	for i, rec := range t.records {
		n := int(rec[0])
		key, value := string(rec[1:1+n]), rec[1+n:]
		if len(value) == 0 {
			delete(out, key)
		} else {
			out[key] = item{Key: key, Value: value, Offset: i}
		}
	}
	return out
}

// Newest returns the newest value of each key of a topic.
func (s *Store) Newest(name string) map[string][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string][]byte{}
	for key, i := range s.topic(name).newest() {
		out[key] = i.Value
	}
	return out
}

// notifyReaders makes waiting reads check again. The caller must hold mu.
func (s *Store) notifyReaders() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(headerEra, strconv.FormatInt(s.Era(), 10))
	if s.injectFault(w, r) {
		return
	}
	s.router.ServeHTTP(w, r)
}

// injectFault applies the fault to a call. It reports whether the call is finished.
func (s *Store) injectFault(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	s.calls++
	fault := s.fault
	if host, _, err := splitHost(r.RemoteAddr); err == nil && s.faultClients != nil && !s.faultClients[host] {
		fault = FaultNone
	}
	s.mu.Unlock()
	switch fault {
	case FaultUnavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
	case FaultTooManyRequests:
		w.WriteHeader(http.StatusTooManyRequests)
	case FaultReset:
		panic(http.ErrAbortHandler)
	case FaultHang:
		// The end of the connection is noticed only after the body has been read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	case FaultLostResponse:
		if r.Method == http.MethodPost {
			s.router.ServeHTTP(&discardWriter{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		}
		return false
	default:
		return false
	}
	return true
}

func (s *Store) append(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	offset := -1
	for len(body) >= lengthPrefixBytes {
		n := int(binary.BigEndian.Uint32(body))
		if n > len(body)-lengthPrefixBytes {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		at := s.add(r.URL.Query().Get("topic"), body[lengthPrefixBytes:lengthPrefixBytes+n])
		if offset < 0 {
			offset = at
		}
		body = body[lengthPrefixBytes+n:]
	}
	writeJSON(w, map[string]int{"offset": offset, "end_offset": len(s.topic(r.URL.Query().Get("topic")).records)})
}

func (s *Store) read(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	q := r.URL.Query()
	from, err1 := strconv.Atoi(q.Get("from"))
	wait, err2 := parseNumber(q.Get("wait_ms"))
	if err := errors.Join(err1, err2); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(min(maxReadWait, time.Duration(wait)*time.Millisecond))
	for {
		s.mu.Lock()
		// The store may have come back from a copy while the read waited.
		w.Header().Set(headerEra, strconv.FormatInt(s.era, 10))
		t := s.topic(q.Get("topic"))
		end, first, changed := len(t.records), t.first, s.changed
		records := t.records[min(max(from, 0), end):]
		s.mu.Unlock()
		if from < first || from > end {
			w.WriteHeader(http.StatusGone)
			_ = json.NewEncoder(w).Encode(map[string]int{"first_offset": first})
			return
		}
		if len(records) > 0 || wait == 0 {
			writeRecords(w, end, first, records)
			return
		}
		select {
		case <-changed:
			if s.injectFault(w, r) {
				return
			}
		case <-timeout:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

// parseNumber returns 0 for an empty string.
func parseNumber(s string) (int, error) {
	if s == "" {
		return 0, nil
	}
	return strconv.Atoi(s)
}

// writeRecords writes the end offset, the first readable offset, and the records with
// their length prefixes.
func writeRecords(w http.ResponseWriter, end, first int, records [][]byte) {
	out := binary.BigEndian.AppendUint64(nil, uint64(end))
	out = binary.BigEndian.AppendUint64(out, uint64(first))
	for _, r := range records {
		out = binary.BigEndian.AppendUint32(out, uint32(len(r)))
		out = append(out, r...)
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(out)
}

// item is the newest record of a key.
type item struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset int    `json:"offset"`
}

func (s *Store) newest(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	s.mu.Lock()
	t := s.topic(r.URL.Query().Get("topic"))
	end, newest := len(t.records), t.newest()
	s.mu.Unlock()
	items := make([]item, 0, len(newest))
	for _, i := range newest {
		if i.Key > r.URL.Query().Get("after") {
			items = append(items, i)
		}
	}
	slices.SortFunc(items, func(a, b item) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	more := len(items) > itemsPerPage
	if more {
		items = items[:itemsPerPage]
	}
	writeJSON(w, map[string]any{"items": items, "has_more": more, "end_offset": end})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
