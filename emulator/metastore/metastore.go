// Package metastore is a stand-in for the platform's metadata store. It speaks
// the published protocol as far as keyed topics go and can be told to fail.
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

// Limits of the stand-in.
const (
	maxBody     = 4 << 20
	lengthBytes = 4
	pageItems   = 50
	maxWait     = 30 * time.Second
)

// Fault is a way in which the store fails.
type Fault int

// Faults of the store.
const (
	FaultNone Fault = iota
	// FaultUnavailable answers 503 and does nothing.
	FaultUnavailable
	// FaultTooManyRequests answers 429.
	FaultTooManyRequests
	// FaultReset closes connections without an answer.
	FaultReset
	// FaultHang gives no answer until the caller gives up.
	FaultHang
	// FaultLostResponse carries out appends and gives no answer.
	FaultLostResponse
)

// Store is the stand-in. It is an http.Handler. Values of topics stay in the
// order in which they were appended.
type Store struct {
	mu      sync.Mutex
	topics  map[string]*topic
	fault   Fault
	only    map[string]bool
	changed chan struct{}
	router  *httprouter.Router
	calls   int
}

type topic struct {
	records [][]byte
	first   int
}

// New returns an empty store.
func New() *Store {
	s := &Store{topics: map[string]*topic{}, changed: make(chan struct{}), router: httprouter.New()}
	s.router.POST("/log-append", s.append)
	s.router.GET("/log-read", s.read)
	s.router.GET("/log-newest", s.newest)
	return s
}

// SetFault makes the store fail for the callers with one of these IP numbers,
// or for all when there are none.
func (s *Store) SetFault(f Fault, callers ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault, s.only = f, nil
	if len(callers) > 0 {
		s.only = map[string]bool{}
		for _, c := range callers {
			s.only[c] = true
		}
	}
	s.wake()
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put appends a record as the operator or a backend server does. An empty value
// removes the key.
func (s *Store) Put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(name, append(append([]byte{byte(len(key))}, key...), value...))
}

// PutJSON is Put with a value that is encoded as JSON.
func (s *Store) PutJSON(name, key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.Put(name, key, b)
}

// Trim drops the history of a topic; the newest record of each key stays.
func (s *Store) Trim(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.first = len(t.records)
	s.wake()
}

func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{}
		s.topics[name] = t
	}
	return t
}

func (s *Store) add(name string, record []byte) int {
	t := s.topic(name)
	t.records = append(t.records, record)
	s.wake()
	return len(t.records) - 1
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers one call, or fails as it was told.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.fail(w, r) {
		return
	}
	s.router.ServeHTTP(w, r)
}

// fail reports whether the call has been failed.
func (s *Store) fail(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	s.calls++
	fault := s.fault
	if host, _, err := splitHost(r.RemoteAddr); err == nil && s.only != nil && !s.only[host] {
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
		<-r.Context().Done()
	case FaultLostResponse:
		if r.Method == http.MethodPost {
			s.router.ServeHTTP(&discard{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		}
		return false
	default:
		return false
	}
	return true
}

func (s *Store) append(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	offset := -1
	for len(body) >= lengthBytes {
		n := int(binary.BigEndian.Uint32(body))
		if n > len(body)-lengthBytes {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		at := s.add(r.URL.Query().Get("topic"), body[lengthBytes:lengthBytes+n])
		if offset < 0 {
			offset = at
		}
		body = body[lengthBytes+n:]
	}
	writeJSON(w, map[string]int{"offset": offset, "end_offset": len(s.topic(r.URL.Query().Get("topic")).records)})
}

func (s *Store) read(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	q := r.URL.Query()
	from, err1 := strconv.Atoi(q.Get("from"))
	wait, err2 := number(q.Get("wait_ms"))
	if err := errors.Join(err1, err2); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(min(maxWait, time.Duration(wait)*time.Millisecond))
	for {
		s.mu.Lock()
		t := s.topic(q.Get("topic"))
		end, first, changed := len(t.records), t.first, s.changed
		records := t.records[min(max(from, 0), end):]
		s.mu.Unlock()
		if from < first {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(records) > 0 || wait == 0 {
			writeRecords(w, end, first, records)
			return
		}
		select {
		case <-changed:
			if s.fail(w, r) {
				return
			}
		case <-timeout:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func number(s string) (int, error) {
	if s == "" {
		return 0, nil
	}
	return strconv.Atoi(s)
}

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

type item struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset int    `json:"offset"`
}

func (s *Store) newest(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	s.mu.Lock()
	t := s.topic(r.URL.Query().Get("topic"))
	end := len(t.records)
	newest := map[string]item{}
	for i, rec := range t.records {
		n := int(rec[0])
		key, value := string(rec[1:1+n]), rec[1+n:]
		if len(value) == 0 {
			delete(newest, key)
		} else {
			newest[key] = item{Key: key, Value: value, Offset: i}
		}
	}
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
	more := len(items) > pageItems
	if more {
		items = items[:pageItems]
	}
	writeJSON(w, map[string]any{"items": items, "has_more": more, "end_offset": end})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
