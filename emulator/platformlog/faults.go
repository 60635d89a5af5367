package platformlog

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"
)

// Outages of the stand-in.
const (
	OutageHang   = "hang"
	OutageRefuse = "refuse"
)

// Faults is what the stand-in does wrong. It is the JSON body of POST /faults,
// which replaces all faults.
type Faults struct {
	// Outage holds back all answers ("hang") or answers 503 ("refuse").
	Outage string `json:"outage,omitempty"`
	// DelayMS delays every call before it has an effect.
	DelayMS int64 `json:"delay_ms,omitempty"`
	// LoseAppendAnswers breaks the connection of so many appends after they
	// took effect, on LoseStream or on all streams.
	LoseAppendAnswers int    `json:"lose_append_answers,omitempty"`
	LoseStream        string `json:"lose_stream,omitempty"`
	// ExpireBefore drops the records of ExpireStream below an offset, once.
	ExpireBefore int64  `json:"expire_before,omitempty"`
	ExpireStream string `json:"expire_stream,omitempty"`
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.do(func(st *store) {
		if f.ExpireBefore > 0 {
			name := f.ExpireStream
			if name == "" {
				name = "config"
			}
			st.stream(name).dropBefore(f.ExpireBefore)
		}
		st.faults = f
		close(st.lifted)
		st.lifted = make(chan struct{})
	})
}

// pass applies delay and outage. It reports whether the call goes on.
func (s *Server) pass(w http.ResponseWriter, r *http.Request) bool {
	for delayed := false; ; {
		var f Faults
		var lifted <-chan struct{}
		if !s.do(func(st *store) { f, lifted = st.faults, st.lifted }) {
			panic(http.ErrAbortHandler)
		}
		switch {
		case f.Outage == OutageRefuse:
			writeError(w, http.StatusServiceUnavailable, "log is out of service")
			return false
		case f.Outage == OutageHang:
			if !s.hold(r, lifted, nil) {
				return false
			}
		case f.DelayMS > 0 && !delayed:
			if !s.hold(r, nil, time.After(time.Duration(f.DelayMS)*time.Millisecond)) {
				return false
			}
			delayed = true
		default:
			return true
		}
	}
}

// hold waits and reports whether the caller is still there.
func (s *Server) hold(r *http.Request, lifted <-chan struct{}, timer <-chan time.Time) bool {
	select {
	case <-lifted:
		return true
	case <-timer:
		return true
	case <-r.Context().Done():
		return false
	case <-s.done:
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var f Faults
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	if f.Outage != "" && f.Outage != OutageHang && f.Outage != OutageRefuse {
		writeError(w, http.StatusBadRequest, `outage must be "", "hang" or "refuse"`)
		return
	}
	s.SetFaults(f)
	writeJSON(w, http.StatusOK, f)
}

func (s *Server) getFaults(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	var f Faults
	s.do(func(st *store) { f = st.faults })
	writeJSON(w, http.StatusOK, f)
}
